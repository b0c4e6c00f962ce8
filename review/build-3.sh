#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. Those of 11 to 14 use the standard library and the project's own stand-in of
# the store; that of 15 is of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -o target/review-standin-4 ./review/_standin4
go test -c -o target/review-standin-3 ./review/_standin3
