#!/usr/bin/env bash
# Runs script/soak with all kinds of faults, among them hosts without power, new
# ids of runners, odd reports and odd rows, at a fixed seed. Guards against the
# same as soak_leases.sh.
set -eu
cd "$(dirname "$0")/.."
exec script/soak 71 6 18 "$1" all
