#!/usr/bin/env bash
# Benchmarks; each prints JSON lines with its figures.
#
#   tools/bench.sh hop        time that sillbank adds to a client that calls the engines directly
#   tools/bench.sh settings   time from the acceptance of a change until it is in force in all VMs
#   tools/bench.sh control    processor share, memory and bytes a second of idle control processes
#   tools/bench.sh atmostonce calls with idempotency keys under kills, freezes, a planned stop and an outage
#   tools/bench.sh bound      goodput relative to the throughput bound, for every policy and load
#   tools/bench.sh recovery   recovery from failures at 70% load, compared with restarting whole requests
#   tools/bench.sh fair       fairness with one organisation at ten times its share
#   tools/bench.sh brownout   goodput with lost and slowed engines
#
# NODES="9 100" sets the numbers of VMs for 'settings' and 'control', ORGANISATIONS="10 7500" the
# numbers of organisations of each user for 'control'. They print one line for each number.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/fleet.sh

bench_hop() {
  HALLS=1 VMS=1 ENGINES=6 fleet_lay_out
  fleet_start
  "$PROGRAMS/sillbank-load" hop --fleet "$OUT" --entry-pid "${FLEET_PID_OF[entry0]}" "$@"
}

# bench_control_fleet VMS ORGANISATIONS: starts a fleet of control processes only, in eight halls.
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

# Injects a kill, freezes, a planned stop, an outage and lost answers of the platform, one after
# another, while the load runs.
bench_atmostonce_faults() {
  local platform
  platform="http://$(fleet_address .platform)/admin/faults"
  sleep 3
  echo "3 s: a VM is killed" >&2
  kill -9 "${FLEET_PID_OF[control1]}" "${FLEET_PID_OF[entry1]}"
  sleep 3
  echo "6 s: a control process is frozen past its term" >&2
  kill -STOP "${FLEET_PID_OF[control2]}"
  sleep 6
  echo "12 s: it wakes; an entry is frozen for 2 s" >&2
  kill -CONT "${FLEET_PID_OF[control2]}"
  kill -STOP "${FLEET_PID_OF[entry3]}"
  sleep 2
  kill -CONT "${FLEET_PID_OF[entry3]}"
  echo "14 s: a VM is stopped as planned" >&2
  kill -TERM "${FLEET_PID_OF[control4]}" "${FLEET_PID_OF[entry4]}"
  sleep 3
  echo "17 s: the platform is out for 6 s" >&2
  curl -fsS -d '{"outage": true}' "$platform" >/dev/null
  sleep 6
  echo "23 s: it is back and loses the next three writes' answers" >&2
  curl -fsS -d '{"lose_write_answers": 3}' "$platform" >/dev/null
}

bench_atmostonce() {
  FLEET_FLAGS="--once-term-ms ${TERM_MS:-4000} --once-retention-ms ${RETENTION_MS:-15000}" \
    ENGINES=0 fleet_lay_out
  fleet_start
  bench_atmostonce_faults &
  FAULTS_PID=$!
  "$PROGRAMS/sillbank-load" atmostonce --fleet "$OUT" --calls 6000 "$@"
}

# Ends the background fault injection before the fleet, so that it cannot start or kill processes
# afterwards.
bench_end() {
  [ -z "$FAULTS_PID" ] || kill "$FAULTS_PID" 2>/dev/null || true
  fleet_end
}

bench_experiment() { "$PROGRAMS/sillbank-load" experiment --fleet "$OUT" "$@"; }

bench_bound() {
  local policy load
  for policy in ${POLICIES:-least_finish least_in_flight round_robin random}; do
    OUT="$(mktemp -d)"
    CHAIN_POLICY="$policy" COST_FACTOR="${COST_FACTOR:-8}" fleet_lay_out
    fleet_start
    for load in ${LOADS:-0.5 0.8 1.0 1.2 2.0}; do
      bench_experiment --name "$policy" --load "$load" --top market \
        --prompt 20 --answer 40 --deadline-ms "${DEADLINE_MS:-8000}" "$@" || true
    done
    fleet_end
  done
}

