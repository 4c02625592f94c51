-- Guards against idle backend servers while requests wait: limits that are too low or
-- slots that are granted late lower the utilization.
local world = require("world")
world.single{}
for _, daemon in ipairs{"a1", "a2", "a3", "a4"} do
    arrivals{workspace = "large", service = "quote-writer", daemons = {daemon}, rate = 10, cost = 50, costSpread = 0.5, deadline = 15, lasting = 100}
    arrivals{workspace = "small", service = "quote-writer", daemons = {daemon}, rate = 5, cost = 50, costSpread = 0.5, deadline = 15, lasting = 100}
end
run(30)
local before = backendState("writer-1").completedCost + backendState("writer-2").completedCost
run(60)
local rate = (backendState("writer-1").completedCost + backendState("writer-2").completedCost - before) / 60
print(string.format("  %.1f tokens/s of 800", rate))
check(rate >= 0.98 * 800, "at least 98% of the capacity is in use while requests wait")
