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

retries()
{
    local count
    count="$(curl -sf "http://127.0.0.1:$(operator_port 1)/metrics" | grep '^eelgrassnotch_retries_total{reason="backend_refused"}' | awk '{print $2}')"
    echo "${count:-0}"
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
each_engine '{"truncate": 0}'

check "the data centres know each other's engines" wait_for 20 knows_data_centres quote-writer 2 1 2
for port in 21101 21102; do
    set_fault "$port" '{"refuse": 1}'
done
check "a request that two of three engines refuse is answered" whole "$(quote 1)" 8
before="$(retries)"
check "its retries are counted by their reason" [ "$before" != 0 ]
each_engine '{"refuse": 3}'
refused="$(quote 1)"
check "a request that all engines refuse is refused" [ "$(status_of "$refused")" = 502 ]
check "after three attempts" [ "$(($(retries) - before))" = 2 ]
check "the refusal says not run" grep -q '"reason":"retries_exhausted".*"verdict":"not run"' <<<"$refused"
check "and when to come back" grep -q '"retryAfterSeconds":[1-9]' <<<"$refused"
id="$(grep -o '"requestId":"[^"]*"' <<<"$refused" | cut -d '"' -f 4)"
check "it names the request" [ -n "$id" ]
check "and the request ran nowhere" [ "$(count_executions "^$id:" 21101 21102 21103)" = 0 ]
each_engine '{"refuse": 0}'
check "the next request is answered" whole "$(quote 1)" 8
finish
