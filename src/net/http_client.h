#ifndef MST_HTTP_CLIENT_H
#define MST_HTTP_CLIENT_H

/* HTTP client on the libuv loop, based on libcurl; reuses connections. */

#include <glib.h>
#include <uv.h>

struct mst_http_client;

/* Passed to the callback in place of an HTTP status if there is no response. */
#define MST_HTTP_NO_RESPONSE  0    /* the request may have been processed */
#define MST_HTTP_CONN_REFUSED (-1) /* nothing listens at the address */
/* No connection was available in time, so nothing was sent. A GET ends with
 * MST_HTTP_NO_RESPONSE in this case. */
#define MST_HTTP_NOT_SENT (-2)

/* status is the HTTP status or one of the above. The body is followed by a NUL
 * and valid during the callback only. */
typedef void (*mst_http_call_cb)(
    int status, const char *body, size_t len, void *ctx);

struct mst_http_call {
	const char *url;
	const char *method;
	const char *const *headers; /* "Name: value", ends with NULL */
	const char *body;           /* NUL-terminated text, or NULL */
	uint32_t timeout_ms;        /* limit for the whole call */
	const char *sigv4;          /* "aws:amz:region:service", or NULL */
	const char *credentials;    /* "access:secret" */
	mst_http_call_cb on_done;
	void *ctx;
};

/**
 * Creates a client.
 *
 * @param loop the event loop
 * @param connections maximum number of connections to one host, 0 for no limit;
 *     further calls wait
 */
struct mst_http_client *mst_http_client_new(
    uv_loop_t *loop, unsigned connections);

/* Cancels all calls without calling their callbacks and frees the client. The
 * loop must run once more afterwards, to close the client's handles. */
void mst_http_client_close(struct mst_http_client *client);

/* Starts a call; its strings are copied. call->on_done is called once, unless
 * the client is closed before. */
void mst_http_client_send(
    struct mst_http_client *client, const struct mst_http_call *call);

#endif
