# Functions that write odd rows into the tables of a store, as another writer may.
# Sourced by other scripts after script/leases.sh, with the names of the agents in
# AGENTS.

# row TABLE PART KEY VALUE: adds a row to ROWS; VALUE is JSON text.
ROWS=()
row() {
	local text
	printf -v text '{"table":"%s","part":"%s","key":"%s","value":%s}' "$@"
	ROWS+=("$text")
}

# commit_odd: writes ROWS into the store and empties them.
commit_odd() {
	local IFS=,
	printf '{"setKeys":[%s]}' "${ROWS[*]}" >"$RUN/rows"
	ROWS=()
	commit_rows "@$RUN/rows"
}

# encode TEXT: prints a text as the value of a row.
encode() {
	printf '"%s"' "$(printf '%s' "$1" | base64 -w 0)"
}

ODD_VALUES=('""' '"!!!!"' 7 null '[]' '{"a":1}' '"/////w=="'
    "$(encode '[]')" "$(encode '{}')"
    "$(encode "$(printf '[%.0s' $(seq 2000))")"
    "$(encode '{"owner":"7","state":"open","term":1e400,"tasks":"0"}')"
    "$(encode '{"crashes":[7,{"id":"x"},{"id":"1","wall_ms":1e300,"runs":[]}]}')"
    "$(encode '{"id":"a\r\nX: 1","incarnation":1e19,"millicores":-1}')"
    "$(encode '{"queues":{"q":-1,"":1e400},"released":7}')")

# add_values TABLE PART KEY-PREFIX: adds a row for each odd value.
add_values() {
	local n key
	for n in "${!ODD_VALUES[@]}"; do
		printf -v key '%s%013x' "$3" "$n"
		row "$1" "$2" "$key" "${ODD_VALUES[n]}"
	done
}

# commit_addresses FIRST COUNT: writes rows of entries at addresses where nobody
# listens, and such that are none.
commit_addresses() {
	local n
	for ((n = $1; n < $1 + $2; n++)); do
		row masticstall-entries '' "127.9.$((n / 250)).$((1 + n % 250)):9" '""'
	done
	for n in 127.0.0.1:65536 127.0.0.1:0 127.0.0.1 localhost:9 '*:9' \
	    '[::1]:9' 'a,b' 'x;127.0.0.1:9' '\u0001' $'\xff'; do
		row masticstall-entries '' "$n" '""'
	done
	ROWS+=('{"table":"masticstall-entries","part":"","key":7}' 7 null '[]')
	commit_odd
}

# commit_rows_of_all PREFIX: writes odd rows into all tables but those of the
# operator.
commit_rows_of_all() {
	local part
	for part in 0 1 8 f; do
		add_values masticstall-records "$part" "$1"
		add_values masticstall-jobs "$part" "$1"
	done
	add_values masticstall-owners '' "$1"
	add_values masticstall-cancels '' "$1"
	for part in "${AGENTS[@]}"; do
		add_values masticstall-reports "$part" "$1"
		add_values masticstall-crashes "$part" "$1"
	done
	commit_odd
}

# commit_operator VERSION VALUE: writes odd rows into the operator's table, with
# an odd configuration before the good one of this version.
commit_operator() {
	row op '' config "$2"
	row op '' aaaa 7
	row op '' evacuate/ '""'
	row op '' 'evacuate/a,b' '""'
	row op '' wave/1 '[]'
	row op other config "$(encode "${CONFIG/:9,/:9999,}")"
	commit_odd
	row op '' config "$(encode "${CONFIG/:9,/:$1,}")"
	commit_odd
}
