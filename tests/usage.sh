#!/usr/bin/env bash
# Runs every command and both daemons with wrong usage and with --help. Guards
# against usage errors on standard output, where a script takes them for
# results, against another exit status than 2, and against wrong arguments that
# are ignored. No process listens: a command that accepts its arguments fails
# with another exit status.
set -eu
BUILD=$1
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
failures=0

# run PROGRAM ARGUMENTS...: sets rc; the output goes to $out/stdout and
# $out/stderr.
run() {
	local program=$1
	shift
	rc=0
	timeout 10 "$BUILD/$program" "$@" >"$out/stdout" 2>"$out/stderr" \
	    </dev/null || rc=$?
}

complain() {
	echo "failed: $*" >&2
	failures=$((failures + 1))
}

# expect_error ARGUMENTS...: expects exit status 2 and output on standard error
# only.
expect_error() {
	run "$@"
	[ "$rc" = 2 ] || complain "$*: exit status $rc, expected 2"
	[ ! -s "$out/stdout" ] || complain "$*: output on standard output"
	[ -s "$out/stderr" ] || complain "$*: no message on standard error"
}

# expect_help ARGUMENTS...: expects exit status 0 and the usage on standard
# output only.
expect_help() {
	run "$@"
	[ "$rc" = 0 ] || complain "$*: exit status $rc, expected 0"
	grep -q '^Usage: ' "$out/stdout" || complain "$*: no usage on standard output"
	[ ! -s "$out/stderr" ] || complain "$*: output on standard error"
}

for program in masticstall masticstall-entryd masticstall-agentd; do
	expect_help "$program" --help
	expect_error "$program"
	expect_error "$program" --unknown
	expect_error "$program" unknown
done
for daemon in masticstall-entryd masticstall-agentd; do
	expect_error "$daemon" --settings
	expect_error "$daemon" --settings /nonexistent
	expect_error "$daemon" --settings "$out/none" extra
done
expect_error masticstall --entry

# Every command that --help lists, so that none is left out.
run masticstall --help
commands=$(awk '/^Commands:/ {on = 1; next} /^$/ {on = 0} on {print $1}' "$out/stdout")
[ -n "$commands" ] || complain "masticstall --help lists no commands"
for command in $commands; do
	expect_help masticstall "$command" --help
	expect_error masticstall "$command" --unknown
done
for command in check submit status cancel drain trace explain top config; do
	expect_error masticstall "$command"
done
for command in status cancel drain trace submit members load; do
	expect_error masticstall "$command" one two
done
expect_error masticstall submit --ticket
expect_error masticstall config unknown
expect_error masticstall config patch "$out/none"
expect_error masticstall config patch --version 1 --reason why
for command in show history diff; do
	expect_help masticstall config "$command" --help
	expect_error masticstall config "$command" extra
	expect_error masticstall config "$command" --unknown
done
for option in --rate --seconds --tasks --ms --burst --timeout-ms --seed; do
	expect_error masticstall load "$option" x
	expect_error masticstall load "$option" 5x
	expect_error masticstall load "$option" -1
done
expect_error masticstall load --rate inf
expect_error masticstall load --rate nan
expect_error masticstall load --rate 0
expect_error masticstall load --tasks 8-1
expect_error masticstall load --ms 1-nan

[ "$failures" -eq 0 ] || exit 1
echo "usage: passed"
