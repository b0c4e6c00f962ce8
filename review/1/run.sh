#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/ibisentry ] || { echo "build first: the build of deploy/system.toml, then review/build.sh"; exit 2; }
exec target/review/standin history review/1/record.txt
