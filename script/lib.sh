# Functions that start and stop a local system. Sourced by other scripts, with
# the top directory of the repository as working directory and the build
# directory in BUILD. All processes that were started are killed on exit.

RUN=$(mktemp -d)
PIDS=()
# Ports in the settings of examples/local. Each script replaces them by ports of
# its own, so that several scripts can run side by side.
EXAMPLE_PORTS=(17071 17072 18081 18082 18101 18102 18103 18104
    19000 19101 19102 19103 19104)
# Blocks of ports below those that Linux assigns to outgoing connections (from
# 32768), so that no connection takes the port of a daemon that restarts.
PORT_FIRST=10000
PORT_BLOCKS=1400
PORT_BLOCK_SIZE=16

# fail MESSAGE: prints the message and the last lines of all logs, and exits 1.
fail() {
	echo "failed: $*" >&2
	tail -n 5 "$RUN"/*.out "$RUN"/*.log >&2
	exit 1
}

# are_ports_unused FIRST: checks that no socket uses a port of the block.
are_ports_unused() {
	local ports
	ports=$(printf '|%04X' $(seq "$1" $(($1 + PORT_BLOCK_SIZE - 1))))
	! grep -qE "^ *[0-9]+: [0-9A-F]+:(${ports#|}) " /proc/net/tcp /proc/net/tcp6 2>/dev/null
}

# Sets PORT_BASE to the first port of an unused block and locks the block until
# the script and its daemons have ended.
reserve_ports() {
	local locks=${TMPDIR:-/tmp}/masticstall-ports.$UID block lock
	mkdir -p "$locks"
	for block in $(shuf -i "0-$((PORT_BLOCKS - 1))" -n 100); do
		PORT_BASE=$((PORT_FIRST + block * PORT_BLOCK_SIZE))
		exec {lock}>"$locks/$PORT_BASE"
		if flock -n "$lock" && are_ports_unused "$PORT_BASE"; then
			return 0
		fi
		exec {lock}>&-
	done
	echo "failed: no block of $PORT_BLOCK_SIZE unused ports was found" >&2
	exit 1
}

# port_of EXAMPLE-PORT: prints the port that replaces it.
port_of() {
	local i
	for i in "${!EXAMPLE_PORTS[@]}"; do
		if [ "${EXAMPLE_PORTS[i]}" = "$1" ]; then
			echo $((PORT_BASE + i))
			return 0
		fi
	done
	return 1
}

# Copies examples/local to $RUN/settings and replaces the ports. The character @
# marks addresses already replaced, as a new port may equal another old one.
copy_examples() {
	local port replacements=()
	for port in "${EXAMPLE_PORTS[@]}"; do
		replacements+=(-e "s/127\.0\.0\.1:$port\>/127.0.0.1@$(port_of "$port")/g")
	done
	mkdir "$RUN/settings"
	cp examples/local/* "$RUN/settings/"
	sed -i "${replacements[@]}" -e 's/127\.0\.0\.1@/127.0.0.1:/g' \
	    "$RUN/settings"/*.json
}

# entry_address N, agent_address N, upstream_address N: print the ip:port of an
# HTTP interface.
entry_address() { echo "127.0.0.1:$(port_of "1808$1")"; }
agent_address() { echo "127.0.0.1:$(port_of "1810$1")"; }
upstream_address() { echo "127.0.0.1:$(port_of "1910$1")"; }

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
	local end=$((SECONDS + $2)) n
	for n in 1 2; do
		until curl -fsS "http://$(entry_address "$n")/metrics" 2>/dev/null |
		    grep -q "^masticstall_members_active $1\$"; do
			if [ "$SECONDS" -ge "$end" ]; then
				echo "entry $n does not have $1 active members after $2 s" >&2
				return 1
			fi
			sleep 0.05
		done
	done
}

start_platform() {
	start platform "$BUILD/standin-platform" "$PLATFORM"
}

# start_upstream N FACTOR: starts upstream N; each task takes FACTOR times its
# nominal time.
start_upstream() {
	start "upstream$1" "$BUILD/standin-upstream" \
	    "$(upstream_address "$1")" "$2"
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
	"$BUILD/masticstall" --entry "http://$(entry_address "$entry")" \
	    --token-file "$EXAMPLES/operator.token" "$@"
}

# Starts the table, four upstreams with their agents and two entries, applies
# the first configuration and waits until both entries have all agents. The
# array UPSTREAM_FACTORS overrides the factors of the upstreams.
start_system() {
	start_platform
	wait_http "http://$PLATFORM/" 10
	local n factors=(1 1.5 3 10)
	for n in 1 2 3 4; do
		start_upstream "$n" "${UPSTREAM_FACTORS[n - 1]:-${factors[n - 1]}}"
		start_agent "$n"
	done
	start_entry 1
	start_entry 2
	wait_http "http://$(entry_address 1)/metrics" 10
	wait_http "http://$(entry_address 2)/metrics" 10
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
reserve_ports
PLATFORM=127.0.0.1:$(port_of 19000)
copy_examples
EXAMPLES=$RUN/settings
