# Functions that run entries, agents with their runners, and a store as processes
# on loopback, with a proxy on their connections. Sourced by script/soak after
# script/lib.sh, with the numbers of processes in ENTRY_COUNT and AGENT_COUNT.

RUNNER_SLOTS=8
PORTS_OF_ENTRY=7
PORTS_OF_AGENT=6
SERVE_S=30 # until an entry that does not serve counts as stuck

FREE_PORTS=()
while [ "${#FREE_PORTS[@]}" -lt \
    $((2 + ENTRY_COUNT * PORTS_OF_ENTRY + AGENT_COUNT * PORTS_OF_AGENT)) ]; do
	reserve_ports
	mapfile -t -O "${#FREE_PORTS[@]}" FREE_PORTS \
	    < <(seq "$PORT_BASE" $((PORT_BASE + PORT_BLOCK_SIZE - 1)))
done
STORE=127.0.0.1:${FREE_PORTS[0]}
PROXY=127.0.0.1:${FREE_PORTS[1]}
declare -A ADDRESSES   # "PROCESS KIND" -> ip:port
LINKS=()               # names of the links of the proxy
LINK_ARGUMENTS=()      # of the proxy: name, address, target
declare -A CLOCK_RATES # runner -> speed of its clock
declare -A RUNNER_IDS  # runner -> its id, if that is not i-N

# name_ports PROCESS FIRST KIND...: names the free ports of a process.
name_ports() {
	local process=$1 next=$2 kind
	shift 2
	for kind in "$@"; do
		ADDRESSES["$process $kind"]=127.0.0.1:${FREE_PORTS[next]}
		next=$((next + 1))
	done
}

# add_link NAME LISTEN TARGET: adds a link of the proxy.
add_link() {
	LINKS+=("$1")
	LINK_ARGUMENTS+=("$1" "$2" "$3")
}

add_links_of_entry() {
	local name=entry$1
	add_link "front$1" "${ADDRESSES["$name front-link"]}" \
	    "${ADDRESSES["$name front"]}"
	add_link "bus$1" "${ADDRESSES["$name bus-link"]}" \
	    "${ADDRESSES["$name bus"]}"
	add_link "store-$name" "${ADDRESSES["$name store-link"]}" "$STORE"
}

add_links_of_agent() {
	local name=agent$1
	add_link "orders$1" "${ADDRESSES["$name runner-link"]}" \
	    "${ADDRESSES["$name runner"]}"
	add_link "reports$1" "${ADDRESSES["$name report-link"]}" \
	    "${ADDRESSES["$name report"]}"
	add_link "store-$name" "${ADDRESSES["$name store-link"]}" "$STORE"
}

# Names all addresses and links. Every second agent has its runner without a
# link, so that it is refused a connection while the runner is down.
lay_out() {
	local n first=2
	for n in $(seq "$ENTRY_COUNT"); do
		name_ports "entry$n" "$first" http bus front ready \
		    front-link bus-link store-link
		add_links_of_entry "$n"
		first=$((first + PORTS_OF_ENTRY))
	done
	for n in $(seq "$AGENT_COUNT"); do
		name_ports "agent$n" "$first" http report runner \
		    report-link runner-link store-link
		add_links_of_agent "$n"
		[ $((n % 2)) -ne 0 ] ||
		    ADDRESSES["agent$n runner-link"]=${ADDRESSES["agent$n runner"]}
		first=$((first + PORTS_OF_AGENT))
	done
}

# Prints the addresses of all entries as items of a JSON array.
bus_addresses() {
	local n separator=
	for n in $(seq "$ENTRY_COUNT"); do
		printf '%s"%s"' "$separator" "${ADDRESSES["entry$n bus-link"]}"
		separator=,
	done
}

