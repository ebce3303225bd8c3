#!/usr/bin/env bash
# End-to-end test through the public interfaces: look-ups, API keys, releases, answers, refusals
# and malicious input.
source "$(dirname "$0")/common.sh"
start 10
host=127.0.0.1:21001
key=plk_maumee_lakeshops
journal () { curl -s "http://$platform/journal" | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }
# status_of CURL-ARGUMENTS...
status_of () { curl -s -o "$work/answer" -D "$work/head" -w '%{http_code}' "$@"; }
expect () { [ "$2" = "$3" ] || fail "$1: expected $3, got $2"; }

# A look-up returns hosts of at least two failure domains, with that of the client's address
# block first.
until_true 5 sh -c "curl -s 'http://$host/pomelolatch/lookup?client=10.2.0.9' | grep -q huron-b" \
  || fail "no look-up returns hosts of huron-b"
curl -s "http://$host/pomelolatch/lookup?client=10.2.0.9" > "$work/lookup"
domains=$(grep -o '"domain":"[^"]*"' "$work/lookup" | sort -u | wc -l)
[ "$domains" -ge 2 ] || fail "the look-up returns hosts of $domains domains, at least 2 expected"
grep -o '"domain":"[^"]*"' "$work/lookup" | head -1 | grep -q huron-a \
  || fail "the first host of the look-up is not in the domain of the client's address block"

# The answer is complete and belongs to the request; no server receives the key, wherever it
# occurs in the request.
expect "served" "$(status_of -H "X-Api-Key: $key" "http://$host/stock/1?tag=a1&bytes=500")" 200
grep -q '^tag=a1 ' "$work/answer" || fail "the answer does not carry the tag of the request"
expect "length of the answer" "$(wc -c < "$work/answer")" 500
expect "keys in other headers and the query" "$(status_of -H "Authorization: Bearer $key" -H "Cookie: k=$key" \
  -H "User-Agent: $key" -H "X-Custom: $key" -H "Accept: $key" \
  "http://$host/stock?api_key=$key&tag=a2&KEY=$key")" 200
expect "key in the target" "$(status_of -H "X-Api-Key: $key" "http://$host/stock/$key")" 400
expect "encoded key in the target" \
  "$(status_of -H "X-Api-Key: $key" "http://$host/stock/plk%5Fmaumee_lakeshops")" 400
expect "keys seen by servers" "$(journal keys_seen)" 0
# Control: a key that is sent to a server directly is counted.
curl -s -o /dev/null -H "X-Api-Key: $key" "http://127.0.0.1:22001/stock"
expect "keys seen by servers after one was sent directly" "$(journal keys_seen)" 1

# Requests with no key, an unknown key and two keys are refused; an open route needs no key.
expect "no key" "$(status_of "http://$host/stock")" 401
expect "unknown key" "$(status_of -H "X-Api-Key: plk_nobody" "http://$host/stock")" 401
expect "two keys" \
  "$(status_of -H "X-Api-Key: $key" -H "Authorization: Bearer $key" "http://$host/stock")" 400
expect "open route" "$(status_of "http://$host/catalogue?bytes=50")" 200

# A truncated answer is not a success: a long one ends with a broken connection, a short one is
# replaced by a refusal.
curl -s -o /dev/null -H "X-Api-Key: $key" "http://$host/stock?fault=cut&bytes=3000000"
expect "exit status of curl for a partial file" $? 18
curl -s -o /dev/null -H "X-Api-Key: $key" "http://$host/stock?fault=cut-chunked&bytes=3000000&n=2" \
  && fail "a truncated chunked answer looks complete"
# The request has failed at two servers, so it counts as one that crashes servers (422).
expect "short truncated answer" "$(status_of -H "X-Api-Key: $key" "http://$host/stock?fault=cut&bytes=2000")" 422
grep -qi '^Pomelolatch-Outcome: unknown' "$work/head" \
  || fail "the outcome of a truncated answer is not unknown"

