-- A data centre is cut off from the others and from the platform for two minutes, then rejoins. Guards against
-- refusals of requests that its own backend servers can serve, and against a false "not run" for those they can't.
local world = require("world")
world.three{}
local far, near = {"c1", "c2"}, {"a1", "a2", "a3", "w1", "w2"}
cut(far, near)
cutFromPlatform(far, true)
run(3)
local index = {}
for number = 1, 300 do
    index[number] = submit{daemon = far[1 + number % 2], workspace = "small", service = "quote-writer", cost = 20, deadline = 5}
    run(0.4)
end
run(6)
local answered = 0
for _, entry in ipairs(index) do
    answered = answered + (outcome(entry).answered and 1 or 0)
end
print(string.format("  %d of %d answered during two minutes of cut-off", answered, #index))
check(answered == #index, "a cut-off data centre answers all requests that its backend servers have capacity for")
local order = submit{daemon = "c1", workspace = "counter", service = "yard-ledger", cost = 5, idempotent = false, key = "far-order", deadline = 5}
run(6)
check(outcome(order).refused and outcome(order).verdict == "not run" and outcome(order).executions == 0, "a request that it can't serve is refused, and has not run")
heal()
cutFromPlatform(far, false)
run(10)
local after = submit{daemon = "c1", workspace = "counter", service = "yard-ledger", cost = 5, idempotent = false, key = "far-order", deadline = 5}
run(6)
check(outcome(after).answered and outcome(after).executions == 1, "after the rejoin the refused order can be placed")
