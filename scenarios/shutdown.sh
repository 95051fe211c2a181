#!/usr/bin/env bash
# Guards against a graceful shutdown that cuts requests: streams and a booking are in progress, and new requests arrive while the
# load balancer has not yet seen that the VM is unready. Runs once for a follower and once for the leader of the control VMs.
source "$(dirname "$0")/lib.sh"

up --set times.balancer=2s --set times.lease=3s --set times.renew=1s
within 20 "the first version in force" settled 1 1
expected=$(ask 1 --tokens 160 2>/dev/null)
booked() { [ "$(outcome "$1" --idempotency "$2")" = ran ]; }
unready() { [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://$(relay_address "$1")/healthz")" = 503 ]; }
has_run() { [ "$(runs "$1")" -gt 0 ]; }

# check_shutdown VM stops the VM gracefully under load and checks that each request in progress is completed and recorded.
check_shutdown() {
  local vm=$1 code=0 n callers=()
  within 30 "a booking at vm$vm" booked "$vm" "first-$vm"

  for n in 1 2 3 4; do
    ask "$vm" --tokens 160 >"$FOLDER/stream.$n" 2>"$FOLDER/asked.$n" &
    callers+=($!)
  done
  for n in 1 2 3; do set_fault "$(service_address "$n")" '{"late":1,"for":"4s"}'; done
  outcome "$vm" --idempotency "slow-$vm" >"$FOLDER/slow" &
  callers+=($!)
  within 10 "the start of the slow booking" has_run "slow-$vm"
  for n in 1 2 3; do set_fault "$(service_address "$n")" '{"late":0}'; done
  kill -TERM "$(pid "vm$vm")"
  within 2 "vm$vm to become unready" unready "$vm"
  for n in 5 6; do
    ask "$vm" --tokens 160 >"$FOLDER/stream.$n" 2>"$FOLDER/asked.$n" &
    callers+=($!)
  done
  same "outcome of a booking that arrives during times.balancer" ran "$(outcome "$vm" --idempotency "during-$vm")"
  unready "$vm" || fail "vm$vm does not answer with 503 on /healthz before the end of times.balancer"
  for n in "${callers[@]}"; do wait "$n" || fail "a request was cut: $(cat "$FOLDER"/asked.*)"; done
  for n in 1 2 3 4 5 6; do same "answer $n across the shutdown" "$expected" "$(cat "$FOLDER/stream.$n")"; done
  same "outcome of the booking in progress" ran "$(cat "$FOLDER/slow")"
  within 10 "the end of vm$vm" ended "vm$vm"
  wait "$(pid "vm$vm")" || code=$?
  same "exit code of vm$vm" 0 "$code"
  for n in slow during; do same "runs of $n-$vm" 1 "$(runs "$n-$vm")"; done
  # The recorded answer stays available at other VMs after the VM has ended.
  within 10 "the recorded answer at another VM" booked $((vm % 3 + 1)) "slow-$vm"
  same "runs of slow-$vm after the resend" 1 "$(runs "slow-$vm")"
  start "vm$vm"
  within 15 "health of vm$vm" healthy "$vm"
}

# Restarts the VMs as children of this script, since only the parent can read the exit code.
crash vm1 vm2 vm3
start vm1 vm2 vm3
for vm in 1 2 3; do
  within 15 "health of vm$vm" healthy "$vm"
  within 30 "a booking at vm$vm" booked "$vm" "ready-$vm"
done
lead=$(leader 1)
check_shutdown $((lead % 3 + 1))
check_shutdown "$(leader "$lead")"
echo "shutdown: 12 streams and 6 bookings complete, exit code 0 of a follower and of the leader"
