#!/usr/bin/env bash
# Plays the days of deploy/regressions.txt again and fails when one breaks a rule.
# Usage: scripts/replay-days.sh BENCH DIRECTORY...   the platform's bench, and the directories of its site files
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1
shift
failed=0
while IFS='|' read -r site day seed cause; do
    for directory in "$@"; do
        [ -f "$directory/$site" ] || continue
        output=$("$bench" run "$directory/$site" $day --seed "$seed" 2>&1) || true
        if broken=$(grep '^rules broken' <<<"$output"); then
            echo "FAILED $site $day --seed $seed: $broken ($cause)"
            failed=1
        elif ! grep -q '^worth ' <<<"$output"; then
            echo "NOT PLAYED $site $day --seed $seed: $(tail -1 <<<"$output")"
            failed=1
        else
            echo "passed $site $day --seed $seed"
        fi
    done
done < <(grep -v '^#' deploy/regressions.txt)
exit "$failed"
