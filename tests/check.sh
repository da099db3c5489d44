#!/usr/bin/env bash
# Runs masticstall check on settings with misspelt keys and on pairs of entries'
# settings. Guards against an unknown key without the name that was probably
# meant, and against entries that pass the check but cannot work together.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
failures=0

# write NAME EXTRA-KEYS: writes the settings of an entry with a table.
write() {
	cat >"$out/$1.json" <<-END
	{"name": "$1", "failure_domain": "fd1", "http_listen": "127.0.0.1:8080",
	 "members_listen": "127.0.0.1:7000", "entries": ["127.0.0.1:7001"],
	 "table": {"endpoint": "http://127.0.0.1:9000", "table": "jobs"}$2}
	END
}

# expect STATUS PATTERN FILE...: checks the files; PATTERN is an extended
# regular expression for a line of the output.
expect() {
	local want=$1 pattern=$2 rc=0
	shift 2
	"$BUILD/masticstall" check "${@/#/$out/}" >"$out/report" 2>&1 || rc=$?
	if [ "$rc" != "$want" ] || ! grep -qE "$pattern" "$out/report"; then
		echo "failed: check $*: exit status $rc, expected $want and '$pattern':" >&2
		cat "$out/report" >&2
		failures=$((failures + 1))
	fi
}

# expect_pair PATTERN KEYS-OF-ONE KEYS-OF-THE-OTHER: expects an error about two
# entries, in both orders, and none about either alone.
expect_pair() {
	write one "$2"
	write two "$3"
	expect 0 'one.json: valid' one.json
	expect 0 'two.json: valid' two.json
	expect 2 'one.json and .*two.json: cannot work together' one.json two.json
	expect 2 "$1" one.json two.json
	expect 2 "$1" two.json one.json
}

write typo ', "resend_msec": 1300'
expect 2 '^/resend_msec: is not a known name; did you mean resend_ms\?$' typo.json
write typo ', "log_levle": "info"'
expect 2 '^/log_levle: .* did you mean log_level\?$' typo.json
write typo ', "limits": {"job_max": 7}'
expect 2 '^/limits/job_max: .* did you mean jobs_max\?$' typo.json
write typo ', "Rack": "r"'
expect 2 '^/Rack: .* did you mean rack\?$' typo.json
write typo ', "colour": "red"'
expect 2 '^/colour: is not a known name$' typo.json

keys=$(cat tests/golden/curve_keys.txt)
curve=", \"curve\": {\"public_key\": \"${keys% *}\", \"secret_key\": \"${keys#* }\"}"
write one ', "resend_ms": 1000, "entries_max": 8'
write two ', "entries_max": 8, "resend_ms": 1000'
expect 0 'two.json: valid' one.json two.json
write one "$curve"
write two "$curve"
expect 0 'two.json: valid' one.json two.json
expect_pair '^/resend_ms: .*1000' ', "resend_ms": 1000' ''
expect_pair '^/entries_max: .*8' ', "entries_max": 8' ''
expect_pair '^/curve: ' "$curve" ''
other_curve=", \"curve\": {\"public_key\": \"${keys#* }\", \"secret_key\": \"${keys#* }\"}"
expect_pair '^/curve/public_key: ' "$curve" "$other_curve"
expect_pair '^/store: ' ', "store": "127.0.0.1:9100"' ''

# Of three entries, the one that differs is named.
write one ''
write two ''
write three ', "entries_max": 8'
expect 2 'one.json and .*three.json: cannot work together' one.json two.json three.json

# Agents are not compared with entries.
write one "$curve"
cp examples/local/agent1.json "$out/"
expect 0 'agent1.json: valid' one.json agent1.json

[ "$failures" -eq 0 ] || exit 1
echo "check: passed"
