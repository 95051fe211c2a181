#!/usr/bin/env bash
# Measures cache hits, TTFT and errors in the first 10 s after a restart of no, one and all relay VMs, with six relays, nine
# engines and the "coop" trace. Each case starts a new fleet, replays 30 s to warm the engines' caches, restarts, and replays the
# next 10 s.
if [ $# -eq 0 ]; then
  for case in none one all; do bash "$0" "$case" || exit 1; done
  exit
fi
source "$(dirname "$0")/../lib.sh"
case=$1
"$BIN/chicorybench" trace coop --rate "${RATE:-16}" --duration 40s --bookings 0 --shift 60s -o "$FOLDER/whole.jsonl" 2>/dev/null
jq -c 'select(.arrival < 30000000000)' "$FOLDER/whole.jsonl" >"$FOLDER/warm.jsonl"
jq -c 'select(.arrival >= 30000000000) | .arrival -= 30000000000' "$FOLDER/whole.jsonl" >"$FOLDER/after.jsonl"
relays=$(for i in 1 2 3 4 5 6; do relay_address $i; done | paste -sd,)

up --relays 6 --voters 3 --engines 9 --services 1 --centres 3 --regions 3 --cache 96000 --set log=error --set times.balancer=0s
"$BIN/chicorybench" replay --trace "$FOLDER/warm.jsonl" --relay "$relays" --quiet >/dev/null 2>&1
case $case in
  one) victims=vm4 ;;
  all) victims="vm1 vm2 vm3 vm4 vm5 vm6" ;;
  *) victims= ;;
esac
for name in $victims; do crash "$name"; done
for name in $victims; do start "$name"; done
for i in 1 2 3 4 5 6; do
  until curl -sf "http://$(relay_address $i)/healthz" >/dev/null; do sleep 0.05; done
done
"$BIN/chicorybench" replay --trace "$FOLDER/after.jsonl" --relay "$relays" --quiet --name "$case" --report "$FOLDER/report.json" >/dev/null 2>&1 || true
jq -r '"\(.name): hit share \(.hit_share*1000|round/1000), p50 \(.first.p50/1e6|round) ms, p99 \(.first.p99/1e6|round) ms, served \(.served) of \(.requests), errors \(.errors), refused \(.refused)"' "$FOLDER/report.json"
