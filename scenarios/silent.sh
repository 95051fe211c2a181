#!/usr/bin/env bash
# Guards against a connection that goes silent for good while new connections work: a stream over it must still be completed, the
# upstream must be used again over new connections, and a booking over it must not run twice or be answered as "not run".
source "$(dirname "$0")/lib.sh"

up --set times.balancer=0s --set times.gap=1s --set times.headers=2s --set times.lease=3s --set times.renew=1s --engine-flag --report-lag=0s
expected=$(ask 1 --tokens 80 2>/dev/null)

silent_attempts() { grep -c 'attempt failed.*nothing received from the upstream' "$FOLDER/fleet/vm1.log" || true; }
for round in $(seq 10); do
  ask 1 --tokens 80 >"$FOLDER/answer" 2>"$FOLDER/asked" &
  asked=$!
  within 5 "the stream at an engine" find_busy_engine
  wait "$asked" || fail "the request failed when an engine's connections went silent: $(cat "$FOLDER/asked")"
  same "answer across the silence" "$expected" "$(cat "$FOLDER/answer")"
  [ "$(silent_attempts)" -eq 0 ] || break
  # The next request over the engine's connections makes them silent after 10 tokens.
  set_fault "$(engine_address "$victim")" '{"silent":10}'
  silent=$victim
done
[ "$(silent_attempts)" -gt 0 ] || fail "no stream went silent within 10 rounds"

# Drains all other engines, so that the engine must serve the next request over a new connection.
for i in 1 2 3 4; do
  [ "$i" = "$silent" ] || ctl 1 do "drain upstream engine$i" >/dev/null 2>"$FOLDER/drained" || fail "drain: $(cat "$FOLDER/drained")"
done
again=$(ask 1 --tokens 80 2>"$FOLDER/asked") || fail "engine$silent is not used over new connections: $(cat "$FOLDER/asked")"
same "answer over a new connection" "$expected" "$again"

for i in 1 2 3; do set_fault "$(service_address "$i")" '{"silent":1}'; done
same "outcome of a booking whose connection went silent" "may have run" "$(outcome 1 --idempotency silent-1)"
for i in 1 2 3; do set_fault "$(service_address "$i")" '{"silent":0}'; done
for vm in 2 3 1; do
  same "outcome of the same key at vm$vm" "may have run" "$(outcome "$vm" --idempotency silent-1)"
done
same "runs of the silent booking" 1 "$(runs silent-1)"
same "outcome of a new booking" "ran" "$(outcome 1 --idempotency silent-2)"
same "runs of the new booking" 1 "$(runs silent-2)"
echo "silent: answer complete after $round rounds, booking answered as may have run, and it ran once"
