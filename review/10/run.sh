#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/sound_part
if [ ! -x "$program" ] || [ ! -x target/bin/eelgrassnotch-edge ]; then
    echo "first the build of the deploy file, then review/build-2.sh" >&2
    exit 2
fi
RECORD=review/10/record.txt timeout -k 3 115 "$program"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
