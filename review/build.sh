#!/bin/sh
# Builds the stand-ins and the drivers of the cases into target/review/. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/standins/main.rs
