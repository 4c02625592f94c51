#!/usr/bin/env bash
# The main job on loopback: both deployments' requests through six daemons, repeats under
# one idempotency key at other daemons included. Prints what was answered, refused and executed.
source "$(dirname "$0")/fleet.sh"
trap stop_all EXIT

echo "starting 1 platform, 5 engines, 3 services and 6 daemons; logs are in $FLEET_DIR"
start_demo_fleet
sleep 2
"$FLEET_BIN/eelgrassnotchctl" load "$FLEET_ROOT/examples/demo/load.json" | tee "$FLEET_DIR/report.txt"
echo
"$FLEET_BIN/eelgrassnotchctl" status -s "$FLEET_ROOT/examples/demo/ctl.json"
orders="$(most_executions 21201 21202)"
payments="$(most_executions 21401)"
echo
echo "executed at backend servers: quotes $(count_executions . 21101 21102 21103), orders $(count_executions '^order-' 21201 21202)," \
    "appraisals $(count_executions . 21301 21302), slot lookups $(count_executions '^entry-' 21401), payments $(count_executions '^payment-' 21401)"
echo "most executions of one order: $orders, of one payment or lookup: $payments"
clean=0
for number in 1 2 3 4 5 6; do
    stop "entry-$number" && clean=$((clean + 1))
done
echo "daemons that stopped by plan without cutting a request: $clean of 6"
[ "$orders" -le 1 ] && [ "$payments" -le 1 ] && [ "$clean" -eq 6 ]
