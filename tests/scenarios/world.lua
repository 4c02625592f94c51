-- Fleets used by several scenarios.
local world = {}

-- One data centre with four daemons and one engine service.
function world.single(options)
    options = options or {}
    dataCentre{name = "auckland", region = "north", daemons = {"a1", "a2", "a3", "a4"}}
    service{name = "quote-writer"}
    for number = 1, options.backends or 2 do
        backend{service = "quote-writer", name = "writer-" .. number, dataCentre = "auckland",
                capacity = options.capacity or 8, cold = options.cold, warmUp = options.warmUp, fallOver = options.fallOver}
    end
    workspace{name = "large", share = options.largeShare or 1}
    workspace{name = "small", share = options.smallShare or 1}
    start()
    run(4)
end

-- Three data centres in two regions, an engine service, and a plain service with a non-idempotent path.
function world.three(options)
    options = options or {}
    dataCentre{name = "auckland", region = "north", daemons = {"a1", "a2", "a3"}}
    dataCentre{name = "wellington", region = "north", daemons = {"w1", "w2"}}
    dataCentre{name = "christchurch", region = "south", daemons = {"c1", "c2"}}
    service{name = "quote-writer"}
    service{name = "yard-ledger", engine = false, nonIdempotentPaths = {"/orders"}}
    for _, place in ipairs(options.places or {"auckland", "wellington", "christchurch"}) do
        backend{service = "quote-writer", name = "writer-" .. place, dataCentre = place, capacity = options.capacity or 8}
    end
    backend{service = "yard-ledger", name = "ledger-auckland", dataCentre = "auckland", cancels = false}
    backend{service = "yard-ledger", name = "ledger-wellington", dataCentre = "wellington", cancels = false}
    workspace{name = "large", share = 1}
    workspace{name = "small", share = 1}
    workspace{name = "counter", share = 1}
    start()
    run(4)
end

world.all = {"a1", "a2", "a3", "w1", "w2", "c1", "c2"}

-- Returns the daemon among the given ones that dispatches a service, and the others.
function world.dispatcher(serviceName, daemons)
    local found, others = nil, {}
    for _, name in ipairs(daemons) do
        local state = daemonState(name)
        if state.running and state.dispatches[serviceName] then
            found = found or name
        end
    end
    for _, name in ipairs(daemons) do
        if name ~= found then
            others[#others + 1] = name
        end
    end
    return found, others
end

return world
