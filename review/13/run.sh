#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.."
[ -f target/review-3/SharedWatchCase.class ] || exit 2
exec java -cp target/review-3 SharedWatchCase review/13
