#!/usr/bin/env bash
# Fails when the committed FlatBuffers code differs from what its schema gives.
set -euo pipefail
cd "$(dirname "$0")/.."
out="$(mktemp -d)"
trap 'rm -r "$out"' EXIT
flatc --cpp --gen-object-api --gen-compare --cpp-std c++17 --scoped-enums -o "$out" src/connection/wire/frame.fbs
cmp "$out/frame_generated.h" src/connection/wire/generated/frame_generated.h
