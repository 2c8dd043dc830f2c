#!/usr/bin/env bash
# Runs each day in bench/days on a site of the users' bench and prints for each whether it was kept,
# or its first BROKEN or FAULT line. Exits with 1 if a day was broken or failed to run.
#   FLEETBENCH=PATH tools/days.sh SITE.toml [DAY...]
set -euo pipefail
cd "$(dirname "$0")/.."
bench=${FLEETBENCH:?set FLEETBENCH to the path of the users' bench}
site=${1:?name a site file}
shift
days=("$@")
[ ${#days[@]} -gt 0 ] || days=(bench/days/*.toml)
failed=0
for day in "${days[@]}"; do
    if ! out=$("$bench" run "$site" "$day" 2>&1); then
        echo "FAILED TO RUN: $day: $(tail -n 1 <<<"$out")"
        failed=1
    elif grep -qE 'BROKEN|FAULT' <<<"$out"; then
        echo "BROKEN: $day: $(grep -E 'BROKEN|FAULT' <<<"$out" | head -n 1)"
        failed=1
    else
        echo "kept: $day: $(grep -oE 'worth [0-9.-]+' <<<"$out" | head -n 1)"
    fi
done
exit "$failed"
