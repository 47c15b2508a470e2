#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs only the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/lab-2/rig.rs
