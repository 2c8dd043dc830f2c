#!/usr/bin/env bash
# Builds the programs and runs all tests. Tests that start processes use the programs built here.
set -euo pipefail
cd "$(dirname "$0")/.."
# Tests with stand-ins of engines need processor time to keep up their pace.
export RUST_TEST_THREADS="${RUST_TEST_THREADS:-4}"
cargo build --workspace --bins --locked
cargo test --workspace --locked "$@"
