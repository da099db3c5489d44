#ifndef MST_HTTP_GUARD_INTERNAL_H
#define MST_HTTP_GUARD_INTERNAL_H

/* State of the guard of HTTP servers, which its parts share. */

#include <glib.h>

#include "net/http_guard.h"

enum phase {
	PHASE_IDLE,   /* between requests */
	PHASE_HEADER, /* a header has begun */
	PHASE_BODY,   /* the header is complete, the body is not */
	PHASE_BUSY,   /* the request waits for its answer */
	PHASE_ANSWER  /* the answer is being written */
};

struct http_conn {
	struct http_guard *guard;
	h2o_socket_t *sock; /* NULL: closed */
	uv_stream_t *stream;
	struct http_guard_server *server;
	h2o_socket_cb read; /* of h2o */
	enum phase phase;
	bool in_read;      /* h2o handles input now */
	bool unhooked;     /* h2o has stopped reading, or started by itself */
	bool paused;       /* is not read from, for want of room */
	bool ended;        /* the client sends no more than is in the buffer */
	bool served;       /* has had an answer */
	size_t input;      /* bytes in the buffer when h2o last handled it */
	size_t reserved;   /* bytes of room for its request; 0: a small one */
	size_t answer;     /* bytes of room for its answer */
	size_t unsent;     /* bytes of the answer, at the last check */
	uint64_t since_ms; /* when the phase began, or it was resumed */
	uint64_t moved_ms; /* when bytes were last received or sent */
	uint64_t received; /* bytes since since_ms */
	GList link;        /* in conns */
	GList wait_link;   /* in unhooked or paused */
};

struct http_guard {
	struct http_guard_options options;
	uint32_t header_ms;
	uint32_t idle_ms;
	uint64_t bytes;     /* reserved, and of answers */
	bool has_more_room; /* some was released since it was looked for */
	bool answer_cut;    /* for want of room, since the last check */
	GQueue conns;       /* in the order of moved_ms */
	GQueue unhooked;    /* read callbacks to be looked at */
	GQueue paused;      /* longest first */
	uv_prepare_t prepare;
	uint64_t tick_ms; /* time of the last check */
	uint64_t logged_ms;
	bool was_full; /* some had to wait since memory was last returned */
	struct http_guard_counters counters;
	struct http_guard_counters logged;
};

/* http_guard.c */
/* Returns the loop's time, in milliseconds. */
uint64_t http_guard_now_ms(const struct http_guard *guard);
/* Notes that bytes were received from a connection, or sent. */
void http_conn_note_progress(struct http_conn *conn);
/* Closes a connection. If h2o reads from it, or would if it was not paused, h2o
 * takes it for closed by the client; otherwise the next write fails. */
void http_conn_cut(struct http_conn *conn, enum http_cut reason);
/* Reads from a paused connection again. */
void http_conn_resume(struct http_conn *conn);

#endif
