#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, with the JDK only.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/*.java
