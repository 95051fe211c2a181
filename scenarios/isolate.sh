#!/usr/bin/env bash
# Guards against a leader that is frozen for longer than an election timeout and continues as leader when it thaws: it must not
# overwrite entries that its successor accepted, and its own accepted entries must not be lost.
source "$(dirname "$0")/lib.sh"

up --set times.balancer=0s --set times.lease=3s --set times.renew=1s
within 20 "the first version in force" settled 1 1

weight() { rows "$1" accounts where name = "$2" | awk '{ print $2 }'; }
leader_changed() { local now; now=$(leader "$1") && [ -n "$now" ] && [ "$now" != "$2" ]; }
has_weight() { [ "$(weight "$1" "$2")" = "$3" ]; }

for round in 1 2; do
  old=$(leader 1)
  other=$((old % 3 + 1))
  third=$((other % 3 + 1))
  ctl "$old" do "set account coop-$round weight=$((50 + round))" >/dev/null 2>"$FOLDER/refused" || fail "change: $(cat "$FOLDER/refused")"
  same "booking before the freeze" ran "$(outcome "$old" --idempotency "old-$round")"

  # The old leader freezes while this change is in progress. It may be accepted or refused, but all VMs must agree on the outcome.
  id=$(printf '00000000-0000-4000-8000-0000000002%02d' "$round")
  ctl "$old" do --command "$id" "set account baths-8 weight=$((70 + round))" >/dev/null 2>&1 &
  caller=$!
  sleep "0.0$round"
  freeze "vm$old"
  within 15 "a new leader" leader_changed "$other" "$old"
  new=$(leader "$other")
  within 30 "a change through the new leader" ctl "$third" do "set account baths-$round weight=$((60 + round))"
  booked() { [ "$(outcome "$1" --idempotency "$2")" = ran ]; }
  within 20 "a booking through the new leader" booked "$other" "new-$round"
  thaw "vm$old"
  # The first request to the old leader after it thaws is a change that expects a version no longer in force.
  CHICORY_KEY=key-coop-admin timeout 20 "$BIN/chicoryctl" --json --address "$(operator_address "$old")" do "set account baths-$round weight=1 expect $((round))" >"$FOLDER/stale" 2>/dev/null || true
  [ "$(jq -r .outcome "$FOLDER/stale" 2>/dev/null)" != accepted ] || fail "the old leader accepted a change that expects an old version: $(cat "$FOLDER/stale")"
  wait "$caller" || true

  for vm in 1 2 3; do
    within 20 "the old leader's accepted change on vm$vm" has_weight "$vm" "coop-$round" $((50 + round))
    within 20 "the new leader's accepted change on vm$vm" has_weight "$vm" "baths-$round" $((60 + round))
    within 20 "the recorded booking of the old leader at vm$vm" booked "$vm" "old-$round"
    within 20 "the recorded booking of the new leader at vm$vm" booked "$vm" "new-$round"
  done
  same "runs of both bookings" "1 1" "$(runs "old-$round") $(runs "new-$round")"
  agreed=
  for vm in 1 2 3; do
    got=$(ctl "$vm" --json do --command "$id" "set account baths-8 weight=$((70 + round))" 2>/dev/null | jq -r '"\(.outcome) \(.version)"') || true
    [ "${got%% *}" = accepted ] || [ "${got%% *}" = refused ] || fail "the interrupted change has no outcome at vm$vm: $got"
    [ -z "$agreed" ] || same "outcome of the interrupted change at vm$vm" "${agreed%% *}" "${got%% *}"
    agreed=$got
  done
  same "number of leaders in the views of all VMs" 1 "$(for vm in 1 2 3; do leader "$vm"; done | sort -u | wc -l)"
  echo "round $round: vm$old frozen, vm$new elected, interrupted change $agreed" >>"$FOLDER/notes"
done
for round in 1 2; do
  for vm in 1 2 3; do
    same "change $round of the old leader on vm$vm at the end" $((50 + round)) "$(weight "$vm" "coop-$round")"
    same "change $round of the new leader on vm$vm at the end" $((60 + round)) "$(weight "$vm" "baths-$round")"
  done
done
echo "isolate: $(paste -sd ';' "$FOLDER/notes")"
