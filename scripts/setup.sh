#!/usr/bin/env bash
# Installs the packages that the build needs, where any is missing.
set -euo pipefail
cd "$(dirname "$0")"

missing=()
while read -r package; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done <packages.txt
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
