-- Guards against overloading a cold backend server, after its start or after a restart
-- that it does not announce. One probing request above its capacity is allowed.
local world = require("world")
world.single{cold = 3, warmUp = 20, capacity = 8}
arrivals{workspace = "large", service = "quote-writer", daemons = {"a1", "a2", "a3", "a4"}, rate = 60, cost = 50, costSpread = 0.3, deadline = 10, lasting = 100}
run(30)
local probe = 1
local fresh = math.max(backendState("writer-1").worstExcess, backendState("writer-2").worstExcess)
fault{backend = "writer-1", restart = true, resetExcess = true}
run(0.1)
fault{backend = "writer-1", resetExcess = true}
run(40)
local again = backendState("writer-1").worstExcess
print(string.format("  excess %.2f requests when fresh, %.2f after turning cold, restarts %d", fresh, again, backendState("writer-1").restarts))
check(fresh <= probe, "a newly started backend server exceeds its capacity by at most one probing request")
check(again <= probe, "a backend server that turned cold exceeds its capacity by at most one probing request")
check(backendState("writer-1").restarts == 1 and backendState("writer-2").restarts == 0, "no backend server crashes from overload")
check(backendState("writer-1").active >= 8, "the limit grows while the backend server warms up")
