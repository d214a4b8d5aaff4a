#!/usr/bin/env bash
# Builds the stand-ins of the cases with the Rust compiler alone, without any library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/review review/standin/main.rs
