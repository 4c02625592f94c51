#include "process/engine/output_lengths.h"

#include <cmath>

namespace eelgrassnotch::process::engine
{

namespace
{

using namespace std::chrono_literals;

constexpr RobustCentre::Weights tokensPerEventWeights {0.0, 50.0};
/** Estimates are often wrong by large factors; the scale, a factor of 1.6, keeps the centre near the median. */
constexpr double tokensPerEventScale = 0.5;
/** Factor on older answers when one is added: the mean is over some 100 answers. */
constexpr double retained = 0.99;
/** Answers that the assumption of a right estimate counts for. */
constexpr double priorAnswers = 5.0;
constexpr Duration routeRetention = 10min;

}

void OutputLengths::record(const std::string &route, std::uint32_t hint, std::uint64_t events, Time now)
{
    if (hint == 0 || events == 0) {
        return;
    }
    const double estimate = hint;
    const double count = static_cast<double>(events);
    const auto [entry, isNew] = this->byRoute.try_emplace(route);
    RouteLengths &lengths = entry->second;
    const double logRatio = std::log(estimate / count);
    if (isNew) {
        lengths.logTokensPerEvent.add(logRatio, tokensPerEventWeights, std::abs(logRatio));
        lengths.hinted = estimate * priorAnswers;
        lengths.actual = lengths.hinted;
    } else {
        lengths.logTokensPerEvent.add(logRatio, tokensPerEventWeights, tokensPerEventScale);
    }
    lengths.hinted = lengths.hinted * retained + estimate;
    lengths.actual = lengths.actual * retained + count * std::exp(lengths.logTokensPerEvent.value());
    lengths.recordedAt = now;
}

double OutputLengths::expected(const std::string &route, std::optional<std::uint32_t> hint, std::uint32_t maxTokens) const
{
    if (!hint) {
        return maxTokens;
    }
    const auto known = this->byRoute.find(route);
    const double factor
        = known == this->byRoute.end() ? 1.0 : std::clamp(known->second.actual / known->second.hinted, minFactor, maxFactor);
    return std::min(*hint * factor, static_cast<double>(maxTokens));
}

void OutputLengths::removeUnusedRoutes(Time now)
{
    std::erase_if(this->byRoute, [now](const auto &entry) { return now - entry.second.recordedAt > routeRetention; });
}

}
