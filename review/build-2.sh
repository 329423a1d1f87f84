#!/bin/sh
# Builds the stand-ins and the scripts of the second review.
set -e
cd "$(dirname "$0")/.."
build="cargo build --release --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2"
$build --offline || $build
