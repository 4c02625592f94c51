#include "ctl/platform_access.h"

#include "process/node.h"

#include <nlohmann/json.hpp>

#include <future>

namespace eelgrassnotch::ctl
{

using process::StoreAnswer;
using process::StoreStatus;

PlatformAccess::PlatformAccess(const process::Endpoint &platform)
    : store(platform, [](const std::function<void()> &task) { task(); })
{
}

StoreAnswer PlatformAccess::wait(const Call &call)
{
    const auto promise = std::make_shared<std::promise<StoreAnswer>>();
    call([promise](const StoreAnswer &answer) { promise->set_value(answer); });
    return promise->get_future().get();
}

CurrentConfiguration PlatformAccess::readConfiguration()
{
    const StoreAnswer answer = wait([this](const auto &callback) { this->store.read(process::configurationKey, callback); });
    if (answer.status == StoreStatus::NotFound) {
        return {};
    }
    if (answer.status != StoreStatus::Ok) {
        throw std::runtime_error("the platform does not answer");
    }
    return {answer.version, version::parseConfiguration(answer.value)};
}

ApplyOutcome PlatformAccess::apply(const version::Plan &plan)
{
    version::Configuration target = plan.target;
    target.operation = plan.operation;
    const std::string document = version::toJson(target).dump();
    const StoreAnswer answer = wait([&](const auto &callback) {
        if (plan.basis == 0) {
            this->store.create(process::configurationKey, document, callback);
        } else {
            this->store.update(process::configurationKey, document, plan.basis, callback);
        }
    });
    return answer.status == StoreStatus::Ok ? ApplyOutcome::Applied : this->recognize(plan);
}

/** After a refusal or a lost answer: is this very operation in force? */
ApplyOutcome PlatformAccess::recognize(const version::Plan &plan)
{
    try {
        const CurrentConfiguration current = this->readConfiguration();
        if (current.value.operation == plan.operation) {
            return ApplyOutcome::AlreadyApplied;
        }
        return current.version == plan.basis ? ApplyOutcome::Unknown : ApplyOutcome::Conflict;
    } catch (const std::runtime_error &) {
        return ApplyOutcome::Unknown;
    }
}

}
