/** @file Speed, committed memory and expected output of model engines, in replays without I/O or a clock. */

#include "process/directory/backend_server.h"
#include "process/engine/committed_memory.h"
#include "process/engine/engine_speed.h"
#include "process/engine/output_lengths.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>
#include <vector>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process;
using namespace eelgrassnotch::process::engine;
using namespace std::chrono_literals;

namespace
{

constexpr Time start = 100s;
const EngineSpeed constants {91.8, 55ms};

double milliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

Duration firstEventTime(const EngineSpeed &speed, double tokens)
{
    return speed.firstEventOverhead + speed.prefillTime(tokens);
}

struct ReplaySettings {
    EngineSpeed actual {74.8, 45ms};
    bool hasReports = true;
    double wronglyBelievedCached = 0.15; ///< Fraction of the prompts believed cached that are not.
    double wronglyBelievedUncached = 0.1; ///< Fraction of the prompts believed uncached that are cached.
    Duration length = 120s;
};

struct Errors {
    double median = 0; ///< In milliseconds.
    double p95 = 0; ///< The same.
};

Errors summarize(std::vector<double> errors)
{
    std::sort(errors.begin(), errors.end());
    return {errors[errors.size() / 2], errors[errors.size() * 95 / 100]};
}

/** What one daemon sees of 112 engines: a request to each every 5 s. */
class Replay
{
public:
    explicit Replay(const ReplaySettings &replaySettings)
        : settings(replaySettings)
        , disturbedUntil(engines.size())
        , nextDisturbance(engines.size())
    {
        for (Time &time : this->nextDisturbance) {
            time = this->now + this->exponential(3.4);
        }
        while (this->now < start + this->settings.length) {
            this->now += this->exponential(5.0 / static_cast<double>(this->engines.size()));
            this->deliverFirstEvents();
            this->sendRequest();
        }
    }

    static double slowdownOf(std::size_t index)
    {
        return index % 3 == 0 ? 1.3 : 1.0;
    }

    EngineSpeedModel model {constants};
    std::vector<EngineState> engines = std::vector<EngineState>(112);
    std::vector<double> before; ///< Errors of the compiled-in constants in the second half, in milliseconds.
    std::vector<double> after; ///< Errors of the model.
    std::vector<double> unavoidable; ///< Errors with each engine's exact undisturbed speed: disturbances, wrong beliefs and noise.
    Time now = start;

private:
    Duration exponential(double meanSeconds)
    {
        return Duration(std::llround(std::exponential_distribution<>(1.0 / meanSeconds)(this->random) * 1e6));
    }
    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(this->random);
    }

    double disturbance(std::size_t index)
    {
        while (this->nextDisturbance[index] <= this->now) {
            this->disturbedUntil[index] = this->nextDisturbance[index] + 600ms;
            this->nextDisturbance[index] = this->disturbedUntil[index] + this->exponential(3.4);
        }
        return this->now < this->disturbedUntil[index] ? 2.5 : 1.0;
    }

    /** Work that the daemon has sent and not seen the first event of. */
    struct Unfinished {
        std::size_t engine = 0;
        double believedTokens = 0;
        Duration taken {0};
        double disturbance = 1;
    };

    void deliverFirstEvents()
    {
        while (!this->unfinished.empty() && this->unfinished.begin()->first <= this->now) {
            const auto &[at, request] = *this->unfinished.begin();
            EngineState &engine = this->engines[request.engine];
            if (this->settings.hasReports) {
                EngineSpeedModel::recordReport(engine, request.disturbance, at);
            }
            this->model.recordFirstEvent(engine, {request.believedTokens, request.taken, 0ms, 0ms}, at);
            this->unfinished.erase(this->unfinished.begin());
        }
    }

    void sendRequest()
    {
        // Shared and own tokens of the long, middle and short prompts.
        constexpr std::array<std::array<double, 2>, 3> sizes {{{6300, 2890}, {568, 1800}, {172, 543}}};
        const std::size_t index = this->random() % this->engines.size();
        const auto &[shared, own] = sizes.at(std::discrete_distribution<std::size_t>({824, 901, 193})(this->random));
        const bool isBelievedCached = this->chance(0.7);
        const bool isWrong = this->chance(isBelievedCached ? this->settings.wronglyBelievedCached : this->settings.wronglyBelievedUncached);
        const double believed = isBelievedCached ? own : shared + own;
        const double read = isBelievedCached != isWrong ? own : shared + own;

        const double disturbed = this->disturbance(index);
        const double noise = std::lognormal_distribution<>(0, 0.05)(this->random);
        const Duration taken(
            std::llround(static_cast<double>(firstEventTime(this->settings.actual, read).count()) * slowdownOf(index) * disturbed * noise));
        const EngineState &engine = this->engines[index];
        if (this->now > start + this->settings.length / 2) {
            this->before.push_back(std::abs(milliseconds(taken - firstEventTime(constants, believed))));
            EngineSpeed exact = this->settings.actual;
            exact.prefillTokensPerMs /= slowdownOf(index);
            exact.firstEventOverhead = Duration(std::llround(static_cast<double>(exact.firstEventOverhead.count()) * slowdownOf(index)));
            this->unavoidable.push_back(std::abs(milliseconds(taken - firstEventTime(exact, believed))));
            this->after.push_back(std::abs(milliseconds(taken - firstEventTime(this->model.speed(engine, this->now), believed))));
        }
        this->unfinished.emplace(this->now + taken, Unfinished {index, believed, taken, disturbed});
    }

