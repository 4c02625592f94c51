#!/usr/bin/env bash
# Operators race, answers are lost, daemons restart empty in an outage: a configuration is in force everywhere and never goes back.
source "$(dirname "$0")/lib.sh"
start_demo_fleet >/dev/null
version="$(version_of 1)"
work="$FLEET_DIR/declarations"
cp -r "$FLEET_ROOT/examples/demo/declarations" "$work"
sed -i 's/"counter-staff", "share": 4/"counter-staff", "share": 5/' "$work/workspaces.json"
"$CTL" plan -s "$CTL_SETTINGS" -f "$FLEET_DIR/first.json" "$work" >"$FLEET_DIR/plan.txt"
check "a plan names the change" grep -q 'changed workspace counter-staff: share 4.0 becomes 5.0' "$FLEET_DIR/plan.txt"
cp "$FLEET_DIR/first.json" "$FLEET_DIR/second.json"
sed -i 's/"operation": "/"operation": "other-/' "$FLEET_DIR/second.json"
echo no | "$CTL" apply -s "$CTL_SETTINGS" "$FLEET_DIR/first.json" >/dev/null
check "nothing changes without confirmation (exit 3)" [ $? = 3 ]
"$CTL" apply -s "$CTL_SETTINGS" --yes "$FLEET_DIR/first.json" >/dev/null
check "the first operator's plan is applied" [ $? = 0 ]
"$CTL" apply -s "$CTL_SETTINGS" --yes "$FLEET_DIR/second.json" >/dev/null
check "the second operator's plan meets a conflict (exit 4)" [ $? = 4 ]
"$CTL" apply -s "$CTL_SETTINGS" --yes "$FLEET_DIR/first.json" >/dev/null
check "repeating an applied plan is safe" [ $? = 0 ]
newer="$(curl -sf -D - -o /dev/null "http://127.0.0.1:$PLATFORM_PORT/objects/configuration" | grep -i '^etag' | tr -dc 0-9)"
check "the version has grown" [ "$newer" -gt "$version" ]
check "it is in force at every daemon" wait_for 4 all_at_version "$newer" 1 2 3 4 5 6

set_fault "$PLATFORM_PORT" '{"loseAnswers": 1}'
"$CTL" take-out -s "$CTL_SETTINGS" --yes wellington >"$FLEET_DIR/lost.txt"
check "a lost answer is recovered by reading" grep -q 'it is in force' "$FLEET_DIR/lost.txt"
set_fault "$PLATFORM_PORT" '{"loseAnswers": 0}'
newest="$(curl -sf -D - -o /dev/null "http://127.0.0.1:$PLATFORM_PORT/objects/configuration" | grep -i '^etag' | tr -dc 0-9)"
check "the data centre is out at every daemon" wait_for 4 all_at_version "$newest" 1 2 3 4 5 6
"$CTL" take-out -s "$CTL_SETTINGS" --yes nowhere 2>/dev/null
check "an unknown name is refused (exit 2)" [ $? = 2 ]

set_fault "$PLATFORM_PORT" '{"outage": 1}'
"$CTL" drain -s "$CTL_SETTINGS" --yes quote-writer-1 >/dev/null 2>&1
check "without the platform nothing is changed" [ $? != 0 ]
stop entry-1 KILL
start_daemon 1 auckland '"seeds": [{"name": "entry-2", "address": "127.0.0.1", "port": 23002, "dataCentre": "auckland"}]'
check "a daemon that restarts empty gets the configuration from its peers" wait_for 10 all_at_version "$newest" 1
check "and serves" wait_for 10 daemon_ready 1
sleep 1
check "a quote is answered in the outage" grep -q 'DONE' <<<"$(quote 1)"
set_fault "$PLATFORM_PORT" '{"outage": 0}'
finish
