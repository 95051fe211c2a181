#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, without a network.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review2 .
