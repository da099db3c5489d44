#ifndef MST_HTTP_CALL_H
#define MST_HTTP_CALL_H

/* HTTP calls by libcurl on the libuv loop, over connections that are kept. */

#include <glib.h>
#include <uv.h>

struct mst_http_caller;

/* In place of a status. */
#define MST_HTTP_NO_ANSWER 0    /* the request may have been received */
#define MST_HTTP_REFUSED   (-1) /* nothing listens there */

/* The body ends with a NUL. */
typedef void (*mst_http_call_cb)(
    int status, const char *body, size_t len, void *ctx);

struct mst_http_call {
	const char *url;
	const char *method;
	const char *const *headers; /* "Name: value", ends with NULL */
	const char *body;
	uint32_t timeout_ms;
	const char *sigv4;       /* "aws:amz:region:service", or NULL */
	const char *credentials; /* "access:secret" */
	mst_http_call_cb on_done;
	void *ctx;
};

/* connections: most at once to one host, 0 for any number; further calls wait.
 */
struct mst_http_caller *mst_http_caller_new(
    uv_loop_t *loop, unsigned connections);

/* Ends all calls without reporting them; the loop must run once more. */
void mst_http_caller_close(struct mst_http_caller *caller);

/* Starts a call; strings are copied. */
void mst_http_caller_start(
    struct mst_http_caller *caller, const struct mst_http_call *call);

#endif
