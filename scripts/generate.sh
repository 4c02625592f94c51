#!/usr/bin/env bash
# Generates the FlatBuffers code from its schema.
set -euo pipefail
cd "$(dirname "$0")/../src"
generate() {
    flatc --cpp --gen-object-api --gen-compare --cpp-std c++17 --scoped-enums -o "$1/generated" "$1/$2"
}
generate connection/wire frame.fbs
generate process/exchange/wire load.fbs
generate process/handover/wire handover.fbs
generate process/mirror/wire mirror.fbs
generate process/streams/wire streams.fbs