# bench_mark NAME: records a fault with its time in milliseconds since the Unix epoch.
bench_mark() { echo "$(date +%s%3N) $1" >>"$OUT/faults.txt"; }

bench_recovery_faults() {
  local n
  sleep 10
  bench_mark "one stage killed"
  for n in 4 5; do kill -9 "${FLEET_PID_OF[engine$n]}"; done
  sleep 3
  for n in 4 5; do fleet_launch "engine$n"; done
  sleep 4
  bench_mark "one stage frozen"
  for n in 8 9; do kill -STOP "${FLEET_PID_OF[engine$n]}"; done
  sleep 4
  for n in 8 9; do kill -CONT "${FLEET_PID_OF[engine$n]}"; done
  sleep 3
  bench_mark "two stages killed at once"
  for n in 12 13 14 15; do kill -9 "${FLEET_PID_OF[engine$n]}"; done
  sleep 3
  for n in 12 13 14 15; do fleet_launch "engine$n"; done
  sleep 4
  bench_mark "an entry killed"
  kill -9 "${FLEET_PID_OF[entry1]}"
  sleep 7
  bench_mark "replies lost"
  for n in 16 17; do fleet_fault "$n" '{"lose_replies": 50}'; done
}

# Baseline: with max_losses=0 the requests of the second user's pipeline are restarted whole when a
# stage is lost.
bench_recovery() {
  FLEET_FLAGS='--tree \n[pipeline.drafts.settings]\nmax_losses=0\n' COST_FACTOR="${COST_FACTOR:-16}" \
    fleet_lay_out
  fleet_start
  bench_recovery_faults &
  FAULTS_PID=$!
  bench_experiment --name recovery --load 0.7 --seconds 46 --prompt 20 --answer 60 \
    --deadline-ms 30000 --tries 8 --ledgers-lost --faults "$OUT/faults.txt" "$@"
}

bench_fair() {
  COST_FACTOR="${COST_FACTOR:-8}" fleet_lay_out
  fleet_start
  bench_experiment --name alone --load 0.71 --first-share 0 --top market --seconds 16 \
    --prompt 20 --answer 40 --deadline-ms 8000 "$@" || true
  bench_experiment --name beside --load 1.5 --first-share 0.526 --top market --seconds 16 \
    --prompt 20 --answer 40 --deadline-ms 8000 "$@" || true
}

bench_brownout() {
  local n lost="0,1,2,3,4,5,18,19,20,21,22,23,36,37,38,39"
  local shape=(--load 0.9 --top market --seconds 16 --prompt 20 --answer 40 --deadline-ms 8000)
  COST_FACTOR="${COST_FACTOR:-8}" fleet_lay_out
  fleet_start
  bench_experiment --name before "${shape[@]}" "$@" || true
  for n in $(jq -r '.engine_specs | to_entries[] | select(.value.kind == "k1") | .key' \
    "$OUT/addresses.json"); do fleet_fault "$n" '{"slow_factor": 3.0}'; done
  bench_experiment --name "k1 slowed to a third" --slowed k1:3 "${shape[@]}" "$@" || true
  for n in $(seq 0 39); do fleet_fault "$n" '{}'; done
  for n in ${lost//,/ }; do kill -9 "${FLEET_PID_OF[engine$n]}"; done
  bench_experiment --name "one hall of three lost" --lost "$lost" "${shape[@]}" "$@" || true
  for n in ${lost//,/ }; do fleet_launch "engine$n"; done
  sleep 5
  bench_experiment --name "all back" --ledgers-lost "${shape[@]}" "$@" || true
}

name="${1:-}"
shift || true
case "$name" in
  hop | settings | control | atmostonce | bound | recovery | fair | brownout) ;;
  *) sed -n '2,/^set/p' "$0" | grep '^#' >&2; exit 2 ;;
esac
fleet_build
FAULTS_PID=""
trap bench_end EXIT
"bench_$name" "$@"
