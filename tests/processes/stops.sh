#!/usr/bin/env bash
# Every planned stop is a graceful one: streams that run while a daemon is told to stop come whole.
source "$(dirname "$0")/lib.sh"
start_demo_fleet >/dev/null
quote 1 >/dev/null

for number in 1 2 3 4 5 6; do
    for stream in 1 2 3; do
        quote "$number" 150 >"$FLEET_DIR/stream-$number-$stream.txt" &
    done
    sleep 0.3
    stop "entry-$number"
    code=$?
    check "entry-$number ends with code 0" [ "$code" = 0 ]
    cut=0
    for stream in 1 2 3; do
        wait_for 5 grep -q 'DONE' "$FLEET_DIR/stream-$number-$stream.txt" || cut=$((cut + 1))
    done
    check "its streams came whole" [ "$cut" = 0 ]
    case "$number" in
        1 | 2) start_daemon "$number" auckland ;;
        3 | 4) start_daemon "$number" wellington ;;
        *) start_daemon "$number" christchurch ;;
    esac
    wait_for 10 daemon_ready "$number"
done
finish
