-- Rolling restart under load: every daemon is stopped gracefully and started again, one after the other.
-- Guards against requests that get no final answer because their daemon stops.
local world = require("world")
world.three{}
local daemons = {"a1", "a2", "a3", "w1", "w2", "c1", "c2"}
local stopped = 0
for _, daemon in ipairs(daemons) do
    -- The load balancer sends no requests to a daemon that is not ready.
    local others = {}
    for _, other in ipairs(daemons) do
        if other ~= daemon then
            others[#others + 1] = other
        end
    end
    arrivals{workspace = "large", service = "quote-writer", daemons = {daemon}, rate = 6, cost = 50, deadline = 10, lasting = 4}
    arrivals{workspace = "small", service = "quote-writer", daemons = others, rate = 12, cost = 50, deadline = 10, lasting = 16}
    run(4)
    stop(daemon)
    run(8)
    stopped = stopped + (daemonState(daemon).running and 0 or 1)
    if not daemonState(daemon).running then
        restart(daemon)
    end
    run(4)
end
run(12)
local all = summary()
print(string.format("  %d requests, %d answered, %d refused, %d lost", all.total, all.answered, all.refused, all.lost))
check(stopped == #daemons, "every daemon ended within eight seconds")
check(all.lost == 0, "no request is lost in a graceful stop")
check(all.open == 0, "every request has its final answer")
check(all.answered >= 0.95 * all.total, "nearly all requests are answered")
