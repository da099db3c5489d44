#!/usr/bin/env bash
# Replaces each process of a system of the build in production by this one, with
# faults, and back again without. Guards against builds that do not understand
# each other, two runs of a task at once, and jobs that are lost or refused while
# two builds run side by side.
set -eu
cd "$(dirname "$0")/.."
script/upgrade 1 7 "$1" forward with-faults
script/upgrade 1 8 "$1" back none
