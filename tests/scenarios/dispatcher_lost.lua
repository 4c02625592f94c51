-- Guards against overload and outage when a dispatcher is lost: first its process is killed, then the
-- VM of its successor disappears. The next one takes over the slots in use from the routers.
local world = require("world")
world.single{}
local daemons = {"a1", "a2", "a3", "a4"}
for _, daemon in ipairs(daemons) do
    arrivals{workspace = "large", service = "quote-writer", daemons = {daemon}, rate = 15, cost = 100, costSpread = 0.3, deadline = 15, lasting = 100}
end
run(25)
fault{backend = "writer-1", resetExcess = true}
fault{backend = "writer-2", resetExcess = true}
local first = world.dispatcher("quote-writer", daemons)
kill(first)
local before = summary().answered
run(10)
local second, others = world.dispatcher("quote-writer", daemons)
local afterKill = summary().answered - before
local excessKill = math.max(backendState("writer-1").worstExcess, backendState("writer-2").worstExcess)
print(string.format("  %s -> %s, %d answers in 10 s, excess %.2f requests", first, second, afterKill, excessKill))
check(second and second ~= first, "another daemon dispatches after the kill")
check(excessKill <= 1, "the takeover keeps the load within the backend servers' capacity")
check(afterKill >= 0.8 * 10 * 8, "requests are served after the kill")

restart(first)
run(20)
fault{backend = "writer-1", resetExcess = true}
fault{backend = "writer-2", resetExcess = true}
local third = world.dispatcher("quote-writer", daemons)
vanish(third)
publishVms()
before = summary().answered
run(15)
local fourth = world.dispatcher("quote-writer", daemons)
local excessVanish = math.max(backendState("writer-1").worstExcess, backendState("writer-2").worstExcess)
print(string.format("  %s -> %s, %d answers in 15 s, excess %.2f requests", third, tostring(fourth), summary().answered - before, excessVanish))
check(fourth and fourth ~= third, "another daemon dispatches after the VM has disappeared")
check(excessVanish <= 1, "the takeover after the VM has disappeared keeps the load within the backend servers' capacity")
check(summary().answered - before >= 0.6 * 15 * 8, "requests are served after the VM has disappeared")
check(summary().falseNotRun == 0, "no request refused as not run has been executed")
