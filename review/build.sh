#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin.new review/standin.rs
mv target/review/standin.new target/review/standin