# When a caller disconnects, the connection to the server is closed and the request cancelled.
before=$(journal cancelled)
curl -s -m 0.4 -o /dev/null -H "X-Api-Key: $key" "http://$host/stock?think_ms=1200&bytes=8000000"
until_true 4 sh -c "[ \$(curl -s http://$platform/journal | grep -o '\"cancelled\":[0-9]*' | cut -d: -f2) -gt $before ]" \
  || fail "the server does not notice that the caller has disconnected"

# Large request bodies are streamed, with a length and chunked.
head -c 3000000 /dev/zero > "$work/photo"
expect "upload" "$(status_of -X PUT -H "X-Api-Key: $key" --data-binary @"$work/photo" \
  "http://$host/photos?tag=p&bytes=100")" 200
grep -q 'received=3000000' "$work/answer" || fail "the upload is incomplete"
expect "chunked upload" "$(status_of -X PUT -H "X-Api-Key: $key" -H 'Transfer-Encoding: chunked' \
  --data-binary @"$work/photo" "http://$host/photos?tag=p&bytes=100")" 200
grep -q 'received=3000000' "$work/answer" || fail "the chunked upload is incomplete"

# An unrepeatable request needs an idempotency key and runs once; a resend gets the stored answer.
expect "no idempotency key" "$(status_of -X POST -H "X-Api-Key: $key" -d x "http://$host/orders")" 400
order () { status_of -X POST -H "X-Api-Key: $key" -H 'Idempotency-Key: e2e-1' -d x \
  "http://127.0.0.1:$1/orders?tag=o1&bytes=80"; }
expect "order" "$(order 21001)" 200
until_true 5 sh -c "curl -s -D - -o /dev/null -X POST -H 'X-Api-Key: $key' -H 'Idempotency-Key: e2e-1' \
  -d x 'http://127.0.0.1:21005/orders?tag=o1&bytes=80' | grep -qi 'Pomelolatch-Replayed: true'" \
  || fail "a resend to another host does not get the stored answer"
curl -s "http://$platform/journal" > "$work/journal.json"
grep -q '"lakeshops/e2e-1":1' "$work/journal.json" || fail "the order did not run once"

# Ambiguous framing, which two parsers may read differently, is refused.
raw () { exec 3<> "/dev/tcp/127.0.0.1/21001"; printf "$1" >&3; timeout 3 head -1 <&3 | cut -d' ' -f2; exec 3>&-; }
expect "two lengths" "$(raw "POST /stock HTTP/1.1\r\nHost: a\r\nX-Api-Key: $key\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")" 400
expect "length and chunked" "$(raw "POST /stock HTTP/1.1\r\nHost: a\r\nX-Api-Key: $key\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")" 400
# The same in several writes: a reset caused by the bytes after the head must not discard the
# answer.
pieces () {
  exec 3<> /dev/tcp/127.0.0.1/21001
  printf 'POST /stock HTTP/1.1\r\nHost: a\r\nX-Api-Key: %s\r\n' "$key" >&3
  printf 'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n' >&3
  sleep 0.01
  printf '0\r\n' >&3
  sleep 0.01
  printf '\r\n' >&3
  timeout 3 head -1 <&3 | cut -d' ' -f2
  exec 3>&-
}
for _ in 1 2 3 4 5 6 7 8 9 10; do expect "length and chunked in pieces" "$(pieces)" 400; done
expect "forward port" "$(status_of -H 'Pomelolatch-Account: lakeshops' "http://127.0.0.1:21101/stock")" 403

# An invalid release: each finding is reported with its location, and nothing is changed.
cat > "$work/bad.yaml" <<EOF
release: bad-1
added:
  accounts:
    - {name: x, rate: minus, burst: 5, colour: red}
    - {name: tawas, rate: 5}
  keys:
    - {name: k, account: nobody, hash: abc}
  gadgets: []
