-- Backend servers send answers that belong to other requests, break answers off, or refuse connections. Guards
-- against passing such answers on as complete; idempotent requests are retried within the retry budget.
local world = require("world")
world.single{}
fault{backend = "writer-1", crossAnswers = 1}
fault{backend = "writer-2", refuse = 1}
local index = {}
for number = 1, 30 do
    index[number] = submit{daemon = "a" .. (1 + number % 4), workspace = "small", service = "quote-writer", cost = 20}
    run(0.5)
end
run(5)
fault{backend = "writer-1", loseAnswers = 1}
index[31] = submit{daemon = "a1", workspace = "small", service = "quote-writer", cost = 20}
index[32] = submit{daemon = "a1", workspace = "small", service = "quote-writer", cost = 20}
run(15)
local answered = 0
for _, entry in ipairs(index) do
    answered = answered + (outcome(entry).answered and 1 or 0)
end
local all = summary()
print(string.format("  %d of 32 answered, %d refused", answered, all.refused))
check(answered == 32, "requests with crossed, lost or refused answers are answered by retries")
check(all.answeredWithoutRun == 0, "no request is answered without an execution")

fault{backend = "writer-1", down = true}
fault{backend = "writer-2", down = true}
local starts = {}
for number = 1, 200 do
    starts[number] = submit{daemon = "a1", workspace = "small", service = "quote-writer", cost = 20, deadline = 8}
end
run(15)
local refused, true_ = 0, 0
for _, entry in ipairs(starts) do
    refused = refused + (outcome(entry).refused and 1 or 0)
    true_ = true_ + (outcome(entry).verdict == "not run" and outcome(entry).executions == 0 and 1 or 0)
end
check(refused == 200 and true_ == 200, "with every backend server down, all requests are refused and none has run")
