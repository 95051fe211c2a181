# Functions shared by the scenario scripts. Starts a fleet on loopback and stops only the processes of that fleet on exit.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
BIN=${BIN:-$PWD/.bin}
BASE=${BASE:-17100}
FOLDER=$(mktemp -d)
FLEET=
mkdir "$FOLDER/commands" "$FOLDER/pids"
: >"$FOLDER/started"
: >"$FOLDER/restarted"

# up FLAGS... starts a fleet with the given flags of "chicorybench up" and waits up to 30 s until it is healthy.
up() {
  "$BIN/chicorybench" up --keep --base "$BASE" --folder "$FOLDER/fleet" "$@" >"$FOLDER/members.json" 2>"$FOLDER/up.log" &
  FLEET=$!
  for _ in $(seq 300); do
    if grep -q '^}' "$FOLDER/members.json"; then
      record_members
      return 0
    fi
    kill -0 "$FLEET" 2>/dev/null || break
    sleep 0.1
  done
  cat "$FOLDER/up.log" >&2
  fail "the fleet did not start or was not healthy within 30 s"
}

# record_members records the command and process ID of each member, so that crash and start can use them.
record_members() {
  jq -r '.members[] | "\(.name) \(.process)"' "$FOLDER/members.json" | while read -r name pid; do
    cp "/proc/$pid/cmdline" "$FOLDER/commands/$name"
    echo "$pid" >"$FOLDER/pids/$name"
    echo "$pid" >>"$FOLDER/started"
  done
}

# down is the exit trap: it stops all processes, reports those that did not stop, and removes the folder.
down() {
  status=$?
  trap - ERR
  set +e
  trap '' INT TERM
  # Kills callers that still wait for an answer.
  for pid in $(jobs -p); do
    [ "$pid" = "$FLEET" ] || grep -qx "$pid" "$FOLDER/restarted" || kill -KILL "$pid"
  done 2>/dev/null
  # Relays stop before the stand-ins, because a relay needs upstreams to complete the requests in progress.
  stop_restarted "chicoryrelay"
  if [ -n "$FLEET" ]; then
    kill -TERM "$FLEET"
    wait "$FLEET"
  fi
  stop_restarted "chicorystandin"
  while read -r pid; do
    if kill -0 "$pid"; then
      echo "process $pid still runs after the shutdown: $(tr '\0' ' ' <"/proc/$pid/cmdline")" >>"$FOLDER/leftover"
      kill -KILL "$pid"
    fi
  done <"$FOLDER/started" 2>/dev/null
  # chicorybench kills a process that does not stop on SIGTERM. A relay that needs this would cut requests at a graceful shutdown.
  grep 'did not stop' "$FOLDER/up.log" >>"$FOLDER/leftover"
  if [ -s "$FOLDER/leftover" ]; then
    echo "FAILED: $(cat "$FOLDER/leftover")" >&2
    status=1
  fi
  if [ "$status" -ne 0 ]; then
    tail -n "${TAIL:-20}" "$FOLDER"/fleet/vm*.log
  fi
  rm -rf "$FOLDER"
  exit "$status"
}

# stop_restarted PROGRAM stops the members that this script started with start and that run the program.
stop_restarted() {
  for pid in $(cat "$FOLDER/restarted"); do
    if tr '\0' ' ' <"/proc/$pid/cmdline" | grep -q "^[^ ]*$1 "; then
      kill -TERM "$pid"
      kill -CONT "$pid"
      for _ in $(seq 100); do
        kill -0 "$pid" || continue 2
        sleep 0.1
      done
      echo "process $pid did not stop within 10 s of SIGTERM" >>"$FOLDER/leftover"
    fi
  done 2>/dev/null
}
trap down EXIT
# Reports a command that fails outside a check, since errexit alone ends the script without a message.
set -E
trap 'echo "FAILED: line $LINENO: $BASH_COMMAND" >&2' ERR

# stop_fleet stops the processes that chicorybench started. After a failure it copies their logs first, because chicorybench
# removes their folder.
stop_fleet() {
  [ -n "$FLEET" ] || return 0
  if [ "$status" -ne 0 ]; then
    mkdir -p "$FOLDER/fleet.logs"
    cp "$FOLDER"/fleet/vm*.log "$FOLDER/fleet.logs/"
  fi
  kill -TERM "$FLEET"
  wait "$FLEET"
  FLEET=
} 2>/dev/null

fail() { echo "FAILED: $*" >&2; exit 1; }

# The *_address functions print the loopback address of the VM, engine or service replica with the given number.
relay_address() { echo "127.0.0.1:$((BASE + 10 * ($1 - 1)))"; }
operator_address() { echo "127.0.0.1:$((BASE + 10 * ($1 - 1) + 1))"; }
engine_address() { echo "127.0.0.1:$((BASE + 200 + $1 - 1))"; }
service_address() { echo "127.0.0.1:$((BASE + 400 + $1 - 1))"; }
platform_address() { echo "127.0.0.1:$((BASE + 500))"; }

# pid NAME prints the process ID of a member's latest start.
pid() { cat "$FOLDER/pids/$1"; }

