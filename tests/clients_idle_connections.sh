#!/usr/bin/env bash
# Opens more connections to an entry and an agent than they have descriptors, some
# of them with an unfinished header. Guards against daemons that have no descriptor
# left for ordinary clients, for each other and for the store.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
MEMORY_MB=64
DESCRIPTORS=400
. script/clients.sh

start_limited_system
start_crowd idle idle 700 0 "$FRONT" a.example /p/00000000000000a1
check_daemons "with idle connections"
curl -sS -m 4 -o /dev/null -H 'Host: a.example' \
    "http://$FRONT/p/00000000000000a1" ||
    fail "a request beside idle connections was not answered"
end_crowd idle
start_crowd header header 500 2000 "$FRONT" a.example /p/00000000000000a1
start_crowd own idle 500 0 "${ADDRESSES["entry1 http"]}" a.example /
start_crowd agent idle 500 0 "${ADDRESSES["agent1 http"]}" a.example /
curl -sS -m 4 -o /dev/null -H 'Host: a.example' \
    "http://$FRONT/p/00000000000000a1" ||
    fail "a request beside unfinished headers was not answered"
check_serves "with idle connections everywhere"
check_daemons "with idle connections everywhere"
echo "clients_idle_connections: passed"
