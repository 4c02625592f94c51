-- Guards against overload when a data centre is partitioned and neither side reaches the platform:
-- each side has a dispatcher, and together they stay within the backend servers' capacity.
local world = require("world")
world.single{}
local left, right = {"a1", "a2"}, {"a3", "a4"}
for _, daemon in ipairs{"a1", "a2", "a3", "a4"} do
    arrivals{workspace = "large", service = "quote-writer", daemons = {daemon}, rate = 15, cost = 50, deadline = 10, lasting = 120}
end
run(20)
cutFromPlatform({"a1", "a2", "a3", "a4"}, true)
fault{backend = "writer-1", resetExcess = true}
fault{backend = "writer-2", resetExcess = true}
cut(left, right)
local before = summary().answered
run(20)
local during = summary().answered - before
local leftOne = world.dispatcher("quote-writer", left)
local rightOne = world.dispatcher("quote-writer", right)
local excess = math.max(backendState("writer-1").worstExcess, backendState("writer-2").worstExcess)
print(string.format("  dispatchers %s and %s, %d answers in 20 s, excess %.2f requests", leftOne, rightOne, during, excess))
check(leftOne and rightOne, "each side has a dispatcher")
check(excess <= 1, "both sides together stay within the backend servers' capacity")
check(during >= 0.8 * 20 * 16, "both sides serve requests during the partition")
heal()
run(20)
excess = math.max(backendState("writer-1").worstExcess, backendState("writer-2").worstExcess)
local first = world.dispatcher("quote-writer", {"a1", "a2", "a3", "a4"})
check(first and daemonState(first).dispatches["quote-writer"] == 4, "one dispatcher serves all routers after the partition")
check(excess <= 1, "the end of the partition keeps the load within the backend servers' capacity")
check(summary().open < 300 and summary().falseNotRun == 0, "few requests are still open, and no request refused as not run has been executed")
