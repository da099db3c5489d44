#!/usr/bin/env bash
# Sends an entry's own interface one body of 60 MB with a value in every second
# byte, and bodies that stop short. Guards against a parser whose tree takes many
# times the body, and against a limit that leaves the machine's memory aside.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
MEMORY_MB=256
DESCRIPTORS=1024
. script/clients.sh

start_small_system
http=${ADDRESSES["entry1 http"]}
{ printf '{"steps":[0'; yes ',0' | head -n 30000000 | tr -d '\n'; printf ']}'; } \
    >"$RUN/dense.json"
head -c 12000000 "$RUN/dense.json" >"$RUN/smaller.json"
for body in dense smaller; do
	curl -sS -m 60 -o /dev/null -w "$body: %{http_code}\n" \
	    -H 'Content-Type: application/json' --data-binary "@$RUN/$body.json" \
	    "http://$http/v1/jobs" || true
done
check_daemons "after a dense body"
start_crowd announced announced 8 60000000 "$http" a.example /v1/jobs
start_crowd smaller announced 60 12000000 "$http" a.example /v1/jobs
check_daemons "with large bodies"
check_serves "with large bodies"
end_crowd announced
end_crowd smaller
check_serves "after large bodies"
check_daemons "after large bodies"
echo "clients_dense_json: passed"
