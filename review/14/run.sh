#!/usr/bin/env bash
# Plays this case; the programs are built before, as review/build-3.sh says. Exit status: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
case_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
cd "$case_dir/../.." || exit 2
[ -x target/review-3/standin4 ] && [ -x target/ibisentry ] || { echo "not built: run the build of deploy/system.toml and review/build-3.sh"; exit 2; }
exec target/review-3/standin4 nested-route "$case_dir/record.txt"
