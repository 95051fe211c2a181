#!/usr/bin/env bash
# Guards against a VM that freezes with a booking in progress, thaws after its lease has expired, and dispatches or accepts
# bookings as if the lease were still valid.
source "$(dirname "$0")/lib.sh"

up --set times.balancer=0s --set times.lease=3s --set times.renew=1s
within 20 "the first version in force" settled 1 1
lead=$(leader 1)
victim=$((lead % 3 + 1))
other=$((victim % 3 + 1))

# One booking is dispatched before the freeze; several others have not claimed their key yet when the VM freezes.
for i in 1 2 3; do set_fault "$(service_address "$i")" '{"late":1,"for":"2s"}'; done
outcome "$victim" --idempotency frozen-0 >"$FOLDER/frozen.0" &
callers=($!)
has_run() { [ "$(runs "$1")" -gt 0 ]; }
within 10 "the start of the slow booking" has_run frozen-0
for i in 1 2 3; do set_fault "$(service_address "$i")" '{"late":0}'; done
for n in $(seq 8); do
  outcome "$victim" --idempotency "frozen-$n" --timeout 25s >"$FOLDER/frozen.$n" &
  callers+=($!)
  sleep 0.003
done
freeze "vm$victim"
outcome "$victim" --idempotency frozen-9 --timeout 25s >"$FOLDER/frozen.9" &
callers+=($!)

has_final_outcome() {
  case $(outcome "$other" --idempotency "$1") in ran | 'may have run') return 0 ;; esac
  return 1
}
for n in $(seq 0 9); do within 20 "the outcome of frozen-$n at another VM" has_final_outcome "frozen-$n"; done
for n in $(seq 0 9); do runs "frozen-$n"; done >"$FOLDER/before"
# The VM stays frozen for longer than its lease, so its state is out of date when it thaws.
sleep 3
thaw "vm$victim"
wait "${callers[@]}"
for n in $(seq 0 9); do
  count=$(runs "frozen-$n")
  [ "$count" -le 1 ] || fail "frozen-$n ran $count times"
  got=$(cat "$FOLDER/frozen.$n")
  if [ "$got" = ran ]; then same "runs of frozen-$n, answered as ran by the thawed VM" 1 "$count"; fi
  if [ "$got" = 'not run' ]; then same "runs of frozen-$n, answered as not run by the thawed VM" 0 "$count"; fi
done
for n in $(seq 0 9); do runs "frozen-$n"; done >"$FOLDER/after"
cmp -s "$FOLDER/before" "$FOLDER/after" || fail "the thawed VM ran bookings that already had a final outcome at another VM; runs before $(tr '\n' ' ' <"$FOLDER/before"), after $(tr '\n' ' ' <"$FOLDER/after")"

# While the other control VMs are frozen, the thawed VM can't renew its lease and refuses.
freeze "vm$lead" "vm$other"
sleep 3.2
same "outcome at a VM without a lease" "not run" "$(book_without_key "$victim")"
# The VM can't know whether a booking with the caller's idempotency key has run at another VM.
same "outcome of a key at a VM without a lease" "may have run" "$(outcome "$victim" --idempotency frozen-10)"
freeze "vm$victim"
thaw "vm$lead" "vm$other"
booked() { [ "$(outcome "$1" --idempotency "$2")" = ran ]; }
within 20 "a booking at vm$other" booked "$other" thawed-1
sleep 3
thaw "vm$victim"
within 20 "a booking at the thawed VM" booked "$victim" thawed-2
same "runs after the thaw" 1 "$(runs thawed-2)"
same "runs of the refused key" 0 "$(runs frozen-10)"
echo "freeze: answers of the thawed VM: $(cat "$FOLDER"/frozen.* | sort | uniq -c | tr -s ' \n' ' ')"
