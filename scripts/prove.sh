#!/usr/bin/env bash
# Runs the tests of docs/proofs.tsv (promise, package, test) and the models in spec/, and prints a
# table with one row per promise. Exit status 1 unless only tests that KNOWN-RED.txt lists fail.
set -uo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
proofs=docs/proofs.tsv

make -s build || exit 1
packages=$(grep -v '^#' $proofs | cut -f2 | grep -v '^spin$' | sort -u | sed 's,^,./,')
pattern=$(grep -v '^#' $proofs | awk -F'\t' '$2 != "spin" {sub("/.*", "", $3); print $3}' | sort -u | paste -sd'|')
GOTEST_JSON=$out/json scripts/gotest.sh -count=1 -timeout 5m -run "^($pattern)\$" $packages
status=$?
sed -n 's/.*"Action":"\(pass\|fail\)","Package":"github.com\/ibistrail\/ibistrail\/\([^"]*\)","Test":"\([^"]*\)".*/\2\t\3\t\1/p' "$out/json" >"$out/results"

if grep -q $'\tspin\t' $proofs; then
	command -v spin >/dev/null || apt-get install -y spin >/dev/null 2>&1 || { apt-get update && apt-get install -y spin; } >/dev/null 2>&1
	while IFS=$'\t' read -r _ _ model; do
		result=fail
		spec/run.sh "$model" >"$out/spin.log" 2>&1 && result=pass
		[ $result = pass ] || { cat "$out/spin.log"; status=1; }
		printf 'spin\t%s\t%s\n' "$model" $result >>"$out/results"
	done < <(grep $'\tspin\t' $proofs)
fi

awk -F'\t' '
	NR == FNR { result[$1 FS $2] = $3; next }
	/^#/ || NF < 3 { next }
	!($1 in n) { order[++rows] = $1 }
	{ n[$1]++; r = result[$2 FS $3]
	  if (r == "pass") ok[$1]++; else if (r == "fail") bad[$1]++; else { none[$1]++; print "not run: " $2 " " $3 } }
	END {
		printf "%-52s %7s %7s %7s %8s\n", "promise", "proofs", "passed", "failed", "not run"
		for (i = 1; i <= rows; i++) { p = order[i]; missing += none[p]
			printf "%-52s %7d %7d %7d %8d\n", p, n[p], ok[p], bad[p], none[p] }
		exit missing > 0
	}' "$out/results" $proofs || status=1
exit $status
