#!/usr/bin/env bash
# The history checker must see a double run: unrepeatable work without claims, resent while the
# servers that run it crash.
source "$(dirname "$0")/common.sh"
start 30 $((1 << 5))
load 5000 "  - {at_ms: 1500, post: '$platform/fault?server=orderbook-1&kind=crash'}
  - {at_ms: 1500, post: '$platform/fault?server=orderbook-2&kind=crash'}
  - {at_ms: 2000, post: '$platform/fault?server=orderbook-3&kind=crash'}
  - {at_ms: 2000, post: '$platform/fault?server=orderbook-4&kind=crash'}
  - {at_ms: 2500, post: '$platform/fault?server=orderbook-5&kind=crash'}
  - {at_ms: 2500, post: '$platform/fault?server=orderbook-6&kind=crash'}"
if check_history; then fail "the checker saw no double run although claims were off"; fi
grep -q . "$work/journal.json" || fail "no journal"
