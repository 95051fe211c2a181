#!/usr/bin/env bash
# Guards against refused requests after a cold start: all VMs restart at once, and a diskless VM restarts while no control VM
# answers.
source "$(dirname "$0")/lib.sh"

up --relays 5 --set times.balancer=0s --set times.lease=3s --set times.renew=1s
within 20 "the first version in force" settled 1 1
expected=$(ask 1 --tokens 24 2>/dev/null)
ctl 1 do 'set account baths-1 weight=9' >/dev/null 2>"$FOLDER/refused" || fail "change: $(cat "$FOLDER/refused")"
same "version of vm5" 2 "$(installed_version 5)"

# check_first_request VM sends requests until the VM accepts a connection; the first accepted request must be served.
check_first_request() {
  local line
  for _ in $(seq 1500); do
    if line=$(ask "$1" --tokens 24 2>"$FOLDER/first.$1"); then
      [ "$line" = "$expected" ] || { echo "vm$1: expected '$expected', got '$line'" >>"$FOLDER/failures"; }
      return 0
    fi
    grep -q 'connection refused' "$FOLDER/first.$1" || { echo "vm$1: $(cat "$FOLDER/first.$1")" >>"$FOLDER/failures"; return 0; }
    sleep 0.02
  done
  echo "vm$1 accepted no connection in 1500 attempts" >>"$FOLDER/failures"
}
crash vm1 vm2 vm3 vm4 vm5
start vm1 vm2 vm3 vm4 vm5
callers=()
for vm in 1 2 3 4 5; do
  check_first_request "$vm" &
  callers+=($!)
done
wait "${callers[@]}"
[ ! -e "$FOLDER/failures" ] || fail "first requests after the restart: $(cat "$FOLDER/failures")"
booked() { [ "$(outcome "$1" --idempotency "$2")" = ran ]; }
for vm in 1 2 3 4 5; do
  within 30 "a booking at vm$vm" booked "$vm" "herd-$vm"
  same "version of vm$vm" 2 "$(installed_version "$vm")"
done

# vm5 has no disk and starts without a configuration; vm4 still has it in memory and can send it.
crash vm5
freeze vm1 vm2 vm3
start vm5
check_first_request 5
[ ! -e "$FOLDER/failures" ] || fail "the first request of vm5 without control VMs: $(cat "$FOLDER/failures")"
healthy 5 || fail "vm5 is not ready without control VMs"
ask 5 --tokens 24 >/dev/null 2>"$FOLDER/asked" || fail "the text request at vm5 without control VMs failed: $(cat "$FOLDER/asked")"
grep -q 'stale=true' "$FOLDER/asked" || fail "the answer of vm5 is not marked as stale: $(cat "$FOLDER/asked")"
same "version of vm5, received from vm4" 2 "$(installed_version 5)"
total_runs() { for n in 1 2 3; do curl -sf -m 5 "http://$(service_address "$n")/runs" | jq .total; done | awk '{ n += $1 } END { print n }'; }
before=$(total_runs)
same "outcome of a booking at vm5 without control VMs" "not run" "$(book_without_key 5)"
same "runs in total after the refusal" "$before" "$(total_runs)"
not_stale() { ask "$1" --tokens 8 2>&1 >/dev/null | grep -q "stale=false"; }
thaw vm1 vm2 vm3
within 30 "a booking at vm5 after the thaw" booked 5 thawed
within 10 "an answer of vm5 with stale=false" not_stale 5
echo "restart: five first requests served, a configuration received from a peer served as stale"
