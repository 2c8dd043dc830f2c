#!/usr/bin/env bash
# Starts a local fleet on loopback, runs a mixed load, checks the ledgers and stops the fleet.
# Prints a short summary and then one JSON line. Exit code 0: every check passed.
#
#   tools/local.sh [options of 'sillbank-load run']
#   tools/local.sh --hold    keeps the fleet running until Enter is pressed
#
# Environment: HALLS, VMS, ENGINES, COST_FACTOR and CHAIN_POLICY configure the fleet; OUT is the
# folder for settings, logs and the report; BROKEN_LAYER=skip or repeat makes engine 0 skip or repeat
# a layer.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/fleet.sh

fleet_build
fleet_lay_out
trap fleet_end EXIT
fleet_start
case "${BROKEN_LAYER:-}" in
  skip) fleet_fault 0 '{"skip_layer": 1}' ;;
  repeat) fleet_fault 0 '{"repeat_layer": 1}' ;;
esac
if [ "${1:-}" = --hold ]; then
  echo "entry: $(fleet_address '.entries[0]')  control: $(fleet_address '.control_admins[0]')"
  echo "Press Enter to end the fleet."
  read -r _ || true
  exit 0
fi
"$PROGRAMS/sillbank-load" run --fleet "$OUT" --report "$OUT/report" "$@"
