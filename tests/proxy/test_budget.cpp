/** @file Budgets of memory and descriptors, without a network. */

#include "process/budget/closing_order.h"
#include "process/budget/descriptor_budget.h"
#include "process/budget/memory_budget.h"
#include "process/budget/progress.h"

#include <doctest/doctest.h>

#include <vector>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process::budget;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t megabyte = std::size_t {1} << 20;
/** Body of the usual max_body_bytes and the copy that its attempt sends. */
constexpr std::size_t largestRequest = 8 * megabyte;

std::shared_ptr<MemoryBudget> makeBudget(std::uint64_t megabytes)
{
    return std::make_shared<MemoryBudget>(MemoryLimits::of(megabytes * megabyte));
}

std::vector<MemoryBudget::Holding> fill(const MemoryBudgetPtr &budget, WorkspaceHandle workspace, std::size_t bytes)
{
    std::vector<MemoryBudget::Holding> held;
    while (true) {
        MemoryBudget::Holding next(budget);
        next.assign(workspace);
        if (!next.reserve(bytes)) {
            return held;
        }
        held.push_back(std::move(next));
    }
}

}

// Guards against limits that a VM's memory can't hold, and against a VM that can't serve one request of max_body_bytes.
TEST_CASE("limits follow from the memory of the process, and hold one largest request")
{
    CHECK(MemoryLimits::of(0) == MemoryLimits::of(defaultMemoryLimit));
    for (const std::uint64_t megabytes : {32, 64, 88, 110, 260, 512}) {
        const MemoryLimits limits = MemoryLimits::of(megabytes * megabyte);
        CAPTURE(megabytes);
        CHECK((megabytes < 64 || limits.capacity + ownBytes <= megabytes * megabyte));
        CHECK(limits.perHolder < limits.shared);
        CHECK(limits.shared < limits.capacity);
        const auto budget = makeBudget(megabytes);
        MemoryBudget::Holding one(budget);
        CHECK(one.reserve(largestRequest));
    }
}

// Guards against one workspace, or a crowd without a key, that keeps all others out.
TEST_CASE("a workspace that takes all it can leaves room for another one, and both leave room for small requests")
{
    for (const std::uint64_t megabytes : {88, 110, 512}) {
        CAPTURE(megabytes);
        const auto budget = makeBudget(megabytes);
        const auto crowd = fill(budget, WorkspaceHandle(), megabyte);
        CHECK(budget->largeBytes(WorkspaceHandle()) <= budget->limits().perHolder);
        const auto others = fill(budget, handleOf<WorkspaceHandle>("w1"), megabyte);
        CHECK(!others.empty());
        CHECK(!fill(budget, handleOf<WorkspaceHandle>("w2"), smallHoldingBytes).empty());
        CHECK(budget->stats().heldBytes <= budget->limits().capacity);
    }
}

// Guards against bytes that stay counted after their connection has gone, and against a crowd of waiting requests that fills the small
// part.
TEST_CASE("holdings are given back, also when they are moved, and waiting ones leave the small part free")
{
    const auto budget = makeBudget(88);
    {
        auto held = fill(budget, handleOf<WorkspaceHandle>("w1"), megabyte);
        MemoryBudget::Holding moved = std::move(held.back());
        moved.assign(WorkspaceHandle());
        moved.set(3 * megabyte);
        held.clear();
        CHECK(budget->stats().heldBytes == 3 * megabyte);
        CHECK(budget->largeBytes(handleOf<WorkspaceHandle>("w1")) == 0);
        std::vector<MemoryBudget::Holding> waiting;
        bool fits = true;
        while (fits) {
            waiting.emplace_back(budget);
            fits = waiting.back().reserveWaiting(smallHoldingBytes);
        }
        MemoryBudget::Holding small(budget);
        CHECK(small.reserve(smallHoldingBytes));
        CHECK(budget->takeShortage() > 0);
        CHECK(budget->takeShortage() == 0);
    }
    CHECK(budget->stats().heldBytes == 0);
    CHECK(budget->largeBytes(WorkspaceHandle()) == 0);
}

// Guards against a connection that sends or takes a byte now and then, and so keeps what it holds.
TEST_CASE("a byte now and then is no progress")
{
    Progress trickle(0s);
    Progress steady(0s);
    for (int step = 1; step <= 50; ++step) {
        trickle.update(static_cast<std::uint64_t>(step), step * 100ms);
        steady.update(static_cast<std::uint64_t>(step) * progressBytes, step * 100ms);
    }
    CHECK(trickle.standstill(5s) == 5s);
    CHECK(steady.standstill(5s) == 0s);
}

// Guards against a sound connection that is closed in place of one that holds more for longer.
TEST_CASE("those that have held the most for the longest without progress are closed first")
{
    const std::vector<ClosingCandidate> candidates {
        {Activity::Receiving, 4 * megabyte, 100ms}, {Activity::Receiving, megabyte, 2s}, {Activity::Receiving, 4 * megabyte, 1s},
        {Activity::Waiting, 8 * megabyte, 9s},      {Activity::Writing, 1000, 3s},       {Activity::Idle, 2048, 9s},
    };
    CHECK(chooseForMemory(candidates, megabyte) == std::vector<std::size_t> {2});
    CHECK(chooseForMemory(candidates, 5 * megabyte) == std::vector<std::size_t> {2, 1});
    CHECK(chooseForMemory(candidates, 90 * megabyte) == std::vector<std::size_t> {2, 1, 4});
    CHECK_FALSE(isUntaken(candidates[4]));
    CHECK(isUntaken({Activity::Writing, 1000, untakenTime}));
}

// Guards against a request in progress that is closed for its descriptor, and against a full listener that lets nobody in.
TEST_CASE("idle connections give way first, those that stall next, and those that are served never")
{
    const std::vector<ClosingCandidate> candidates {
        {Activity::Idle, 2048, 1s},         {Activity::Idle, 2048, 9s},     {Activity::Receiving, 2048, 20s},
        {Activity::Receiving, 2048, 100ms}, {Activity::Waiting, 2048, 20s}, {Activity::Closing, 2048, 3s},
    };
    CHECK(chooseForDescriptors(candidates, 2) == std::vector<std::size_t> {1, 5});
    CHECK(chooseForDescriptors(candidates, 9) == std::vector<std::size_t> {1, 5, 0, 2});
    for (const std::uint32_t descriptors : {256u, 600u, 1024u, 4100u, 8192u}) {
        const DescriptorBudget budget = DescriptorBudget::of(descriptors);
        CHECK(budget.callers + 2 * budget.probes < descriptors);
    }
}
