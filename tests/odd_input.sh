#!/usr/bin/env bash
# Runs two entries and two agents with their runners while another writer has put
# odd rows into each of their tables of the store, puts more of them there, and
# sends odd reports to the agents. Guards against a process that ends by itself,
# a worker that counts as restarted after an odd report, a row that is not read
# as odd ones come before it, and a connection for each odd address.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
ENTRY_COUNT=2
AGENT_COUNT=2
SUBMIT_S=600
ANSWER_MS=5000
PROBES=0
DESCRIPTORS_MAX=250
ODD_ADDRESSES=700 # more than a page of rows
ENTRIES=(entry1 entry2)
AGENTS=(agent1 agent2)
RUNNERS=(runner1 runner2)
DAEMONS=("${ENTRIES[@]}" "${AGENTS[@]}")
. script/lib.sh
. script/soak_system.sh
. script/leases.sh
. script/odd_rows.sh
trap 'stop_all; rm -rf "$RUN"' EXIT
for name in "${RUNNERS[@]}"; do
	CLOCK_RATES[$name]=1
done

# metric PROCESS NAME: prints the value of a metric, or the sum of its samples.
metric() {
	curl -fsS "http://${ADDRESSES["$1 http"]}/metrics" |
	    awk -v name="masticstall_$2" \
		'index($1, name) == 1 { sum += $NF } END { print sum + 0 }'
}

# wait_metric PROCESS NAME VALUE: waits up to 5 s until a metric has a value.
wait_metric() {
	local tries
	for tries in $(seq 1 100); do
		[ "$(metric "$1" "$2")" != "$3" ] || return 0
		sleep 0.05
	done
	fail "$2 of $1 is $(metric "$1" "$2"), expected $3"
}

# report AGENT BODY: sends a report of its runner to an agent, which must be
# refused.
report() {
	local status
	status=$(curl -sS -m 5 -o /dev/null -w '%{http_code}' -X PUT --data-binary "$2" \
	    "http://${ADDRESSES["$1 report"]}/v1/instances/i-${1#agent}")
	[ "$status" = 400 ] || fail "$1 answered $status to the report $2"
}

# odd_reports AGENT: sends it reports of its runner with a fault each.
odd_reports() {
	local good field
	good='"service":"s","address":"127.0.0.1:9","zone":"z","version":"v1",
	    "slots":8,"state":"ready","coldRemainingMs":0,"capacity":{"cpu":8000,
	    "memMb":8192},"labels":["a","r1"],"clockMs":5,"seq":999999999'
	for field in '"born":18446744073709551615' '"born":"1"' '"born":1.5' \
	    '"born":1e400' '"seq":1e400' '"seq":-1' '"state":"asleep"' \
	    '"service":7' '"capacity":{"cpu":1e300}' '"address":"127.0.0.1:65536"' \
	    '"address":"a.example:9"' '"labels":[7]' '"zone":[[[[]]]]' \
	    '"slots":18446744073709551616e999' $'"zone":"\xff"'; do
		report "$1" "{$field,$good}"
	done
	report "$1" "{$good"
	report "$1" ''
	report "$1" '{}'
	printf '[%.0s' $(seq 100000) >"$RUN/nested"
	report "$1" "@$RUN/nested"
	head -c $((4 << 20)) /dev/zero >"$RUN/zeros"
	report "$1" "@$RUN/zeros"
}

# check_processes: checks that no process has ended, and that none has a
# connection for each odd address.
check_processes() {
	local name descriptors
	for name in store proxy caller "${RUNNERS[@]}" "${DAEMONS[@]}"; do
		is_running "$name" || fail "$1: $name has ended by itself"
	done
	for name in "${DAEMONS[@]}"; do
		descriptors=$(find "/proc/$(pid_of "$name")/fd" -mindepth 1 | wc -l)
		[ "$descriptors" -le "$DESCRIPTORS_MAX" ] ||
		    fail "$1: $name has $descriptors descriptors"
	done
}

wait_all_serve() {
	local n
	for n in 1 2; do
		wait_serving "$n" || fail "$1: entry $n does not serve"
	done
}

lay_out
write_settings
start store "$BUILD/standin-store" "$STORE"
start proxy "$BUILD/standin-proxy" "$PROXY" "${LINK_ARGUMENTS[@]}"
wait_http "http://$STORE/counts" 10
commit_addresses 0 "$ODD_ADDRESSES"
commit_rows_of_all 000
commit_operator 9 '"!!!!"'
for name in "${RUNNERS[@]}" "${DAEMONS[@]}"; do
	start_process "$name"
done
wait_all_serve "at the start"
start_caller caller 1 6 0 "$ANSWER_MS"
wait_metric entry1 config_version 9
check_processes "at the start"

# More of them come, each kind before a good row.
for agent in "${AGENTS[@]}"; do
	odd_reports "$agent"
done
commit_addresses 2000 50
commit_rows_of_all 001
commit_operator 10 "$(encode '{"version":1e400,"routes":[]}')"
for name in "${ENTRIES[@]}"; do
	wait_metric "$name" config_version 10
done
row op '' evacuate/fd9 '""'
commit_odd
for name in "${ENTRIES[@]}"; do
	wait_http "http://${ADDRESSES["$name http"]}/v1/drains" 5
	tries=0
	until curl -fsS "http://${ADDRESSES["$name http"]}/v1/drains" |
	    grep -q '"fd9"'; do
		tries=$((tries + 1))
		[ "$tries" -lt 100 ] || fail "$name has not read the good drain"
		sleep 0.05
	done
done
wait_all_serve "with odd input"
check_processes "with odd input"
for name in "${AGENTS[@]}"; do
	[ "$(metric "$name" 'inputs_refused_total{input="report"')" -ge 20 ] ||
	    fail "$name has not counted the reports"
	! grep -qE 'event=(worker-crashed|worker state=restarted)' "$RUN/$name.out" ||
	    fail "$name took its worker for restarted"
done
for name in "${ENTRIES[@]}"; do
	[ "$(metric "$name" 'inputs_refused_total{input="entry-address"')" -ge 10 ] ||
	    fail "$name has not counted the addresses"
done

# The next incarnations read what is there by then.
for name in agent1 entry1; do
	kill -9 "$(pid_of "$name")"
	start_process "$name"
done
wait_all_serve "after restarts"
sleep 3
check_processes "after restarts"
stop_gracefully caller || fail "the callers have failed"

total=$(tail -n 1 "$RUN/caller.out")
overlaps=$(overlapping_runs | wc -l)
incomplete=$(incomplete_jobs | wc -l)
lines=$(cat "$RUN"/entry*.out "$RUN"/agent*.out | grep -c event=input-refused)
echo "odd input: $total; overlapping runs $overlaps, not whole $incomplete," \
    "$lines lines of refused input"
[ "$overlaps" -eq 0 ] && [ "$incomplete" -eq 0 ] &&
    grep -q ' unanswered=0 ' <<<"$total" &&
    ! grep -q ' completed=0 ' <<<"$total" || fail "callers saw faults"
