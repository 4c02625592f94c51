-- Guards against executing a non-idempotent request twice: repeats at other daemons and data centres,
-- lost answers of the platform and of backend servers, a platform outage, and a killed daemon.
local world = require("world")
world.three{}
local function order(daemon, key, cost)
    return submit{daemon = daemon, workspace = "counter", service = "yard-ledger", cost = cost or 20, idempotent = false, key = key, deadline = 10}
end

local first = order("a1", "order-1")
run(2)
local repeated = order("c2", "order-1")
run(2)
check(outcome(first).answered, "an order is answered")
check(outcome(repeated).replayed, "its repeat in another data centre gets the stored first answer")
check(outcome(first).executions == 1, "the order was executed once")

local racing = {order("a1", "order-2"), order("w1", "order-2"), order("c1", "order-2")}
run(3)
local answered = 0
for _, index in ipairs(racing) do
    answered = answered + (outcome(index).answered and 1 or 0)
end
check(answered >= 1 and outcome(racing[1]).executions == 1, "of three concurrent repeats exactly one is executed")

local reused = order("a2", "order-1", 30)
run(1)
check(outcome(reused).reason == "claim_conflict", "a key reused for another order is refused")

platform{loseAnswers = 1}
local lostAnswer = order("a2", "order-3")
run(5)
check(outcome(lostAnswer).executions <= 1, "an order is executed at most once when the platform's answer to its claim is lost")
local lostRepeat = order("w2", "order-3")
run(10)
check(outcome(lostAnswer).executions <= 1, "the repeat of that order does not execute it again")

platform{outage = true}
local refused = order("a1", "order-4")
run(5)
check(outcome(refused).refused and outcome(refused).verdict == "not run" and outcome(refused).executions == 0, "during a platform outage an order is refused as not run and is not executed")
check((outcome(refused).retryAfter or 0) > 0, "the refusal says when to retry")
platform{outage = false}
run(10)
local later = order("w1", "order-4")
run(5)
check(outcome(later).answered and outcome(later).executions == 1, "after the outage the order with the same key is executed")

fault{backend = "ledger-auckland", loseAnswers = 1}
fault{backend = "ledger-wellington", loseAnswers = 1}
local unknown = order("a1", "order-5")
run(3)
check(outcome(unknown).verdict == "may have run" and outcome(unknown).executions == 1, "an order whose answer was lost is not sent again")
fault{backend = "ledger-auckland", loseAnswers = 0}
fault{backend = "ledger-wellington", loseAnswers = 0}
local unknownRepeat = order("w1", "order-5")
run(3)
check(outcome(unknown).executions == 1 and outcome(unknownRepeat).verdict == "may have run", "the repeat of that order is not executed and gets the verdict may have run")

local orphan = order("a3", "order-6", 100)
run(0.5)
kill("a3")
run(2)
local orphanRepeat = order("a1", "order-6", 100)
run(5)
check(outcome(orphan).executions <= 1, "an order whose daemon was killed is executed at most once")
restart("a3")

local unkeyed = {}
fault{backend = "ledger-auckland", loseAnswers = 5}
fault{backend = "ledger-wellington", loseAnswers = 5}
for number = 1, 10 do
    unkeyed[number] = submit{daemon = "a1", workspace = "counter", service = "yard-ledger", cost = 5, idempotent = false, deadline = 10}
end
run(10)
local all = summary()
check(all.doubled == 0, "no order was executed twice")
check(all.falseNotRun == 0, "no order refused as not run has been executed")
check(all.open == 0, "every order has a final answer")