# alive NAME succeeds if the member runs; a killed member whose parent has not reaped it yet (state Z) counts as ended.
alive() { [ "$(sed 's/.*) //; s/ .*//' "/proc/$(pid "$1")/stat" 2>/dev/null || echo Z)" != Z ]; }

ended() { ! alive "$1"; }

# crash NAMES... kills members with SIGKILL and waits until they have ended.
crash() {
  for name in "$@"; do
    # Keeps bash from printing "Killed" for a member that this script started.
    disown "$(pid "$name")" 2>/dev/null || true
    kill -KILL "$(pid "$name")"
  done
  for name in "$@"; do within 5 "the end of $name" ended "$name"; done
}

# start NAMES... starts members again with their recorded commands.
start() {
  local name command
  for name in "$@"; do
    mapfile -d '' command <"$FOLDER/commands/$name"
    "${command[@]}" >>"$FOLDER/fleet/$name.log" 2>&1 &
    echo $! >"$FOLDER/pids/$name"
    echo $! | tee -a "$FOLDER/started" >>"$FOLDER/restarted"
  done
}

# freeze and thaw NAMES... suspend members with SIGSTOP and resume them with SIGCONT.
freeze() { for name in "$@"; do kill -STOP "$(pid "$name")"; done; }
thaw() { for name in "$@"; do kill -CONT "$(pid "$name")"; done; }

# within SECONDS WHAT COMMAND... retries the command until it succeeds, and fails after that time. The timeouts are far above the
# expected durations, so that a busy machine does not fail a scenario.
within() {
  local deadline=$(($(date +%s) + $1)) seconds=$1 what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s)" -lt "$deadline" ] || fail "timed out after $seconds s waiting for $what"
    sleep 0.05
  done
}

# same WHAT EXPECTED ACTUAL fails unless both values are equal.
same() { [ "$2" = "$3" ] || fail "$1: expected '$2', got '$3'"; }

# healthy VM succeeds if the relay reports itself ready.
healthy() { curl -sf -m 2 "http://$(relay_address "$1")/healthz" >/dev/null; }

# set_fault ADDRESS FAULT sets a fault, written as JSON, at an engine or service replica.
set_fault() { curl -sf -m 5 -X POST -d "$2" "http://$1/fault" >/dev/null || fail "could not set fault $2 at $1"; }

ask() { "$BIN/chicorybench" ask --relay "$(relay_address "$1")" "${@:2}"; }
book() { "$BIN/chicorybench" book --relay "$(relay_address "$1")" "${@:2}"; }
ctl() { CHICORY_KEY=key-coop-admin "$BIN/chicoryctl" --address "$(operator_address "$1")" "${@:2}"; }

# outcome VM FLAGS... books and prints the outcome: "running" while another attempt with the same key is in progress, "lost" if no
# answer arrived.
outcome() {
  local line
  line=$(book "$@" 2>/dev/null) || true
  case $line in
    *' status=0 '*) echo lost ;;
    *'\"type\":\"running\"'*) echo running ;;
    *) echo "$line" | sed 's/^outcome="\([^"]*\)".*/\1/' ;;
  esac
}

# book_without_key VM books without an idempotency key and prints the outcome. Without a key a VM can refuse as "not run" without
# asking other VMs.
book_without_key() {
  curl -s -m 20 -X POST -H 'Authorization: Bearer key-baths-1' -d '{"slot":1}' "http://$(relay_address "$1")/services/booking/slots" |
    jq -r 'if .error then .error.outcome else "ran" end'
}

# rows VM QUERY... prints the rows of a query, one a line, with values separated by spaces.
rows() { ctl "$1" --json show "${@:2}" | jq -r '.rows[] | map(tostring) | join(" ")'; }

# leader VM prints the number of the VM that is leader in the view of the given VM.
leader() { rows "$1" voters where leader = true | sed 's/^vm\([0-9]*\) .*/\1/'; }

# installed_version VM prints the configuration version that the VM has installed.
installed_version() { rows "$1" vms where name = "vm$1" | awk '{ print $8 }'; }

# version_in_force VM prints the configuration version in force in the view of a control VM.
version_in_force() { rows "$1" versions where state = '"in force"' | awk '{ print $1 }'; }

# settled VM VERSION succeeds if the version is in force.
settled() { [ "$(version_in_force "$1")" = "$2" ]; }

# runs KEY prints the total number of runs of a booking at all replicas.
runs() {
  local total=0 n
  for port in 400 401 402; do
    n=$("$BIN/chicorybench" runs --address "127.0.0.1:$((BASE + port))" --idempotency "$1") || fail "could not get the runs of $1 from the replica at 127.0.0.1:$((BASE + port))"
    total=$((total + n))
  done
  echo "$total"
}

# find_busy_engine sets victim to an engine that works on a request. It stores the result because the request may have ended by
# the next poll.
find_busy_engine() { victim=$(busy_engine); }

# busy_engine prints the number of an engine that works on a request. The engines must run with --report-lag=0s.
busy_engine() {
  for i in $(seq "${ENGINES:-4}"); do
    if [ "$(curl -sf -m 1 "http://$(engine_address "$i")/load" | jq .running 2>/dev/null)" -gt 0 ] 2>/dev/null; then
      echo "$i"
      return 0
    fi
  done
  return 1
}