write_settings() {
	local n entries
	entries=$(bus_addresses)
	for n in $(seq "$ENTRY_COUNT"); do
		cat >"$RUN/entry$n.json" <<-JSON
		{"name":"entry$n","failure_domain":"fd$n","trusted_network":true,
		"http_listen":"${ADDRESSES["entry$n http"]}",
		"members_listen":"${ADDRESSES["entry$n bus"]}",
		"advertise":"${ADDRESSES["entry$n bus-link"]}",
		"entries":[$entries],
		"store":"${ADDRESSES["entry$n store-link"]}","resend_ms":1300,
		"front":{"listen":"${ADDRESSES["entry$n front"]}","grace_s":4,
		"config_ms":2000,"ready_listen":"${ADDRESSES["entry$n ready"]}"}}
		JSON
	done
	for n in $(seq "$AGENT_COUNT"); do
		cat >"$RUN/agent$n.json" <<-JSON
		{"name":"agent$n","failure_domain":"fd$((1 + n % ENTRY_COUNT))",
		"trusted_network":true,
		"http_listen":"${ADDRESSES["agent$n http"]}",
		"entries":[$entries],
		"store":"${ADDRESSES["agent$n store-link"]}","resend_ms":1300,
		"worker":{"address":"${ADDRESSES["agent$n runner-link"]}",
		"report_listen":"${ADDRESSES["agent$n report"]}",
		"lease_max_ms":1000}}
		JSON
	done
}

# start_process NAME: starts an entry, an agent or a runner.
start_process() {
	local n=${1#runner}
	case $1 in
	entry*) start "$1" "$BUILD/masticstall-entryd" --settings "$RUN/$1.json" ;;
	agent*) start "$1" "$BUILD/masticstall-agentd" --settings "$RUN/$1.json" ;;
	runner*)
		start "$1" "$BUILD/standin-runner" \
		    "${ADDRESSES["agent$n runner"]}" \
		    "${ADDRESSES["agent$n report-link"]}" \
		    "${RUNNER_IDS[$1]:-i-$n}" "$RUNNER_SLOTS" \
		    "${CLOCK_RATES[$1]}"
		;;
	esac
}

# start_caller NAME SEED RATE FIRST ANSWER_MS: starts callers.
start_caller() {
	local n entries=()
	for n in $(seq "$ENTRY_COUNT"); do
		entries+=("${ADDRESSES["entry$n front-link"]}"
		    "${ADDRESSES["entry$n ready"]}")
	done
	start "$1" "$BUILD/standin-caller" --seed "$2" --first "$4" \
	    --answer-ms "$5" "$3" "$SUBMIT_S" 0 "${entries[@]}"
}

start_all() {
	local name
	start store "$BUILD/standin-store" "$STORE"
	start proxy "$BUILD/standin-proxy" "$PROXY" "${LINK_ARGUMENTS[@]}"
	wait_http "http://$STORE/counts" 10
	write_config
	for name in "${RUNNERS[@]}" "${DAEMONS[@]}"; do
		start_process "$name"
	done
}

# set_link NAME JSON, set_runner NAME JSON: inject faults. Those of a runner that
# is not there have no effect.
set_link() {
	curl -fsS -m 5 -o /dev/null -X PUT -d "$2" "http://$PROXY/links/$1"
}
set_runner() {
	curl -fsS -m 1 -o /dev/null -X PUT -d "$2" \
	    "http://${ADDRESSES["agent${1#runner} runner"]}/faults" 2>/dev/null || true
}

# is_running NAME: whether the process that was started last has not ended.
is_running() {
	kill -0 "$(pid_of "$1")" 2>/dev/null
}

# serves N: whether entry N is ready and completes a job of its own.
serves() {
	PROBES=$((PROBES + 1))
	curl -fsS -m 2 -o /dev/null \
	    "http://${ADDRESSES["entry$1 ready"]}/v1/readiness" 2>/dev/null &&
	    curl -fsS -m 4 -H 'Host: a.example' -H 'X-Deadline-Ms: 3000' \
		-d '{"spec":"ms=20","bestEffort":true,"steps":[{"count":1,
		"cpu":1000,"memMb":64,"estimateMs":20}]}' \
		"http://${ADDRESSES["entry$1 front"]}/p/$(printf 'f%015x' "$PROBES")" \
		2>/dev/null | grep -q '"completed"'
}

# wait_serving N: waits until entry N serves.
wait_serving() {
	local end=$((SECONDS + SERVE_S))
	until serves "$1"; do
		[ "$SECONDS" -lt "$end" ] || return 1
		sleep 0.1
	done
}
