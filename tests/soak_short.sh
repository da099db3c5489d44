#!/usr/bin/env bash
# Runs script/soak-tickets with 6 faults (kills, pauses and graceful stops of running
# processes) at seed 7. Guards against tasks that start twice, jobs that get no
# answer, and tasks reported as not run that were started.
set -eu
cd "$(dirname "$0")/.."
exec script/soak-tickets 6 7 "$1"