EOF
$operators release apply "$work/bad.yaml" 2> "$work/findings"
expect "exit status of an invalid release" $? 1
for place in 4:23 4:40 5:7 7:40 8:3; do
  grep -q "bad.yaml:$place:" "$work/findings" || fail "no finding at location $place: $(cat "$work/findings")"
done
$operators release status | grep -q 'version 1: in force everywhere' || fail "an invalid release changed the version"
printf 'release: ref-1\nadded:\n  keys:\n    - {name: k, account: nobody, hash: %064d}\n' 0 > "$work/ref.yaml"
$operators release check "$work/ref.yaml" 2> "$work/findings"
expect "exit status of an unresolved reference" $? 1
grep -q 'ref.yaml:4:26: .*nobody' "$work/findings" || fail "no finding at location 4:26: $(cat "$work/findings")"

# The withdrawal of a key takes effect on connections that are already open.
exec 4<> /dev/tcp/127.0.0.1/21002
ask () { printf 'GET /stock?bytes=60 HTTP/1.1\r\nHost: a\r\nX-Api-Key: plk_maumee_tawas\r\n\r\n' >&4
  IFS=' ' read -r _ code _ <&4; echo "$code"; local line length=0
  while IFS= read -r line <&4; line=${line%$'\r'}; [ -n "$line" ]; do
    case $line in Content-Length:*) length=${line#*: } ;; esac; done
  head -c "$length" <&4 > /dev/null; }
expect "before the withdrawal" "$(ask)" 200
printf 'release: withdraw-1\nwithdrawn:\n  keys: [tawas-1]\n' > "$work/withdraw.yaml"
$operators -w 3 release apply "$work/withdraw.yaml" > /dev/null || fail "not in force within 3 s"
expect "after the withdrawal, same connection" "$(ask)" 401
exec 4>&-
# Applying a release again is idempotent; other content under the same id is refused.
$operators release apply "$work/withdraw.yaml" | grep -q 'version 2' || fail "applying a release again is not idempotent"
printf 'release: withdraw-1\nwithdrawn:\n  keys: [alpena-1]\n' > "$work/other.yaml"
$operators release apply "$work/other.yaml" 2> /dev/null
expect "exit status of other content under the same id" $? 5

# Random bytes and an incomplete record at the peer port do not block other peers.
head -c 100000 /dev/urandom > /dev/tcp/127.0.0.1/21203 2> /dev/null || true
exec 5<> /dev/tcp/127.0.0.1/21203
printf '\x00\x00\x10\x00half' >&5
printf 'release: after-garbage\nadded:\n  services: [{name: extra}]\n' > "$work/after.yaml"
$operators -w 3 release apply "$work/after.yaml" > /dev/null || fail "a stalled peer connection blocks releases"
exec 5>&-

# Reports follow the layout file; an invalid layout is refused with the location of the error.
$operators report settings/layouts/accounts.yaml > "$work/report"
grep -q '^CUSTOMER .*| .*ASKED' "$work/report" || fail "the report does not follow the layout"
printf 'rows: accounts\ncolumns:\n  - {heading: A, figure: nothing}\n' > "$work/layout.yaml"
$operators report "$work/layout.yaml" 2> "$work/findings"
expect "exit status of an invalid layout" $? 1
grep -q 'layout.yaml:3:5: .*nothing' "$work/findings" || fail "no finding at location 3:5: $(cat "$work/findings")"
# Saved to a file first: under pipefail curl would fail when grep -q exits early and closes the
# pipe.
curl -s -H 'Authorization: Bearer plo_maumee' http://127.0.0.1:21301/metrics > "$work/metrics"
grep -q 'pomelolatch_requests_total{account="lakeshops",result="served"}' "$work/metrics" \
  || fail "no metric of served requests"
grep -l "plk_" "$work"/*.log && fail "a log contains an API key"
exit 0
