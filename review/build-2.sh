#!/usr/bin/env bash
# Builds the stand-ins and callers of the cases from 6 on into target/review-2. The daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -pthread -Itests -Ireview/harness-2)
common=(review/harness-2/fleet.cpp tests/standin/object_store.cpp tests/standin/raw_server.cpp)
objects=()
for source in "${common[@]}"; do
    object="$out/$(basename "$source" .cpp).o"
    "${CXX:-g++}" "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
wait
for source in review/harness-2/*.cpp; do
    name=$(basename "$source" .cpp)
    if [ "$name" != fleet ]; then
        "${CXX:-g++}" "${flags[@]}" "$source" "${objects[@]}" -o "$out/$name"
    fi
done
echo "built into $out"
