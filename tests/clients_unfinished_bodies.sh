#!/usr/bin/env bash
# Sends an entry bodies inside the limits that stop short of their end, by their
# length, in chunks and after "Expect: 100-continue", and keeps the connections
# open. Guards against an entry that keeps them all.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
MEMORY_MB=64
DESCRIPTORS=1024
. script/clients.sh

start_small_system
start_crowd announced announced 200 256000 "$FRONT" a.example /p/00000000000000a1
start_crowd chunked chunked 200 196000 "$FRONT" a.example /p/00000000000000a2
start_crowd expect expect 200 256000 "$FRONT" a.example /p/00000000000000a3
check_daemons "with unfinished bodies"
check_serves "with unfinished bodies"
end_crowd announced
end_crowd chunked
end_crowd expect
check_serves "after unfinished bodies"
check_daemons "after unfinished bodies"
echo "clients_unfinished_bodies: passed"
