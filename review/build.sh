#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs only rustc; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.rs; do
    number="$(basename "$(dirname "$source")")"
    rustc --edition 2024 -O -o "target/review/case-$number" "$source"
done