    ReplaySettings settings;
    std::mt19937 random {7};
    std::multimap<Time, Unfinished> unfinished; ///< By the time of their first events.
    std::vector<Time> disturbedUntil;
    std::vector<Time> nextDisturbance;
};

}

// Guards against changed decisions in deployments without reports of slowness and before the first observation.
TEST_CASE("an engine of which nothing is known has the starting values")
{
    const EngineSpeedModel model(constants);
    CHECK(model.speed(EngineState(), start) == constants);
}

// Guards against a speed that follows single observations, or leaves its bounds.
TEST_CASE("a first event moves an engine's factor by a bounded amount")
{
    EngineSpeedModel model(constants);
    EngineState engine;
    model.recordFirstEvent(engine, {918, 3 * 65ms, 0ms, 0ms}, start);
    // The distance log(3) is beyond the scale of 0.2, and the first observation counts as one of three.
    CHECK(engine.factor == doctest::Approx(std::exp(0.2 * 0.2 / std::log(3.0) / 3)).epsilon(0.001));
    for (int index = 0; index < 200; ++index) {
        model.recordFirstEvent(engine, {918, 100 * 65ms, 0ms, 0ms}, start + 1s);
    }
    CHECK(engine.factor <= EngineSpeedModel::maxFactor);
    CHECK(model.usual().prefillTokensPerMs >= constants.prefillTokensPerMs * EngineSpeedModel::minServiceRatio);
    CHECK(model.usual().firstEventOverhead <= 4 * constants.firstEventOverhead);
}

// Guards against a fit that diverges when all prompts have the same size, which leaves overhead and throughput undetermined.
TEST_CASE("prompts of a single size are predicted as observed")
{
    EngineSpeedModel model(constants);
    EngineState engine;
    for (int index = 0; index < 100000; ++index) {
        model.recordFirstEvent(engine, {918, index % 2 == 0 ? 90ms : 100ms, 0ms, 0ms}, start);
    }
    CHECK(milliseconds(firstEventTime(model.speed(engine, start), 918)) == doctest::Approx(95).epsilon(0.03));
    CHECK(milliseconds(firstEventTime(model.usual(), 918)) == doctest::Approx(95).epsilon(0.03));
}

// Guards against a queue that makes an engine look slow.
TEST_CASE("a first event behind a long predicted queue changes nothing")
{
    EngineSpeedModel model(constants);
    EngineState engine;
    model.recordFirstEvent(engine, {918, 400ms, 100ms, 2ms}, start);
    CHECK(model.speed(engine, start) == constants);
}

// Guards against decisions on reports that are older than the state that they describe.
TEST_CASE("a report of slowness fades within its lifetime, and the typical report remains")
{
    ReportedSlowness slowness;
    CHECK(slowness.current(start) == 1.0);
    for (int index = 0; index < 100; ++index) {
        slowness.record(1.0, start);
    }
    slowness.record(2.5, start);
    const double typical = slowness.typical();
    CHECK(typical < 1.01);
    CHECK(slowness.current(start) == doctest::Approx(2.5));
    CHECK(slowness.current(start + ReportedSlowness::reportLifetime / 2) == doctest::Approx((2.5 + typical) / 2));
    CHECK(slowness.current(start + ReportedSlowness::reportLifetime) == typical);
    slowness.dropOlderThan(start + 1ms);
    CHECK(slowness.current(start) == typical);
}

