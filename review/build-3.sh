#!/usr/bin/env bash
# Builds the stand-ins of the third review. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standins-3/*.java review/standins-2/*.java
