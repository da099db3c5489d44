#!/usr/bin/env bash
# Opens more connections to an entry than it has descriptors for, each with a request
# whose answer is not read, at its own interface and at the frontend. Guards against
# connections that are kept for clients that have had an answer once.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
MEMORY_MB=64
DESCRIPTORS=400
. script/clients.sh

start_limited_system
start_crowd own unread 400 0 "${ADDRESSES["entry1 http"]}" a.example /metrics
start_crowd front unread 400 0 "$FRONT" a.example /p/00000000000000a1
printf '{"spec":"ms=20","bestEffort":true,"steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":20}]%*s}' \
    200000 '' >"$RUN/job.json"
status=$(curl -sS -m 4 -o /dev/null -w '%{http_code}' -H 'Host: a.example' \
    --data-binary "@$RUN/job.json" "http://$FRONT/p/00000000000000a2") ||
    fail "a large request beside unread answers was not answered"
[ "$status" = 200 ] || fail "a large request was answered with $status"
check_serves "with unread answers"
check_daemons "with unread answers"
echo "clients_unread_answers: passed"
