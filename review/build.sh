#!/usr/bin/env bash
# Builds the stand-ins and drivers of all cases, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand review/stand/main.rs
