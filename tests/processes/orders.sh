#!/usr/bin/env bash
# Orders run at most once while daemons are killed and paused and the platform loses answers.
source "$(dirname "$0")/lib.sh"
start_demo_fleet >/dev/null

first="$(order 1 order-1)"
check "an order is answered" [ "$(status_of "$first")" = 200 ]
repeat="$(order 6 order-1)"
check "its repeat in another data centre gets the first answer" [ "$(head -n 1 <<<"$repeat")" = "$(head -n 1 <<<"$first")" ]
check "it ran once" [ "$(executions_of order-1)" = 1 ]

set_fault 21000 '{"loseAnswers": 1}'
order 2 order-2 >/dev/null
set_fault 21000 '{"loseAnswers": 0}'
order 3 order-2 >/dev/null
check "an order whose claim's answer was lost runs at most once" [ "$(executions_of order-2)" -le 1 ]

set_fault 21000 '{"outage": 1}'
refused="$(order 1 order-3)"
check "without the platform an order is refused" [ "$(status_of "$refused")" = 503 ]
check "the refusal says not run" grep -q '"verdict":"not run"' <<<"$refused"
check "and that is true" [ "$(executions_of order-3)" = 0 ]
check "it says when to come back" grep -q retryAfterSeconds <<<"$refused"
lookup="$(call 5 shepherds banco-fiera /slots '{}')"
check "idempotent lookups go on without the platform" [ "$(status_of "$lookup")" = 200 ]
set_fault 21000 '{"outage": 0}'

set_fault 21201 '{"loseAnswers": 1}'
set_fault 21202 '{"loseAnswers": 1}'
unknown="$(order 1 order-4 1500)"
check "a lost answer is reported as may have run" grep -q '"verdict":"may have run"' <<<"$unknown"
set_fault 21201 '{"loseAnswers": 0}'
set_fault 21202 '{"loseAnswers": 0}'
order 4 order-4 >/dev/null
check "its repeat does not run it again" [ "$(executions_of order-4)" = 1 ]

kill -STOP "${FLEET_PIDS[entry-3]}"
set_fault 21202 '{"delayMs": 300}'
for number in 10 11 12 13 14 15; do
    order 1 "order-$number" >/dev/null &
    order 5 "order-$number" >/dev/null &
    sleep 0.1
    [ "$number" = 12 ] && stop entry-2 KILL
    [ "$number" = 13 ] && kill -CONT "${FLEET_PIDS[entry-3]}"
done
for job in $(jobs -p); do
    [[ " ${FLEET_PIDS[*]} " == *" $job "* ]] || wait "$job"
done
most=0
for number in 10 11 12 13 14 15; do
    ran="$(executions_of "order-$number")"
    [ "$ran" -gt "$most" ] && most="$ran"
done
check "racing repeats under kill and pause run at most once (most $most)" [ "$most" -le 1 ]
finish
