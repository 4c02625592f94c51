#include "process/platform_watcher.h"

namespace eelgrassnotch::process
{

PlatformWatcher::PlatformWatcher(PlatformStore &store, std::array<WatchedObject, 2> objects)
    : store(store)
    , objects(std::move(objects))
{
}

void PlatformWatcher::advance(bool isWanted)
{
    this->wanted = isWanted;
    for (std::size_t index = 0; isWanted && index < this->objects.size(); ++index) {
        if (!this->waiting[index]) {
            this->watch(index);
        }
    }
}

void PlatformWatcher::watch(std::size_t index)
{
    this->waiting[index] = true;
    ++this->callCount;
    const auto answered = [this, index, watcher = std::weak_ptr<bool>(this->alive)](const StoreAnswer &answer) {
        if (watcher.expired()) {
            return;
        }
        this->waiting[index] = false;
        if (answer.status != StoreStatus::Ok) {
            return;
        }
        this->objects[index].onAnswer(answer);
        if (this->wanted && !this->waiting[index]) {
            this->watch(index);
        }
    };
    this->store.watch(this->objects[index].key, this->objects[index].knownVersion(), answered);
}

}
