#!/usr/bin/env bash
# Builds the stand-ins of all cases, without a network. The system itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
