#!/bin/sh
# Builds the stand-ins and the scripts of the third review.
set -e
cd "$(dirname "$0")/.."
build="cargo build --release --locked --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3"
$build --offline || $build
