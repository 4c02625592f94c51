#include "fleet/configuration_checker.h"

#include <algorithm>

namespace fleet
{

namespace
{

constexpr unsigned statusOk = 200;
constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusNotFound = 404;

bool isChecked(unsigned status)
{
    return status == statusOk || status == statusUnauthorized || status == statusNotFound;
}

std::string describe(const char *what, const Observation &observation, Moment origin)
{
    const auto since = [origin](Moment moment) { return std::to_string(std::chrono::duration_cast<Span>(moment - origin).count()); };
    return std::string(what) + " daemon=" + std::to_string(observation.daemon) + " incarnation=" + std::to_string(observation.incarnation)
        + " prefix=" + observation.prefix + " key=" + observation.key + " status=" + std::to_string(observation.status)
        + " service=" + observation.service + " sent_ms=" + since(observation.sentAt) + " answered_ms=" + since(observation.answeredAt);
}

}

void ConfigurationChecker::recordSent(Version version)
{
    const std::lock_guard lock(this->mutex);
    version.acknowledgedAt = Moment::max();
    this->versions.push_back(std::move(version));
}

void ConfigurationChecker::recordAcknowledged(std::uint64_t number, Moment at)
{
    const std::lock_guard lock(this->mutex);
    const auto written
        = std::find_if(this->versions.begin(), this->versions.end(), [number](const Version &version) { return version.number == number; });
    written->acknowledgedAt = at;
}

void ConfigurationChecker::recordStoreDisturbance(Disturbance kind, Moment from, Moment to)
{
    const std::lock_guard lock(this->mutex);
    (kind == Disturbance::Mild ? this->mild : this->away).push_back({from, to});
}

void ConfigurationChecker::recordDaemonDisturbance(std::size_t daemon, Moment from, Moment to)
{
    const std::lock_guard lock(this->mutex);
    this->ofDaemons[daemon].push_back({from, to});
}

void ConfigurationChecker::record(const Observation &observation)
{
    const std::lock_guard lock(this->mutex);
    this->observations.push_back(observation);
}

std::size_t ConfigurationChecker::observationCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->observations.size();
}

std::size_t ConfigurationChecker::boundedCount() const
{
    const std::lock_guard lock(this->mutex);
    return static_cast<std::size_t>(
        std::count_if(this->observations.begin(), this->observations.end(),
                      [this](const Observation &observation) { return this->applyBound(observation) > Span(0); }));
}

bool ConfigurationChecker::overlaps(const std::vector<Interval> &intervals, Moment from, Moment to)
{
    return std::any_of(intervals.begin(), intervals.end(),
                       [from, to](const Interval &interval) { return interval.from <= to && interval.to >= from; });
}

Span ConfigurationChecker::applyBound(const Observation &observation) const
{
    const Moment from = observation.sentAt - this->bounds.contact - this->bounds.apply;
    if (const auto own = this->ofDaemons.find(observation.daemon);
        own != this->ofDaemons.end() && overlaps(own->second, from, observation.answeredAt)) {
        return Span(0);
    }
    if (overlaps(this->away, from - this->bounds.unstable, observation.answeredAt)) {
        return Span(0);
    }
    return overlaps(this->mild, from, observation.answeredAt) ? this->bounds.apply + this->bounds.unstable : this->bounds.apply;
}

bool ConfigurationChecker::isServable(const Version &version, const Observation &observation)
{
    return version.services.contains(observation.prefix) && version.keys.contains(observation.key);
}

std::map<std::size_t, Service> ConfigurationChecker::services() const
{
    const std::lock_guard lock(this->mutex);
    std::map<std::size_t, Service> found;
    for (const Observation &observation : this->observations) {
        const Span bound = this->applyBound(observation);
        if (bound == Span(0)) {
            continue;
        }
        bool isOwed = false;
        for (const Version &version : this->versions) {
            if (version.sentAt > observation.answeredAt) {
                break;
            }
            if (version.acknowledgedAt <= observation.sentAt - bound) {
                isOwed = true; // Earlier versions are out of force.
            }
            isOwed = isOwed && isServable(version, observation);
        }
        if (isOwed) {
            Service &service = found[observation.daemon];
            ++service.owed;
            service.served += observation.status == statusOk ? 1 : 0;
        }
    }
    return found;
}

bool ConfigurationChecker::isAllowed(const Version &version, const Observation &observation) const
{
    const auto route = version.services.find(observation.prefix);
    if (route == version.services.end()) {
        return observation.status == statusNotFound;
    }
    if (!version.keys.contains(observation.key)) {
        return observation.status == statusUnauthorized;
    }
    return observation.status == statusOk && observation.service == route->second;
}

std::vector<std::string> ConfigurationChecker::violations() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<Observation> ordered = this->observations;
    std::sort(ordered.begin(), ordered.end(), [](const Observation &left, const Observation &right) { return left.sentAt < right.sentAt; });
    const Moment origin = this->versions.empty() ? Moment() : this->versions.front().sentAt;
    std::vector<std::string> found;
    /** Oldest version that explains what a process has shown, with the time from which on older ones are a step back. */
    std::map<std::pair<std::size_t, std::size_t>, std::vector<std::pair<Moment, std::uint64_t>>> shown;
    for (const Observation &observation : ordered) {
        if (!isChecked(observation.status)) {
            continue;
        }
        std::vector<std::uint64_t> allowing;
        for (const Version &version : this->versions) {
            if (version.sentAt <= observation.answeredAt && this->isAllowed(version, observation)) {
                allowing.push_back(version.number);
            }
        }
        if (allowing.empty()) {
            found.push_back(describe("no version allows it:", observation, origin));
            continue;
        }
        const std::uint64_t newest = allowing.back();
        const Span bound = this->applyBound(observation);
        for (const Version &version : this->versions) {
            if (version.number <= newest || version.acknowledgedAt == Moment::max()) {
                continue;
            }
            if (bound > Span(0) && observation.sentAt > version.acknowledgedAt + bound) {
                found.push_back(describe(("only versions up to " + std::to_string(newest) + " allow it, and "
                                          + std::to_string(version.number) + " was acknowledged in time:")
                                             .c_str(),
                                         observation, origin));
                break;
            }
            const bool isRevoked = observation.status == statusOk && !version.keys.contains(observation.key);
            if (isRevoked && observation.sentAt > version.acknowledgedAt + this->bounds.revoke) {
                found.push_back(describe("the key was taken away:", observation, origin));
                break;
            }
        }
        auto &history = shown[{observation.daemon, observation.incarnation}];
        for (const auto &[since, number] : history) {
            if (newest < number && observation.sentAt > since) {
                found.push_back(describe(("a step back behind version " + std::to_string(number) + ":").c_str(), observation, origin));
                break;
            }
        }
        history.emplace_back(observation.answeredAt + this->bounds.rollback, allowing.front());
    }
    return found;
}

}
