#!/usr/bin/env bash
# Sends an entry single requests that use up the limits of its configuration, with
# no other client: a body in slow pieces, a header of many lines, a request on a
# connection that was idle. Guards against limits that are lower than those.
set -eu
BUILD=$1
cd "$(dirname "$0")/.."
MEMORY_MB=160
DESCRIPTORS=1024
. script/clients.sh

CONFIG='{"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,
"headerTimeoutMs":3000,"idleTimeoutMs":15000},'"${CONFIG#\{}"
JOB='{"spec":"ms=20","bestEffort":true,"steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":20}]'

# body BYTES: prints a job that is filled up to a length.
body() {
	printf '%s%*s}' "$JOB" $(($1 - ${#JOB} - 1)) ''
}

# headers LINES BYTES: prints header lines that have a length together.
headers() {
	local line=$((($2 / $1) - 10)) i
	for i in $(seq "$1"); do
		printf 'x-%03d: %0*d\r\n' "$i" "$line" "$i"
	done
}

# expect STATUS WHAT FILE: checks the status of the last response in a file.
expect() {
	local status
	status=$(sed -n 's,^HTTP/1.1 \([0-9]*\).*,\1,p' "$3" | tail -n 1)
	echo "$2: ${status:-no answer}"
	[ "$status" = "$1" ] || fail "$2: ${status:-no answer}, expected $1"
}

# send_slowly NAME: sends a body of the greatest length in 8 pieces, 2 s apart.
send_slowly() {
	local i
	trap '' PIPE
	exec 8<>"/dev/tcp/${FRONT%:*}/${FRONT#*:}"
	printf 'POST /p/00000000000000b1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 262144\r\n\r\n' >&8
	for i in 0 1 2 3 4 5 6 7; do
		body 262144 | tail -c +$((i * 32768 + 1)) | head -c 32768 2>/dev/null >&8 || break
		sleep 2
	done
	timeout 10 head -n 1 <&8 >"$RUN/$1" || true
}

# send_job ID: sends a small job over descriptor 8.
send_job() {
	printf 'POST /p/%s HTTP/1.1\r\nHost: a.example\r\nContent-Length: 200\r\n\r\n%s' \
	    "$1" "$(body 200)" >&8
}

# send_after_idle NAME: sends a second request after 12 s. Its answer is the only
# one in the file.
send_after_idle() {
	trap '' PIPE
	exec 8<>"/dev/tcp/${FRONT%:*}/${FRONT#*:}"
	send_job 00000000000000b2
	timeout 5 head -n 1 <&8 >"$RUN/$1.first" || true
	sleep 12
	timeout 1 cat <&8 >"$RUN/$1.rest" || true
	send_job 00000000000000b3 2>/dev/null || true
	timeout 5 head -n 1 <&8 >"$RUN/$1" || true
}

start_small_system
send_slowly slow &
slow=$!
send_after_idle idle &
idle=$!
body 262144 | curl -sS -i -m 20 -H 'Host: a.example' --data-binary @- \
    "http://$FRONT/p/00000000000000b4" >"$RUN/whole" || true
expect 200 "a body of 262144 bytes" "$RUN/whole"
body 262145 | curl -sS -i -m 20 -H 'Host: a.example' --data-binary @- \
    "http://$FRONT/p/00000000000000b5" >"$RUN/over" || true
expect 413 "a body of 262145 bytes" "$RUN/over"
for lines in 1 90 118 700; do
	headers "$lines" 16000 >"$RUN/headers"
	{
		printf 'POST /p/%016x HTTP/1.1\r\n' $((0xb600 + lines))
		cat "$RUN/headers"
		printf 'Host: a.example\r\nContent-Length: 300\r\n\r\n'
		body 300
	} >"$RUN/request"
	exec 9<>"/dev/tcp/${FRONT%:*}/${FRONT#*:}"
	cat "$RUN/request" >&9
	timeout 10 head -n 1 <&9 >"$RUN/lines" || true
	exec 9>&-
	expect 200 "16000 bytes of headers in $lines lines" "$RUN/lines"
done
wait "$slow" "$idle" || true
expect 200 "a body in pieces" "$RUN/slow"
expect 200 "the request before 12 s" "$RUN/idle.first"
expect 200 "a request after 12 s" "$RUN/idle"
check_daemons "in calm"
echo "clients_calm: passed"
