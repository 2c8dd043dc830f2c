#!/usr/bin/env bash
# `sillbank-load` by hand: lay a fleet out, start it with the commands it wrote, send a load.
# tools/local.sh does the same with waits and an end.
set -euo pipefail
programs="${1:-target/release}"
out="$(mktemp -d)"

# Settings of every process, objects of the tree, addresses.json and commands.txt; starts nothing.
"$programs/sillbank-load" fleet --out "$out" --programs "$programs" --vms 3 --engines 12

# Each line of commands.txt is a name and a command. With all of them running and the objects
# applied, this sends 20 requests a second for 10 s and checks every answer and ledger:
echo "start the commands in $out/commands.txt, apply $out/objects, then:"
echo "$programs/sillbank-load run --fleet $out --rate 20 --seconds 10 --report $out/report"
