#ifndef MST_HTTP_CLIENT_H
#define MST_HTTP_CLIENT_H

/* HTTP calls by libcurl on the libuv loop, over connections that are kept. */

#include <glib.h>
#include <uv.h>

struct mst_http_client;

/* In place of a status. */
#define MST_HTTP_NO_RESPONSE  0    /* the request may have been received */
#define MST_HTTP_CONN_REFUSED (-1) /* nothing listens there */

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
struct mst_http_client *mst_http_client_new(
    uv_loop_t *loop, unsigned connections);

/* Ends all calls without reporting them; the loop must run once more. */
void mst_http_client_close(struct mst_http_client *caller);

/* Starts a call; strings are copied. */
void mst_http_client_send(
    struct mst_http_client *caller, const struct mst_http_call *call);

#endif
