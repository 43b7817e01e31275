#!/usr/bin/env bash
# Builds the stand-ins that the cases start. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand"
cargo build --release --locked --offline --target-dir target