// Guards against a model that predicts worse than the constants, with few observations, disturbances and wrong cache beliefs.
TEST_CASE("predictions of the first event improve on the constants")
{
    for (const bool hasReports : {true, false}) {
        for (const EngineSpeed &actual : {EngineSpeed {74.8, 45ms}, EngineSpeed {91.8, 55ms}, EngineSpeed {30.6, 165ms}}) {
            ReplaySettings settings;
            settings.actual = actual;
            settings.hasReports = hasReports;
            const Replay replay(settings);
            const Errors before = summarize(replay.before);
            const Errors after = summarize(replay.after);
            const Errors unavoidable = summarize(replay.unavoidable);
            MESSAGE("tokens per ms " << actual.prefillTokensPerMs << " reports " << hasReports << ": median ms " << before.median << " -> "
                                     << after.median << ", p95 " << before.p95 << " -> " << after.p95 << ", with exact speeds "
                                     << unavoidable.median << " and " << unavoidable.p95 << "; learnt "
                                     << replay.model.usual().prefillTokensPerMs << " tokens per ms, overhead ms "
                                     << milliseconds(replay.model.usual().firstEventOverhead));
            CHECK(after.median < 0.6 * before.median);
            CHECK(after.median < 1.4 * unavoidable.median);
            CHECK(after.p95 < before.p95);
        }
    }
}

// Guards against wrong cache beliefs that make engines look slower or faster than they are.
TEST_CASE("wrong cache beliefs displace the estimates little")
{
    for (const auto &[believedCached, believedUncached] : {std::pair {0.3, 0.0}, std::pair {0.0, 0.3}}) {
        ReplaySettings settings;
        settings.wronglyBelievedCached = believedCached;
        settings.wronglyBelievedUncached = believedUncached;
        const Replay replay(settings);
        double sumOfSlow = 0;
        double sumOfOthers = 0;
        for (std::size_t index = 0; index < replay.engines.size(); ++index) {
            const double predicted = milliseconds(firstEventTime(replay.model.speed(replay.engines[index], replay.now + 1s), 2368));
            const double relative = predicted / milliseconds(firstEventTime(settings.actual, 2368));
            (Replay::slowdownOf(index) > 1 ? sumOfSlow : sumOfOthers) += relative;
        }
        MESSAGE("wrongly cached " << believedCached << ", wrongly uncached " << believedUncached << ": slow engines " << sumOfSlow / 38
                                  << " of 1.3, others " << sumOfOthers / 74 << " of 1");
        CHECK(sumOfSlow / 38 == doctest::Approx(1.3).epsilon(0.15));
        CHECK(sumOfOthers / 74 == doctest::Approx(1.0).epsilon(0.15));
    }
}

// Guards against a restarted engine that starts from the compiled-in constants, or keeps what its earlier incarnation was measured at.
TEST_CASE("a restarted engine starts with the speed of its service")
{
    const Replay replay({});
    const directory::BackendServer restarted(directory::BackendRecord(), 0);
    CHECK(replay.model.speed(restarted.engineState, replay.now) == replay.model.usual());
    CHECK(replay.model.usual().prefillTokensPerMs < 85);
}

// Guards against tokens that stay committed after the end of a request, and against a full engine that looks empty.
TEST_CASE("committed memory counts own requests and those of others")
{
    CommittedMemory memory;
    memory.begin(9000);
    memory.begin(1000);
    memory.setFromOthers(20000);
    CHECK(memory.ownCommitted() == 10000);
    CHECK(memory.committed() == 30000);
    CHECK(memory.free(100000) == doctest::Approx(65000));
    CHECK(memory.free(10000) == 0);
    memory.end(9000);
    memory.end(1000);
    memory.setFromOthers(0);
    CHECK(memory.committed() == 0);
}

// Guards against memory that is planned by the estimates alone, when a tenth of the answers are ten times as long.
TEST_CASE("expected output is the estimate times the learnt mean error, at most the maximum")
{
    OutputLengths lengths;
    CHECK(lengths.expected("chat", 60, 4096) == 60);
    CHECK(lengths.expected("chat", std::nullopt, 4096) == 4096);
    for (int index = 1; index <= 500; ++index) {
        lengths.record("chat", 60, index % 10 == 0 ? 100 : 10, start);
    }
    // The mean is 0.9 x 1 + 0.1 x 10 times the estimate.
    CHECK(lengths.expected("chat", 60, 4096) == doctest::Approx(60 * 1.9).epsilon(0.15));
    CHECK(lengths.expected("chat", 60, 80) == 80);
    CHECK(lengths.expected("other", 60, 4096) == 60);
    lengths.removeUnusedRoutes(start + 1h);
    CHECK(lengths.expected("chat", 60, 4096) == 60);
}

// Guards against a disturbed application backend server that is expected to take the usual time, and against changes without reports.
TEST_CASE("the expected time of an application request follows the reported slowness")
{
    directory::BackendServer backend(directory::BackendRecord(), 0);
    backend.recordServiceTime(60ms, start, start);
    const Duration unreported = backend.expectedServiceTime(start);
    CHECK(unreported == Duration(static_cast<std::int64_t>(backend.serviceTime.value(start))));
    backend.engineState.slowness.record(2.0, start);
    CHECK(backend.expectedServiceTime(start) == 2 * unreported);
}
