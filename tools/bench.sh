#!/usr/bin/env bash
# Benches; each closes with one JSON line.
#
#   tools/bench.sh hop        what sillbank adds to a client that drives the engines directly
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/fleet.sh

bench_hop() {
  HALLS=1 VMS=1 ENGINES=6 fleet_lay_out
  fleet_start
  "$PROGRAMS/sillbank-load" hop --fleet "$OUT" --entry-pid "${FLEET_PID_OF[entry0]}" "$@"
}

name="${1:-}"
shift || true
case "$name" in
  hop) ;;
  *) sed -n '2,/^set/p' "$0" | grep '^#' >&2; exit 2 ;;
esac
fleet_build
trap fleet_end EXIT
"bench_$name" "$@"
