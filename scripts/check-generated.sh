#!/usr/bin/env bash
# Fails when the committed FlatBuffers code differs from what its schema gives.
set -euo pipefail
cd "$(dirname "$0")/.."
out="$(mktemp -d)"
trap 'rm -r "$out"' EXIT
compare() {
    flatc --cpp --gen-object-api --gen-compare --cpp-std c++17 --scoped-enums -o "$out" "src/$1/$2.fbs"
    cmp "$out/$2_generated.h" "src/$1/generated/$2_generated.h"
}
compare connection/wire frame
compare process/exchange/wire load
compare process/handover/wire handover
compare process/streams/wire streams
