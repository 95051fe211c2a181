#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/. The project's own program is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -trimpath -o ../../target/review-3 .
