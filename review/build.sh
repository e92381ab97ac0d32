#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, with the compiler alone: they use no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2024 review/standin/main.rs -o target/review/standin
