-- Guards against overload when a dispatcher's process is paused and resumes after its
-- leases have expired: another daemon dispatches by then, and its own grants must be void.
local world = require("world")
world.single{}
local daemons = {"a1", "a2", "a3", "a4"}
for _, daemon in ipairs(daemons) do
    arrivals{workspace = "large", service = "quote-writer", daemons = {daemon}, rate = 15, cost = 50, deadline = 10, lasting = 80}
end
run(20)
local first, others = world.dispatcher("quote-writer", daemons)
fault{backend = "writer-1", resetExcess = true}
fault{backend = "writer-2", resetExcess = true}
pause(first)
run(12)
local second = world.dispatcher("quote-writer", others)
check(second ~= nil, "another daemon dispatches during the pause")
resume(first)
run(8)
local excess = math.max(backendState("writer-1").worstExcess, backendState("writer-2").worstExcess)
print(string.format("  %s -> %s, excess %.2f requests", first, tostring(second), excess))
check(excess <= 1, "the resumed dispatcher's grants do not exceed the backend servers' capacity")
local active = 0
for _, daemon in ipairs(daemons) do
    active = active + (daemonState(daemon).dispatches["quote-writer"] and 1 or 0)
end
check(active == 1, "one dispatcher remains after the pause")
check(summary().falseNotRun == 0, "no request refused as not run has been executed")
