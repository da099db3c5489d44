#!/usr/bin/env bash
# Drains and restores failure domains of a local system under work. Guards
# against tasks that start in a drained domain, also after its agent's restart,
# running tasks that a drain interrupts, jobs that wait although all domains are
# drained, and restored domains that get no tasks.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
. script/lib.sh
. script/domain_system.sh

# starts N: prints how many tasks upstream N has started.
starts() {
	curl -fsS "http://127.0.0.1:${UPSTREAM[$1]}/starts/summary" |
	    sed 's/.*"total":\([0-9]*\).*/\1/'
}

# write_job FILE COUNT MS: writes a job of COUNT tasks of MS each.
write_job() {
	awk -v count="$2" -v ms="$3" 'BEGIN {
		printf "{\"team\":\"t\",\"tasks\":["
		for (i = 0; i < count; i++)
			printf "%s{\"path\":\"/t?ms=%d\"}", i ? "," : "", ms
		printf "]}"
	}' >"$1"
}

# submit N FILE: submits a job and fails unless all its tasks are done.
submit() {
	masticstall "$1" --json submit "$2" >"$RUN/answer.json" ||
	    fail "entry $1 did not complete the job $2"
	expect "$(grep -o '"path"' "$2" | wc -l)" \
	    "$(grep -o '"outcome":"done"' "$RUN/answer.json" | wc -l)" \
	    "tasks done"
}

start_domains
write_job "$RUN/short.json" 40 20
write_job "$RUN/long.json" 12 1500

# Both domains get tasks before the drain.
submit 1 "$RUN/short.json"
submit 2 "$RUN/short.json"
{ [ "$(starts 1)" -gt 0 ] && [ "$(starts 2)" -gt 0 ]; } ||
    fail "a domain got no tasks before the drain"
masticstall 2 --json submit "$RUN/long.json" >"$RUN/long.answer" &
client=$!
for tries in $(seq 100); do
	running=$(metric 2 'domain_running{domain="fd1"}')
	[ "${running:-0}" -gt 0 ] && break
	[ "$tries" -lt 100 ] || fail "no task runs in fd1 before the drain"
	sleep 0.1
done

# A drain through entry 1 reaches entry 2 and the domain's agent.
expect_exit 0 masticstall 1 domains drain fd1 --reason "power work"
for n in 1 2; do
	wait_metric "$n" 'domain_drained{domain="fd1"}' 1
	expect 0 "$(metric "$n" 'domain_drained{domain="fd2"}')" "drained fd2"
done
grep -q 'event=drains revision=2 domains="fd1" source=' "$RUN/entry1.out" ||
    fail "entry 1 did not log the drain"
for tries in $(seq 100); do
	curl -fsS "http://127.0.0.1:$AGENT1/metrics" |
	    grep -q '^masticstall_drained 1$' && break
	[ "$tries" -lt 100 ] || fail "the agent in fd1 is not drained"
	sleep 0.05
done
curl -fsS "http://127.0.0.1:$AGENT2/metrics" |
    grep -q '^masticstall_drained 0$' || fail "the agent in fd2 is drained"
masticstall 1 top --count 1 "http://127.0.0.1:$HTTP1" \
    "http://127.0.0.1:$AGENT1" "http://127.0.0.1:$AGENT2" >"$RUN/top"
expect "drained 1 1 0" "$(awk 'NR == 1 { for (i = 1; i <= NF; i++)
	if ($i == "drained") c = i } { print $c }' "$RUN/top" |
    paste -sd" ")" "column of top"
masticstall 2 domains | grep -Eq '^fd1 +yes +1 ' ||
    fail "the list does not show the drained domain"

# No task starts in the domain; the running ones finish.
sleep 0.5
before=$(starts 1)
submit 1 "$RUN/short.json"
submit 2 "$RUN/short.json"
wait "$client" || fail "the job that was running at the drain failed"
expect 12 "$(grep -o '"outcome":"done"' "$RUN/long.answer" | wc -l)" \
    "tasks of the job that was running at the drain"
expect "$before" "$(starts 1)" "tasks started in the drained domain"
wait_metric 2 'domain_running{domain="fd1"}' 0

# A restarted agent of the domain gets nothing either.
stop_gracefully agent1 || fail "agent1 did not stop gracefully"
start agent1 "$BUILD/masticstall-agentd" --settings "$RUN/agent1.json"
wait_http "http://127.0.0.1:$AGENT1/metrics" 10
sleep 2
submit 1 "$RUN/short.json"
submit 2 "$RUN/short.json"
expect "$before" "$(starts 1)" "tasks started at the restarted agent"

# With all domains drained, jobs are refused at once.
expect_exit 0 masticstall 2 domains drain fd2 --reason "all"
for n in 1 2; do
	wait_metric "$n" 'domain_drained{domain="fd2"}' 1
	expect_exit 1 timeout 5 "$BUILD/masticstall" \
	    --entry "http://127.0.0.1:${HTTP[n]}" submit "$RUN/short.json"
	grep -q "ran: none" "$RUN/expect.stderr" ||
	    fail "the refused job may have run"
	grep -q "retry after" "$RUN/expect.stderr" ||
	    fail "the refusal does not say when to come back"
done

# Restored domains get tasks again, and no task was started twice.
expect_exit 0 masticstall 2 domains restore fd2 --reason "back"
expect_exit 0 masticstall 1 domains restore fd1 --reason "back"
for n in 1 2; do
	wait_metric "$n" 'domain_drained{domain="fd1"}' 0
	wait_metric "$n" 'domain_drained{domain="fd2"}' 0
done
sleep 1
before=$(starts 1)
submit 1 "$RUN/short.json"
submit 2 "$RUN/short.json"
[ "$(starts 1)" -gt "$before" ] || fail "the restored domain got no tasks"
for n in 1 2; do
	curl -fsS "http://127.0.0.1:${UPSTREAM[n]}/starts/summary" |
	    grep -q '"repeated":0' || fail "upstream $n started a task twice"
done

# A drain from the platform's store is logged with its source.
start store "$BUILD/standin-store" "127.0.0.1:$STORE"
wait_http "http://127.0.0.1:$STORE/counts" 10
write_platform_entry
start entry3 "$BUILD/masticstall-entryd" --settings "$RUN/entry3.json"
wait_http "http://127.0.0.1:$HTTP3/metrics" 10
curl -fsS -o /dev/null -d '{"setKeys":[{"table":"op","part":"",
    "key":"evacuate/fd1","value":"e30="}]}' "http://127.0.0.1:$STORE/v1/rows-tx"
for tries in $(seq 100); do
	grep -q 'event=drains revision=[0-9]* domains="fd1" source=store' \
	    "$RUN/entry3.out" && break
	[ "$tries" -lt 100 ] || fail "the drain from the store is not logged"
	sleep 0.05
done
echo "domain drain: passed"
