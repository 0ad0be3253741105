#!/usr/bin/env bash
# Builds the stand-ins and the programs of the second review's scripts. It needs no network: the package has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand-ins-2/Cargo.toml
