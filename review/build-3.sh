#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start besides the project's programs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/lab review/lab-3/main.rs
