#!/usr/bin/env bash
# Runs entries, agents and upstreams as separate processes. Guards against
# results that are lost or assigned to the wrong task, a resubmitted ticket that
# starts its tasks again, an undetected conflict between two configuration
# patches, and a graceful stop that interrupts running tasks.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
UPSTREAM_FACTORS=(1 1 1 1)
. script/lib.sh

# expect WANT GOT DESCRIPTION: fails unless both values are equal.
expect() {
	local want=$1 got=$2 description=$3
	[ "$want" = "$got" ] || fail "$description: got '$got', expected '$want'"
}

start_system

# A job of 200 tasks completes, and each result belongs to its task.
awk 'BEGIN {
	printf "{\"team\":\"newsletter\",\"tasks\":["
	for (i = 0; i < 200; i++)
		printf "%s{\"path\":\"/t?ms=5\",\"body\":\"n%d\"}", i ? "," : "", i
	printf "]}"
}' >"$RUN/job.json"
cli 1 --json submit "$RUN/job.json" >"$RUN/answer.json"
expect 200 "$(grep -o '"outcome":"done"' "$RUN/answer.json" | wc -l)" "tasks done"
for i in 0 99 199; do
	grep -q "\"index\":$i,[^}]*\"body\":\"done /t n$i\"" "$RUN/answer.json" ||
	    fail "wrong or missing result of task $i"
done

# A single request returns the upstream's response unchanged.
expect "done /plain hello" "$(curl -fsS --data-binary hello \
    "http://$(entry_address 2)/upstream/plain?ms=1")" "single request"

# Submitting the same ticket to the other entry returns the results of the first
# submission and starts no task again.
before=$(cat <(for n in 1 2 3 4; do
	curl -fsS "http://$(upstream_address "$n")/starts/summary"; done) | tr -cd '0-9\n')
job=$(sed -n 's/.*"job":"\([^"]*\)".*/\1/p' "$RUN/answer.json")
cli 2 --json submit --ticket "$job" "$RUN/job.json" >"$RUN/again.json"
cmp -s "$RUN/answer.json" "$RUN/again.json" ||
    fail "the resubmission returned a different response"
after=$(cat <(for n in 1 2 3 4; do
	curl -fsS "http://$(upstream_address "$n")/starts/summary"; done) | tr -cd '0-9\n')
expect "$before" "$after" "task starts after the resubmission"

# Of two patches to the same version, the first succeeds and the second gets a
# conflict error.
echo '[{"op":"add","path":"/policy/eject_ms","value":500}]' >"$RUN/p.json"
cli 1 config patch --version 1 --reason one "$RUN/p.json" >/dev/null ||
    fail "the first configuration patch failed"
rc=0
cli 2 config patch --version 1 --reason two "$RUN/p.json" 2>"$RUN/err" || rc=$?
expect 4 "$rc" "exit code of the conflicting patch"
grep -q "current version is 2" "$RUN/err" ||
    fail "the conflict error does not name the current version"
rc=0
"$BUILD/masticstall" -e "http://$(entry_address 1)" config patch --version 2 \
    --reason nobody "$RUN/p.json" 2>/dev/null || rc=$?
expect 2 "$rc" "exit code of a patch without a token"

# Stopping an agent gracefully does not interrupt a job in progress.
sed 's/ms=5/ms=300/' "$RUN/job.json" >"$RUN/slow.json"
cli 2 --json submit "$RUN/slow.json" >"$RUN/slow.answer" &
client=$!
sleep 0.5
kill -TERM "$(pid_of agent1)"
wait "$client" || fail "the job failed while agent1 stopped"
expect 200 "$(grep -o '"outcome":"done"' "$RUN/slow.answer" | wc -l)" \
    "tasks done while agent1 stopped"
for name in agent1 entry1 entry2 agent2 agent3 agent4; do
	stop_gracefully "$name" || fail "$name did not stop gracefully"
done
for n in 1 2 3 4; do
	curl -fsS "http://$(upstream_address "$n")/starts/summary" |
	    grep -q '"repeated":0' || fail "upstream $n started a task twice"
done
echo "local system: passed"
