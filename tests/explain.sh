#!/usr/bin/env bash
# The stories that masticstall explain tells of a recorded day's jobs: one given
# up, one refused, one late, one never sent, one whose entry stood
# still, one that no log names.
set -eu
BUILD=$1
cd "$(dirname "$0")"
out=$(mktemp)
trap 'rm -f "$out"' EXIT
for job in 4b3a1d636d971fbc 0e9feb7d7edfa810 071cb52090a046eb f019e9d49fb50922 bb0b248fe11a9ab0 \
    0000000000000000; do
	"$BUILD/masticstall" explain "$job" golden/explain.log >>"$out" ||
	    echo "exit $?" >>"$out"
done
if [ -n "${MST_GOLDEN_UPDATE:-}" ]; then
	cp "$out" golden/explain.expected
fi
diff golden/explain.expected "$out"
