# Functions for the system tests: start a deployment on loopback, which is always stopped at exit.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
build=${BUILD:-build}
work=$(mktemp -d)
name=maumee
operators="$build/pomelolatch -s settings/$name/operators.yaml"
platform=$(sed -n 's/^platform: //p' settings/$name/load.yaml)

finish () {
  local status=$?
  tools/deployment stop "$work" || status=1
  if [ $status -ne 0 ]; then find "$work" -name "*.log" -size +0 -exec tail -n 5 {} +; fi
  rm -rf "$work"
  exit $status
}

start () {
  tools/deployment start $name "$work" "${1:-10}" "${2:-0}"
  trap finish EXIT
  $operators -w 10 release apply settings/$name/release-1.yaml > "$work/apply.out"
}

fail () { echo "FAILED: $*"; exit 1; }

fault () { curl -s -o /dev/null -X POST "http://$platform/fault?$1"; }

# until_true SECONDS COMMAND...: runs COMMAND until it succeeds, for at most SECONDS
until_true () {
  local limit=$(($1 * 20))
  shift
  for ((i = 0; i < limit; i++)); do
    if "$@" > /dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  return 1
}

# load MILLISECONDS [FAULT-LINES]: runs callers by the deployment's plan, with a fault script
load () {
  { sed "s/^milliseconds: .*/milliseconds: $1/" settings/$name/load.yaml
    if [ -n "${2:-}" ]; then printf 'faults:\n%s\n' "$2"; fi; } > "$work/plan.yaml"
  "$build/pomelolatch-load" -q -p "$work/plan.yaml" --history "$work/history.json" \
    --processes "$work/processes.json"
}

check_history () {
  curl -s "http://$platform/journal" > "$work/journal.json"
  "$build/tests/history" "$work/history.json" "$work/journal.json" settings/$name/release-1.yaml
}
