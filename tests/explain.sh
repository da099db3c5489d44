#!/usr/bin/env bash
# Compares the output of masticstall explain on a recorded log with the expected
# output. The jobs: one that was given up, one that was refused, one that missed
# its objective, one that was never sent to an agent, one whose entry was paused
# and one that is not in the log. Guards against a wrong or missing cause in an
# explanation. MST_GOLDEN_UPDATE=1 rewrites the expected output.
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
