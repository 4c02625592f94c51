#!/usr/bin/env bash
# Median latency that the fleet adds to a plain call: direct and through the fleet, mixed in one run.
source "$(dirname "$0")/fleet.sh"
trap stop_all EXIT
start_demo_fleet >/dev/null
sleep 2
"$FLEET_BIN/eelgrassnotchctl" load "$FLEET_ROOT/examples/demo/latency.json" | tee "$FLEET_DIR/latency.txt"
awk '$1 == "direct" {direct = $5} $1 == "fleet" {fleet = $5} END {printf "the fleet adds %.1f ms in the median, %.2f of the direct call\n", fleet - direct, fleet / direct}' \
    "$FLEET_DIR/latency.txt"
