# Functions that start and stop a local system. Sourced by other scripts, with
# the top directory of the repository as working directory and the build
# directory in BUILD. All processes that were started are killed on exit.

EXAMPLES=$PWD/examples/local
RUN=$(mktemp -d)
PIDS=()

# fail MESSAGE: prints the message and the last lines of all logs, and exits 1.
fail() {
	echo "failed: $*" >&2
	tail -n 5 "$RUN"/*.out "$RUN"/*.log >&2
	exit 1
}

# start NAME COMMAND...: runs a command in the background. Standard output goes
# to $RUN/NAME.out, standard error to $RUN/NAME.log, the id to $RUN/NAME.pid.
start() {
	local name=$1
	shift
	"$@" >>"$RUN/$name.out" 2>>"$RUN/$name.log" &
	PIDS+=("$!")
	echo "$!" >"$RUN/$name.pid"
}

pid_of() {
	cat "$RUN/$1.pid"
}

# wait_http URL SECONDS: waits until the URL answers with a success status;
# returns 1 after a timeout.
wait_http() {
	local end=$((SECONDS + $2))
	until curl -fsS -o /dev/null "$1" 2>/dev/null; do
		if [ "$SECONDS" -ge "$end" ]; then
			echo "no answer from $1 within $2 s" >&2
			return 1
		fi
		sleep 0.05
	done
}

# wait_members COUNT SECONDS: waits until both entries have COUNT active agents;
# returns 1 after a timeout.
wait_members() {
	local end=$((SECONDS + $2)) port
	for port in 18081 18082; do
		until curl -fsS "http://127.0.0.1:$port/metrics" 2>/dev/null |
		    grep -q "^masticstall_members_active $1\$"; do
			if [ "$SECONDS" -ge "$end" ]; then
				echo "entry $port does not have $1 active members after $2 s" >&2
				return 1
			fi
			sleep 0.05
		done
	done
}

start_platform() {
	start platform "$BUILD/standin-platform" 127.0.0.1:19000
}

# start_upstream N FACTOR: starts upstream N; each task takes FACTOR times its
# nominal time.
start_upstream() {
	start "upstream$1" "$BUILD/standin-upstream" "127.0.0.1:1910$1" "$2"
}

start_agent() {
	start "agent$1" "$BUILD/masticstall-agentd" \
	    --settings "$EXAMPLES/agent$1.json"
}

start_entry() {
	start "entry$1" "$BUILD/masticstall-entryd" \
	    --settings "$EXAMPLES/entry$1.json"
}

# cli N ARGUMENTS...: runs masticstall against entry N with an operator's token.
cli() {
	local entry=$1
	shift
	"$BUILD/masticstall" --entry "http://127.0.0.1:1808$entry" \
	    --token-file "$EXAMPLES/operator.token" "$@"
}

# Starts the table, four upstreams with their agents and two entries, applies
# the first configuration and waits until both entries have all agents. The
# array UPSTREAM_FACTORS overrides the factors of the upstreams.
start_system() {
	start_platform
	wait_http http://127.0.0.1:19000/ 10
	local n factors=(1 1.5 3 10)
	for n in 1 2 3 4; do
		start_upstream "$n" "${UPSTREAM_FACTORS[n - 1]:-${factors[n - 1]}}"
		start_agent "$n"
	done
	start_entry 1
	start_entry 2
	wait_http http://127.0.0.1:18081/metrics 10
	wait_http http://127.0.0.1:18082/metrics 10
	cli 1 config patch --version 0 --reason "first version" \
	    "$EXAMPLES/config.patch.json"
	wait_members 4 15
}

# stop_gracefully NAME: sends SIGTERM and returns the process's exit status.
stop_gracefully() {
	local pid
	pid=$(pid_of "$1")
	kill -TERM "$pid" 2>/dev/null
	wait "$pid"
}

# Kills all processes that were started, also stopped ones; set as EXIT trap.
stop_all() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	return 0
}

trap stop_all EXIT
