-- Guards against unfair scheduling when two backlogged workspaces send at unequal
-- rates: the gap between their served costs stays bounded, and the smaller one is served.
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
-- Bound: when the gap is read, each workspace may have requests of the maximum cost
-- in flight on every slot of the pool; the queue adds one request of that cost.
local slots, largest = 2 * 8 * 1.55 + 2, cost * 1.5
local bound = 2 * slots * largest + largest
print(string.format("  gap %.0f tokens, bound %.0f, served %d and %d", worst, bound, servedTo("large") - large, servedTo("small") - small))
check(worst <= bound, "the gap in served cost between two backlogged workspaces stays within its bound")
check(servedTo("small") - small > 0, "the small workspace is served")
check(summary().falseNotRun == 0, "no request refused as not run has been executed")
