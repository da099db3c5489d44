#!/usr/bin/env bash
# Drains and restores failure domains through the command line. Guards against
# wrong exit codes, a drain that is lost because another patch came first or its
# response was lost, a version without a change, and a deployment on the platform
# whose drains are changed, or whose entry ends, by these requests.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
. script/lib.sh
. script/domain_system.sh

# expect_drained N LIST: fails unless the newest version, as entry N has it,
# lists these domains: JSON strings, separated by commas, sorted.
expect_drained() {
	expect "$2" "$(masticstall "$1" --json config show |
	    sed 's/.*"drained_domains":\[\([^]]*\)\].*/\1/' | tr , '\n' | sort |
	    paste -sd,)" "drained domains of entry $1"
}

# set_faults JSON: sets the faults of the platform's stand-in, which holds the
# table.
set_faults() {
	curl -fsS -X PUT -d "$1" "http://127.0.0.1:$TABLE/faults"
}

start_domains

# Wrong usage, a missing token and malformed names change nothing.
expect_exit 0 masticstall 1 domains --help
expect_exit 2 masticstall 1 domains drain fd1
expect_exit 2 masticstall 1 domains drain --reason x
expect_exit 2 masticstall 1 domains pause fd1 --reason x
expect_exit 2 masticstall 1 domains drain fd1 --reason ""
expect_exit 2 masticstall 1 domains drain a,b --reason x
grep -q "not a failure domain's name" "$RUN/expect.stderr" ||
    fail "the malformed name is not named as the cause"
expect_exit 2 masticstall 1 domains drain "$(printf 'a%.0s' $(seq 65))" \
    --reason x
expect_exit 2 "$BUILD/masticstall" -e "http://127.0.0.1:$HTTP1" \
    domains drain fd1 --reason x
grep -q "operator's token" "$RUN/expect.stderr" ||
    fail "the missing token is not named as the cause"
expect_exit 3 "$BUILD/masticstall" -e "http://127.0.0.1:$STORE" domains
expect 405 "$(curl -s -o /dev/null -w '%{http_code}' -X POST \
    "http://127.0.0.1:$HTTP1/v1/drains/fd1")" "status of POST"
expect 1 "$(metric 1 config_version)" "version after rejected requests"
masticstall 1 --json domains |
    grep -q '^{"revision":0,"drained_domains":\[\],"domains":\[{"name":"fd1",' ||
    fail "wrong list of domains before the first drain"

expect 0 "$(metric 1 'domain_drained{domain="fd1"}')" "gauge of fd1"
expect 0 "$(metric 2 'domain_running{domain="fd2"}')" "gauge of fd2"
masticstall 1 top --count 1 "http://127.0.0.1:$HTTP1" >"$RUN/top"
expect "drained 0" "$(awk 'NR == 1 { for (i = 1; i <= NF; i++)
	if ($i == "drained") c = i; print $c } NR == 2 { print $c }' "$RUN/top" |
    paste -sd" ")" "column of top"

# A drain and a restoration are versions; repeated ones are not.
expect "fd1 is drained as of version 2" \
    "$(masticstall 1 domains drain fd1 --reason "power work")" "drain"
wait_metric 2 config_version 2
expect "fd1 is drained as of version 2" \
    "$(masticstall 2 domains drain fd1 --reason again)" "repeated drain"
expect "fd1 is not drained as of version 3" \
    "$(masticstall 2 domains restore --reason back fd1)" "restoration"
expect "fd1 is not drained as of version 3" \
    "$(masticstall 1 domains restore fd1 --reason again)" "repeated restoration"
expect_drained 2 ""
masticstall 1 config history | grep -Eq '^2 .* op .* power work$' ||
    fail "the history does not name the operator and the reason"

# Concurrent drains through both entries all take effect. The name with a slash,
# a space and a percent sign survives its way through the URL.
pids=()
for name in a b c "d/e f%41"; do
	for n in 1 2; do
		masticstall "$n" domains drain "$name" --reason "all" \
		    >>"$RUN/drains" 2>&1 &
		pids+=("$!")
	done
done
for pid in "${pids[@]}"; do
	wait "$pid" || fail "a concurrent drain failed: $(cat "$RUN/drains")"
done
wait_metric 1 config_version 7
wait_metric 2 config_version 7
expect_drained 1 '"a","b","c","d/e f%41"'
expect_drained 2 '"a","b","c","d/e f%41"'

# The commit succeeds but its response is lost: it must not be applied twice.
set_faults '{"lose_answers":1}'
expect_exit 0 masticstall 1 domains restore b --reason "lost answer"
wait_metric 2 config_version 8
expect_drained 2 '"a","c","d/e f%41"'

# Without the table nothing is changed, and the caller is told so.
set_faults '{"away":true}'
expect_exit 1 masticstall 1 domains restore a --reason "table away"
grep -q "nothing was changed" "$RUN/expect.stderr" ||
    fail "the outage of the table is not named as the cause"
set_faults '{}'

# More domains than a message may carry are refused.
for i in $(seq 13); do
	expect_exit 0 masticstall 1 domains drain "n$i" --reason "many"
done
expect_exit 2 masticstall 1 domains drain n14 --reason "too many"
grep -q "at most 16 names" "$RUN/expect.stderr" ||
    fail "the limit is not named as the cause"

# On the platform, its operator sets the drains and the configuration; requests
# to change them are refused and do not end the entry, whose store is away here.
write_platform_entry
start entry3 "$BUILD/masticstall-entryd" --settings "$RUN/entry3.json"
wait_http "http://127.0.0.1:$HTTP3/metrics" 10
expect_exit 1 masticstall 3 domains drain fd1 --reason x
grep -q "set by the platform's operator (409)" "$RUN/expect.stderr" ||
    fail "wrong refusal of a drain on the platform"
expect_exit 1 masticstall 3 domains restore fd1 --reason x
expect_exit 1 masticstall 3 config history
expect_exit 1 masticstall 3 config patch --version 0 --reason x \
    "$EXAMPLES/config.patch.json"
expect_exit 0 masticstall 3 domains
echo "domain commands: passed"
