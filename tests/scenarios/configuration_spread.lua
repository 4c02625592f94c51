-- A new configuration must be in force at every daemon within four seconds, and no daemon may return to an older
-- version: during an outage of the platform, with daemons that restart without state, and with daemons (those that
-- watch the platform included) that are killed while it spreads.
local world = require("world")
world.three{}
local function inForce(version, daemons)
    for _, daemon in ipairs(daemons) do
        if daemonState(daemon).version ~= version then
            return false
        end
    end
    return true
end
local version = publish()
run(4)
check(inForce(version, world.all), "a change is in force everywhere within four seconds")

platform{outage = true}
run(5)
restart("a2")
restart("c1")
run(4)
check(inForce(version, {"a2", "c1"}), "a daemon that restarts without state during an outage gets the configuration from its peers")
platform{outage = false}
run(8)

for round = 1, 6 do
    local victim = world.all[1 + round % #world.all]
    version = publish()
    run(0.05)
    kill(victim)
    run(4)
    local rest = {}
    for _, daemon in ipairs(world.all) do
        if daemon ~= victim then
            rest[#rest + 1] = daemon
        end
    end
    check(inForce(version, rest), "a change is in force within four seconds while " .. victim .. " is killed")
    restart(victim)
    run(4)
    check(inForce(version, world.all), "and at the restarted daemon as well")
end

cutFromPlatform({"a1", "a2", "a3"}, true)
version = publish()
run(4)
check(inForce(version, {"w1", "w2", "c1", "c2"}), "a change reaches all daemons that can reach the platform")
cutFromPlatform({"a1", "a2", "a3"}, false)
run(8)
check(inForce(version, world.all), "and the other daemons after the cut")
check(not sawRevert(), "no daemon ever returns to a lower version")
