#!/usr/bin/env bash
# Drains and restores failure domains in the platform's store, beside a running
# entry. Guards against a drain that does not reach the reducer, a domain that
# stays drained after a gap in the store's history, a set that is lost while the
# store is away, and further calls to the store.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
. script/lib.sh
. script/domain_system.sh

# commit JSON: applies a transaction in the store.
commit() {
	curl -fsS -o /dev/null -d "$1" "http://127.0.0.1:$STORE/v1/rows-tx"
}

# set_faults JSON: sets the faults of the store.
set_faults() {
	curl -fsS -o /dev/null -X PUT -d "$1" "http://127.0.0.1:$STORE/faults"
}

# drain NAME, restore NAME: write the row as the platform's operator does.
drain() {
	commit '{"setKeys":[{"table":"op","part":"","key":"evacuate/'"$1"'",
	    "value":"e30="}]}'
}

restore() {
	commit '{"remove":[{"table":"op","part":"","key":"evacuate/'"$1"'"}]}'
}

# drained: prints the drained domains that entry 3 knows.
drained() {
	curl -fsS "http://127.0.0.1:$HTTP3/v1/drains" |
	    sed 's/.*"drained_domains":\[\([^]]*\)\].*/\1/' | tr -d '"'
}

# wait_drained LIST: waits up to 5 s, as long as a drain may take.
wait_drained() {
	local tries
	for tries in $(seq 1 100); do
		[ "$(drained)" = "$1" ] && return 0
		sleep 0.05
	done
	fail "the entry has '$(drained)' drained, expected '$1'"
}

start store "$BUILD/standin-store" "127.0.0.1:$STORE"
wait_http "http://127.0.0.1:$STORE/counts" 10
# The configuration {"version":9,"routes":[]}.
commit '{"setKeys":[{"table":"op","part":"","key":"config","value":
    "eyJ2ZXJzaW9uIjo5LCJyb3V0ZXMiOltdfQ=="}]}'
drain early
write_platform_entry
start entry3 "$BUILD/masticstall-entryd" --settings "$RUN/entry3.json"
wait_http "http://127.0.0.1:$HTTP3/metrics" 10

# The first read shows what was drained before, beside the configuration.
wait_drained early
wait_metric 3 config_version 9

# Changes, malformed rows, and a drain and a restoration in one transaction.
drain fd1
wait_drained early,fd1
commit '{"setKeys":[{"table":"op","part":"","key":"evacuate/","value":""},
    {"table":"op","part":"","key":"evacuate/a,b","value":""},
    {"table":"op","part":"","key":"evacuate/fd2","value":"e30="}],
    "remove":[{"table":"op","part":"","key":"evacuate/early"}]}'
wait_drained fd1,fd2
restore fd2
restore fd1
wait_drained ""

# The set stays in force while the store is away. What changed meanwhile is
# learnt from a snapshot, as the history was compacted.
drain fd2
wait_drained fd2
set_faults '{"away":true}'
sleep 2.5
wait_drained fd2
restore fd2
drain fd1
set_faults '{"away":false,"compact":true}'
wait_drained fd1
grep -q event=store-compacted "$RUN/entry3.out" ||
    fail "the entry has not found a gap in the history"
# The read at the start, and at most one for the gap in the history.
curl -fsS "http://127.0.0.1:$STORE/counts" | grep -q '"get op":[12][,}]' ||
    fail "the drains need further reads of the store"
kill -0 "$(pid_of entry3)" || fail "the entry has ended"
echo "domain store: passed"
