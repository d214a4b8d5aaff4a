#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8, after the build of the deploy file. Needs only the Rust compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin-2 review/standin-2/main.rs
