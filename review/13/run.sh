#!/usr/bin/env bash
# Runs the case once: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/harness ] && [ -x target/release/heatherwalk ] || exit 2
exec target/review-3/harness lost-before review/13/record.txt
