#!/usr/bin/env bash
# Sends an entry unended bodies in many streams of HTTP/2, which is not served.
# Guards against an entry that takes them all the same and keeps what it took.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
MEMORY_MB=64
DESCRIPTORS=1024
. script/clients.sh

start_small_system
start_crowd http2 http2 40 48000 "$FRONT" a.example /p/00000000000000a1
check_daemons "with HTTP/2"
check_serves "with HTTP/2"
end_crowd http2
check_serves "after HTTP/2"
check_daemons "after HTTP/2"
echo "clients_http2: passed"
