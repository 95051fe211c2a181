#!/usr/bin/env bash
# Guards against a booking that runs twice, or is answered as "not run" although it ran, when the VM that dispatches it is killed:
# first one slow booking step by step, then many keys while random VMs are killed and restarted. Between them, bookings that their
# service has run and then fails.
source "$(dirname "$0")/lib.sh"
SEED=${SEED:-7}

up --set times.balancer=0s --set times.lease=3s --set times.renew=1s --service-flag --delay=100ms
within 20 "the first version in force" settled 1 1

first=$(leader 1)
victim=$((first % 3 + 1))
other=$((victim % 3 + 1))
for i in 1 2 3; do set_fault "$(service_address "$i")" '{"late":1,"for":"30s"}'; done
outcome "$victim" --idempotency slow-1 >"$FOLDER/slow" &
caller=$!
has_run() { [ "$(runs "$1")" -gt 0 ]; }
within 10 "the start of the slow booking" has_run slow-1
crash "vm$victim"
for i in 1 2 3; do set_fault "$(service_address "$i")" '{"late":0}'; done
same "outcome while the killed VM's lease lasts" "running" "$(outcome "$other" --idempotency slow-1)"
has_outcome() { [ "$(outcome "$1" --idempotency "$2")" = "$3" ]; }
within 20 "the outcome 'may have run'" has_outcome "$other" slow-1 "may have run"
start "vm$victim"
within 10 "health of vm$victim" healthy "$victim"
# Without its lease the VM answers the outcome "may have run" to each key that is sent again.
books() { [ "$(book_without_key "$1")" = ran ]; }
within 20 "a booking at the restarted VM" books "$victim"
within 20 "the outcome 'may have run' at the restarted VM" has_outcome "$victim" slow-1 "may have run"
same "runs of the slow booking" 1 "$(runs slow-1)"
wait "$caller"
same "outcome at the killed VM's caller" "lost" "$(cat "$FOLDER/slow")"

# A service that fails what it has run, with statuses that promise the opposite: the first answer and the one to the call sent again.
for status in 503 429 408 421; do
  for i in 1 2 3; do set_fault "$(service_address "$i")" "{\"fail\":1,\"status\":$status}"; done
  for send in 1 2; do
    answered=$(book "$send" --idempotency "failed-$status" 2>/dev/null) || true
    [[ $answered != *" status=$status "* && $answered == 'outcome="may have run"'* ]] || fail "a booking that ran and failed with $status was answered $answered"
  done
  same "runs of the booking that failed with $status" 1 "$(runs "failed-$status")"
done
for i in 1 2 3; do set_fault "$(service_address "$i")" '{}'; done

# customer NUMBER books one key after another until the file "stop" exists. It retries each key at random VMs until the outcome is
# final. No run may be recorded when a VM answers "not run".
customer() {
  RANDOM=$((SEED * 100 + $1))
  local n=0 key vm got attempts
  while [ ! -e "$FOLDER/stop" ]; do
    n=$((n + 1)) key=customer-$1-$n attempts=0
    while :; do
      attempts=$((attempts + 1)) vm=$((RANDOM % 3 + 1))
      got=$(outcome "$vm" --idempotency "$key" --timeout 8s)
      echo "$key vm$vm $got" >>"$FOLDER/history.$1"
      case $got in
        ran | 'may have run') break ;;
        'not run') [ "$(runs "$key")" = 0 ] || { echo "vm$vm answered not run for $key, but it ran" >>"$FOLDER/violations"; break; } ;;
      esac
      [ "$attempts" -lt 400 ] || { echo "$key has no final outcome after $attempts attempts" >>"$FOLDER/violations"; break; }
      sleep 0.1
    done
    echo "$key $got" >>"$FOLDER/outcomes.$1"
  done
}
callers=()
for c in $(seq 10); do
  customer "$c" &
  callers+=($!)
done
RANDOM=$SEED
for _ in $(seq 6); do
  victim=$((RANDOM % 3 + 1))
  sleep "0.$((RANDOM % 10))"
  crash "vm$victim"
  sleep "$((RANDOM % 2)).$((RANDOM % 10))"
  start "vm$victim"
  within 10 "health of vm$victim" healthy "$victim"
done
sleep 1
touch "$FOLDER/stop"
wait "${callers[@]}"

[ ! -e "$FOLDER/violations" ] || fail "$(cat "$FOLDER/violations")"
for port in 1 2 3; do "$BIN/chicorybench" runs --address "$(service_address $port)"; done | grep '^customer-' | sort >"$FOLDER/runs"
twice=$(awk '{ n[$1] += $2 } END { for (key in n) if (n[key] > 1) print key, n[key] }' "$FOLDER/runs")
[ -z "$twice" ] || fail "keys ran more than once (key, runs): $twice"
cat "$FOLDER"/outcomes.* | while read -r key got; do
  case $got in
    ran) grep -q "^$key 1$" "$FOLDER/runs" || { echo "a VM answered ran for $key, but no replica ran it exactly once" >>"$FOLDER/violations"; } ;;
    'may have run') ;;
    *) echo "unexpected final outcome of $key: $got" >>"$FOLDER/violations" ;;
  esac
done
[ ! -e "$FOLDER/violations" ] || fail "$(cat "$FOLDER/violations")"
count_answers() { cat "$FOLDER"/history.* | grep -c " $1\$" || true; }
[ "$(count_answers ran)" -gt 20 ] || fail "only $(count_answers ran) bookings ran, expected more than 20 for a meaningful result"
echo "booking: seed $SEED, $(cat "$FOLDER"/outcomes.* | wc -l) keys; answers: $(count_answers ran) ran, $(count_answers 'may have run') may have run, $(count_answers 'not run') not run, $(count_answers running) running, $(count_answers lost) lost; no key ran twice"
