#!/usr/bin/env bash
# Runs one case of the second review: run-case-2.sh FOLDER NAME. Exit code 1: the rule was broken, 0: it held, 2: it could not
# run. The record of what was sent, answered and run is FOLDER/record.txt.
set -uo pipefail
case_folder="$(cd "$1" && pwd)"
name="$2"
cd "$(dirname "${BASH_SOURCE[0]}")/.."
export REPOSITORY="$PWD"
record="$case_folder/record.txt"
if [ ! -x target/release/sillbank-platform ] || [ ! -x target/review-2/standins ]; then
  echo "build first: the command of deploy/system.toml, then review/build-2.sh" | tee "$record"
  exit 2
fi
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
timeout 110 target/review-2/standins "$name" "$work" >"$record" 2>&1
code=$?
if [ "$code" -gt 2 ]; then
  # The driver was ended before it could end the processes that it had started.
  while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$work/pids.txt"
  code=2
fi
for log in "$work"/i-*.txt; do
  [ -e "$log" ] || continue
  echo "-- what $(basename "$log" .txt) wrote:"
  cat "$log"
done >>"$record"
for log in "$work"/front-*.log; do
  [ -e "$log" ] || continue
  echo "-- what $(basename "$log" .log) wrote of the store and of endpoints that go:"
  grep -E "store: |endpoint: (Removed|Not listed)|lease: Changed" "$log"
done >>"$record"
grep -m 1 '^result:' "$record"
exit "$code"
