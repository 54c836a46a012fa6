#!/bin/sh
# Builds the stand-ins of the case 11, after the build of the deploy file. Needs only the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin-3 review/standin-3/main.rs
