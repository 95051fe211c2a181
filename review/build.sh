#!/bin/bash
# Builds the stand-ins and the judge that the scripts of this folder start.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= CGO_ENABLED=0 go build -buildvcs=false -o ../.bin/cases .
