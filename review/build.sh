#!/bin/bash
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
