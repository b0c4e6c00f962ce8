#!/usr/bin/env bash
# Mutation tests: for each line of docs/mutants.tsv, removes a mechanism in a copy of the source tree and
# expects the named test to fail. Exit status 1 if a test still passes or a mutant is unusable.
set -uo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$work"
# mutate FILE FROM TO: replaces text in the copy; the escapes \n and \t are expanded.
mutate() {
	FROM=$(printf '%b.' "$2") TO=$(printf '%b.' "$3") perl -0pi -e \
		'chop(my ($f, $t) = @ENV{qw(FROM TO)}); s/\Q$f\E/$t/ or die "no such text\n"' "$work/$1"
}

bad=0
changed=()
while IFS=$'\t' read -r mechanism file from to package test; do
	[[ $mechanism == \#* || -z $mechanism ]] && continue
	changed+=("$file")
	mutate "$file" "$from" "$to" || { echo "broken: $mechanism: $file"; bad=1; }
	[[ $mechanism == +* ]] && continue # combined with the next line into one mutant
	if ! (cd "$work" && go vet "./${file%/*}") >"$work/vet.log" 2>&1; then
		echo "broken: $mechanism: does not build"
		cat "$work/vet.log"
		bad=1
	elif (cd "$work" && go test -count=1 -timeout 2m -run "^($test)\$" "./$package") >"$work/test.log" 2>&1; then
		grep -q 'no tests to run' "$work/test.log" && echo "broken: $mechanism: $package has no $test"
		echo "NOT SEEN: $mechanism: $package $test passes without it"
		bad=1
	elif grep -q -- '--- FAIL\|timed out' "$work/test.log"; then
		echo "seen: $mechanism ($package $test)"
	else
		echo "broken: $mechanism: $test did not run"
		tail -5 "$work/test.log"
		bad=1
	fi
	for f in "${changed[@]}"; do cp "$f" "$work/$f"; done
	changed=()
done <docs/mutants.tsv
exit $bad
