#!/usr/bin/env bash
# Checks that a program is dynamically linked to the C library.
set -euo pipefail
readelf -d "$1" | grep -q 'NEEDED.*libc\.so' || { echo "$1 is not linked to the C library: build with CGO_ENABLED=1"; exit 1; }
echo "$1: linked to the C library"
