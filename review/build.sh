#!/usr/bin/env bash
# Builds the stand-ins of the scripts, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -d target/review review/standin/*.java
