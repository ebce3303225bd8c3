#!/usr/bin/env bash
# Checks the settings of pomelolatch-entry: names that beacons can not carry whole are refused with
# the name of their field.
set -euo pipefail
cd "$(dirname "$0")/../.."
entry=${BUILD:-build}/pomelolatch-entry
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# Checks settings with a host and a domain whose names have $1 and $2 characters.
check () {
  {
    printf 'name: %0*d\ndomain: %0*d\n' "$1" 0 "$2" 0
    for field in caller ready directory peer metrics store; do
      printf '%s: 127.0.0.1:9000\n' "$field"
    done
    printf 'domains: ["a=b"]\n'
    for field in grace retry_ratio retry_slack cpu_share link_mbps; do
      printf '%s: "1s"\n' "$field"
    done
  } > "$folder/entry.yaml"
  "$entry" --settings "$folder/entry.yaml" --check 2> "$folder/findings"
}

# Checks settings with the line $1 in addition.
check_line () {
  check 5 5 && echo "$1" >> "$folder/entry.yaml"
  "$entry" --settings "$folder/entry.yaml" --check > "$folder/findings" 2>&1
}

for line in 'load_management: reported' 'fair_shares: "on"' 'hedge_ratio: "0.05"' 'max_shift: "0.15"' \
  'load_management_terms: [a, b]'; do
  check_line "$line" || { echo "refused: $line"; cat "$folder/findings"; exit 1; }
done
# Guards against a template's unknown placeholder, which leaves an empty value, ending the host: an
# empty value of an optional setting leaves the default in force.
for line in 'max_shift: ""' 'max_shift:' 'hedge_ratio: ""' 'fair_shares: ""' 'load_management: ""' \
  'memory_mb: ""' 'log_level: ""' 'handover: ""' 'directory_ttl_ms: ""' 'switches: ""' 'terms: ""'; do
  check_line "$line" || { echo "refused: $line"; cat "$folder/findings"; exit 1; }
done
check 5 5
sed -i 's/^store:.*/store: ""/' "$folder/entry.yaml"
if "$entry" --settings "$folder/entry.yaml" --check 2> "$folder/findings"; then
  echo "accepted: an empty required setting"
  exit 1
fi
grep -q "'store' must be" "$folder/findings"

for line in 'load_management: sometimes' 'fair_shares: "maybe"' 'hedge_ratio: "1.5"' 'hedge_ratio: "-0.1"' \
  'hedge_ratio: "5%"' 'max_shift: "nan"'; do
  ! check_line "$line" || { echo "accepted: $line"; exit 1; }
  grep -q "\"field\":\"${line%%:*}\"" "$folder/findings"
done

for length in 1 63 64 200; do
  check $length $length || { echo "refused: $length"; cat "$folder/findings"; exit 1; }
done
! check 201 3
grep -q "'name' must have at most 200 bytes" "$folder/findings"
! check 3 201
grep -q "'domain' must have at most 200 bytes" "$folder/findings"
