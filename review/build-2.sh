#!/bin/bash
# Builds the stand-ins of the scripts of this review (cases 4 to 8), with the toolchain alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/case-2 review/lib-2/main.rs
