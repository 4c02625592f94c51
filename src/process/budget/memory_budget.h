#pragma once

/** @file One budget for all bytes that a daemon holds for others; decides, and does no I/O. */

#include "eelgrassnotch/types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace eelgrassnotch::process::budget
{

/** Memory limit of a process whose settings name none, in bytes: that of the smallest VM. */
constexpr std::uint64_t defaultMemoryLimit = 88u << 20;
/** Bytes that the process itself needs: code, state of a fleet of the target size, log queue, and blocks that the allocator has not
 * returned. */
constexpr std::uint64_t ownBytes = 36u << 20;
/** Part of the rest for bytes held here; the kernel's receive buffers of a crowd take the other part. */
constexpr double heldFraction = 0.75;
/** Least capacity, in bytes: one body of the usual max_body_bytes with its copy still fits into its shared part. */
constexpr std::uint64_t minCapacity = 12u << 20;
/** Part of the capacity that holdings beyond their small part may fill; the rest stays free for small requests. */
constexpr double sharedFraction = 0.75;
/** Part of the shared bytes that one workspace, or all requests without a key, may hold. */
constexpr double holderFraction = 0.5;
/** A holding of up to this many bytes counts as small: a head with the most fields that are accepted, and the body of a common prompt. */
constexpr std::size_t smallHoldingBytes = 64u << 10;

/** @brief Whether the limit of its workspace applies to a holding. */
enum class Ownership {
    OfWorkspace, ///< A request; one without a key belongs to the invalid handle.
    OfNone, ///< An answer: its request was admitted.
};

/** @brief Limits that follow from the memory limit of a process, in bytes. */
struct MemoryLimits {
    std::size_t capacity = 0; ///< All holdings together.
    std::size_t shared = 0; ///< All holdings beyond their small parts together, the small ones included.
    std::size_t perHolder = 0; ///< Of one workspace, beyond small parts.

    /** @param memoryLimit Of the process, in bytes; zero means the default. */
    static MemoryLimits of(std::uint64_t memoryLimit);
    bool operator==(const MemoryLimits &) const = default;
};

/** @brief What the budget has counted. */
struct MemoryStats {
    std::size_t heldBytes = 0;
    std::size_t peakBytes = 0; ///< The most that was held at once.
    std::uint64_t refusals = 0; ///< Reservations that did not fit.

    bool operator==(const MemoryStats &) const = default;
};

/**
 * @brief Counts the bytes that connections, requests and answers hold, and says which may grow.
 * @remarks Not thread-safe; holdings keep the budget alive.
 */
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget>
{
public:
    /** @brief Bytes of one connection, request or answer; given back by the destructor. */
    class Holding
    {
    public:
        Holding() = default;
        explicit Holding(std::shared_ptr<MemoryBudget> memoryBudget, Ownership holdingOwnership = Ownership::OfWorkspace);
        ~Holding();
        Holding(Holding &&other) noexcept;
        Holding &operator=(Holding &&other) noexcept;
        Holding(const Holding &) = delete;
        Holding &operator=(const Holding &) = delete;

        /** @brief Names whose bytes these are. @param workspace Invalid for requests without a key. */
        void assign(WorkspaceHandle workspace);
        /** @brief Changes the number of bytes if the limits allow it; fewer are always allowed. @returns whether it was changed. */
        bool tryReserve(std::size_t bytes);
        /** @brief The same, and counts what doesn't fit as a shortage. */
        bool reserve(std::size_t bytes);
        /** @brief The same for bytes that only wait for room: they leave the small requests' part free. */
        bool reserveWaiting(std::size_t bytes);
        /** @brief Changes the number of bytes, whatever the limits say. */
        void set(std::size_t bytes);
        std::size_t bytes() const
        {
            return this->heldBytes;
        }

    private:
        friend class MemoryBudget;

        std::shared_ptr<MemoryBudget> budget;
        std::size_t heldBytes = 0;
        WorkspaceHandle workspace;
        Ownership ownership = Ownership::OfWorkspace;
    };

    explicit MemoryBudget(const MemoryLimits &memoryLimits);

    const MemoryLimits &limits() const
    {
        return this->memoryLimits;
    }
    const MemoryStats &stats() const
    {
        return this->counted;
    }
    /** @returns bytes that a workspace holds beyond small parts. */
    std::size_t largeBytes(WorkspaceHandle workspace) const;
    /** @returns bytes that did not fit since the last call. */
    std::size_t takeShortage();
    /** @returns whether more is held than the capacity, as set() allows. */
    bool isOverCapacity() const
    {
        return this->counted.heldBytes > this->memoryLimits.capacity;
    }

private:
    bool fits(const Holding &holding, std::size_t after) const;
    void change(const Holding &holding, std::size_t after);

    MemoryLimits memoryLimits;
    MemoryStats counted;
    std::unordered_map<std::uint32_t, std::size_t> largeByWorkspace;
    std::size_t totalLarge = 0; ///< Beyond small parts, of all.
    std::size_t shortage = 0;
};

using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

}
