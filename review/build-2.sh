#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings -o target/review-2/lab review/lab/main.rs
