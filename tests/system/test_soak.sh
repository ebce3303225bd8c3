#!/usr/bin/env bash
# Short soaks with fixed seeds, and with one mechanism off at a time, which must be seen.
set -uo pipefail
cd "$(dirname "$0")/../.."
soak=${BUILD:-build}/tests/soak/soak
work=$(mktemp -d)
export TMPDIR=$work
trap 'rm -rf "$work"' EXIT

fail () { echo "FAILED: $*"; tail -n 20 "$work/out"; exit 1; }

# Seeds that failed once, side by side.
block=1
pids=
while read -r seed seconds processes _; do
  "$soak" --seed "$seed" --seconds "$seconds" --processes "$processes" --block $block \
    > "$work/seed-$seed" & pids="$pids $!:$seed"
  block=$((block + 1))
done < <(grep -v '^#' tests/soak/regressions.txt)
for pair in $pids; do
  wait "${pair%%:*}" || { cp "$work/seed-${pair##*:}" "$work/out"; fail "seed ${pair##*:}"; }
done
# Work that runs once sent again, servers that leave used on, accounts without limit.
"$soak" --seed 7 --seconds 8 --processes 4 --switches 1 > "$work/out" && fail "a doubled order is not seen"
grep -q 'BROKEN.* ran 2 times' "$work/out" || fail "not for the reason expected"
"$soak" --seed 7 --seconds 2 --processes 4 --switches 2 > "$work/out" && fail "a used leaver is not seen"
grep -q 'BROKEN.* after it left' "$work/out" || fail "not for the reason expected"
"$soak" --seed 7 --seconds 6 --processes 4 --switches 4 > "$work/out" && fail "a missing limit is not seen"
grep -q 'BROKEN.* are allowed' "$work/out" || fail "not for the reason expected"
