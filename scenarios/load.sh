#!/usr/bin/env bash
# Loads another weights version into one engine and then into all engines while callers are served. Then the holder of the order
# lease freezes, another VM takes over, and the frozen VM thaws. Guards against refused requests, concurrent loads beyond
# limits.loads, and an order of the thawed VM that replaces its successor's.
source "$(dirname "$0")/lib.sh"

# FENCED=false runs engines that ignore fencing numbers. They get their first order one lease period plus the transit time after
# the holder acquired the order lease.
up --services 0 --fenced="${FENCED:-true}" --engine-flag=--loading=1s --set times.balancer=100ms --set limits.loads=1

# report N prints engine N's load report.
report() { curl -s "http://127.0.0.1:$((BASE + 199 + $1))/load"; }
serves() { report "$1" | grep -q "\"weights\":\"$2\"" && report "$1" | grep -q '"loading":false'; }

# ask_until_stopped VM sends requests one after the other until the file "stop" exists, and records each answer and each refusal.
ask_until_stopped() {
  while [ ! -e "$FOLDER/stop" ]; do
    if ask "$1" --tokens 8 --prompt "question $RANDOM" >/dev/null 2>"$FOLDER/ask$1.log"; then
      echo . >>"$FOLDER/served$1"
    else
      cat "$FOLDER/ask$1.log" >>"$FOLDER/refused"
    fi
  done
}

# await SECONDS COMMAND... polls until the command succeeds, for about that time, and returns 1 if it never does.
await() {
  for _ in $(seq $((10 * $1))); do
    "${@:2}" && return 0
    sleep 0.1
  done
  return 1
}

ask_until_stopped 1 &
first=$!
ask_until_stopped 3 &
second=$!

echo "== engine2 loads weights 2"
ctl 1 do 'load upstream engine2 weights=2'
ctl 2 show upstreams name, weights where name = engine2
await 40 serves 2 2 || fail "engine2 does not serve weights 2: $(report 2)"
for engine in 1 3 4; do serves $engine 1 || fail "engine$engine no longer serves weights 1 although no order was sent to it: $(report $engine)"; done

echo "== all engines load weights 3, one at a time"
before=$(cat "$FOLDER"/served* | wc -l)
ctl 1 do 'load upstream engine1 weights=3; load upstream engine2 weights=3; load upstream engine3 weights=3; load upstream engine4 weights=3'
all_serve_3() {
  loading=$(for engine in 1 2 3 4; do report $engine; done | grep -c '"loading":true' || true)
  [ "$loading" -le 1 ] || fail "$loading engines load at once, limits.loads is 1"
  for engine in 1 2 3 4; do serves $engine 3 || return 1; done
}
await 60 all_serve_3 || fail "not all engines serve weights 3"

echo "== engine1 takes the role prefill"
ctl 1 do 'role upstream engine1 prefill'
prefills() { report 1 | grep -q '"role":"prefill"'; }
await 20 prefills || fail "engine1 has not taken its role: $(report 1)"

touch "$FOLDER/stop"
wait "$first" "$second"
after=$(cat "$FOLDER"/served* | wc -l)
# Without a refusal the file does not exist; the failure of cat must not set off the ERR trap.
echo "answers: $after, of these $((after - before)) while all engines loaded; refusals: $({ cat "$FOLDER/refused" 2>/dev/null || true; } | wc -l)"
[ "$after" -gt "$before" ] || fail "no request was served while the engines loaded"
[ ! -e "$FOLDER/refused" ] || fail "callers were refused: $(head -n 3 "$FOLDER/refused")"

# The holder of the order lease freezes once an engine has begun to load weights 4; another VM takes over and orders weights 5.
leader=$(ctl 1 --json show voters name where leader = true | grep -o 'vm[0-9]' | head -n 1)
other=$(( ${leader#vm} % 3 + 1 ))
echo "== $leader freezes while it loads weights 4, and vm$other gets the change to weights 5"
load_commands() { for engine in 1 2 3 4; do printf 'load upstream engine%d weights=%d;' "$engine" "$1"; done; }
ctl "$other" do "$(load_commands 4)"
load_started() { for engine in 1 2 3 4; do report $engine; done | grep -q '"loading":true'; }
await 20 load_started || fail "no engine began to load weights 4"
frozen=$(pid "$leader")
# A frozen process can't handle SIGTERM, so the exit trap resumes it before it stops the fleet.
resume_and_down() {
  status=$?
  set +e
  kill -CONT "$frozen" 2>/dev/null
  (exit "$status")
  down
}
trap resume_and_down EXIT
kill -STOP "$frozen"
change_accepted() { ctl "$other" do "$(load_commands 5)" >"$FOLDER/change.log" 2>&1; }
await 40 change_accepted || fail "no other VM took over: $(cat "$FOLDER/change.log")"
all_serve_5() {
  loading=$(for engine in 1 2 3 4; do report $engine; done | grep -c '"loading":true' || true)
  [ "$loading" -le 1 ] || fail "$loading engines load at once, limits.loads is 1"
  for engine in 1 2 3 4; do serves $engine 5 || return 1; done
}
any_serves_5() { for engine in 1 2 3 4; do serves $engine 5 && return 0; done; return 1; }
await 60 any_serves_5 || fail "no engine serves weights 5"
echo "== $leader thaws"
kill -CONT "$frozen"
await 60 all_serve_5 || fail "not all engines serve weights 5 after the thaw"
sleep 3
all_serve_5 || fail "not all engines serve weights 5 three seconds after the thaw"
