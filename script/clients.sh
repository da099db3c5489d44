# Functions for tests with clients that don't behave: one entry and one agent with
# its runner as processes, whose machines are small, crowds of clients, and checks
# of what a process holds. Sourced by other scripts from the top directory, with
# the build directory in BUILD and these in the environment:
#
# MEMORY_MB    memory of the machine of each daemon
# DESCRIPTORS  descriptors that each daemon may have

ENTRY_COUNT=1
AGENT_COUNT=1
SUBMIT_S=600
PROBES=0
RUNNERS=(runner1)
DAEMONS=(entry1 agent1)
# A process with sanitizers takes more for the same data.
SANITIZER_FACTOR=2
. script/lib.sh
. script/soak_system.sh
. script/leases.sh
trap 'stop_all; rm -rf "$RUN"' EXIT
CLOCK_RATES[runner1]=1
FRONT=${ADDRESSES["entry1 front"]:-}

MEMORY_BOUND_KB=$((MEMORY_MB * 1024))
if grep -q '^MST_SANITIZE:BOOL=ON' "$BUILD/CMakeCache.txt"; then
	MEMORY_BOUND_KB=$((MEMORY_BOUND_KB * SANITIZER_FACTOR))
	export ASAN_OPTIONS=${ASAN_OPTIONS:-}:quarantine_size_mb=1
fi

# limit_machines: tells the daemons the size of their machines.
limit_machines() {
	local name
	for name in "${DAEMONS[@]}"; do
		sed -i '1s/{/{"machine":{"memory_mb":'"$MEMORY_MB"',"descriptors":'"$DESCRIPTORS"'},/' \
		    "$RUN/$name.json"
	done
}

# start_small_system: starts all processes and waits until the entry serves.
start_small_system() {
	lay_out
	write_settings
	limit_machines
	FRONT=${ADDRESSES["entry1 front"]}
	start_all
	wait_serving 1 || fail "the entry does not serve at the start"
}

# start_limited_system: the same, where the processes can't open more descriptors
# than they are told.
start_limited_system() {
	ulimit -S -n "$DESCRIPTORS"
	start_small_system
	ulimit -S -n "$(ulimit -H -n)"
}

# start_crowd NAME KIND CONNECTIONS BYTES ADDRESS HOST PATH: starts clients and
# waits until none of them makes progress.
start_crowd() {
	local name=$1 tries=0
	shift
	start "$name" "$BUILD/standin-crowd" "$@"
	until grep -q '^settled' "$RUN/$name.out"; do
		tries=$((tries + 1))
		[ "$tries" -lt 1200 ] || fail "the clients of $name don't settle"
		sleep 0.05
	done
}

# end_crowd NAME: closes the connections of its clients.
end_crowd() {
	stop_gracefully "$1" || true
}

# memory_kb NAME FIELD: prints VmRSS or VmHWM of a process.
memory_kb() {
	awk -v field="$2:" '$1 == field { print $2 }' "/proc/$(pid_of "$1")/status"
}

descriptors() {
	find "/proc/$(pid_of "$1")/fd" -mindepth 1 | wc -l
}

# check_daemons WHEN: checks that the daemons live, and that their memory and
# descriptors have stayed within their machines.
check_daemons() {
	local name
	for name in "${DAEMONS[@]}"; do
		is_running "$name" || fail "$1: $name has ended"
		echo "$1: $name peak $(memory_kb "$name" VmHWM) KB," \
		    "now $(memory_kb "$name" VmRSS) KB, $(descriptors "$name") descriptors"
		[ "$(memory_kb "$name" VmHWM)" -le "$MEMORY_BOUND_KB" ] ||
		    fail "$1: $name has taken more than $MEMORY_BOUND_KB KB"
		[ "$(descriptors "$name")" -le "$DESCRIPTORS" ] ||
		    fail "$1: $name has more than $DESCRIPTORS descriptors"
	done
}

# check_serves WHEN: checks that an ordinary request is answered.
check_serves() {
	wait_serving 1 || fail "$1: an ordinary request is not answered"
}

# metric PROCESS NAME: prints the value of a metric, or the sum of its samples.
metric() {
	curl -fsS "http://${ADDRESSES["$1 http"]}/metrics" |
	    awk -v name="masticstall_$2" \
		'index($1, name) == 1 { sum += $NF } END { print sum + 0 }'
}
