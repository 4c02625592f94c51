-- Links between two halves of a data centre fail and recover every two seconds, so that the daemons' views of the
-- membership differ. Guards against dispatchers that together exceed the limits of the backend servers meanwhile.
local world = require("world")
world.single{}
for _, daemon in ipairs{"a1", "a2", "a3", "a4"} do
    arrivals{workspace = "large", service = "quote-writer", daemons = {daemon}, rate = 15, cost = 50, costSpread = 0.4, deadline = 10, lasting = 120}
end
run(20)
fault{backend = "writer-1", resetExcess = true}
fault{backend = "writer-2", resetExcess = true}
local before = summary().answered
for round = 1, 15 do
    cut({"a1", "a" .. (2 + round % 3)}, {"a" .. (2 + (round + 1) % 3), "a" .. (2 + (round + 2) % 3)})
    run(2)
    heal()
    run(2)
end
local during = summary().answered - before
local excess = math.max(backendState("writer-1").worstExcess, backendState("writer-2").worstExcess)
print(string.format("  %d answers in 60 s of 960, excess %.2f requests", during, excess))
check(excess <= 1, "the backend servers are not overloaded while links flap")
check(during >= 0.5 * 960, "requests are served while links flap")
check(summary().falseNotRun == 0, "every refusal that says not run is true")
