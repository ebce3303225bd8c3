#!/usr/bin/env bash
# Callers, servers and the store record a run with a killed and a paused host, lost answers of the
# store, a store outage, server crashes and concurrent releases; the history checker verifies it.
source "$(dirname "$0")/common.sh"
start 10
release () { printf 'release: %s\nadded:\n  services: [{name: %s}]\n' "$1" "$1" > "$work/$1.yaml"; }
release race-1
release race-2
load 12000 "  - {at_ms: 1000, process: erie-a-1, signal: 9}
  - {at_ms: 2000, post: '$platform/fault?store=lose'}
  - {at_ms: 2500, process: huron-a-1, signal: 19}
  - {at_ms: 3500, post: '$platform/fault?store=up'}
  - {at_ms: 4500, process: huron-a-1, signal: 18}
  - {at_ms: 5000, post: '$platform/fault?store=down'}
  - {at_ms: 7000, post: '$platform/fault?store=up'}
  - {at_ms: 7500, post: '$platform/fault?server=stockroom-5&kind=crash'}
  - {at_ms: 8000, post: '$platform/fault?server=orderbook-4&kind=crash'}
  - {at_ms: 8500, release: $work/race-1.yaml}
  - {at_ms: 8500, release: $work/race-2.yaml}" &
loader=$!
sleep 3
tools/deployment host $name "$work" erie-a-1
sleep 6
$operators release apply "$work/race-1.yaml" > "$work/race.out" 2>&1 &
$operators release apply "$work/race-2.yaml" >> "$work/race.out" 2>&1
wait $loader
check_history || fail "the history violates an invariant"
until_true 5 $operators release status || fail "not all hosts have the same version"
$operators release history | grep -q race-1 || fail "race-1 is lost"
$operators release history | grep -q race-2 || fail "race-2 is lost"
