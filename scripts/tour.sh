#!/usr/bin/env bash
# A tour of the operators' tool on a running fleet: validate, plan, apply, a race of two
# operators, and a data centre taken out and returned under load.
source "$(dirname "$0")/fleet.sh"
trap stop_all EXIT
CTL="$FLEET_BIN/eelgrassnotchctl"
SETTINGS="$FLEET_ROOT/examples/demo/ctl.json"

echo "== start: platform, engines, services, daemons; logs are in $FLEET_DIR"
start_demo_fleet >/dev/null
echo "== validate"
cp -r "$FLEET_ROOT/examples/demo/declarations" "$FLEET_DIR/declarations"
"$CTL" validate "$FLEET_DIR/declarations"
echo "== plan: a new share"
sed -i 's/"trade-customers", "share": 2/"trade-customers", "share": 3/' "$FLEET_DIR/declarations/workspaces.json"
"$CTL" plan -s "$SETTINGS" -f "$FLEET_DIR/first.json" "$FLEET_DIR/declarations"
"$CTL" plan -s "$SETTINGS" -f "$FLEET_DIR/second.json" "$FLEET_DIR/declarations" >/dev/null
echo "== two operators apply plans with the same basis"
"$CTL" apply -s "$SETTINGS" --yes "$FLEET_DIR/first.json" | tail -n 1
second=0
"$CTL" apply -s "$SETTINGS" --yes "$FLEET_DIR/second.json" | tail -n 1 || second=$?
echo "== load for 16 s; wellington is taken out after 5 s and returned after 10 s"
"$CTL" load "$FLEET_ROOT/examples/demo/tour.json" >"$FLEET_DIR/load.txt" &
load=$!
sleep 5
"$CTL" take-out -s "$SETTINGS" --yes wellington | tail -n 1
sleep 3
out="$(curl -sf http://127.0.0.1:21102/load | grep -o '"active":[0-9]*' | cut -d: -f2)"
echo "requests at wellington's engine three seconds later: $out"
sleep 2
"$CTL" return -s "$SETTINGS" --yes wellington | tail -n 1
wait "$load"
cat "$FLEET_DIR/load.txt"
"$CTL" status -s "$SETTINGS"
cut="$(awk '$1 ~ /^quote-/ {sum += $4} END {print sum + 0}' "$FLEET_DIR/load.txt")"
echo "requests cut: $cut"
[ "$second" -ne 0 ] && [ "$out" = 0 ] && [ "$cut" = 0 ]
