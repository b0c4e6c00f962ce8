#!/usr/bin/env bash
# Runs Magnolia's and then Song Han's deployment as real processes on loopback. Under load from trainers
# and callers, weights and tables change, one gate is killed and another one shuts down gracefully.
# The last line of output holds the counts. Exit status 1 if a guarantee was violated.
# usage: scripts/demo.sh [DIR]
set -uo pipefail
set -m # each process runs in its own process group
cd "$(dirname "$0")/.."
run=${1:-run/demo}
bin=$PWD/bin
readonly ready_seconds=20 load_seconds=11

for program in ibisfake ibissteward ibisgate ibisctl ibisload; do
	[ -x "$bin/$program" ] || { echo "demo: $bin/$program is missing; run make build" >&2; exit 1; }
done
rm -rf "$run"
mkdir -p "$run"
run=$(cd "$run" && pwd)

declare -A pid_of line_of
names=()

start() { # start NAME BINARY ARG...
	local name=$1 binary=$2
	shift 2
	"$bin/$binary" "$@" >>"$dir/logs/$name.log" 2>&1 &
	pid_of[$name]=$!
}

stop_all() { # gates first, fakes last
	local name pattern
	for pattern in 'gate-*' 'steward-*' '*'; do
		for name in "${names[@]}"; do
			[[ $name == $pattern ]] && kill -TERM "${pid_of[$name]}" 2>/dev/null
		done
		for name in "${names[@]}"; do
			[[ $name == $pattern ]] && wait "${pid_of[$name]}" 2>/dev/null
		done
	done
	names=()
}
trap 'stop_all; exit 1' INT TERM

fail() {
	echo "demo: $1; see $dir/logs" >&2
	stop_all
	exit 1
}

eventually() { # eventually WHAT COMMAND...: retries the command until it succeeds, for at most ready_seconds
	local what=$1 deadline=$((SECONDS + ready_seconds))
	shift
	until "$@" >"$dir/logs/demo.log" 2>&1; do
		[ $SECONDS -lt $deadline ] || { cat "$dir/logs/demo.log" >&2; fail "timed out after $ready_seconds s waiting for $what"; }
		sleep 0.1
	done
}

say() { printf 'demo: %s: %s\n' "$preset" "$*"; }

# deploy PRESET: plans a deployment, starts it and waits until each gate is ready.
deploy() {
	preset=$1 dir=$run/$1
	"$bin/ibisfake" plan --preset "$preset" --dir "$dir" || exit 1
	mkdir -p "$dir/logs"
	names=()
	while IFS=$'\t' read -r -a line; do
		names+=("${line[0]}")
		line_of[${line[0]}]=$(IFS=$'\t'; echo "${line[*]}")
		start "${line[@]}"
	done <"$dir/procs"
	IBISCTL_SERVER=$(sed -n '/"stewards"/,/\]/s/.*"rpc": "\(.*\)".*/\1/p' "$dir/endpoints.json" | paste -sd,)
	export IBISCTL_SERVER IBISCTL_TOKEN_FILE=$dir/operator.token
	eventually "an answer from a steward" "$bin/ibisctl" get --timeout 2s
	eventually "the tables to be applied" "$bin/ibisctl" apply "$dir/tables.json" --timeout 10s
	local url
	for url in $(sed -n '/"gates"/,/\]/s/.*"debug": "\(.*\)".*/\1/p' "$dir/endpoints.json"); do
		eventually "the gate at $url to become ready" curl -fsS --max-time 2 "$url/readyz"
	done
	gates=($(printf '%s\n' "${names[@]}" | grep '^gate-'))
	say "${#names[@]} processes are up, ${#gates[@]} gates are ready"
}

# disturb: changes tables, kills, stops and restarts gates under load; ibisload publishes weights throughout.
disturb() {
	sleep 2
	sed 's/"timeout_ms": 10000/"timeout_ms": 11000/' "$dir/tables.json" >"$dir/tables-2.json"
	"$bin/ibisctl" apply "$dir/tables-2.json" --timeout 10s >>"$dir/logs/apply.log" 2>&1 || say "changing the tables failed; see $dir/logs/apply.log"
	say "tables changed"
	sleep 1
	local killed=${gates[1]} stopped=${gates[2]}
	kill -KILL "${pid_of[$killed]}"
	wait "${pid_of[$killed]}" 2>/dev/null
	say "$killed killed"
	sleep 2
	kill -TERM "${pid_of[$stopped]}"
	say "$stopped shuts down gracefully"
	sleep 1
	local line
	IFS=$'\t' read -r -a line <<<"${line_of[$killed]}"
	start "${line[@]}"
	say "$killed restarted"
}

# customer PRESET ARG...: runs one deployment from start to stop; ibisload receives the remaining arguments.
customer() {
	deploy "$1"
	shift
	"$bin/ibisload" demo --endpoints "$dir/endpoints.json" --seconds $load_seconds --result "$dir/result.json" "$@" >"$dir/line" 2>"$dir/logs/ibisload.log" &
	local load=$!
	disturb
	wait $load
	status=$?
	cat "$dir/logs/ibisload.log"
	stop_all
}

customer magnolia
customer songhan --add "$run/magnolia/result.json"
tail -n 1 "$run/songhan/line"
exit $status
