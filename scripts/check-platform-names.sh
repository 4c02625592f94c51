#!/usr/bin/env bash
# Fails when a name of the platform's wire stands outside of platform/, deploy/, tests/ and docs/.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Eelgrassnotch|Kv-(Fetch|From|Backup)|/-/(objects|readyz|report|kv-)|route_kind|latency_goal_ms|cold_left_ms|evacuations|api_keys|revoke_ms|node_name'
if git ls-files --cached --others --exclude-standard 'src/*' 'include/*' 'tools/*' 'examples/*' | xargs grep -nE "$names"; then
    echo "names of the platform stand outside of platform/" >&2
    exit 1
fi
