#include "emulator/platform.h"

#include <algorithm>

namespace eelgrassnotch::emulator
{

using process::StoreAnswer;
using process::StoreStatus;

namespace
{

constexpr Duration callTimeout = std::chrono::seconds(2);
constexpr Duration watchPeriod = std::chrono::seconds(5);

}

Platform::Platform(EventQueue &events)
    : events(events)
{
}

std::uint64_t Platform::put(const std::string &key, const std::string &value)
{
    this->objects[key] = {++this->lastVersion, value};
    this->wake(key);
    return this->lastVersion;
}

std::string Platform::value(const std::string &key) const
{
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? std::string() : found->second.value;
}

std::uint64_t Platform::version(const std::string &key) const
{
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? 0 : found->second.version;
}

std::size_t Platform::countWithPrefix(const std::string &prefix) const
{
    const auto matches = [&prefix](const auto &entry) { return entry.first.starts_with(prefix); };
    return static_cast<std::size_t>(std::count_if(this->objects.begin(), this->objects.end(), matches));
}

void Platform::wake(const std::string &key)
{
    const Object object = this->objects.at(key);
    for (auto position = this->watches.begin(); position != this->watches.end();) {
        if (position->key != key) {
            ++position;
            continue;
        }
        const process::PlatformStore::Callback callback = position->callback;
        position = this->watches.erase(position);
        callback({StoreStatus::Ok, object.version, object.value});
    }
}

PlatformClient::PlatformClient(Platform &platform, std::function<void(std::function<void()>)> deliver)
    : platform(platform)
    , deliver(std::move(deliver))
{
}

void PlatformClient::answer(const StoreAnswer &answer, const Callback &callback)
{
    this->deliver([answer, callback] { callback(answer); });
}

void PlatformClient::call(bool isWrite, const Effect &effect, const Callback &callback)
{
    ++this->platform.calls;
    if (this->cutOff || this->platform.outage) {
        this->platform.events.after(callTimeout, [this, callback] { this->answer({}, callback); });
        return;
    }
    this->platform.events.after(this->platform.delay, [this, isWrite, effect, callback] {
        const StoreAnswer result = effect();
        const bool isLost = isWrite && result.status == StoreStatus::Ok && this->platform.loseAnswers > 0;
        if (isLost) {
            --this->platform.loseAnswers;
            this->platform.events.after(callTimeout, [this, callback] { this->answer({}, callback); });
            return;
        }
        this->answer(result, callback);
    });
}

void PlatformClient::read(const std::string &key, Callback callback)
{
    const auto effect = [this, key]() -> StoreAnswer {
        const auto found = this->platform.objects.find(key);
        if (found == this->platform.objects.end()) {
            return {StoreStatus::NotFound, 0, ""};
        }
        return {StoreStatus::Ok, found->second.version, found->second.value};
    };
    this->call(false, effect, callback);
}

void PlatformClient::create(const std::string &key, const std::string &value, Callback callback)
{
    const auto effect = [this, key, value]() -> StoreAnswer {
        if (this->platform.objects.contains(key)) {
            return {StoreStatus::Conflict, 0, ""};
        }
        return {StoreStatus::Ok, this->platform.put(key, value), ""};
    };
    this->call(true, effect, callback);
}

void PlatformClient::update(const std::string &key, const std::string &value, std::uint64_t version, Callback callback)
{
    const auto effect = [this, key, value, version]() -> StoreAnswer {
        if (this->platform.version(key) != version) {
            return {StoreStatus::Conflict, 0, ""};
        }
        return {StoreStatus::Ok, this->platform.put(key, value), ""};
    };
    this->call(true, effect, callback);
}

void PlatformClient::remove(const std::string &key, std::uint64_t version, Callback callback)
{
    const auto effect = [this, key, version]() -> StoreAnswer {
        if (this->platform.version(key) != version) {
            return {StoreStatus::Conflict, 0, ""};
        }
        this->platform.objects.erase(key);
        return {StoreStatus::Ok, 0, ""};
    };
    this->call(true, effect, callback);
}

void PlatformClient::watch(const std::string &key, std::uint64_t knownVersion, Callback callback)
{
    ++this->platform.calls;
    if (this->cutOff || this->platform.outage) {
        this->platform.events.after(callTimeout, [this, callback] { this->answer({}, callback); });
        return;
    }
    const std::uint64_t version = this->platform.version(key);
    if (version != knownVersion) {
        const StoreAnswer news {StoreStatus::Ok, version, this->platform.value(key)};
        this->platform.events.after(this->platform.delay, [this, news, callback] { this->answer(news, callback); });
        return;
    }
    const std::uint64_t id = this->platform.nextWatch++;
    const auto onNews = [this, callback](const StoreAnswer &news) {
        if (this->cutOff) {
            this->answer({}, callback);
            return;
        }
        this->platform.events.after(this->platform.delay, [this, news, callback] { this->answer(news, callback); });
    };
    this->platform.watches.push_back({id, key, onNews});
    this->platform.events.after(watchPeriod, [this, id, knownVersion, callback] {
        const auto isThis = [id](const Platform::Watch &watch) { return watch.id == id; };
        if (std::erase_if(this->platform.watches, isThis) == 0) {
            return;
        }
        const bool reachable = !this->cutOff && !this->platform.outage;
        const StoreStatus status = !reachable ? StoreStatus::Unknown : knownVersion == 0 ? StoreStatus::NotFound : StoreStatus::Ok;
        this->answer({status, knownVersion, ""}, callback);
    });
}

}
