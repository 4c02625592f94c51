-- Guards against charging a workspace only for the cost served locally: the other workspace,
-- backlogged in one data centre only, must get a larger part there to even out both totals.
local world = require("world")
dataCentre{name = "auckland", region = "north", daemons = {"a1", "a2"}}
dataCentre{name = "wellington", region = "north", daemons = {"w1", "w2"}}
service{name = "quote-writer"}
backend{service = "quote-writer", name = "writer-auckland", dataCentre = "auckland", capacity = 8}
backend{service = "quote-writer", name = "writer-wellington", dataCentre = "wellington", capacity = 8}
workspace{name = "large", share = 1}
workspace{name = "small", share = 1}
start()
run(4)

local cost = 50
arrivals{workspace = "large", service = "quote-writer", daemons = {"a1", "a2"}, rate = 30, cost = cost, deadline = 20, lasting = 80}
arrivals{workspace = "large", service = "quote-writer", daemons = {"w1", "w2"}, rate = 30, cost = cost, deadline = 20, lasting = 80}
arrivals{workspace = "small", service = "quote-writer", daemons = {"a1", "a2"}, rate = 20, cost = cost, deadline = 20, lasting = 80}
run(20)
local large, small, worst = servedTo("large"), servedTo("small"), 0
for _ = 1, 60 do
    run(1)
    worst = math.max(worst, math.abs((servedTo("large") - large) - (servedTo("small") - small)))
end
-- Bound: requests of the maximum cost in flight on every slot of both pools for each
-- workspace, plus what one pool serves during the digest period and the link delay.
local slots = 2 * 12
local bound = 2 * slots * cost + 1.2 * 8 / 0.02 + cost
print(string.format("  gap %.0f tokens, bound %.0f, served %d and %d", worst, bound, servedTo("large") - large, servedTo("small") - small))
check(worst <= bound, "the gap in served cost summed over the data centres stays within its bound")
