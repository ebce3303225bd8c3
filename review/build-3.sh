#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build-review-3/.  The entry hosts are those of the
# build that deploy/system.toml names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
for name in clipped closing garbled leaving watchers; do
  cc -D_GNU_SOURCE -std=c11 -O2 -g -Wall -Wextra -pthread -Ireview/rig3 \
    -o "build-review-3/$name" review/rig3/rig.c "review/rig3/$name.c"
done
