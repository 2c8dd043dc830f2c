#!/usr/bin/env bash
# The operators' command line, `sillbank`, against a running control process.
# Try it beside `tools/local.sh --hold`, which prints the control's address.
set -euo pipefail
export SILLBANK_CONTROL="${1:?name a control process, IP:PORT}"
export SILLBANK_KEY="${SILLBANK_KEY:-local-operator-key}"   # key of the local fleet's operator

sillbank check examples                        # every fault of every file, before anything is sent
sillbank get pipeline/summaries                # an object with its version, writer and reason
sillbank get pipeline/summaries --effective    # each setting in force, and the object it came from
sillbank diff examples/tree.toml               # how the files differ from what is in force
sillbank apply examples/tree.toml --dry-run    # what would change
sillbank status                                # in which VMs the newest version is in force
sillbank explain SB0007                        # what an error number means
