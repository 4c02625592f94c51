-- Guards against starvation when one workspace sends far more requests than the
-- fleet can serve: the other workspaces, each with a small load, are still served.
dataCentre{name = "auckland", region = "north", daemons = {"a1", "a2", "a3", "a4"}}
service{name = "quote-writer"}
backend{service = "quote-writer", name = "writer-1", dataCentre = "auckland", capacity = 8}
backend{service = "quote-writer", name = "writer-2", dataCentre = "auckland", capacity = 8}
workspace{name = "flood", share = 1}
for number = 1, 15 do
    workspace{name = "member-" .. number, share = 1}
end
start()
run(4)
arrivals{workspace = "flood", service = "quote-writer", daemons = {"a1", "a2", "a3", "a4"}, rate = 100, cost = 50, lasting = 60, deadline = 10}
run(10)
local first = submit{daemon = "a1", workspace = "member-1", service = "quote-writer", cost = 50}
for number = 1, 15 do
    arrivals{workspace = "member-" .. number, service = "quote-writer", daemons = {"a" .. (1 + number % 4)}, rate = 0.5, cost = 50, lasting = 45, deadline = 10}
end
run(50)
local served, least = 0, math.huge
for number = 1, 15 do
    local tokens = servedTo("member-" .. number)
    served, least = served + tokens, math.min(least, tokens)
end
print(string.format("  flood %d tokens, small ones %d, least %d, first wait %.2f s", servedTo("flood"), served, least, outcome(first).seconds))
-- The demand of each small workspace is about 0.5 * 45 * 50 = 1125 tokens, below its share of the pool.
check(least >= 300, "every small workspace is served while another one floods the fleet")
check(outcome(first).answered and outcome(first).seconds < 5, "a request of a small workspace is scheduled ahead of the backlog of the flooding one")
