#!/usr/bin/env bash
# Runs masticstall load against a system in which all jobs complete, against one
# whose entry is killed meanwhile, and without an entry. Guards against an exit
# status of 0 although some jobs did not complete.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
UPSTREAM_FACTORS=(1 1 1 1)
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

expect_load 1 "no entry" --rate 10 --seconds 1
[ "$(count_of complete)" = 0 ] || fail "jobs completed without an entry"

start_system >/dev/null
expect_load 0 "all jobs complete" --rate 20 --seconds 2
[ "$(count_of complete)" -gt 0 ] || fail "no job completed"

(
	sleep 1.5
	kill -KILL "$(pid_of entry1)"
) &
expect_load 1 "the entry is killed" --rate 20 --seconds 3
[ "$(count_of complete)" -gt 0 ] || fail "no job completed before the kill"
[ "$(count_of lost)" -gt 0 ] || fail "no job was lost by the kill"
echo "load status: passed"
