#!/usr/bin/env bash
# Builds what the scripts of the cases start, with the JDK alone, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review $(find review -name '*.java')
