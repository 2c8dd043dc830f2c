#!/usr/bin/env bash
# `sillbank-standin`: one engine of kind k3 that holds layers 0 to 8 of 24, and faults on command.
set -euo pipefail
programs="${1:-target/release}"
"$programs/sillbank-standin" engine --listen 127.0.0.1:7200 --kind k3 \
  --first-layer 0 --end-layer 8 --model-layers 24 &
engine=$!
trap 'kill $engine' EXIT
sleep 0.5
curl -s http://127.0.0.1:7200/v1/state; echo        # what it holds
curl -s http://127.0.0.1:7200/admin/ledger; echo    # what it ran
# Lose the next two replies, and take three times as long for everything:
curl -s -d '{"lose_replies": 2, "slow_factor": 3.0}' http://127.0.0.1:7200/admin/faults; echo
# Platform, service and link take `--help` for their own options, and faults the same way.
