#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. Without the
# disruption if TROUBLE is 0.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/review-standins parts "$PWD" review/15
