#ifndef MST_HTTP_GUARD_H
#define MST_HTTP_GUARD_H

/*
 * Connections of all HTTP servers of a process, and the bounds of what their
 * clients make it hold: connections, and bytes of requests and responses under
 * way. A small request is always read. A larger one first gets room for its
 * whole length; while there is none, its connection is not read from, so that
 * the rest stays with its sender. Connections that keep room and bring little
 * for it are cut while others wait. With room for all, a connection is cut only
 * by the time limits.
 */

#include <h2o.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* Time limits of connections until others are set. */
#define HTTP_GUARD_HEADER_MS 10000
#define HTTP_GUARD_IDLE_MS   15000

struct http_conn;
struct http_guard;

/** Why a connection was cut. */
enum http_cut {
	HTTP_CUT_HEADER = 1,  /* a header was not complete in time */
	HTTP_CUT_IDLE,        /* no request in time */
	HTTP_CUT_BODY,        /* a body stood still */
	HTTP_CUT_UNREAD,      /* an answer was not read */
	HTTP_CUT_MEMORY,      /* unfinished and slow, its memory is needed */
	HTTP_CUT_ANSWER,      /* no room for its answer */
	HTTP_CUT_CONNECTIONS, /* without a request, a new one needs it */
	HTTP_CUT_MAX
};

/** A server: what it takes, and has. Its connections refer to it. */
struct http_guard_server {
	size_t body_max; /* longest body, in bytes */
	/* Names of the fields that are read from requests, in lower case; ends
	 * with NULL. NULL: any may be. */
	const char *const *header_names;
	uint32_t connections_kept; /* that it leaves to the other servers */
	uint32_t connections;      /* open ones; counted by the guard */
};

struct http_guard_options {
	uv_loop_t *loop;
	uint64_t bytes_max; /* for large requests and answers under way */
	uint32_t connections_max;
};

struct http_guard_counters {
	uint64_t accepted;
	uint64_t refused; /* connections: none could be cut for them */
	uint64_t pauses;  /* of reading, for want of room */
	uint64_t cut[HTTP_CUT_MAX];
};

struct http_guard_gauges {
	uint32_t connections;
	uint32_t paused; /* connections that are not read from */
	uint64_t bytes;
};

/** Returns a guard, which lives as long as the process. */
struct http_guard *http_guard_new(const struct http_guard_options *options);

/**
 * Sets the time limits of connections.
 *
 * @param header_ms for a header, from its first byte
 * @param idle_ms for a connection without a request, for a body that stands
 *     still and for an answer that is not read
 */
void http_guard_set_times(
    struct http_guard *guard, uint32_t header_ms, uint32_t idle_ms);

const struct http_guard_counters *http_guard_counters(
    const struct http_guard *guard);
struct http_guard_gauges http_guard_gauges(const struct http_guard *guard);

/* Returns the name of a reason, used in logs and metrics; static. */
const char *http_cut_name(enum http_cut reason);

/* Returns whether a server may accept one more connection. If there are as many
 * as allowed, one without a request is cut for it. */
bool http_guard_make_room(
    struct http_guard *guard, const struct http_guard_server *server);

/* Checks the limits of all connections if that is due; called often. */
void http_guard_tick(struct http_guard *guard);

/**
 * Watches a connection until its socket is closed.
 *
 * @param sock socket that h2o has accepted, which reads from it
 * @param stream the socket's stream
 * @param server what the server takes
 */
void http_guard_watch(struct http_guard *guard, h2o_socket_t *sock,
    uv_stream_t *stream, struct http_guard_server *server);

/* Returns the connection of a watched socket. */
struct http_conn *http_conn_from_socket(h2o_socket_t *sock);
/* Notes that a request is complete. */
void http_conn_begin(struct http_conn *conn);
/* Notes that a request is to be answered with a body of a length. Returns false
 * if there is no room for it: the connection is cut, which promises nothing,
 * and the answer must have no body. */
bool http_conn_answer(struct http_conn *conn, size_t len);
/* Notes that the answer has been written or given up. */
void http_conn_end(struct http_conn *conn);

#endif
