#!/usr/bin/env bash
# Single faults, one after the other: a request that crashes servers, a shed upload, silent
# connections, a leaving server, a domain partitioned from all others while the store is down, a
# host that starts without the store.
source "$(dirname "$0")/common.sh"
start 10
key=plk_maumee_weaverscoop
get () { curl -s -o "$work/answer" -w '%{http_code}' -m 9 -H "X-Api-Key: $key" "$@"; }
runs_at () { curl -s "http://$platform/journal" | grep -o "\"$1\"\]" | wc -l; }
report () { curl -s -H 'Authorization: Bearer plo_maumee' "http://127.0.0.1:$1/report"; }
cut_off () { # sets the partition of superior-b-1 from all other hosts, in both directions
  for port in 21301 21302 21303 21304 21305 21306 21307; do
    curl -s -o /dev/null -X POST -H 'Authorization: Bearer plo_maumee' "http://127.0.0.1:$port/cut?peer=superior-b-1&on=$1"
  done
  for peer in erie-a-1 erie-a-2 erie-b-1 huron-a-1 huron-a-2 huron-b-1 superior-a-1; do
    curl -s -o /dev/null -X POST -H 'Authorization: Bearer plo_maumee' "http://127.0.0.1:21308/cut?peer=$peer&on=$1"
  done
}

# A request that crashes each server that runs it, sent to several hosts again and again.
for round in 1 2 3; do
  for port in 21001 21003 21004 21006 21007; do get "http://127.0.0.1:$port/stock/bomb?fault=crash" > /dev/null; done
done
killed=$(curl -s "http://$platform/journal" | grep -o '"crash","[^"]*"' | sort -u | wc -l)
[ "$killed" -le 2 ] || fail "one request crashed $killed servers, at most 2 allowed"
[ "$killed" -ge 1 ] || fail "the request crashed no server, so the check above shows nothing"
until_true 8 sh -c "curl -s 'http://127.0.0.1:22001/health' | grep -q load" || fail "the crashed server has not restarted"

# A long upload that is shed cannot be retried, since its bytes are no longer buffered.  It must be
# refused at once as not run; a retry would wait for bytes that never come.
for i in $(seq 12); do fault "server=weaverdesk-$i&kind=shed"; done
head -c 3000000 /dev/zero > "$work/photo"
code=$(curl -s -m 4 -o /dev/null -D "$work/head" -w '%{http_code}' -X PUT -H "X-Api-Key: $key" \
  --data-binary @"$work/photo" http://127.0.0.1:21001/photos)
[ "$code" = 503 ] || fail "a long upload that is shed: status $code, 503 expected"
grep -qi 'Pomelolatch-Outcome: not-run' "$work/head" || fail "the outcome of a shed upload is not not-run"
for i in $(seq 12); do fault "server=weaverdesk-$i&kind=take"; done

# A connection that has gone silent: the request is served by another server, and the server stays
# in use.
fault "server=stockroom-1&kind=silent"
for i in 1 2 3 4 5 6; do
  [ "$(get "http://127.0.0.1:21001/stock?bytes=50")" = 200 ] || fail "a request is lost on a silent connection"
done
fault "server=stockroom-1&kind=talking"

# A leaving server gets no new requests after 3 s; until then it may.
fault "server=stockroom-2&kind=leave"
sleep 3
before=$(runs_at stockroom-2)
for i in $(seq 60); do get "http://127.0.0.1:21003/stock?bytes=50" > /dev/null; done
[ "$(runs_at stockroom-2)" = "$before" ] || fail "a leaving server got requests"
fault "server=stockroom-2&kind=stay"

# A domain partitioned from all others and from the store continues to serve; no configuration is
# reverted afterwards.
cut_off 1
fault "store=down"
sleep 4
for i in $(seq 20); do
  [ "$(get "http://127.0.0.1:21308/stock" -o /dev/null)" != 000 ] || true
  code=$(curl -s -o /dev/null -w '%{http_code}' -H 'X-Api-Key: plk_maumee_boltdock' "http://127.0.0.1:21008/stock?bytes=50")
  [ "$code" = 200 ] || fail "the partitioned domain does not serve: status $code"
done
code=$(curl -s -m 9 -o /dev/null -D "$work/head" -w '%{http_code}' -X POST -H "X-Api-Key: $key" \
  -H 'Idempotency-Key: cut-1' -d x http://127.0.0.1:21008/orders)
[ "$code" = 503 ] || fail "an order without the store: status $code, 503 expected"
grep -qi 'Pomelolatch-Attempt: not-run' "$work/head" || fail "the attempt of an order without the store is not not-run"
curl -s "http://$platform/journal" > "$work/journal.json"
grep -q 'weaverscoop/cut-1' "$work/journal.json" && fail "an order ran without a claim"

# A host that restarts while the store is down gets its configuration from its peers.
pid=$(sed -n 's/^erie-a-2 //p' "$work/processes.list")
kill -9 "$pid"
tools/deployment host $name "$work" erie-a-2
until_true 10 sh -c "curl -s 'http://127.0.0.1:21002/pomelolatch/lookup' | grep -q superior-a-1 || \
  curl -s 'http://127.0.0.1:21002/pomelolatch/lookup' | grep -q erie-b-1" || fail "no configuration from peers"
until_true 10 sh -c "[ \$(curl -s -o /dev/null -w '%{http_code}' -H 'X-Api-Key: $key' 'http://127.0.0.1:21002/stock?bytes=50') = 200 ]" \
  || fail "a host without the store does not serve with loaned tokens"
fault "store=up"
printf 'release: during-cut\nadded:\n  services: [{name: extra}]\n' > "$work/cut.yaml"
$operators -w 2 release apply "$work/cut.yaml" > "$work/state"
cut_off 0
until_true 6 sh -c "$operators release status | grep -q 'version 2: in force everywhere'" || fail "the release is not in force everywhere after the partition"
exit 0
