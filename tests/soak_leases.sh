#!/usr/bin/env bash
# Runs script/soak with 6 rounds of overlapping faults on some 18 processes at a
# fixed seed. Guards against two runs of a task at once, starts of refused jobs,
# completed jobs that are not whole, requests that are neither answered nor broken
# off, and entries that do not serve again.
set -eu
cd "$(dirname "$0")/.."
exec script/soak 78 6 18 "$1" recorded
