#!/usr/bin/env bash
# Guards against an accepted change that is lost or reverted, and against two accepted changes for the same version: operators
# race, an answer is lost and the command resent, the leader is killed during a series of changes, and all VMs are killed at once.
source "$(dirname "$0")/lib.sh"

up --set times.balancer=0s --set times.lease=3s --set times.renew=1s --relays 4
within 20 "the first version in force" settled 1 1

# weight VM ACCOUNT prints the account's weight in the VM's installed configuration.
weight() { rows "$1" accounts where name = "$2" | awk '{ print $2 }'; }

# Operators of both organisations submit changes for the same expected version at the same time.
for round in 1 2 3 4 5; do
  expected=$(installed_version 1)
  a=$((round % 3 + 1)) b=$(((round + 1) % 3 + 1))
  CHICORY_KEY=key-coop-admin "$BIN/chicoryctl" --json --address "$(operator_address $a)" do "set account coop-1 weight=$((10 + round)) expect $expected" >"$FOLDER/race.a" 2>/dev/null &
  first=$!
  CHICORY_KEY=key-baths-admin "$BIN/chicoryctl" --json --address "$(operator_address $b)" do "set account coop-1 weight=$((20 + round)) expect $expected" >"$FOLDER/race.b" 2>/dev/null &
  second=$!
  codes=0
  wait $first || codes=$((codes + $?))
  wait $second || codes=$((codes + $?))
  same "round $round: exit codes of one accepted and one refused change" 1 "$codes"
  accepted=$(jq -r 'select(.outcome == "accepted") | .command' "$FOLDER/race.a" "$FOLDER/race.b")
  reported=$(jq -r 'select(.outcome == "refused") | "\(.winner.command) \(.winner.version)"' "$FOLDER/race.a" "$FOLDER/race.b")
  same "round $round: winner and version in the refusal" "$accepted $((expected + 1))" "$reported"
  # An accepted version is already installed on each VM, so the check does not wait.
  for vm in 1 2 3 4; do same "round $round: version of vm$vm" "$((expected + 1))" "$(installed_version "$vm")"; done
done

# The caller of a change is killed before it sends, while it waits or after its answer, and the command is resent to two other
# VMs. The same outcome is required in each case, so a caller that has already ended is not an error.
round=0
for delay in 0 0.01 0.03 0.1; do
  round=$((round + 1))
  before=$(installed_version 1)
  id=00000000-0000-4000-8000-00000000000$round
  change="set account coop-2 weight=$((6 + round)) expect $before"
  CHICORY_KEY=key-coop-admin "$BIN/chicoryctl" --address "$(operator_address 1)" do --command $id "$change" >/dev/null 2>&1 &
  caller=$!
  sleep $delay
  kill -KILL $caller 2>/dev/null || true
  wait $caller 2>/dev/null || true
  for vm in 2 3; do
    answer=$(ctl "$vm" --json do --command $id "$change" 2>/dev/null) || fail "the resent change was not accepted at vm$vm: $answer"
    same "outcome of the resent change at vm$vm" "accepted $((before + 1))" "$(jq -r '"\(.outcome) \(.version)"' <<<"$answer")"
  done
  same "version after one change sent three times" "$((before + 1))" "$(installed_version 2)"
done

# watch VM records the installed version of the VM every 300 ms until the file "stop" exists.
watch() {
  while [ ! -e "$FOLDER/stop" ]; do
    installed_version "$1" 2>/dev/null >>"$FOLDER/versions.$1" || true
    sleep 0.3
  done
}
watchers=()
for vm in 1 2 3 4; do
  watch "$vm" &
  watchers+=($!)
done

# series submits 12 changes and resends each under its command ID until it is accepted. The leader is killed during the series.
series() {
  local n id answer got
  for n in $(seq 12); do
    id=$(printf '00000000-0000-4000-8000-0000000001%02d' "$n")
    for attempt in $(seq 60); do
      answer=$(ctl "$(((n + attempt) % 3 + 1))" --json do --command "$id" "set account baths-$((n % 8 + 1)) weight=$((100 + n))" 2>/dev/null) || true
      got=$(jq -r .outcome <<<"$answer" 2>/dev/null) || got=
      [ "$got" != accepted ] || break
      # A refused command keeps its outcome when it is resent, so the change needs a new ID.
      [ "$got" != refused ] || id=$(printf '00000000-0000-4000-8000-0000%04d01%02d' "$attempt" "$n")
      sleep 0.2
    done
    echo "$n $got $(jq -r .version <<<"$answer" 2>/dev/null)" >>"$FOLDER/series"
  done
}
series &
series_pid=$!
series_started() { [ "$(wc -l <"$FOLDER/series" 2>/dev/null || echo 0)" -ge 4 ]; }
within 30 "the first four changes of the series" series_started
killed=$(leader 1)
crash "vm$killed"
echo "leader vm$killed killed after $(wc -l <"$FOLDER/series") changes" >>"$FOLDER/notes"
wait $series_pid
same "accepted changes of the series" 12 "$(grep -c ' accepted ' "$FOLDER/series")"
start "vm$killed"
within 10 "health of vm$killed" healthy "$killed"

# has_all_changes VM succeeds if the VM has every accepted change, which is the last weight set for each account.
has_all_changes() {
  local n
  for n in $(seq 5 12); do
    [ "$(weight "$1" "baths-$((n % 8 + 1))")" = $((100 + n)) ] || return 1
  done
  [ "$(weight "$1" coop-2)" = 10 ]
}
for vm in 1 2 3 4; do within 20 "the accepted changes on vm$vm" has_all_changes "$vm"; done
newest=$(awk '{ if ($3 > n) n = $3 } END { print n }' "$FOLDER/series")

crash vm1 vm2 vm3 vm4
start vm1 vm2 vm3 vm4
for vm in 1 2 3 4; do
  within 15 "health of vm$vm" healthy "$vm"
  [ "$(installed_version "$vm")" -ge "$newest" ] || fail "vm$vm serves version $(installed_version "$vm") after the restart, but $newest was accepted"
  has_all_changes "$vm" || fail "vm$vm lacks an accepted change after the restart"
done
touch "$FOLDER/stop"
wait "${watchers[@]}"
for vm in 1 2 3 4; do
  # Version 0 is a VM that has no configuration yet and serves nothing.
  awk '$1 > 0 && $1 < last { print "version decreased from " last " to " $1; exit 1 } $1 > 0 { last = $1 }' "$FOLDER/versions.$vm" || fail "the installed version of vm$vm decreased"
done
within 20 "a change after the restart" ctl 2 do 'set account coop-2 weight=8'
echo "change: 5 races, $(cat "$FOLDER/notes"), newest version $newest kept by all VMs"
