#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/. Needs no network and no package.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/harness review/harness-3/main.rs
