#!/usr/bin/env bash
# Installs into a temporary prefix. Guards against programs, manual pages,
# completions or example settings that are missing or do not work there.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
prefix=$(mktemp -d)
trap 'rm -rf "$prefix"' EXIT

fail() {
	echo "failed: $*" >&2
	exit 1
}

cmake --install "$BUILD" --prefix "$prefix" >"$prefix/log" ||
    fail "cmake --install: $(cat "$prefix/log")"

for program in masticstall masticstall-entryd masticstall-agentd; do
	"$prefix/bin/$program" --help >/dev/null || fail "$program does not run"
	page=$(find "$prefix/share/man" -name "$program.[18]")
	[ -n "$page" ] || fail "$program has no manual page"
	for option in $("$prefix/bin/$program" --help | grep -oE -- '--[a-z-]+'); do
		grep -q -e "${option//-/\\\\-}" "$page" ||
		    fail "$page does not mention $option"
	done
	if command -v groff >/dev/null; then
		warnings=$(groff -man -Tutf8 -ww "$page" 2>&1 >/dev/null)
		[ -z "$warnings" ] || fail "$page: $warnings"
	fi
done
page=$prefix/share/man/man1/masticstall.1
commands=$("$prefix/bin/masticstall" --help |
    awk '/^Commands:/ {on = 1; next} /^$/ {on = 0} on {print $1}')
[ -n "$commands" ] || fail "masticstall --help lists no commands"
for command in $commands; do
	grep -q "^\\.SS $command\$" "$page" || fail "$page does not explain $command"
done

# complete_words WORD...: prints the completions of the last word.
complete_words() {
	COMP_WORDS=("$@")
	COMP_CWORD=$(($# - 1))
	COMPREPLY=()
	_masticstall
	echo "${COMPREPLY[*]}"
}

# expect_completion WANT WORD...
expect_completion() {
	local want=$1 got
	shift
	got=$(complete_words "$@")
	[ "$got" = "$want" ] || fail "completion of '$*': got '$got', expected '$want'"
}

. "$prefix/share/bash-completion/completions/masticstall"
expect_completion "check" masticstall ch
expect_completion "--json" masticstall --j
expect_completion "--ticket" masticstall -e http://127.0.0.1:1 submit --t
expect_completion "history" masticstall config h
expect_completion "--help" masticstall explain --
expect_completion "" masticstall check ""
. "$prefix/share/bash-completion/completions/masticstall-entryd"

"$prefix/bin/masticstall" check "$prefix"/share/doc/*/examples/local/entry?.json \
    "$prefix"/share/doc/*/examples/local/agent?.json >/dev/null ||
    fail "masticstall check rejects the installed examples"
echo "install: passed"
