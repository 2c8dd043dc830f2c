#!/usr/bin/env bash
# Builds the programs and runs all tests. Tests that start processes use the programs built here.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins --locked
cargo test --workspace --locked "$@"
