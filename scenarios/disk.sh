#!/usr/bin/env bash
# Guards against the loss of an accepted change or a recorded booking when a control VM loses its disk and is readmitted, and
# another control VM is lost for good right after that.
source "$(dirname "$0")/lib.sh"

up --set times.balancer=0s --set times.lease=3s --set times.renew=1s
within 20 "the first version in force" settled 1 1
lead=$(leader 1)
lost=$((lead % 3 + 1))
other=$((lost % 3 + 1))

for n in 1 2 3; do ctl 1 do "set account baths-$n weight=$((40 + n))" >/dev/null 2>"$FOLDER/refused" || fail "change: $(cat "$FOLDER/refused")"; done
for n in $(seq 10); do same "booking $n" ran "$(outcome $((n % 3 + 1)) --idempotency "kept-$n")"; done

crash "vm$lost"
# These are accepted and recorded by two of three voters, so the readmitted VM must replicate them from the others.
ctl "$lead" do "set account baths-4 weight=44" >/dev/null 2>"$FOLDER/refused" || fail "change: $(cat "$FOLDER/refused")"
for n in $(seq 11 20); do same "booking $n" ran "$(outcome "$lead" --idempotency "kept-$n")"; done
rm -rf "$FOLDER/fleet/vm$lost"
start "vm$lost"

# readmitted VM succeeds if, in the view of that VM, a new incarnation has replaced the voter whose disk was lost.
readmitted() {
  rows "$1" voters where name = "vm$lost" | awk '$2 != "1" && $3 == "voter" { found = 1 } $2 == "1" { old = 1 } END { exit !(found && !old) }'
}
within 30 "the readmission of vm$lost" readmitted "$lead"

# The other voter that accepted these entries with the leader is lost for good right after the readmission.
crash "vm$other"
rm -rf "$FOLDER/fleet/vm$other"
within 30 "a change after the second loss" ctl "$lead" do 'set account baths-5 weight=45'
for vm in $lead $lost; do
  for n in 1 2 3 4 5; do
    same "weight of baths-$n on vm$vm" "$((40 + n))" "$(rows "$vm" accounts where name = "baths-$n" | awk '{ print $2 }')"
  done
  for n in $(seq 20); do
    recorded() { [ "$(outcome "$vm" --idempotency "kept-$n")" = ran ]; }
    within 20 "the recorded answer of booking $n at vm$vm" recorded
    same "runs of booking $n" 1 "$(runs "kept-$n")"
  done
  same "a new booking at vm$vm" ran "$(outcome "$vm" --idempotency "new-$vm")"
  same "runs of the new booking" 1 "$(runs "new-$vm")"
done
same "versions of both VMs" "$(installed_version "$lead")" "$(installed_version "$lost")"

# Only the readmitted VM and the leader are left. Now the leader is killed too and restarts with its disk.
crash "vm$lead"
start "vm$lead"
within 20 "a change after the leader's restart" ctl "$lost" do 'set account baths-6 weight=46'
for n in 1 2 3 4 5 6; do
  same "weight of baths-$n after the restart" "$((40 + n))" "$(rows "$lead" accounts where name = "baths-$n" | awk '{ print $2 }')"
done
echo "disk: voters $(rows "$lead" voters | awk '{ printf "%s/%s ", $1, $2 }')all changes and 20 bookings kept"
