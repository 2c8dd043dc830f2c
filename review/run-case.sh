#!/usr/bin/env bash
# Runs a case: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
# run. TROUBLE=0 leaves the disruption out. KEEP_LOGS=1 keeps settings and logs.
set -u
cd "$(dirname "$0")/.." || exit 2
for program in target/release/sillbank-platform target/review/standins; do
    if [ ! -x "$program" ]; then
        echo "$program is not built" >&2
        exit 2
    fi
done
temporary=$(mktemp -d) || exit 2
timeout 110 target/review/standins "$1" "$2" "$temporary"
code=$?
# Whatever the case could not end itself, as after a timeout.
if [ -f "$temporary/pids" ]; then
    while read -r pid; do
        kill -s KILL "$pid" 2>/dev/null
    done <"$temporary/pids"
fi
if [ -n "${KEEP_LOGS:-}" ]; then
    echo "logs: $temporary"
else
    rm -rf "$temporary"
fi
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
