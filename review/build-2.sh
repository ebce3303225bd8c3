#!/bin/bash
# Builds the stand-ins of cases 6 to 10 into target/review-2/, with the packages of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c11 -D_GNU_SOURCE -O1 -g -Wall -Wextra"
packages="glib-2.0 jansson"
for program in names weights; do
  cc $flags $(pkg-config --cflags $packages) review/rig2/rig.c "review/rig2/$program.c" \
    -o "$out/$program" $(pkg-config --libs $packages) -pthread
done
