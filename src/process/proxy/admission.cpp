#include "process/proxy/admission.h"

#include <algorithm>

namespace eelgrassnotch::process::proxy
{

namespace
{

using namespace std::chrono_literals;

/** Parts of the latency target that the queue may take; the rest is for the prompt and the network. */
constexpr double queuePart = 0.65;
constexpr double queuePartOverGuaranteed = 0.15;
constexpr double queuePartOverServed = 0.05;
/** Between these multiples of its fair share, a workspace's part goes from the first to the second. */
constexpr double shareUnbound = 0.8;
constexpr double shareBound = 1.1;
/** Shortest time after which a refused caller is asked back. */
constexpr Duration shortestReturn = 150ms;
constexpr std::uint64_t spreadSteps = 1024;

/** Part of the target for a workspace that uses this multiple of its share. */
double queuePartAt(double shareUsed, double partOverShare)
{
    const double over = std::clamp((shareUsed - shareUnbound) / (shareBound - shareUnbound), 0.0, 1.0);
    return queuePart + (partOverShare - queuePart) * over;
}

}

AdmissionDecision decideAdmission(const AdmissionInput &input)
{
    const double part = std::min(queuePartAt(input.shareUsed.ofGuaranteed, queuePartOverGuaranteed),
                                 queuePartAt(input.shareUsed.ofServed, queuePartOverServed));
    const auto limit = Duration(static_cast<std::int64_t>(static_cast<double>(input.latencyTarget.count()) * part));
    if (input.isRepeat || input.latencyTarget == Duration(0) || input.queueDelay <= limit) {
        return {};
    }
    return {false, std::max(input.queueDelay - limit, shortestReturn)};
}

Duration spreadReturn(Duration comeBackAfter, std::uint64_t draw)
{
    const Duration least = std::max(comeBackAfter, shortestReturn);
    return least + Duration(least.count() * static_cast<std::int64_t>(draw % spreadSteps) / static_cast<std::int64_t>(spreadSteps));
}

}
