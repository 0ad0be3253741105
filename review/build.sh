#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program without dependencies. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand-ins"
cargo build --release --offline --locked
