#!/usr/bin/env bash
# Guards against new requests to a leaving upstream, and against cutting its requests in progress. The three signals are a drain
# in the configuration, the engine's load report, and the platform's leaving list.
source "$(dirname "$0")/lib.sh"

up --set times.balancer=0s --set times.lease=3s --set times.renew=1s --engine-flag --report-lag=0s --engine-flag --event-lag=0s
within 20 "the first version in force" settled 1 1

# ask_until_stopped VM sends requests with distinct prompts until the file "stop" exists, so that each engine keeps getting
# requests.
ask_until_stopped() {
  local n=0
  while [ ! -e "$FOLDER/stop" ]; do
    n=$((n + 1))
    ask "$1" --tokens 24 --prompt "Question $n of vm$1" >/dev/null 2>"$FOLDER/asked.$1" || echo "vm$1: $(cat "$FOLDER/asked.$1")" >>"$FOLDER/failures"
    echo >>"$FOLDER/answered"
  done
}
callers=()
for vm in 1 2 3 1 2 3 1 2 3 1 2 3; do
  ask_until_stopped "$vm" &
  callers+=($!)
done
requests() { curl -sf -m 2 "http://$(engine_address "$1")/load" | jq '.running + .waiting'; }
has_work() { [ "$(requests "$1")" -gt 0 ]; }

# no_new_requests ENGINE CASE fails if the engine gets a request within about 2 s: its number of requests may only fall. A request
# takes much longer than the interval between two polls, so none is missed.
no_new_requests() {
  local last now
  last=$(requests "$1")
  for _ in $(seq 40); do
    now=$(requests "$1")
    [ "$now" -le "$last" ] || fail "$2: engine$1 got a request: $last, then $now"
    last=$now
    sleep 0.04
  done
}

# start_long_answers CASE starts eight long answers, which spread over all engines; check_long_answers CASE waits for their ends
# and checks that none was cut or resumed.
start_long_answers() {
  asked=()
  for n in $(seq 8); do
    ask $((n % 3 + 1)) --tokens 160 --prompt "Long answer $1 $n" >"$FOLDER/long.$n" 2>"$FOLDER/long.asked.$n" &
    asked+=($!)
  done
}
check_long_answers() {
  for n in $(seq 8); do
    wait "${asked[$((n - 1))]}" || fail "$1: a stream in progress was cut: $(cat "$FOLDER/long.asked.$n")"
    same "$1: resumes of the stream in progress" "resumes=0" "$(grep -o 'resumes=[0-9]*' "$FOLDER/long.asked.$n")"
  done
}

start_long_answers drain
within 10 "work at engine1" has_work 1
ctl 2 do 'drain upstream engine1' >/dev/null 2>"$FOLDER/refused" || fail "drain: $(cat "$FOLDER/refused")"
no_new_requests 1 "drained"
check_long_answers "drained"
idle() { [ "$(requests "$1")" = 0 ]; }
within 10 "the end of the work at engine1" idle 1

start_long_answers report
within 10 "work at engine2" has_work 2
set_fault "$(engine_address 2)" '{"leave":true}'
excluded() { for vm in 1 2 3; do [ -n "$(rows "$vm" explain batch coop-1 where upstream = "$1" | awk '{ print $8 }')" ] || return 1; done; }
within 8 "all VMs to exclude engine2" excluded engine2
check_long_answers "reported as leaving"
no_new_requests 2 "reported as leaving"

start_long_answers list
within 10 "work at engine3" has_work 3
curl -sf -X POST -d "{\"name\":\"engine3\",\"address\":\"$(engine_address 3)\",\"state\":\"leaving\"}" "http://$(platform_address)/set"
within 8 "all VMs to exclude engine3" excluded engine3
no_new_requests 3 "on the leaving list"
check_long_answers "on the leaving list"
within 10 "the end of the work at engine3" idle 3

touch "$FOLDER/stop"
wait "${callers[@]}"
[ ! -e "$FOLDER/failures" ] || fail "requests failed: $(cat "$FOLDER/failures")"

# booking_count REPLICA prints the number of bookings that a service replica has run, by its own count.
booking_count() { "$BIN/chicorybench" runs --address "$(service_address "$1")" | wc -l; }
book_20() { for n in $(seq 20); do same "booking $1-$n" ran "$(outcome $((n % 3 + 1)) --idempotency "$1-$n")"; done; }
book_20 before
[ "$(booking_count 1)" -gt 0 ] || fail "booking1 got no booking before the drain"
ctl 3 do 'drain upstream booking1' >/dev/null 2>"$FOLDER/refused" || fail "drain: $(cat "$FOLDER/refused")"
before=$(booking_count 1)
book_20 drained
same "bookings at the drained replica" "$before" "$(booking_count 1)"
curl -sf -X POST -d "{\"name\":\"booking2\",\"address\":\"$(service_address 2)\",\"state\":\"leaving\"}" "http://$(platform_address)/set"
# Longer than one poll interval of the leaving list plus the list's lag of 2 s.
sleep 5
before=$(booking_count 2)
book_20 listed
same "bookings at the replica on the leaving list" "$before" "$(booking_count 2)"
echo "drain: $(wc -l <"$FOLDER/answered") short and 24 long answers complete, no new requests to leaving upstreams"
