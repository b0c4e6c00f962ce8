#!/usr/bin/env bash
# Checks docs/mutants.tsv without running a mutant: each text stands once in its file, and each test exists. Exit status 1 if a line
# proves nothing any more.
set -uo pipefail
cd "$(dirname "$0")/.."
bad=0
# occurrences FILE TEXT: the number of times that the text stands in the file; the escapes \n and \t are expanded.
occurrences() {
	TEXT=$(printf '%b.' "$2") perl -0ne 'chop(my $t = $ENV{TEXT}); my $n = () = /\Q$t\E/g; print $n' "$1"
}
while IFS=$'\t' read -r mechanism file from _ package test; do
	[[ $mechanism == \#* || -z $mechanism ]] && continue
	n=$(occurrences "$file" "$from")
	[ "$n" = 1 ] || { echo "docs/mutants.tsv: $mechanism: the text stands ${n:-0} times in $file, want 1"; bad=1; }
	[[ $mechanism == +* ]] && continue # the next line names the test
	grep -qE "^func ($test)\\(" "$package"/*_test.go || { echo "docs/mutants.tsv: $mechanism: $package has no $test"; bad=1; }
done <docs/mutants.tsv
exit $bad
