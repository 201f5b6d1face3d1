#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig-2 review/rig-2/main.rs
