#!/usr/bin/env bash
# Guards against a truncated, repeated or reordered answer when the engine that streams it dies, by SIGKILL or by a crash of its
# own in mid-stream.
source "$(dirname "$0")/lib.sh"

up --set times.balancer=0s --engine-flag --report-lag=0s
expected=$(ask 1 --tokens 80 2>/dev/null)

ask 1 --tokens 80 >"$FOLDER/answer" 2>"$FOLDER/asked" &
asked=$!
within 5 "the stream at an engine" find_busy_engine
sleep 0.3
kill -0 "$asked" || fail "the answer ended before the engine could be killed"
crash "engine$victim"
wait "$asked" || fail "the request failed when engine$victim was killed: $(cat "$FOLDER/asked")"
same "answer across the kill of engine$victim" "$expected" "$(cat "$FOLDER/answer")"

start "engine$victim"
within 10 "health of engine$victim" curl -sf -m 1 "http://$(engine_address "$victim")/healthz"
# Sets the crash fault at the engine that served the last request, which is likely the prompt's preferred upstream. The next
# request may still go to another engine; the fault is then set there too.
for _ in $(seq 10); do
  ask 1 --tokens 80 >"$FOLDER/answer" 2>"$FOLDER/asked" &
  asked=$!
  within 5 "the stream at an engine" find_busy_engine
  wait "$asked" || fail "the request failed when an engine crashed: $(cat "$FOLDER/asked")"
  same "answer across the crash of an engine" "$expected" "$(cat "$FOLDER/answer")"
  for i in 1 2 3 4; do
    if ended "engine$i"; then
      echo "kill: both answers complete and in order"
      exit 0
    fi
  done
  set_fault "$(engine_address "$victim")" '{"crash":10}'
done
fail "no engine crashed within 10 requests"
