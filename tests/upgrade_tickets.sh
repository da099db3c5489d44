#!/usr/bin/env bash
# Replaces the entries and agents of a system with its own interface in turn by
# those of this build, under masticstall load, and lets an entry of this build
# adopt a job from a killed one of the build in production. Guards against jobs
# that fail and tasks that start twice while two builds run side by side.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
OLD=$(script/production-build "$BUILD")
UPSTREAM_FACTORS=(1 1 1 1)
. script/lib.sh

# run_old COMMAND...: runs a function of script/lib.sh with the old programs.
run_old() {
	local BUILD=$OLD
	"$@"
}

# replace NAME: stops a process gracefully and starts it with this build.
replace() {
	stop_gracefully "$1" || fail "$1 did not stop gracefully"
	case $1 in
	entry*)
		start_entry "${1#entry}"
		wait_http "http://$(entry_address "${1#entry}")/healthz" 10
		;;
	agent*) start_agent "${1#agent}" ;;
	esac
	wait_members 4 15
}

# load_at N: starts a load at entry N in the background.
load_at() {
	cli "$1" --json load --rate 20 --seconds "$2" --tasks 1-3 --ms 20-200 \
	    >"$RUN/load$1" &
	load_pid=$!
}

start_platform
wait_http "http://$PLATFORM/" 10
for n in 1 2 3 4; do
	start_upstream "$n" 1
	run_old start_agent "$n"
done
run_old start_entry 1
run_old start_entry 2
wait_http "http://$(entry_address 1)/metrics" 10
wait_http "http://$(entry_address 2)/metrics" 10
cli 1 config patch --version 0 --reason "first version" \
    "$EXAMPLES/config.patch.json" >/dev/null
wait_members 4 15

replace entry2
# The job's entry is killed while its tasks run. Its agents are those
# of the build in production, as the history of one that was replaced is lost.
awk 'BEGIN {
	printf "{\"team\":\"boards\",\"timeout_ms\":20000,\"tasks\":["
	for (i = 0; i < 12; i++)
		printf "%s{\"path\":\"/t?ms=900\"}", i ? "," : ""
	printf "]}"
}' >"$RUN/job.json"
ticket=$(curl -fsS -X POST -d '' "http://$(entry_address 1)/v1/tickets" |
    sed -n 's/.*"ticket":"\([^"]*\)".*/\1/p')
curl -sS -m 5 -o /dev/null -H "Idempotency-Key: \"$ticket\"" \
    --data-binary "@$RUN/job.json" \
    "http://$(entry_address 1)/v1/jobs" 2>/dev/null &
submit_pid=$!
sleep 0.4
kill -KILL "$(pid_of entry1)"
wait "$(pid_of entry1)" "$submit_pid" 2>/dev/null || true
for _ in $(seq 20); do
	curl -sS -m 15 -o "$RUN/answer" -H "Idempotency-Key: \"$ticket\"" \
	    --data-binary "@$RUN/job.json" \
	    "http://$(entry_address 2)/v1/jobs" 2>/dev/null || true
	if grep -q '"state":"complete"' "$RUN/answer"; then
		break
	fi
	sleep 0.5
done
grep -q '"state":"complete"' "$RUN/answer" ||
    fail "the job was not adopted: $(cat "$RUN/answer")"

start_entry 1
wait_http "http://$(entry_address 1)/healthz" 10
wait_members 4 15

load_at 1 12
for name in agent3 entry2 agent1; do
	replace "$name"
done
wait "$load_pid" || fail "jobs failed at entry 1: $(cat "$RUN/load1")"
load_at 2 8
for name in agent4 agent2; do
	replace "$name"
done
wait "$load_pid" || fail "jobs failed at entry 2: $(cat "$RUN/load2")"
for n in 1 2 3 4; do
	curl -fsS "http://$(upstream_address "$n")/starts/summary" |
	    grep -q '"repeated":0' || fail "upstream $n started a task twice"
done
# The replaced agents are forgotten once they have been silent for a while.
end=$((SECONDS + 12))
while curl -fsS "http://$(entry_address 2)/metrics" |
    grep -q '^masticstall_agents_by_version{version="unknown"}'; do
	[ "$SECONDS" -lt "$end" ] ||
	    fail "entry 2 still knows an agent of the old build"
	sleep 0.5
done
curl -fsS "http://$(entry_address 2)/metrics" |
    grep -q '^masticstall_messages_dropped_total 0$' ||
    fail "entry 2 has dropped messages"
echo "upgrade with tickets: passed"
