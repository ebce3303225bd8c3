#!/usr/bin/env bash
# Planned stops under load abort no request: three entry hosts stop one after the other, two of them
# are restarted, and a server is drained by a release.
source "$(dirname "$0")/common.sh"
start 30
printf 'release: drain-1\nadded:\n  drains: [{name: d1, server: stockroom-3}]\n' > "$work/drain.yaml"
load 12000 "  - {at_ms: 1000, process: erie-a-1, signal: 15}
  - {at_ms: 2000, process: huron-b-1, signal: 15}
  - {at_ms: 3000, release: $work/drain.yaml}
  - {at_ms: 6000, process: superior-a-1, signal: 15}" > "$work/table" &
loader=$!
sleep 8
tools/deployment host $name "$work" erie-a-1
tools/deployment host $name "$work" huron-b-1
wait $loader
cat "$work/table"
check_history || fail "the history violates an invariant"
cut=$(grep -v '"status":200' "$work/history.json" | grep -c '"end":[23]')
grep -v '"status":200' "$work/history.json" | grep '"end":[23]'
[ "$cut" = 0 ] || fail "planned stops aborted $cut requests"
until_true 10 sh -c "$operators report settings/layouts/drains.yaml | grep -q 'stockroom-3,'" || fail "the report lacks the drain time of stockroom-3"
exit 0
