#!/usr/bin/env bash
# Writes record.txt in this folder. Status 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=review/stand-ins-2/target/release/review-case-2
for needed in "$program" target/release/coppersail-control-plane target/release/coppersail-edge-proxy; do
    [ -x "$needed" ] || { echo "$needed is not built" >&2; exit 2; }
done
exec "$program" chunked review/8/record.txt
