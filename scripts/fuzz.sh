#!/usr/bin/env bash
# Builds the fuzzing target with clang and runs it for a fixed number of inputs from a fixed seed.
set -euo pipefail
cd "$(dirname "$0")/.."
runs="${1:-200000}"
mkdir -p build/fuzz/corpus
sources=(tools/fuzz.cpp src/connection/frame_codec.cpp src/request/answer_check.cpp src/version/checked_json.cpp src/version/configuration.cpp src/version/vm_list.cpp)
clang++ -std=c++20 -g -O1 -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined -Iinclude -Isrc "${sources[@]}" -lflatbuffers -o build/fuzz/target
for file in examples/demo/declarations/*.json; do
    { printf '\x01'; cat "$file"; } >"build/fuzz/corpus/$(basename "$file")"
done
build/fuzz/target -seed=1 -runs="$runs" -max_len=4096 -print_final_stats=1 build/fuzz/corpus 2>&1 | grep -E 'ERROR|SUMMARY|stat::number_of_executed_units'
