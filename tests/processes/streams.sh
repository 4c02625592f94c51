#!/usr/bin/env bash
# Callers get whole own answers: crossed, repeated and cut streams are never passed on as whole.
source "$(dirname "$0")/lib.sh"
start_demo_fleet >/dev/null

whole()
{
    grep -q '^data: \[DONE\]' <<<"$1" && [ "$(grep -c '^id: ' <<<"$1")" = "$2" ] && [ "$(grep '^id: ' <<<"$1" | sort -u | wc -l)" = "$2" ]
}

one_owner()
{
    [ "$(grep -o '"id":"[^"]*"' <<<"$1" | sort -u | wc -l)" = 1 ]
}

each_engine()
{
    local port
    for port in 21101 21102 21103; do
        set_fault "$port" "$1"
    done
}

plain="$(quote 1)"
check "a plain stream is whole" whole "$plain" 8
each_engine '{"crossEvent": 1}'
crossed="$(quote 1)"
check "another request's event is left out" one_owner "$crossed"
check "and the answer is whole" whole "$crossed" 8
each_engine '{"crossEvent": 0, "duplicateEvent": 1}'
check "a repeated event is left out" whole "$(quote 3)" 8
each_engine '{"duplicateEvent": 0, "crossHeader": 1}'
wrong="$(quote 5)"
check "an answer with another request's id is never passed on" one_owner "$wrong"
each_engine '{"crossHeader": 0, "truncate": 1}'
cut="$(quote 1)"
check "a cut stream has no end mark" bash -c '! grep -q "\[DONE\]" <<<"$1"' _ "$cut"
check "and tells so" grep -q '^event: error' <<<"$cut"
each_engine '{"truncate": 0, "refuse": 1}'
check "a refused request is tried elsewhere" whole "$(quote 1)" 8
each_engine '{"refuse": 0}'
counters="$(curl -sf "http://127.0.0.1:$(operator_port 1)/metrics" | grep '^eelgrassnotch_retries_total{reason="backend_refused"}' | awk '{print $2}')"
check "the retry is counted by its reason" [ "${counters:-0}" != 0 ]
finish
