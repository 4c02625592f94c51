-- Guards against attempts that start on a draining backend server later than two seconds after the drain,
-- also when the dispatcher is killed meanwhile.
local world = require("world")
world.single{backends = 3}
local daemons = {"a1", "a2", "a3", "a4"}
arrivals{workspace = "large", service = "quote-writer", daemons = daemons, rate = 40, cost = 50, deadline = 10, lasting = 60}
run(20)
drain("writer-2", true)
run(2)
local starts = backendState("writer-2").starts
run(5)
kill((world.dispatcher("quote-writer", daemons)))
run(15)
local extra = backendState("writer-2").starts - starts
check(extra == 0, "no attempt starts on a draining backend server later than two seconds after the drain (" .. extra .. " starts)")
check(backendState("writer-2").active == 0, "its requests have ended")
check(summary().answered > 300, "the other backend servers go on serving")
