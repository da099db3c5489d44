# Functions that run two entries, four agents with their runners and a store as
# processes of two builds on loopback. Sourced by script/upgrade after
# script/lib.sh and
# script/leases.sh, with the directories of the programs in NEW and OLD.

ENTRY_COUNT=2
AGENT_COUNT=4
RUNNER_SLOTS=8
# Two blocks of ports, as one has too few.
FREE_PORTS=()
for _ in 1 2; do
	reserve_ports
	mapfile -t -O "${#FREE_PORTS[@]}" FREE_PORTS \
	    < <(seq "$PORT_BASE" $((PORT_BASE + PORT_BLOCK_SIZE - 1)))
done
STORE=127.0.0.1:${FREE_PORTS[0]}
# entry_port N KIND, agent_port N KIND: print an address of a process.
entry_port() {
	local -A kind=([http]=0 [bus]=1 [front]=2 [ready]=3)
	echo "127.0.0.1:${FREE_PORTS[1 + ($1 - 1) * 4 + kind[$2]]}"
}
agent_port() {
	local -A kind=([http]=0 [report]=1 [runner]=2)
	echo "127.0.0.1:${FREE_PORTS[1 + ENTRY_COUNT * 4 + ($1 - 1) * 3 + kind[$2]]}"
}

declare -A BUILD_OF # process -> directory of its build

write_settings() {
	local n
	for n in $(seq "$ENTRY_COUNT"); do
		cat >"$RUN/entry$n.json" <<-JSON
		{"name":"entry$n","failure_domain":"fd$n","trusted_network":true,
		"http_listen":"$(entry_port "$n" http)",
		"members_listen":"$(entry_port "$n" bus)",
		"entries":["$(entry_port 1 bus)","$(entry_port 2 bus)"],
		"store":"$STORE","resend_ms":1300,
		"front":{"listen":"$(entry_port "$n" front)","grace_s":4,
		"config_ms":2000,"ready_listen":"$(entry_port "$n" ready)"}}
		JSON
	done
	for n in $(seq "$AGENT_COUNT"); do
		cat >"$RUN/agent$n.json" <<-JSON
		{"name":"agent$n","failure_domain":"fd$((1 + n % 2))",
		"trusted_network":true,
		"http_listen":"$(agent_port "$n" http)",
		"entries":["$(entry_port 1 bus)","$(entry_port 2 bus)"],
		"store":"$STORE","resend_ms":1300,
		"worker":{"address":"$(agent_port "$n" runner)",
		"report_listen":"$(agent_port "$n" report)","lease_max_ms":1000}}
		JSON
	done
}

# start_process NAME: starts an entry or an agent of its present build.
start_process() {
	local program=masticstall-agentd
	case $1 in
	entry*) program=masticstall-entryd ;;
	esac
	start "$1" "${BUILD_OF[$1]}/$program" --settings "$RUN/$1.json"
}

start_platform_processes() {
	local n
	start store "$NEW/standin-store" "$STORE"
	wait_http "http://$STORE/counts" 10
	write_config
	for n in $(seq "$AGENT_COUNT"); do
		start "runner$n" "$NEW/standin-runner" \
		    "$(agent_port "$n" runner)" "$(agent_port "$n" report)" \
		    "i-$n" "$RUNNER_SLOTS"
	done
}

# active_members N: prints the number of agents that entry N may use.
active_members() {
	curl -fsS -m 1 "http://$(entry_port "$1" http)/metrics" 2>/dev/null |
	    sed -n 's/^masticstall_members_active //p'
}

# wait_entry N MEMBERS: waits until entry N is ready and has that many agents.
wait_entry() {
	local end=$((SECONDS + 10))
	until [ "$(active_members "$1")" = "$2" ] &&
	    curl -fsS -m 1 -o /dev/null \
		"http://$(entry_port "$1" ready)/v1/readiness" 2>/dev/null; do
		[ "$SECONDS" -lt "$end" ] || return 1
		sleep 0.05
	done
}

# dropped_messages: prints how many messages the processes could not decode.
dropped_messages() {
	local n address
	for n in $(seq "$ENTRY_COUNT"); do
		entry_port "$n" http
	done | while read -r address; do
		curl -fsS -m 1 "http://$address/metrics" 2>/dev/null || true
	done | awk '/^masticstall_messages_dropped_total/ {n += $2} END {print n + 0}'
}
