#pragma once

/** @file One immutable value that many threads read while it is replaced. */

#include <urcu-bp.h>

#include <functional>
#include <memory>
#include <utility>

namespace eelgrassnotch::process
{

/**
 * @brief Read-copy-update cell: readers take no lock and never wait.
 * @tparam Value Immutable value.
 */
template <class Value>
class Published
{
public:
    Published() = default;
    ~Published()
    {
        this->publish(nullptr);
    }
    Published(const Published &) = delete;
    Published &operator=(const Published &) = delete;

    /** @brief Replaces the value; returns when no reader sees the old one any more. */
    void publish(std::unique_ptr<Value> value)
    {
        Value *old = rcu_xchg_pointer(&this->current, value.release());
        if (old != nullptr) {
            urcu_bp_synchronize_rcu();
            delete old;
        }
    }

    /**
     * @brief Calls a function with the value while it is kept alive.
     * @param reader Called with a pointer to the value, null before the first publish(); must not block.
     */
    template <class Reader>
    auto read(Reader &&reader) const
    {
        const ReadSection section;
        const Value *value = rcu_dereference(const_cast<Value *&>(this->current));
        return std::forward<Reader>(reader)(value);
    }

private:
    struct ReadSection {
        ReadSection()
        {
            urcu_bp_read_lock();
        }
        ~ReadSection()
        {
            urcu_bp_read_unlock();
        }
        ReadSection(const ReadSection &) = delete;
        ReadSection &operator=(const ReadSection &) = delete;
    };

    Value *current = nullptr;
};

}
