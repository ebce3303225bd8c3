#!/usr/bin/env bash
# A short soak with a fixed seed, and the same with one mechanism off at a time, which it must see.
set -uo pipefail
cd "$(dirname "$0")/../.."
soak=${BUILD:-build}/tests/soak/soak
work=$(mktemp -d)
export TMPDIR=$work
trap 'rm -rf "$work"' EXIT

fail () { echo "FAILED: $*"; tail -n 20 "$work/out"; exit 1; }

"$soak" --seed 7 --seconds 6 --processes 4 > "$work/out" || fail "seed 7 breaks a promise"
# Work that runs once sent again, servers that leave used on, accounts without limit.
"$soak" --seed 7 --seconds 8 --processes 4 --switches 1 > "$work/out" && fail "a doubled order is not seen"
grep -q 'BROKEN.* ran 2 times' "$work/out" || fail "not for the reason expected"
"$soak" --seed 7 --seconds 2 --processes 4 --switches 2 > "$work/out" && fail "a used leaver is not seen"
grep -q 'BROKEN.* after it left' "$work/out" || fail "not for the reason expected"
"$soak" --seed 7 --seconds 6 --processes 4 --switches 4 > "$work/out" && fail "a missing limit is not seen"
grep -q 'BROKEN.* are allowed' "$work/out" || fail "not for the reason expected"
