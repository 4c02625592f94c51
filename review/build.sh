#!/usr/bin/env bash
# Builds the programs of the cases, stand-ins included, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
for source in review/harness/*.cpp review/[1-5]/*.cpp; do
    object="target/review/$(basename "$source" .cpp).o"
    g++ -std=c++20 -O1 -pthread -c "$source" -o "$object"
    case "$source" in review/harness/*) objects+=("$object") ;; esac
done
for source in review/[1-5]/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -pthread "target/review/$name.o" "${objects[@]}" -o "target/review/$name"
done
