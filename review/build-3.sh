#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. They use the standard library and the project's own stand-in of the store.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -o target/review-standin-4 ./review/_standin4
