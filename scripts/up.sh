#!/usr/bin/env bash
# Starts all processes of a planned deployment, applies its tables and stays in the foreground. Ctrl-C
# stops the processes in order: gates, stewards, fakes.
# usage: scripts/up.sh DIR [small|magnolia|songhan] [further flags of ibisfake plan]
set -uo pipefail
set -m # each process runs in its own process group, so that Ctrl-C reaches only this script
cd "$(dirname "$0")/.."
dir=${1:?usage: scripts/up.sh DIR [PRESET]}
preset=${2:-small}
shift $(($# < 2 ? $# : 2))
bin=$PWD/bin
readonly ready_seconds=30

for program in ibisfake ibissteward ibisgate ibisctl; do
	[ -x "$bin/$program" ] || { echo "up: $bin/$program is missing; run make build" >&2; exit 1; }
done
rm -rf "$dir"
"$bin/ibisfake" plan --preset "$preset" --dir "$dir" --first-gate 127.0.0.1:8080 "$@" || exit 1
mkdir -p "$dir/logs"
dir=$(cd "$dir" && pwd)

declare -A pid_of=() ended=()
names=()
stopping=0

start() { # start NAME BINARY ARG...
	local name=$1 binary=$2
	shift 2
	"$bin/$binary" "$@" >"$dir/logs/$name.log" 2>&1 &
	pid_of[$name]=$!
	names+=("$name")
}

running() { # running NAME: succeeds if the process runs; records it in ended otherwise
	[ -z "${ended[$1]:-}" ] || return 1
	kill -0 "${pid_of[$1]}" 2>/dev/null && return 0
	ended[$1]=1
	return 1
}

stop_group() { # stop_group PATTERN: sends SIGTERM to the processes whose names match and waits until they exit
	local name
	for name in "${names[@]}"; do
		[[ $name == $1 ]] && running "$name" && kill -TERM "${pid_of[$name]}"
	done
	for name in "${names[@]}"; do
		[[ $name == $1 ]] || continue
		while running "$name"; do wait "${pid_of[$name]}" 2>/dev/null; done
	done
}

stop_all() {
	if [ "$stopping" = 1 ]; then
		echo "up: killing all processes"
		for name in "${names[@]}"; do running "$name" && kill -KILL "${pid_of[$name]}"; done
		return
	fi
	stopping=1
	echo "up: stopping gates, stewards, fakes; Ctrl-C again kills them"
	stop_group 'gate-*'
	stop_group 'steward-*'
	stop_group '*'
	echo "up: stopped"
}

trap 'stop_all; exit ${failed:-0}' INT TERM

fail() {
	echo "up: $1; see $dir/logs" >&2
	failed=1
	stop_all
	exit 1
}

eventually() { # eventually WHAT COMMAND...: retries the command until it succeeds, for at most ready_seconds
	local what=$1 deadline=$((SECONDS + ready_seconds))
	shift
	until "$@" >"$dir/logs/up.log" 2>&1; do
		[ $SECONDS -lt $deadline ] || { cat "$dir/logs/up.log" >&2; fail "timed out after $ready_seconds s waiting for $what"; }
		sleep 0.1
	done
}

while IFS=$'\t' read -r -a line; do start "${line[@]}"; done <"$dir/procs"

stewards=$(sed -n '/"stewards"/,/\]/s/.*"rpc": "\(.*\)".*/\1/p' "$dir/endpoints.json" | paste -sd,)
export IBISCTL_SERVER=$stewards IBISCTL_TOKEN_FILE=$dir/operator.token
eventually "an answer from a steward" "$bin/ibisctl" get --timeout 2s
eventually "the tables to be applied" "$bin/ibisctl" apply "$dir/tables.json" --timeout 10s
debug=$(sed -n '/"gates"/,/\]/s/.*"debug": "\(.*\)".*/\1/p' "$dir/endpoints.json")
for url in $debug; do
	eventually "the gate at $url to become ready" curl -fsS --max-time 2 "$url/readyz"
done

case $preset in
songhan) model=menus caller=kitchen desk=coach-tours path=/bookings/lunches trainer=trainer-menus scorer=scoring ;;
*) model=drafting caller=desk-app desk=desk-app path=/errata/corrections trainer=trainer-drafting scorer=scoring ;;
esac
cat <<TEXT

up: $preset is ready; the first gate is http://127.0.0.1:8080, addresses are in $dir/endpoints.json

A caller's completion, streamed:
  curl -N http://127.0.0.1:8080/v1/completions -H 'Authorization: Bearer token-of-$caller' -d '{"model":"$model","prompt":"Correct this headline","max_tokens":40,"stream":true}'
A call that may not be repeated:
  curl http://127.0.0.1:8080$path -H 'Authorization: Bearer token-of-$desk' -H 'Idempotency-Key: one' -d '{"text":"first"}'
A trainer's step, and its samples; OWNER is in the first answer:
  curl http://127.0.0.1:8080/v1/steps -H 'Authorization: Bearer token-of-$trainer' -d '{"id":"step-1","route":"rollouts","groups":[{"id":"g1","prompt":"Draft a note","samples":4}],"max_tokens":32,"seed":1,"staleness_bound":4,"trainer_version":1,"scorer":"$scorer"}'
  curl http://127.0.0.1:8080/v1/steps/step-1/pull -H 'Authorization: Bearer token-of-$trainer' -d '{"owner":"OWNER","cursor":"","trainer_version":1,"wait_ms":5000}'
New weights:
  bin/ibisfake publish $model 2 --dir $dir
The nodes and the tables in force:
  export IBISCTL_SERVER=${stewards%%,*} IBISCTL_TOKEN_FILE=$dir/operator.token
  bin/ibisctl nodes
  bin/ibisctl get
Ctrl-C stops all.

TEXT
[ -z "${UP_READY_FILE:-}" ] || echo ready >"$UP_READY_FILE"

while [ ${#ended[@]} -lt ${#names[@]} ]; do
	wait -n
	for name in "${names[@]}"; do
		[ -n "${ended[$name]:-}" ] || running "$name" || echo "up: $name exited; see $dir/logs/$name.log"
	done
done
fail "all processes have exited"
