#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the build of the deploy file: the stub host of the project and the
# stand-ins in review/stand-ins-2. It needs no network: the stand-ins have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked -p coppersail-stub-backend
cargo build --release --offline --manifest-path review/stand-ins-2/Cargo.toml
