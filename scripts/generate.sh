#!/usr/bin/env bash
# Generates the FlatBuffers code from its schema.
set -euo pipefail
cd "$(dirname "$0")/../src/connection/wire"
flatc --cpp --gen-object-api --gen-compare --cpp-std c++17 --scoped-enums -o generated frame.fbs
