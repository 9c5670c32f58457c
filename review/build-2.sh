#!/bin/sh
# Builds the stand-ins of the second review, from the standard library alone, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2021 -O -o target/review-2/standin review/standin-2/main.rs
