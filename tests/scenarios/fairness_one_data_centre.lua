-- The service gap between two backlogged workspaces stays bounded, however
-- unevenly they flood the daemons, and the small one does not starve.
local world = require("world")
world.single{}

local cost, lasting = 50, 60
arrivals{workspace = "large", service = "quote-writer", daemons = {"a1", "a2", "a3"}, rate = 60, cost = cost, costSpread = 0.5, deadline = 20, lasting = lasting}
arrivals{workspace = "small", service = "quote-writer", daemons = {"a4"}, rate = 20, cost = cost, costSpread = 0.5, deadline = 20, lasting = lasting}
run(15)
local large, small = servedTo("large"), servedTo("small")
local worst = 0
for _ = 1, 45 do
    run(1)
    local gap = math.abs((servedTo("large") - large) - (servedTo("small") - small))
    worst = math.max(worst, gap)
end
-- Bound: both workspaces may have every slot of the pool in flight at the
-- largest cost when the gap is read, plus one largest cost of the queue.
local slots, largest = 2 * 8 * 1.55 + 2, cost * 1.5
local bound = 2 * slots * largest + largest
print(string.format("  gap %.0f tokens, bound %.0f, served %d and %d", worst, bound, servedTo("large") - large, servedTo("small") - small))
check(worst <= bound, "the gap between two backlogged workspaces stays within its bound")
check(servedTo("small") - small > 0, "the small workspace does not starve")
check(summary().falseNotRun == 0, "every refusal that says not run is true")
