/** @file Backend servers that announce in answers how many requests a second they accept from all daemons together. */

#include "proxy/daemon_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <mutex>

using namespace standin;

namespace
{

using Clock = std::chrono::steady_clock;

/** Window in which operators hold requests against an announced rate, and what they allow beyond it. */
constexpr double windowSeconds = 4.0;
constexpr double allowedOvershoot = 1.5;
constexpr double allowedSlack = 5.0;

double allowedInWindow(double rate)
{
    return allowedOvershoot * rate * windowSeconds + allowedSlack;
}

/** Answers with these header fields, and records when requests arrive. */
class AnnouncingBackend
{
public:
    explicit AnnouncingBackend(std::string announcedFields, std::chrono::milliseconds answerDelay = {})
        : fields(std::move(announcedFields))
        , delay(answerDelay)
    {
    }

    void setFields(std::string newFields)
    {
        const std::lock_guard lock(this->mutex);
        this->fields = std::move(newFields);
    }
    /** @returns the most requests that arrived within one window. */
    std::size_t mostInWindow() const
    {
        const std::lock_guard lock(this->mutex);
        std::size_t most = 0;
        for (auto first = this->arrivals.begin(); first != this->arrivals.end(); ++first) {
            const auto end = std::find_if(first, this->arrivals.end(), [first](Clock::time_point at) {
                return std::chrono::duration<double>(at - *first).count() >= windowSeconds;
            });
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }
    std::size_t received() const
    {
        const std::lock_guard lock(this->mutex);
        return this->arrivals.size();
    }

private:
    bool answer(Socket &socket, const Request &request)
    {
        std::string announced;
        {
            const std::lock_guard lock(this->mutex);
            this->arrivals.push_back(Clock::now());
            announced = this->fields;
        }
        std::this_thread::sleep_for(this->delay);
        const std::string whole = signedAnswer(request, "fine");
        const std::size_t firstLine = whole.find("\r\n") + 2;
        sendBytes(socket, whole.substr(0, firstLine) + announced + whole.substr(firstLine));
        return true;
    }

    mutable std::mutex mutex;
    std::string fields;
    std::chrono::milliseconds delay;
    std::vector<Clock::time_point> arrivals;

public:
    RawServer server {[this](Socket &socket, const Request &request) { return this->answer(socket, request); }};
};

/** Sends requests one after the other. @returns the answers' statuses. */
std::vector<unsigned> callFor(const DaemonFixture &fixture, std::chrono::milliseconds time)
{
    std::vector<unsigned> statuses;
    for (const auto until = Clock::now() + time; Clock::now() < until;) {
        statuses.push_back(fixture.call("/order/x", "q" + std::to_string(statuses.size())).result_int());
    }
    return statuses;
}

bool areAllServed(const std::vector<unsigned> &statuses)
{
    return std::all_of(statuses.begin(), statuses.end(), [](unsigned status) { return status == 200; });
}

/** Slow enough for placement to prefer a backend server that answers at once. */
constexpr auto lateAnswer = 60ms;

}

TEST_CASE("a backend server gets more requests than the rate limit that it announces")
{
    constexpr double rate = 4.0;
    AnnouncingBackend limited("Server-Limit: 4\r\n");
    AnnouncingBackend open("", lateAnswer);
    DaemonFixture fixture;
    fixture.startWith({&limited.server, &open.server});
    CHECK(areAllServed(callFor(fixture, 6s)));
    CHECK(static_cast<double>(limited.mostInWindow()) <= allowedInWindow(rate));
    // It still takes what it accepts.
    CHECK(static_cast<double>(limited.received()) >= 0.5 * rate * 6);
}
