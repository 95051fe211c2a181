#!/usr/bin/env bash
# Measures how much the relay adds to the time to first token (TTFT): replays the same trace directly to one engine and then
# through one relay.
source "$(dirname "$0")/../lib.sh"
"$BIN/chicorybench" trace coop --rate 20 --duration 20s --bookings 0 -o "$FOLDER/trace.jsonl" 2>/dev/null
up --engines 1 --services 1 --relays 1 --voters 1 --engine-flag=--prefill=10000000 --engine-flag=--decode=1000 --slots 64 --cache 2000000 --set log=error --set times.balancer=0s
# cpu_ticks prints the user and system CPU time of the relay in clock ticks of 10 ms.
cpu_ticks() { sed 's/.*) //' "/proc/$(pid vm1)/stat" | awk '{ print $12 + $13 }'; }
for round in warm 1; do
  "$BIN/chicorybench" replay --trace "$FOLDER/trace.jsonl" --direct --relay "$(engine_address 1)" --name direct --report "$FOLDER/direct.json" --quiet >/dev/null 2>&1
  before=$(cpu_ticks)
  "$BIN/chicorybench" replay --trace "$FOLDER/trace.jsonl" --relay "$(relay_address 1)" --name relay --report "$FOLDER/relay.json" --quiet >/dev/null 2>&1
  after=$(cpu_ticks)
  [ "$round" = warm ] || jq -rs --argjson cpu "$((after - before))" '"direct p50 \(.[0].first.p50/1e6) ms p99 \(.[0].first.p99/1e6) ms; relay p50 \(.[1].first.p50/1e6) ms p99 \(.[1].first.p99/1e6) ms; \(.[1].served) served, \(.[1].prompt_tokens) prompt and \(.[1].answer_tokens) answer tokens, \($cpu*10) ms of CPU time in the relay"' "$FOLDER/direct.json" "$FOLDER/relay.json"
done
