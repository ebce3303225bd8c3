#!/usr/bin/env bash
# The history checker must detect a double run: with claims disabled (bit 5 of the
# switches) an operation sent to two hosts runs twice; with claims it runs once.
source "$(dirname "$0")/common.sh"
start 10 $((1 << 5))
for port in 21001 21004; do
  curl -s -o /dev/null -X POST -H "X-Api-Key: plk_maumee_tawas" \
    -H "Idempotency-Key: op-1-77" -d order "http://127.0.0.1:$port/orders?tag=77&bytes=60"
done
echo '{"number":77,"account":"tawas","path":"/orders","unrepeatable":true,"send":0,"status":200,"end":0,"outcome":"","right":true}' \
  > "$work/history.json"
if check_history; then fail "the checker did not detect the double run with claims disabled"; fi
grep -q '"tawas/op-1-77":2' "$work/journal.json" || fail "the operation did not run twice"
