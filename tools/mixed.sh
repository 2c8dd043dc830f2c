#!/usr/bin/env bash
# Runs fleets in which some VMs run another build, to check that two builds understand each other.
#
#   tools/mixed.sh REVISION
#
# Builds REVISION (old) and the committed state of this checkout (new), then plays
# - the soaks and the scenarios of platform/tests with VMs of both builds: once VMs with odd numbers run the old
#   build, once those with even numbers, so that VMs of each build lead halls and read what the other stored;
# - a mixed load on a local fleet whose settings and objects the old build wrote, with every second VM on the new
#   build.
# Then it looks for log lines about messages, settings or objects that could not be read.
#
# Environment: WORK is the folder for builds and logs; SOAK_SEEDS and SOAK_SECONDS as in the soaks; TESTS names
# the test targets of platform/ to play. Exit code 0: every test and check passed.
set -euo pipefail
cd "$(dirname "$0")/.."
REVISION=${1:?name a revision}
WORK="${WORK:-$(mktemp -d)}"
TESTS="${TESTS-scenarios soak soak_ends soak_pushback soak_restored}"
LOGS="$WORK/logs"
failed=0
mkdir -p "$LOGS"

# check_out NAME REVISION: puts the files of a revision into a folder.
check_out() {
  rm -rf "${WORK:?}/$1"
  mkdir -p "$WORK/$1"
  git archive "$2" | tar -x -C "$WORK/$1"
}

build() {
  (cd "$WORK/$1" && CARGO_TARGET_DIR="$WORK/target-$1" cargo build --quiet --workspace --bins --locked)
}

# test_program TARGET: path of a test program of platform/, built from the new revision.
test_program() {
  (cd "$WORK/new" && CARGO_TARGET_DIR="$WORK/target-new" cargo test --quiet --locked \
    --package sillbank_platform --test "$1" --no-run --message-format=json) |
    jq -r 'select(.executable and .profile.test) | .executable'
}

# start_by_number PARITY: replaces the gateway that tests start by one that runs the old build on VMs whose number
# has this parity, and keeps what each writes.
start_by_number() {
  cat >"$WORK/target-new/debug/sillbank-platform" <<SCRIPT
#!/usr/bin/env bash
vm="\$(sed -n 's/^vm = "\(.*\)"/\1/p' "\$SILLBANK_CONFIG")"
program="$WORK/gateway-new"
[ \$((\${vm//[!0-9]/} % 2)) -ne $1 ] || program="$WORK/gateway-old"
exec "\$program" > >(tee -a "$LOGS/gateway-$1-\$(basename "\$program")-\$vm-\$\$.log")
SCRIPT
  chmod +x "$WORK/target-new/debug/sillbank-platform"
}

# run_test PARITY TARGET PROGRAM
run_test() {
  local log="$LOGS/$2-$1.log"
  if (cd "$WORK/new/platform" && "$3" --nocapture) >"$log" 2>&1; then
    echo "passed: $2, old build on VMs of parity $1: $(grep '^test result' "$log")"
  else
    echo "FAILED: $2, old build on VMs of parity $1: $log"
    failed=1
  fi
}

play_gateways() {
  local target parity
  declare -A programs
  for target in $TESTS; do
    programs[$target]="$(test_program "$target")"
  done
  cp "$WORK/target-new/debug/sillbank-platform" "$WORK/gateway-new"
  cp "$WORK/target-old/debug/sillbank-platform" "$WORK/gateway-old"
  rm "$WORK/target-new/debug/sillbank-platform"
  for parity in 1 0; do
    start_by_number "$parity"
    for target in $TESTS; do
      run_test "$parity" "$target" "${programs[$target]}"
    done
  done
}

end_local_fleet() {
  local build
  for build in old new; do
    PROGRAMS="$WORK/target-$build/debug"
    fleet_end
  done
}

# A local fleet: the old build lays it out, writes its settings and applies its objects.
play_local_fleet() {
  export OUT="$WORK/fleet" PROFILE=debug
  rm -rf "$OUT"
  mkdir -p "$OUT"
  source tools/fleet.sh
  PROGRAMS="$WORK/target-old/debug"
  FLEET_FLAGS="" ENGINES="${ENGINES:-40}" fleet_lay_out
  sed -E -i "s#^((control|entry)[0-9]*[13579]) $WORK/target-old/#\1 $WORK/target-new/#" "$OUT/commands.txt"
  grep -c "target-new" "$OUT/commands.txt" >/dev/null || { echo "FAILED: no process runs the new build"; failed=1; }
  trap end_local_fleet EXIT
  fleet_start
  local log="$LOGS/local-fleet.log"
  if "$WORK/target-new/debug/sillbank-load" run --fleet "$OUT" --report "$OUT/report" >"$log" 2>&1; then
    echo "passed: local fleet: $(tail -n 1 "$log")"
  else
    echo "FAILED: local fleet: $log"
    failed=1
  fi
  end_local_fleet
  cp "$OUT"/*.log "$LOGS/"
}

# Lines about what could not be read. Scenarios that write what cannot be read name it on purpose.
look_for_unreadable() {
  grep -hEi 'cannot be read|was not read|unreadable|malformed|cannot be decoded|was refused:' "$LOGS"/*.log |
    sed -E 's/^[0-9TZ:.-]+ +//' | cut -c1-150 | sort | uniq -c | sort -rn | head -n 20
}

check_out old "$REVISION"
check_out new HEAD
build old
build new
play_local_fleet
play_gateways
echo "lines about what could not be read (scenarios spoil entries and era headers on purpose):"
look_for_unreadable
exit "$failed"
