#!/bin/sh
# Builds the stand-ins of the cases with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -C opt-level=2 -o target/review/review review/standins/main.rs
