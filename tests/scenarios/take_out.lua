-- A data centre is taken out of service and returned under load. Guards against attempts that start there
-- later than two seconds after, idle capacity in the others, and overload of its backend servers on return.
local world = require("world")
world.three{}
for _, daemon in ipairs(world.all) do
    arrivals{workspace = "large", service = "quote-writer", daemons = {daemon}, rate = 4.5, cost = 50, deadline = 15, lasting = 140}
end
run(30)
takeOut("wellington", true)
run(2)
local starts = backendState("writer-wellington").starts
local visitors = {}
for number = 1, 30 do
    visitors[number] = submit{daemon = "w" .. (1 + number % 2), workspace = "small", service = "quote-writer", cost = 50, deadline = 15}
end
local served = backendState("writer-auckland").completedCost + backendState("writer-christchurch").completedCost
run(30)
local extra = backendState("writer-wellington").starts - starts
local rate = (backendState("writer-auckland").completedCost + backendState("writer-christchurch").completedCost - served) / 30
print(string.format("  %d starts after two seconds, the others serve %.1f tokens/s of 800", extra, rate))
local visited = 0
for _, entry in ipairs(visitors) do
    visited = visited + (outcome(entry).answered and 1 or 0)
end
check(visited == #visitors, "requests to its daemons are served in other data centres (" .. visited .. " of " .. #visitors .. ")")
check(extra == 0, "no attempt starts in a data centre later than two seconds after it was taken out")
check(rate >= 0.99 * 800, "the other data centres serve at least 99% of their capacity")
fault{backend = "writer-wellington", resetExcess = true}
takeOut("wellington", false)
run(30)
print(string.format("  excess %.2f requests on return", backendState("writer-wellington").worstExcess))
check(backendState("writer-wellington").starts > starts, "the data centre serves again after its return")
check(backendState("writer-wellington").worstExcess <= 1, "the returned backend servers are not overloaded")
check(summary().falseNotRun == 0, "every refusal that says not run is true")
