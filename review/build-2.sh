#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/8 start. It needs the Rust
# compiler alone, no package.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin review/standin2_main.rs
