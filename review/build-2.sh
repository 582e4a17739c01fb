#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs the Rust compiler and no packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand review/standins-2/main.rs
