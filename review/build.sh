#!/bin/sh
# Builds the stand-ins of the review cases into review/bin. Needs rustc alone: no dependency, no network.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O -o bin/review-case standin/main.rs
