#!/usr/bin/env bash
# Builds the stand-ins of the review. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -c -o target/review/standin ./review/_standin
