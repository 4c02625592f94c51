#include "process/budget/memory_budget.h"

#include <algorithm>
#include <utility>

namespace eelgrassnotch::process::budget
{

namespace
{

std::size_t partOf(std::uint64_t bytes, double fraction)
{
    return static_cast<std::size_t>(static_cast<double>(bytes) * fraction);
}

/** Bytes of a holding beyond its small part. */
std::size_t largePart(std::size_t bytes)
{
    return bytes > smallHoldingBytes ? bytes - smallHoldingBytes : 0;
}

}

MemoryLimits MemoryLimits::of(std::uint64_t memoryLimit)
{
    const std::uint64_t limit = memoryLimit == 0 ? defaultMemoryLimit : memoryLimit;
    const std::uint64_t left = limit > ownBytes ? limit - ownBytes : 0;
    MemoryLimits limits;
    limits.capacity = std::max(partOf(left, heldFraction), static_cast<std::size_t>(minCapacity));
    limits.shared = partOf(limits.capacity, sharedFraction);
    limits.perHolder = partOf(limits.shared, holderFraction);
    return limits;
}

MemoryBudget::MemoryBudget(const MemoryLimits &limitsOfMemory)
    : memoryLimits(limitsOfMemory)
{
}

std::size_t MemoryBudget::largeBytes(WorkspaceHandle workspace) const
{
    const auto found = this->largeByWorkspace.find(workspace.id);
    return found == this->largeByWorkspace.end() ? 0 : found->second;
}

std::size_t MemoryBudget::takeShortage()
{
    return std::exchange(this->shortage, 0);
}

bool MemoryBudget::fits(const Holding &holding, std::size_t after) const
{
    const std::size_t total = this->counted.heldBytes - holding.heldBytes + after;
    const std::size_t large = largePart(after);
    const std::size_t largeBefore = largePart(holding.heldBytes);
    // A single large request is served when it is the only one, also where max_body_bytes is large for the VM.
    if (large == 0 || this->totalLarge == largeBefore) {
        return total <= this->memoryLimits.capacity;
    }
    if (total > this->memoryLimits.shared) {
        return false;
    }
    if (holding.ownership == Ownership::OfNone) {
        return true;
    }
    const std::size_t ofOthers = this->largeBytes(holding.workspace) - largeBefore;
    return ofOthers == 0 || ofOthers + large <= this->memoryLimits.perHolder;
}

void MemoryBudget::change(const Holding &holding, std::size_t after)
{
    this->counted.heldBytes = this->counted.heldBytes - holding.heldBytes + after;
    this->counted.peakBytes = std::max(this->counted.peakBytes, this->counted.heldBytes);
    const std::size_t was = largePart(holding.heldBytes);
    const std::size_t is = largePart(after);
    if (was == is) {
        return;
    }
    this->totalLarge = this->totalLarge - was + is;
    if (holding.ownership == Ownership::OfWorkspace) {
        std::size_t &large = this->largeByWorkspace[holding.workspace.id];
        large = large - was + is;
        if (large == 0) {
            this->largeByWorkspace.erase(holding.workspace.id);
        }
    }
}

MemoryBudget::Holding::Holding(std::shared_ptr<MemoryBudget> memoryBudget, Ownership holdingOwnership)
    : budget(std::move(memoryBudget))
    , ownership(holdingOwnership)
{
}

MemoryBudget::Holding::~Holding()
{
    this->set(0);
}

MemoryBudget::Holding::Holding(Holding &&other) noexcept
    : budget(std::move(other.budget))
    , heldBytes(std::exchange(other.heldBytes, 0))
    , workspace(other.workspace)
    , ownership(other.ownership)
{
}

MemoryBudget::Holding &MemoryBudget::Holding::operator=(Holding &&other) noexcept
{
    if (this != &other) {
        this->set(0);
        this->budget = std::move(other.budget);
        this->heldBytes = std::exchange(other.heldBytes, 0);
        this->workspace = other.workspace;
        this->ownership = other.ownership;
    }
    return *this;
}

void MemoryBudget::Holding::assign(WorkspaceHandle newWorkspace)
{
    if (newWorkspace == this->workspace) {
        return;
    }
    const std::size_t bytes = this->heldBytes;
    this->set(0);
    this->workspace = newWorkspace;
    this->set(bytes);
}

bool MemoryBudget::Holding::tryReserve(std::size_t bytes)
{
    if (this->budget && bytes > this->heldBytes && !this->budget->fits(*this, bytes)) {
        return false;
    }
    this->set(bytes);
    return true;
}

bool MemoryBudget::Holding::reserve(std::size_t bytes)
{
    if (!this->tryReserve(bytes)) {
        ++this->budget->counted.refusals;
        this->budget->shortage += bytes - this->heldBytes;
        return false;
    }
    return true;
}

bool MemoryBudget::Holding::reserveWaiting(std::size_t bytes)
{
    if (this->budget && bytes > this->heldBytes
        && this->budget->counted.heldBytes - this->heldBytes + bytes > this->budget->memoryLimits.shared) {
        ++this->budget->counted.refusals;
        return false;
    }
    this->set(bytes);
    return true;
}

void MemoryBudget::Holding::set(std::size_t bytes)
{
    if (this->budget && bytes != this->heldBytes) {
        this->budget->change(*this, bytes);
    }
    this->heldBytes = bytes;
}

}
