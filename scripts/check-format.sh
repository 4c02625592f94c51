#!/usr/bin/env bash
# Fails when a source file differs from what the formatter gives.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v generated | xargs clang-format --dry-run --Werror
