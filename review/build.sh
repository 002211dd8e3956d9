#!/usr/bin/env bash
# Builds the stand-ins of the scripts; they have no dependencies. The routers come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand_ins/Cargo.toml --target-dir target/review
