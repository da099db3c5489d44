# Functions that start two entries and, in the failure domains fd1 and fd2, one
# agent and upstream each, on the ports that script/lib.sh has reserved, whose
# functions for the ports of the examples don't apply. Sourced by tests after it.

TOKEN_SHA256=$(tr -d '\n' <"$EXAMPLES/operator.token" | sha256sum | cut -d' ' -f1)
OPERATORS='"operators":[{"name":"op","token_sha256":"'$TOKEN_SHA256'"}]'
read -r TABLE HTTP1 HTTP2 HTTP3 BUS1 BUS2 BUS3 UP1 UP2 AGENT1 AGENT2 FRONT \
    READY STORE < <(seq -s ' ' "$PORT_BASE" $((PORT_BASE + 13)))
HTTP=(0 "$HTTP1" "$HTTP2" "$HTTP3")
UPSTREAM=(0 "$UP1" "$UP2")

# write_entry N HTTP BUS OTHER-BUS: writes the settings of entry N.
write_entry() {
	cat >"$RUN/entry$1.json" <<-JSON
	{"name":"entry$1","failure_domain":"fd$1",
	"http_listen":"127.0.0.1:$2","members_listen":"127.0.0.1:$3",
	"entries":["127.0.0.1:$4"],
	"table":{"endpoint":"http://127.0.0.1:$TABLE","table":"masticstall",
	"timeout_ms":1000},$OPERATORS}
	JSON
}

# write_agent N HTTP UPSTREAM: writes the settings of agent N in domain fdN.
write_agent() {
	cat >"$RUN/agent$1.json" <<-JSON
	{"name":"agent$1","failure_domain":"fd$1","rack":"rack$1",
	"http_listen":"127.0.0.1:$2",
	"entries":["127.0.0.1:$BUS1","127.0.0.1:$BUS2"],
	"upstream":{"address":"127.0.0.1:$3","slots":8,"connections":64},
	"resources":{"cores":16,"memory_mb":32768},$OPERATORS}
	JSON
}

# write_platform_entry: writes the settings of entry 3, which runs on the
# platform, with its store at port STORE.
write_platform_entry() {
	cat >"$RUN/entry3.json" <<-JSON
	{"name":"entry3","failure_domain":"fd1","trusted_network":true,
	"http_listen":"127.0.0.1:$HTTP3","members_listen":"127.0.0.1:$BUS3",
	"store":"127.0.0.1:$STORE","front":{"listen":"127.0.0.1:$FRONT",
	"config_ms":2000,"ready_listen":"127.0.0.1:$READY"},$OPERATORS}
	JSON
}

# masticstall N ARGUMENTS...: runs the command line against entry N.
masticstall() {
	local entry=$1
	shift
	"$BUILD/masticstall" --entry "http://127.0.0.1:${HTTP[entry]}" \
	    --token-file "$EXAMPLES/operator.token" "$@"
}

# expect WANT GOT DESCRIPTION: fails unless both values are equal.
expect() {
	[ "$1" = "$2" ] || fail "$3: got '$2', expected '$1'"
}

# expect_exit CODE COMMAND...: fails unless the command exits with the code. Its
# output is in $RUN/expect.stdout and $RUN/expect.stderr.
expect_exit() {
	local want=$1 rc=0
	shift
	"$@" >"$RUN/expect.stdout" 2>"$RUN/expect.stderr" || rc=$?
	expect "$want" "$rc" "exit code of '$*'"
}

# metric N NAME: prints the value of a metric of entry N.
metric() {
	curl -fsS "http://127.0.0.1:${HTTP[$1]}/metrics" |
	    sed -n "s/^masticstall_$2 //p"
}

# wait_metric N NAME VALUE: waits up to 10 s until the metric has the value.
wait_metric() {
	local tries
	for tries in $(seq 1 200); do
		[ "$(metric "$1" "$2")" = "$3" ] && return 0
		sleep 0.05
	done
	fail "entry $1: $2 is '$(metric "$1" "$2")', expected '$3'"
}

# start_domains: starts the system, applies the first configuration and waits
# until both entries have both agents.
start_domains() {
	local n
	start platform "$BUILD/standin-platform" "127.0.0.1:$TABLE"
	wait_http "http://127.0.0.1:$TABLE/" 10
	write_entry 1 "$HTTP1" "$BUS1" "$BUS2"
	write_entry 2 "$HTTP2" "$BUS2" "$BUS1"
	write_agent 1 "$AGENT1" "$UP1"
	write_agent 2 "$AGENT2" "$UP2"
	for n in 1 2; do
		start "upstream$n" "$BUILD/standin-upstream" \
		    "127.0.0.1:${UPSTREAM[n]}" 1
		start "agent$n" "$BUILD/masticstall-agentd" \
		    --settings "$RUN/agent$n.json"
		start "entry$n" "$BUILD/masticstall-entryd" \
		    --settings "$RUN/entry$n.json"
	done
	wait_http "http://127.0.0.1:$HTTP1/metrics" 10
	wait_http "http://127.0.0.1:$HTTP2/metrics" 10
	masticstall 1 config patch --version 0 --reason first \
	    "$EXAMPLES/config.patch.json" >/dev/null
	for n in 1 2; do
		wait_metric "$n" members_active 2
		wait_metric "$n" config_version 1
	done
}
