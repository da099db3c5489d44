#!/usr/bin/env bash
# Submits 1,000 stored jobs of 4 KB with 60 tasks each, more than can run. Guards
# against an entry that keeps a job's text once for each task, or accepts more
# jobs than its machine has memory for.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
MEMORY_MB=64
DESCRIPTORS=1024
. script/clients.sh

start_small_system
printf '{"spec":"ms=600000%*s","steps":[{"count":60,"cpu":8000,"memMb":64,"estimateMs":60000}]}' \
    3890 '' >"$RUN/job.json"
curl -sS -m 240 -o /dev/null -w '%{http_code}\n' -H 'Host: a.example' \
    --data-binary "@$RUN/job.json" \
    "http://$FRONT/p/00000000000[10000-10999]" >"$RUN/statuses" ||
    fail "the stored jobs were not answered"
sort "$RUN/statuses" | uniq -c
! grep -vqE '^(200|429|503)$' "$RUN/statuses" ||
    fail "a stored job was neither accepted nor refused"
check_daemons "with stored jobs"
curl -sS -m 240 -o /dev/null -X DELETE -H 'Host: a.example' \
    "http://$FRONT/p/00000000000[10000-10999]" ||
    fail "the stored jobs were not cancelled"
check_serves "after stored jobs"
check_daemons "after stored jobs"
echo "clients_stored_jobs: passed"
