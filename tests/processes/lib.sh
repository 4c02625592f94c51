# Shared by the process tests: checks, and calls as callers make them.
source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/fleet.sh"
set +e
trap stop_all EXIT
PASSED=0
FAILED=0
CTL="$FLEET_BIN/eelgrassnotchctl"
CTL_SETTINGS="$FLEET_ROOT/examples/demo/ctl.json"

# check TEXT COMMAND...: counts whether the command succeeds.
check()
{
    local text="$1"
    shift
    if "$@"; then
        PASSED=$((PASSED + 1))
        echo "  holds: $text"
    else
        FAILED=$((FAILED + 1))
        echo "  FAILS: $text"
    fi
}

finish()
{
    echo "$PASSED passed, $FAILED failed"
    [ "$FAILED" -eq 0 ] && [ "$PASSED" -gt 0 ]
    exit $?
}

# call DAEMON WORKSPACE SERVICE PATH BODY [CURL_OPTIONS...]: prints status and body.
call()
{
    local port
    port="$(caller_port "$1")"
    curl -s --max-time 20 -w '\n%{http_code}' -H "Eelgrass-Workspace: $2" -H "Eelgrass-Service: $3" -d "$5" "${@:6}" "http://127.0.0.1:$port$4"
}

order()
{
    call "$1" counter-staff yard-ledger /orders "{\"order\":\"$2\"}" -H "Idempotency-Key: $2" -H "Eelgrass-Deadline-Ms: ${3:-5000}"
}

quote()
{
    call "$1" trade-customers quote-writer /v1/completions "{\"prompt\":\"x\",\"max_tokens\":${2:-8}}"
}

status_of()
{
    tail -n 1 <<<"$1"
}

executions_of()
{
    curl -sf "http://127.0.0.1:21201/executions" "http://127.0.0.1:21202/executions" | tr '{},' '\n\n\n' | grep "\"$1\"" | awk -F: '{sum += $2} END {print sum + 0}'
}

version_of()
{
    curl -sf "http://127.0.0.1:$(operator_port "$1")/status" | grep -o '"configurationVersion":[0-9]*' | cut -d: -f2
}

all_at_version()
{
    local number
    for number in "${@:2}"; do
        [ "$(version_of "$number")" = "$1" ] || return 1
    done
}

# knows_data_centres SERVICE COUNT DAEMON...: whether one of the daemons dispatches the service and knows the room of so many other data centres.
knows_data_centres()
{
    local number
    for number in "${@:3}"; do
        curl -sf "http://127.0.0.1:$(operator_port "$number")/status" | tr '{}' '\n\n' | grep "\"dataCentresKnown\":$2,.*\"service\":\"$1\"" >/dev/null && return 0
    done
    return 1
}
