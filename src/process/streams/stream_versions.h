#pragma once

/** @file Finds out which version began a stream that a caller takes up. */

#include "process/streams/stream_codec.h"
#include "process/streams/stream_keepers.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace eelgrassnotch::process::streams
{

/** @brief What is known of a stream that a caller takes up. */
struct StreamFinding {
    std::optional<VersionKey> version; ///< Nothing where no daemon that answered has a note.
    std::size_t silent = 0; ///< Daemons that were asked and have not answered.

    bool operator==(const StreamFinding &) const = default;
};

/**
 * @brief Notes which version began a stream, tells it to the keepers, and asks them.
 * @remarks Load pattern: daemons end with all their streams, whose callers come back to others at once. No I/O and no clock.
 */
class StreamVersions
{
public:
    using Send = std::function<void(const std::string &to, const StreamMessage &message)>;
    using OnFound = std::function<void(const StreamFinding &)>;

    StreamVersions(DataCentreHandle ownDataCentre, Send sendFunction);

    /** @param all All other daemons. */
    void setDaemons(const std::vector<Keeper> &all)
    {
        this->keepers.setDaemons(all);
    }
    /** @brief Notes a stream whose first event has arrived, and tells its keepers. */
    void record(const StreamNote &note, Time now);
    /** @brief Finds out which version began a stream. @param onFound Called once, here or later, but not after the owner of the token has
     * let go of it. */
    void find(StreamKey stream, const std::shared_ptr<void> &token, OnFound onFound, Time now);
    void receive(const StreamMessage &message, const std::string &from, Time now);
    /** @brief Asks again, repeats corrections, gives up questions and forgets notes; called several times a second. */
    void tick(Time now);
    std::size_t noteCount() const
    {
        return this->notes.size();
    }

private:
    struct Waiting {
        std::weak_ptr<void> token;
        OnFound onFound;
    };
    struct Question {
        std::set<std::string> silent; ///< Addresses of those that have not answered.
        std::vector<Waiting> waiting;
        Time askedAt {0};
        bool isRepeated = false;
    };

    /** A note that makes a stream uncertain: a keeper that missed it would go on telling the version. */
    struct Correction {
        StreamNote note;
        int repetitions = 0; ///< That are left.
    };

    void settle(StreamKey stream, const StreamFinding &finding);

    Send send;
    StreamKeepers keepers;
    StreamNotes notes;
    std::map<StreamKey, Question> questions;
    std::vector<Correction> corrections;
};

}
