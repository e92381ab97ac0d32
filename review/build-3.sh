#!/usr/bin/env bash
# Builds the stand-ins of the third review with rustc alone, into target/review-3. Case 13 uses those of the
# second review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -D warnings -o target/review-3/lab review/lab-3/lab.rs
rustc --edition 2024 -O -D warnings -o target/review-3/lab-2 review/lab/main.rs
