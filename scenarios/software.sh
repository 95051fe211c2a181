#!/usr/bin/env bash
# Guards against a stream that goes on at an engine of another software version than the one that began it: when its engine breaks off, when
# its caller resumes it at another VM, and after an engine has started with another version than the configured one.
source "$(dirname "$0")/lib.sh"

up --set times.balancer=0s --software 1.0,1.1 --engine-flag --report-lag=0s

# stream VM ROUND [EVENT_ID] writes a streamed answer to $FOLDER/stream, and continues it after the event if there is one.
stream() {
  curl -s -m 20 -H 'Authorization: Bearer key-baths-1' ${3:+-H "Last-Event-ID: $3"} "http://$(relay_address "$1")/v1/chat/completions" \
    -d "{\"model\":\"kiosk\",\"stream\":true,\"max_tokens\":24,\"messages\":[{\"role\":\"user\",\"content\":\"round $2 of the sheets\"}]}" >"$FOLDER/stream"
}
# versions prints the software versions of the events in the answer, and "done" if it is complete.
versions() {
  grep -o '"system_fingerprint":"[^"]*"' "$FOLDER/stream" | sort -u | cut -d '"' -f 4 || true
  ! grep -qx 'data: \[DONE\]' "$FOLDER/stream" || echo done
}
fifth_id() { sed -n 's/^id: //p' "$FOLDER/stream" | sed -n 5p; }
broken_attempts() { cat "$FOLDER"/fleet/vm*.log | grep -c 'attempt failed' || true; }

for round in $(seq 12); do
  for engine in 1 2; do set_fault "$(engine_address "$engine")" '{"break":4}'; done
  stream 1 "$round"
  began=$(versions | sed -n 1p)
  same "versions of stream $round" "$began done" "$(versions | paste -sd ' ')"
  id=$(fifth_id)
  same "version in the event ID" "$began" "$(echo "$id" | cut -d : -f 3)"
  stream 2 "$round" "$id"
  same "versions of stream $round, resumed at vm2" "$began done" "$(versions | paste -sd ' ')"
done
[ "$(broken_attempts)" -gt 0 ] || fail "no engine has broken a stream off within 12 rounds"

# Only engine1 and engine3 run 1.0. One is drained, the other one starts again with 1.1, which the configuration doesn't say.
until stream 1 old && [ "$(versions | paste -sd ' ')" = "1.0 done" ]; do :; done
old=$(fifth_id)
ctl 1 do "drain upstream engine3" >/dev/null 2>"$FOLDER/drained" || fail "drain: $(cat "$FOLDER/drained")"
crash engine1
sed -i 's/--software\x00[^\x00]*\x00/--software\x001.1\x00/' "$FOLDER/commands/engine1"
start engine1
restarted() { curl -sf -m 1 "http://$(engine_address 1)/load" | grep -q '"software":"1.1"'; }
within 10 "engine1 with its new version" restarted
for vm in 1 2 3; do
  stream "$vm" old "$old"
  same "versions of a stream of 1.0 that only engine1 could go on with, at vm$vm" "" "$(versions | paste -sd ' ')"
done

# The other engines of 1.1 are drained as well, so that engine1 goes on with their streams.
until stream 1 new && [ "$(versions | paste -sd ' ')" = "1.1 done" ]; do :; done
new=$(fifth_id)
ctl 1 do "drain upstream engine2; drain upstream engine4" >/dev/null 2>"$FOLDER/drained" || fail "drain: $(cat "$FOLDER/drained")"
resumed() { stream 2 new "$new" && [ "$(versions | paste -sd ' ')" = "1.1 done" ]; }
within 10 "the stream of 1.1 at engine1" resumed
echo "software: 12 streams and their resumes of one version each, $(broken_attempts) attempts broken off; an engine that has changed its version goes on with streams of the new one only"
