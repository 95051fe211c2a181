#!/usr/bin/env bash
# Guards against a call to a plain service that ends replica after replica because it comes again at any VM, also at one that was killed
# and started again, and against other calls with its path and account that are refused or lost for it.
source "$(dirname "$0")/lib.sh"

# The fleet starts members again 2 s after they have ended.
up --restart=2s --set times.balancer=0s --set times.lease=3s --set times.renew=1s --service-flag --delay=20ms --service-flag --crash-on=torn
within 20 "the first version in force" settled 1 1

# call VM PATH KEY BODY makes one call and prints when it was sent, its VM, path, key or "-", status and answer.
call() {
  local at=${EPOCHREALTIME/[.,]/} answer
  answer=$(curl -s -m 8 -w '\n%{http_code}' -X POST -H 'Authorization: Bearer key-baths-1' ${3:+-H "Idempotency-Key: $3"} -d "$4" "http://$(relay_address "$1")/services/booking$2") || true
  echo "${at::-3} vm$1 $2 ${3:--} ${answer##*$'\n'} ${answer%%$'\n'*}"
}

# caller NAME VM PATH BODIES... makes calls with the bodies in turn until the file "stop" exists; bookings, which go to /slots, have keys.
caller() {
  local name=$1 vm=$2 path=$3 n=0 key
  local history=$FOLDER/$name${path//\//.}.$vm
  shift 3
  while [ ! -e "$FOLDER/stop" ]; do
    n=$((n + 1)) key=
    [ "$path" != /slots ] || key=$name-$vm-$n
    call "$vm" "$path" "$key" "${*:$((n % $# + 1)):1}" >>"$history"
    sleep 0.1
  done
}
callers=()
# begin NAME BODIES... starts callers at all VMs.
begin() {
  for vm in 1 2 3; do
    for path in /balance/7 /slots; do
      caller "$1" "$vm" "$path" "${@:2}" &
      callers+=($!)
    done
  done
}

begin sound '{"slot":1}' '{"slot":2}' '{"slot":3}'
sleep 1
begin torn '{"slot":"torn"}'
sleep 8
crash vm2
within 20 "health of vm2" healthy 2
sleep 10
touch "$FOLDER/stop"
wait "${callers[@]}"

# crashes PATH prints when replicas began to run a call that ended them, in order; a path may be a pattern.
crashes() { sed -n "s|.*service crashes.* at=\([0-9]*\) .* path=$1 .*|\1|p" "$FOLDER"/fleet/booking*.log | sort -n; }
# answers FILES... counts answers by status and type of refusal.
answers() {
  cat "$@" | sed -E 's/^([^ ]+ ){4}([0-9]+).*"type":"([^"]*)".*/\2 \3/; t; s/^([^ ]+ ){4}([0-9]+).*/\2/' | sort | uniq -c | awk '{ printf "%s%d times %s %s", separator, $1, $2, $3; separator = ", " }'
}
violation() { echo "$*" >>"$FOLDER/violations"; }

ended=$(crashes '.*' | wc -l)
[ "$ended" -ge 3 ] || fail "$ended replicas ended, expected three at least"
# Replicas that end within 3 s of the third are back after 2 s more, and known to be within a second.
settled=$(($(crashes '.*' | sed -n 3p) + 6000))
for path in /balance/7 /slots; do
  name=${path//\//.}
  third=$(crashes "$path" | sed -n 3p)
  late=$(crashes "$path" | awk -v from="$((${third:-0} + 3000))" 'NR > 3 && $1 > from' | wc -l)
  echo "crashing: $path: $(crashes "$path" | wc -l) replicas ended, $late of them later than 3 s after the third; answers: $(answers "$FOLDER/torn$name".*); to other bodies: $(answers "$FOLDER/sound$name".*)"
  [ "$late" -le 3 ] || violation "$late replicas ended under the call to $path later than 3 s after the third"

  refused=$(cat "$FOLDER/sound$name".* | grep -c '"type":"quarantined"' || true)
  [ "$refused" = 0 ] || violation "$refused calls to $path with other bodies were refused as ones that end replicas"
  # A VM that is down gives no answer.
  later=$(cat "$FOLDER/sound$name".* | awk -v from="$settled" '$1 > from && $5 != "000"' | wc -l)
  served=$(cat "$FOLDER/sound$name".* | awk -v from="$settled" '$1 > from && $5 == "200"' | wc -l)
  [ "$later" -ge 50 ] || violation "only $later calls to $path with other bodies were sent, expected 50 at least for a meaningful result"
  [ "$((served * 10))" -ge "$((later * 9))" ] || violation "$served of $later calls to $path with other bodies were answered with 200 later than 6 s after the third replica had ended"
done

sed -n 's/.*work ran.* key=\([a-z][^ ]*\) .*/\1/p' "$FOLDER"/fleet/booking*.log | sort >"$FOLDER/ran"
cat "$FOLDER"/*.slots.* | awk '/"outcome":"not run"/ { print $4 }' | sort >"$FOLDER/refused"
comm -12 "$FOLDER/ran" "$FOLDER/refused" | sed 's/$/ was answered as not run, but it ran/' >>"$FOLDER/violations"
uniq -d "$FOLDER/ran" | sed 's/$/ ran more than once/' >>"$FOLDER/violations"
[ ! -s "$FOLDER/violations" ] || fail "$(cat "$FOLDER/violations")"
