#include "process/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace eelgrassnotch::process
{

namespace
{

/** Raises a counter to a total that is kept elsewhere. */
void raiseTo(prometheus::Counter &counter, double total)
{
    const double missing = total - counter.Value();
    if (missing > 0) {
        counter.Increment(missing);
    }
}

}

struct Metrics::Families {
    prometheus::Registry registry;

    prometheus::Family<prometheus::Counter> &counter(const std::string &name, const std::string &help)
    {
        return prometheus::BuildCounter().Name("eelgrassnotch_" + name).Help(help).Register(this->registry);
    }
    prometheus::Family<prometheus::Gauge> &gauge(const std::string &name, const std::string &help)
    {
        return prometheus::BuildGauge().Name("eelgrassnotch_" + name).Help(help).Register(this->registry);
    }

    prometheus::Family<prometheus::Counter> &requests = this->counter("requests_total", "Requests taken from callers");
    prometheus::Family<prometheus::Counter> &answers = this->counter("answers_total", "Whole answers of backend servers");
    prometheus::Family<prometheus::Counter> &refusals = this->counter("refusals_total", "Refused requests by reason");
    prometheus::Family<prometheus::Counter> &earlyRefusals
        = this->counter("early_refusals_total", "Requests refused before admission, by reason");
    prometheus::Family<prometheus::Counter> &retries = this->counter("retries_total", "Retries by reason");
    prometheus::Family<prometheus::Counter> &claims = this->counter("claims_total", "Idempotency claims by outcome");
    prometheus::Family<prometheus::Counter> &links = this->counter("links_total", "Traffic and errors on the links between daemons");
    prometheus::Family<prometheus::Counter> &dispatch = this->counter("dispatch_total", "Decisions of this daemon's dispatchers");
    prometheus::Family<prometheus::Counter> &platform = this->counter("platform_calls_total", "Calls to the platform, a watch as one");
    prometheus::Family<prometheus::Counter> &unauthorized = this->counter("unauthorized_total", "Operator calls without the key");
    prometheus::Family<prometheus::Counter> &processor
        = this->counter("core_seconds_total", "Processor time of the core's thread in seconds");
    prometheus::Family<prometheus::Gauge> &state = this->gauge("state", "Sizes and versions inside the daemon");
};

Metrics::Metrics()
    : families(std::make_unique<Families>())
{
}

Metrics::~Metrics() = default;

void Metrics::update(const Node &node, const connection::LinkStats &links, std::uint64_t platformCalls, Duration processorTime)
{
    Families &all = *this->families;
    const RouterStats &router = node.router().stats();
    raiseTo(all.requests.Add({}), static_cast<double>(router.submitted));
    raiseTo(all.answers.Add({}), static_cast<double>(router.answered));
    for (std::size_t index = 0; index < router.refusals.size(); ++index) {
        const std::string reason(nameOf(static_cast<RefusalReason>(index)));
        raiseTo(all.refusals.Add({{"reason", reason}}), static_cast<double>(router.refusals[index]));
    }
    for (std::size_t index = 0; index < router.retries.size(); ++index) {
        const std::string reason(nameOf(static_cast<RetryReason>(index)));
        raiseTo(all.retries.Add({{"reason", reason}}), static_cast<double>(router.retries[index]));
    }
    const ClaimStats &claims = node.claims().stats();
    raiseTo(all.claims.Add({{"outcome", "granted"}}), static_cast<double>(claims.granted));
    raiseTo(all.claims.Add({{"outcome", "replayed"}}), static_cast<double>(claims.replayed));
    raiseTo(all.claims.Add({{"outcome", "refused"}}), static_cast<double>(claims.refused));
    raiseTo(all.claims.Add({{"outcome", "recovered"}}), static_cast<double>(claims.recovered));
    raiseTo(all.links.Add({{"kind", "bytes_sent"}}), static_cast<double>(links.bytesSent));
    raiseTo(all.links.Add({{"kind", "bytes_received"}}), static_cast<double>(links.bytesReceived));
    raiseTo(all.links.Add({{"kind", "frames_sent"}}), static_cast<double>(links.framesSent));
    raiseTo(all.links.Add({{"kind", "frames_dropped"}}), static_cast<double>(links.framesDropped));
    raiseTo(all.links.Add({{"kind", "bad_frames"}}), static_cast<double>(links.badFrames));
    raiseTo(all.links.Add({{"kind", "bad_keys"}}), static_cast<double>(links.badKeys));
    const NodeStats &core = node.stats();
    raiseTo(all.dispatch.Add({{"decision", "grant"}}), static_cast<double>(core.grants));
    raiseTo(all.dispatch.Add({{"decision", "deny"}}), static_cast<double>(core.denies));
    raiseTo(all.dispatch.Add({{"decision", "redirect"}}), static_cast<double>(core.redirects));
    raiseTo(all.dispatch.Add({{"decision", "takeover"}}), static_cast<double>(core.dispatcherTakeovers));
    raiseTo(all.platform.Add({}), static_cast<double>(platformCalls));
    raiseTo(all.processor.Add({}), std::chrono::duration<double>(processorTime).count());
    all.state.Add({{"of", "configuration_version"}}).Set(static_cast<double>(node.configuration().version()));
    all.state.Add({{"of", "requests"}}).Set(static_cast<double>(node.router().size()));
    all.state.Add({{"of", "members"}}).Set(static_cast<double>(node.membership().quorumMembers().size()));
}

void Metrics::countEarlyRefusal(RefusalReason reason)
{
    this->families->earlyRefusals.Add({{"reason", std::string(nameOf(reason))}}).Increment();
}

void Metrics::countUnauthorized()
{
    this->families->unauthorized.Add({}).Increment();
}

std::string Metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(this->families->registry.Collect());
}

}
