#!/usr/bin/env bash
# Command lines, settings and keys.
source "$(dirname "$0")/lib.sh"
D="$FLEET_BIN/eelgrassnotchd"
check "--version of the daemon" grep -q '0\.1\.0' <<<"$("$D" --version)"
check "--help of the tool" grep -q 'take-out' <<<"$("$CTL" --help)"
settings()
{
    cat >"$FLEET_DIR/settings.json" <<JSON
{"name": "$1", "dataCentre": "auckland", "callers": {"address": "127.0.0.1", "port": $2}, "peers": {"address": "127.0.0.1", "port": 23001},
 "operators": {"address": "127.0.0.1", "port": 24001}, "platform": {"address": "127.0.0.1", "port": 21000}${3:+, $3}}
JSON
}
settings entry-1 22001
check "good settings pass --check-config" "$D" --settings "$FLEET_DIR/settings.json" --check-config
settings entry-1 99999
"$D" --settings "$FLEET_DIR/settings.json" --check-config 2>"$FLEET_DIR/error.txt"
check "a bad port ends with code 2" [ $? = 2 ]
check "the error names key, bounds and value" grep -q '/callers/port: must be an integer from 1 to 65535, found 99999' "$FLEET_DIR/error.txt"
settings entry-1 22001 '"colour": 1'
"$D" --settings "$FLEET_DIR/settings.json" --check-config 2>"$FLEET_DIR/error.txt"
check "an unknown key is named" grep -q '/colour: is not a known key' "$FLEET_DIR/error.txt"

bad="$FLEET_DIR/bad"
cp -r "$FLEET_ROOT/examples/demo/declarations" "$bad"
check "the demo's declarations are valid" "$CTL" validate "$bad"
sed -i 's/"dataCentre": "christchurch"/"dataCentre": "atlantis"/' "$bad/consorzio.json"
"$CTL" validate "$bad" 2>"$FLEET_DIR/error.txt"
check "a dangling reference ends with code 2" [ $? = 2 ]
check "the error names file, pointer and value" grep -q 'consorzio.json: /services/1/backendServers/0/dataCentre: must name a declared data centre, found "atlantis"' "$FLEET_DIR/error.txt"

echo secret-key >"$FLEET_DIR/operator.key"
echo link-key >"$FLEET_DIR/link.key"
start_platform
start_daemon 1 auckland "\"operatorKeyFile\": \"$FLEET_DIR/operator.key\", \"linkKeyFile\": \"$FLEET_DIR/link.key\""
start_daemon 2 auckland
publish_vms 1:auckland 2:auckland
operator="http://127.0.0.1:$(operator_port 1)"
wait_for 10 http_ok "http://127.0.0.1:$(caller_port 1)/healthz"
check "status without the key is refused" [ "$(curl -s -o /dev/null -w '%{http_code}' "$operator/status")" = 401 ]
check "status with the key is given" [ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer secret-key' "$operator/status")" = 200 ]
metric()
{
    curl -sf -H 'Authorization: Bearer secret-key' "$operator/metrics" | grep -F "$1" | awk '$2 > 0' | grep -q .
}
check "the refused call is counted" metric 'eelgrassnotch_unauthorized_total'
check "a daemon without the link key is refused and counted" wait_for 10 metric 'eelgrassnotch_links_total{kind="bad_keys"}'
printf '\xff\xff\xff\xffgarbage' >/dev/tcp/127.0.0.1/23001
check "a frame out of bounds is counted" wait_for 5 metric 'eelgrassnotch_links_total{kind="bad_frames"}'
check "a key never reaches the log" bash -c '! grep -q "secret-key\|link-key" "$1"/entry-*.log' _ "$FLEET_DIR"
check "before the first configuration requests are refused as not run" grep -q '"reason":"no_configuration","requestId":"entry-1-[0-9]*-[0-9]*","retryAfterSeconds":1,"verdict":"not run"' <<<"$(quote 1)"
finish
