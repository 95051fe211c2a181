#!/usr/bin/env bash
# Runs the commands of docs/OPERATIONS.md on the recorded log lines and checks that they print the causes that the page names.
set -euo pipefail
cd "$(dirname "$0")/.."
commands=$(mktemp)
trap 'rm -f "$commands"' EXIT
awk '/^```sh$/ {inside = 1; next} /^```$/ {inside = 0} inside' docs/OPERATIONS.md > "$commands"
[ "$(grep -c . "$commands")" -ge 9 ] || { echo "docs/OPERATIONS.md shows fewer than 9 lines of commands"; exit 1; }
output=$(bash -euo pipefail "$commands")
expect() {
  grep -q -- "$1" <<< "$output" || { echo "the commands of docs/OPERATIONS.md no longer show: $1"; exit 1; }
}
expect 'kind=overloaded .*request=db897a57697bb25c'
expect 'status=421 upstream=i-ea08913be5'
expect 'source=list upstream=i-ea08913be5'
expect 'event="order answered".*upstream=i-ea08913be5'
expect 'event=start .*vm=10.2.0.5'
expect 'event="answer broken off".*request=91bf6f6189354ffc'
expect 'event="order answered".*upstream=i-73867d0f14'
expect 'event=failed .*request=4583821fd3703b75.*status=504'
expect 'kind=account_rate .*request=5e0c1d'
expect 'event="account at its limit" account=cooperative'
expect '^ *39 vm=127.0.0.20:21100$'
expect 'event="desired state in force".*number=2'
echo "operations: the commands lead from four failed requests to their causes"
