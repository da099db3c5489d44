#!/usr/bin/env bash
# Injects faults into the platform's configuration table: lost responses,
# concurrent patches and an outage. Guards against a version that is committed
# twice or lost, a conflict that is not reported, and a process that starts
# during an outage and gets no configuration from the other members.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
UPSTREAM_FACTORS=(1 1 1 1)
. script/lib.sh

# set_faults JSON: sets the faults of the platform's stand-in, which holds the
# table.
set_faults() {
	curl -fsS -X PUT -d "$1" "http://$PLATFORM/faults"
}

# config_version ENTRY: prints the configuration version in force at an entry.
config_version() {
	curl -fsS "http://$(entry_address "$1")/metrics" |
	    sed -n 's/^masticstall_config_version //p'
}

# wait_version ENTRY VERSION: waits up to 60 s until the entry has the version.
wait_version() {
	local tries
	for tries in $(seq 1 600); do
		[ "$(config_version "$1")" = "$2" ] && return 0
		sleep 0.1
	done
	fail "entry $1 has version $(config_version "$1"), expected $2"
}

start_system >/dev/null
echo '[{"op":"add","path":"/policy/eject_ms","value":700}]' >"$RUN/p.json"

# The commit succeeds but its response is lost. The entry must read the outcome
# from the table, and must not commit the patch twice.
set_faults '{"lose_answers":1}'
cli 1 config patch --version 1 --reason "lost answer" "$RUN/p.json" |
    grep -q "version 2 is accepted" ||
    fail "the patch whose response was lost was not accepted"
wait_version 2 2
[ "$(cli 1 --json config history | grep -o '"reason":"lost answer"' | wc -l)" \
    = 1 ] ||
    fail "the patch whose response was lost is not in the history exactly once"

# Of eight concurrent patches to version 2, one succeeds (exit code 0) and seven
# get a conflict error (exit code 4).
patch_pids=()
for i in 1 2 3 4 5 6 7 8; do
	(
		rc=0
		cli $((1 + i % 2)) config patch --version 2 \
		    --reason "patch $i" "$RUN/p.json" >/dev/null 2>&1 || rc=$?
		echo "$rc" >"$RUN/patch_rc.$i"
	) &
	patch_pids+=("$!")
done
wait "${patch_pids[@]}"
codes=$(cat "$RUN"/patch_rc.* | sort | uniq -c | tr -s ' \n' ' ')
[ "$codes" = " 1 0 7 4 " ] ||
    fail "counts and exit codes of the concurrent patches: $codes"
wait_version 1 3
wait_version 2 3

# While the table is unavailable, a patch fails without a change, and an entry
# that restarts gets version 3 from the other members.
set_faults '{"away":true}'
rc=0
cli 1 config patch --version 3 --reason away "$RUN/p.json" 2>"$RUN/err" ||
    rc=$?
[ "$rc" = 1 ] ||
    fail "exit code of a patch during the outage: got $rc, expected 1"
grep -q "nothing was changed" "$RUN/err" ||
    fail "the error does not say that nothing was changed"
curl -sS -o "$RUN/history" -H "authorization: Bearer $(cat "$EXAMPLES/operator.token")" \
    "http://$(entry_address 1)/v1/config/history"
[ "$(tr -d '\0' <"$RUN/history" | wc -c)" = "$(wc -c <"$RUN/history")" ] ||
	fail "the refusal of the history has a byte after its end"
kill -KILL "$(pid_of entry2)"
wait "$(pid_of entry2)" 2>/dev/null || true
start_entry 2
wait_http "http://$(entry_address 2)/metrics" 30
wait_version 2 3
wait_members 4 60
cli 2 --json submit <(echo '{"team":"newsletter","tasks":[{"path":"/t?ms=1"}]}') |
    grep -q '"state":"complete"' ||
    fail "a job failed while the table was unavailable"

# After the outage, the next patch takes effect at both entries and all agents.
set_faults '{}'
cli 2 config patch --version 3 --reason back "$RUN/p.json" >/dev/null ||
    fail "the patch after the outage failed"
wait_version 1 4
for tries in $(seq 1 600); do
	[ "$(cli 1 --json members | grep -o '"config_version":4' | wc -l)" = 4 ] &&
	    break
	sleep 0.1
done
[ "$tries" -lt 600 ] || fail "not all agents have configuration version 4"
echo "table faults: passed"
