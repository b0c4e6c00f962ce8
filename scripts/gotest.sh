#!/usr/bin/env bash
# Runs `go test -json` with the given arguments and prints failures. Exit status 0 if only tests that
# KNOWN-RED.txt lists fail; their entries are printed. Writes the JSON to $GOTEST_JSON if set.
set -uo pipefail
cd "$(dirname "$0")/.."
json=${GOTEST_JSON:-$(mktemp)}
go test -json "$@" >"$json" 2>"$json.err"
status=$?
field() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p"; }

# Keep only the innermost failed tests: a failed subtest also fails its parent and its package.
failed=$(grep '"Action":"fail"' "$json" | grep '"Test":' |
	sed -n 's/.*"Package":"\([^"]*\)","Test":"\([^"]*\)".*/\1 \2/p' |
	sed 's,^github.com/ibistrail/ibistrail/,,' | sort -u)
leaves=$(while read -r pkg name; do
	[ -n "$pkg" ] || continue
	grep -qF "$pkg $name/" <<<"$failed" || echo "$pkg $name"
done <<<"$failed")

unexpected=0
while read -r leaf; do
	[ -n "$leaf" ] || continue
	if [ -f KNOWN-RED.txt ] && grep -qF "test: $leaf |" KNOWN-RED.txt; then
		echo "KNOWN-RED $leaf"
		grep -F "test: $leaf |" KNOWN-RED.txt
	else
		echo "FAIL $leaf"
		unexpected=1
	fi
done <<<"$leaves"

# show PATTERN: prints the output in the JSON lines that match.
show() {
	grep "$1" "$json" | sed -n 's/.*"Output":"\(.*\)"}$/\1/p' |
		sed 's/\\n$//; s/\\t/\t/g; s/\\"/"/g; s/\\u003c/</g; s/\\u003e/>/g; s/\\u0026/\&/g' | grep -v '^=== '
}

if [ "$unexpected" = 1 ]; then
	while read -r pkg name; do
		show "\"Package\":\"github.com/ibistrail/ibistrail/$pkg\",\"Test\":\"$name\","
	done <<<"$leaves"
	echo "FAIL"
	exit 1
fi
if [ "$status" != 0 ] && [ -z "$leaves" ]; then
	show '"Action":"\(build-output\|output\)"' | grep -v '^\(ok  \|PASS\|--- PASS\|?   \)' | tail -n 100
	cat "$json.err"
	echo "FAIL"
	exit 1
fi
# A package that failed without a failed test did not build, or its test binary crashed.
while read -r pkg; do
	[ -n "$pkg" ] || continue
	grep -q "^${pkg#github.com/ibistrail/ibistrail/} " <<<"$failed" || { echo "FAIL $pkg without a failed test"; cat "$json.err"; exit 1; }
done < <(grep '"Action":"fail"' "$json" | grep -v '"Test":' | field Package)
passed=$(grep '"Action":"pass"' "$json" | grep -c '"Test":')
known=$(grep -c . <<<"$leaves")
echo "$passed passed, 0 failed"
[ "$known" = 0 ] || echo "known red: $known, listed in KNOWN-RED.txt"
