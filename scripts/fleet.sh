#!/usr/bin/env bash
# Starts and stops a small fleet on loopback: one platform, engines, services and daemons.
# Sourced by the demo, the tour and the process tests. Ends only what it started, by process id.
set -euo pipefail

FLEET_ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
FLEET_BIN="${FLEET_BIN:-$FLEET_ROOT/build/bin}"
FLEET_DIR="${FLEET_DIR:-$(mktemp -d)}"
PLATFORM_PORT=21000
declare -A FLEET_PIDS=()

# start NAME COMMAND...: runs a command in the background and remembers its process id.
start()
{
    local name="$1"
    shift
    "$@" >>"$FLEET_DIR/$name.log" 2>&1 &
    FLEET_PIDS[$name]=$!
}

# stop NAME [SIGNAL]: signals a process and waits for its end; gives its exit code.
stop()
{
    local pid="${FLEET_PIDS[$1]:-}"
    [ -n "$pid" ] || return 0
    unset "FLEET_PIDS[$1]"
    kill "-${2:-TERM}" "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null
}

stop_all()
{
    local name
    for name in "${!FLEET_PIDS[@]}"; do
        kill -CONT "${FLEET_PIDS[$name]}" 2>/dev/null || true
        kill -TERM "${FLEET_PIDS[$name]}" 2>/dev/null || true
    done
    for name in "${!FLEET_PIDS[@]}"; do
        wait "${FLEET_PIDS[$name]}" 2>/dev/null || true
    done
    FLEET_PIDS=()
}

# wait_for SECONDS COMMAND...: polls until the command succeeds.
wait_for()
{
    local tries=$(($1 * 10))
    shift
    while ! "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || return 1
        sleep 0.1
    done
}

http_ok()
{
    curl -sf -o /dev/null --max-time 2 "$1"
}

# caller_port N, peer_port N, operator_port N: ports of daemon number N.
caller_port() { echo $((22000 + $1)); }
peer_port() { echo $((23000 + $1)); }
operator_port() { echo $((24000 + $1)); }

start_platform()
{
    start platform "$FLEET_BIN/standin-platform" -p "$PLATFORM_PORT"
    wait_for 10 http_ok "http://127.0.0.1:$PLATFORM_PORT/calls"
}

# vm_list NUMBER:DATA_CENTRE...: tells the platform which VMs live.
publish_vms()
{
    local list="" spec number
    for spec in "$@"; do
        number="${spec%%:*}"
        list+="${list:+,}{\"name\":\"entry-$number\",\"address\":\"127.0.0.1\",\"port\":$(peer_port "$number"),\"dataCentre\":\"${spec#*:}\"}"
    done
    curl -sf -o /dev/null -X PUT -d "[$list]" "http://127.0.0.1:$PLATFORM_PORT/objects/vms"
}

# start_daemon NUMBER DATA_CENTRE [EXTRA_JSON]
start_daemon()
{
    local number="$1" settings="$FLEET_DIR/entry-$1.json"
    cat >"$settings" <<JSON
{
  "name": "entry-$number", "dataCentre": "$2",
  "callers": {"address": "127.0.0.1", "port": $(caller_port "$number")},
  "peers": {"address": "127.0.0.1", "port": $(peer_port "$number")},
  "operators": {"address": "127.0.0.1", "port": $(operator_port "$number")},
  "platform": {"address": "127.0.0.1", "port": $PLATFORM_PORT}${3:+, $3}
}
JSON
    start "entry-$number" "$FLEET_BIN/eelgrassnotchd" --settings "$settings"
}

daemon_ready()
{
    http_ok "http://127.0.0.1:$(caller_port "$1")/readyz"
}

set_fault()
{
    curl -sf -o /dev/null -X PUT -d "$2" "http://127.0.0.1:$1/faults"
}

# start_demo_fleet: six daemons in three data centres, five engines, three services, declarations applied.
start_demo_fleet()
{
    local port number
    start_platform
    for port in 21101 21102 21103 21301 21302; do
        start "engine-$port" "$FLEET_BIN/standin-engine" -p "$port"
    done
    for port in 21201 21202 21401; do
        start "service-$port" "$FLEET_BIN/standin-service" -p "$port"
    done
    publish_vms 1:auckland 2:auckland 3:wellington 4:wellington 5:christchurch 6:christchurch
    "$FLEET_BIN/eelgrassnotchctl" plan -s "$FLEET_ROOT/examples/demo/ctl.json" -f "$FLEET_DIR/plan.json" "$FLEET_ROOT/examples/demo/declarations"
    "$FLEET_BIN/eelgrassnotchctl" apply -s "$FLEET_ROOT/examples/demo/ctl.json" --yes "$FLEET_DIR/plan.json" >/dev/null
    start_daemon 1 auckland
    start_daemon 2 auckland
    start_daemon 3 wellington
    start_daemon 4 wellington
    start_daemon 5 christchurch
    start_daemon 6 christchurch
    for number in 1 2 3 4 5 6; do
        wait_for 20 daemon_ready "$number"
    done
}

# executions PORT...: lines "name:count" of the execution logs of stand-ins.
executions()
{
    local port
    for port in "$@"; do
        curl -sf "http://127.0.0.1:$port/executions"
        echo
    done | tr '{},' '\n\n\n' | grep ':' | sed 's/"//g'
}

# count_executions PATTERN PORT...: executions of all names that match.
count_executions()
{
    executions "${@:2}" | grep -E "$1" | awk -F: '{sum += $2} END {print sum + 0}'
}

# most_executions PORT...: the largest number of executions of one key or request at all given services together.
most_executions()
{
    executions "$@" | awk -F: '{sum[$1] += $2} END {for (key in sum) if (sum[key] > most) most = sum[key]; print most + 0}'
}
