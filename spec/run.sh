#!/usr/bin/env bash
# Checks one model with spin. spec/run.sh MODEL passes if spin finds no error; spec/run.sh MODEL:VARIANT
# passes if spin finds an error in the variant, which lacks a mechanism.
set -euo pipefail
name=${1:?usage: spec/run.sh MODEL[:VARIANT]}
model=${name%%:*}
variant=${name#"$model"}
variant=${variant#:}
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
spin -a ${variant:+-D"$variant"} "$here/$model.pml" >spin.out || { cat spin.out; exit 1; }
safety=-DSAFETY flags=(-m200000)
if grep -q '^ltl' "$here/$model.pml"; then safety=-DNFAIR=3 flags+=(-a -f); fi
gcc -O2 -w $safety -DCOLLAPSE -DMEMLIM=2048 -o pan pan.c
./pan "${flags[@]}" >pan.out 2>&1 || true
grep -q '^State-vector' pan.out || { cat pan.out; exit 1; }
if grep -q 'max search depth too small\|out of memory\|Search not completed' pan.out && [ -z "$variant" ]; then cat pan.out; exit 1; fi
errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.out | tail -1)
states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out | tail -1)
echo "$name: ${states:-?} states, ${errors:-?} errors"
if [ -z "$variant" ]; then
	[ "$errors" = 0 ] || { cat pan.out; exit 1; }
else
	[ "$errors" != 0 ] || { echo "$name: the variant lacks a mechanism, yet no error was found"; exit 1; }
fi
