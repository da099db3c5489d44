#!/usr/bin/env bash
# Runs masticstall load against a system in which all jobs complete, against one
# whose entry is killed meanwhile, and without an entry. Guards against an exit
# status of 0 although some jobs did not complete.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
UPSTREAM_FACTORS=(1 1 1 1)
KILL_AFTER_JOBS=10 # of the 60 that are submitted
. script/lib.sh

# expect_load STATUS DESCRIPTION ARGUMENTS...: runs a load; its report goes to
# $RUN/report.
expect_load() {
	local want=$1 description=$2 rc=0
	shift 2
	cli 1 --json load --tasks 1-2 --ms 1-5 "$@" >"$RUN/report" 2>"$RUN/err" ||
	    rc=$?
	[ "$rc" = "$want" ] ||
	    fail "$description: exit status $rc, expected $want: $(cat "$RUN/report")"
}

# count_of OUTCOME: prints the number of jobs in the report.
count_of() {
	sed -n "s/.*\"$1\":\\([0-9]*\\).*/\\1/p" "$RUN/report"
}

# complete_jobs: prints the number of jobs that entry 1 has completed.
complete_jobs() {
	curl -fsS "http://$(entry_address 1)/metrics" |
	    sed -n 's/^masticstall_jobs_complete_total \([0-9]*\)$/\1/p'
}

# kill_during_load: kills entry 1 once it has completed some more jobs.
kill_during_load() {
	local target polls
	target=$(($(complete_jobs) + KILL_AFTER_JOBS))
	for ((polls = 0; polls < 100; polls++)); do
		[ "$(complete_jobs)" -lt "$target" ] || break
		sleep 0.05
	done
	kill -KILL "$(pid_of entry1)"
}

expect_load 1 "no entry" --rate 10 --seconds 1
[ "$(count_of complete)" = 0 ] || fail "jobs completed without an entry"

start_system >/dev/null
expect_load 0 "all jobs complete" --rate 20 --seconds 2
[ "$(count_of complete)" -gt 0 ] || fail "no job completed"

kill_during_load &
expect_load 1 "the entry is killed" --rate 20 --seconds 3
[ "$(count_of complete)" -gt 0 ] || fail "no job completed before the kill: $(cat "$RUN/report")"
[ "$(count_of lost)" -gt 0 ] || fail "no job was lost by the kill: $(cat "$RUN/report")"
echo "load status: passed"
