#!/usr/bin/env bash
# Submits one best-effort job of 4 KB with 4,096 small tasks to an entry with one
# agent. Guards against work that grows faster than the job: an agent that walks
# all runs of a job for each that it releases sends no heartbeats meanwhile.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
MEMORY_MB=96
DESCRIPTORS=1024
RELEASE_S=65 # runs are kept for 60 s
. script/clients.sh

start_small_system
printf '{"spec":"ms=20%*s","bestEffort":true,"steps":[{"count":4096,"cpu":100,"memMb":1,"estimateMs":20}]}' \
    3990 '' >"$RUN/job.json"
for job in 1 2 3; do
	curl -sS -m 20 -o /dev/null -w '%{http_code}\n' -H 'Host: a.example' \
	    -H 'X-Deadline-Ms: 3000' --data-binary "@$RUN/job.json" \
	    "http://$FRONT/p/00000000000000a$job" || true
done
check_serves "after the job"
check_daemons "after the job"
sleep "$RELEASE_S"
check_serves "after its runs were released"
check_daemons "after its runs were released"
echo "clients_many_tasks: passed"
