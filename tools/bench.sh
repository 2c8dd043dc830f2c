#!/usr/bin/env bash
# Benches; each closes with one JSON line.
#
#   tools/bench.sh hop        what sillbank adds to a client that drives the engines directly
#   tools/bench.sh settings   from a change accepted to the change in force at the last VM
#   tools/bench.sh control    processor share, memory and bytes a second of a control process
#
# NODES="9 100" names the numbers of VMs for 'settings' and 'control'; ORGANISATIONS="10 7500" the
# organisations of each user for 'control'. They print a line for each.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/fleet.sh

bench_hop() {
  HALLS=1 VMS=1 ENGINES=6 fleet_lay_out
  fleet_start
  "$PROGRAMS/sillbank-load" hop --fleet "$OUT" --entry-pid "${FLEET_PID_OF[entry0]}" "$@"
}

# A fleet of control processes only, in eight halls.
bench_control_fleet() {
  OUT="$(mktemp -d)"
  FLEET_FLAGS="--no-entries --platform-writes-per-s 5000 --organisations $2" \
    HALLS=8 VMS=$1 ENGINES=0 fleet_lay_out
  fleet_start
}

bench_settings() {
  local nodes
  for nodes in ${NODES:-9 100 330}; do
    bench_control_fleet "$nodes" 10
    "$PROGRAMS/sillbank-load" settings --fleet "$OUT" "$@"
    fleet_end
  done
}

bench_control() {
  local nodes organisations
  for organisations in ${ORGANISATIONS:-10 7500}; do
    for nodes in ${NODES:-9 100 330}; do
      bench_control_fleet "$nodes" "$organisations"
      "$PROGRAMS/sillbank-load" control --fleet "$OUT" "$@"
      fleet_end
    done
  done
}

name="${1:-}"
shift || true
case "$name" in
  hop | settings | control) ;;
  *) sed -n '2,/^set/p' "$0" | grep '^#' >&2; exit 2 ;;
esac
fleet_build
trap fleet_end EXIT
"bench_$name" "$@"
