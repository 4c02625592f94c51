#include "process/engine/engine_speed.h"

#include <cmath>

namespace eelgrassnotch::process::engine
{

namespace
{

constexpr double microsecondsPerMs = 1000.0;
/** Weights of an engine's observations, which arrive every few seconds. Half of the difference between engines counts after two. */
constexpr RobustCentre::Weights factorWeights {2.0, 30.0};
/** Variances of the fit for the service, as squared logarithms: of one observation (noise and the differences between engines), of the
 * starting values, and their growth with each observation. Old observations lose half of their weight within some hundred new ones. */
constexpr double observationVariance = 0.15 * 0.15;
constexpr double startVariance = 0.4 * 0.4;
constexpr double driftVariance = 0.001 * 0.001;
/**
 * Distances up to twice the median distance count in full. The median moves by this fraction with each observation: from the largest scale
 * to the smallest in some 120 of them.
 */
constexpr double scaleOverMedian = 2.0;
constexpr double medianStep = 0.02;
/** Bounds of the median distance, as logarithms: noise of 5%, and engines of a third of the assumed speed. */
constexpr double minMedianDistance = 0.05;
constexpr double maxMedianDistance = 0.6;
/** Shortest time that counts: the logarithm of shorter ones says nothing. */
constexpr double minMicroseconds = 1000.0;

double microseconds(Duration duration)
{
    return static_cast<double>(duration.count());
}

double bounded(double value, double start)
{
    return std::clamp(value, start * EngineSpeedModel::minServiceRatio, start * EngineSpeedModel::maxServiceRatio);
}

}

EngineSpeedModel::EngineSpeedModel(const EngineSpeed &start)
    : initial(start)
    , tokensPerMs(start.prefillTokensPerMs)
    , overheadMicroseconds(microseconds(start.firstEventOverhead))
    , overheadVariance(startVariance)
    , prefillVariance(startVariance)
{
}

void EngineSpeedModel::recordFirstEvent(EngineState &engine, const FirstEvent &event, Time now)
{
    const Time sentAt = now - event.sinceSent;
    // The report in the same answer tells how slow the observed work was.
    const double slowness = engine.slowness.reportSince(sentAt).value_or(engine.slowness.typical());
    engine.slowness.dropOlderThan(sentAt);
    if (event.predictedQueue > maxQueue) {
        return;
    }
    const double prefill = event.uncachedTokens / this->tokensPerMs * microsecondsPerMs;
    const double expected = this->overheadMicroseconds + prefill;
    const double taken = std::max(microseconds(event.sinceSent - event.predictedQueue - event.roundTrip), minMicroseconds);
    const double sample = std::log(taken / (expected * slowness));

    const double scale = scaleOverMedian * this->medianDistance;
    engine.logFactor.add(sample, factorWeights, scale);
    engine.factor = std::clamp(std::exp(engine.logFactor.value()), minFactor, maxFactor);

    const double growth = std::exp(std::abs(sample) > this->medianDistance ? medianStep : -medianStep);
    this->medianDistance = std::clamp(this->medianDistance * growth, minMedianDistance, maxMedianDistance);

    this->fitService(sample, scale, prefill, expected);
}

void EngineSpeedModel::fitService(double distance, double scale, double prefill, double expected)
{
    const double overheadShare = this->overheadMicroseconds / expected;
    const double prefillShare = prefill / expected;
    const double counted = influence(distance, scale);
    // An outlier counts as a noisier observation, so that it doesn't make the values look more certain either.
    const double noise = distance == 0 ? observationVariance : observationVariance * distance / counted;
    if (this->overheadVariance < startVariance && this->prefillVariance < startVariance) {
        // Both or neither, so that the covariance stays within its bound.
        this->overheadVariance += driftVariance;
        this->prefillVariance += driftVariance;
    }
    const double overheadCorrelation = this->overheadVariance * overheadShare + this->covariance * prefillShare;
    const double prefillCorrelation = this->covariance * overheadShare + this->prefillVariance * prefillShare;
    const double total = overheadShare * overheadCorrelation + prefillShare * prefillCorrelation + noise;
    const double overheadGain = overheadCorrelation / total;
    const double prefillGain = prefillCorrelation / total;
    this->overheadVariance -= overheadGain * overheadCorrelation;
    this->prefillVariance -= prefillGain * prefillCorrelation;
    this->covariance -= overheadGain * prefillCorrelation;
    this->overheadMicroseconds
        = bounded(this->overheadMicroseconds * std::exp(overheadGain * distance), microseconds(this->initial.firstEventOverhead));
    this->tokensPerMs = bounded(this->tokensPerMs * std::exp(-prefillGain * distance), this->initial.prefillTokensPerMs);
}

}
