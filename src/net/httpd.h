#ifndef MST_HTTPD_H
#define MST_HTTPD_H

/* HTTP server on the libuv loop, by h2o. */

#include <glib.h>
#include <masticstall/message.h>
#include <uv.h>

struct mst_httpd;

/* One request; valid until it is answered or its caller has gone. */
struct mst_http_request {
	struct mst_bytes method;
	struct mst_bytes host;  /* that the caller named, with its port */
	struct mst_bytes path;  /* without the query */
	struct mst_bytes query; /* after the question mark */
	struct mst_bytes body;
	uint64_t id; /* never reused by a process */
	void *internal;
};

typedef void (*mst_http_request_cb)(
    struct mst_http_request *request, void *ctx);
typedef void (*mst_http_disconnect_cb)(uint64_t id, void *ctx);

struct mst_httpd_options {
	uv_loop_t *loop;
	const char *listen; /* ip:port */
	size_t body_max_bytes;
	mst_http_request_cb on_request;
	mst_http_disconnect_cb
	    on_disconnect; /* an unanswered caller has left; within 20 ms */
	void *ctx;
};

/* One header of an answer. */
struct mst_http_header {
	const char *name;
	const char *value;
};

#define MST_HTTPD_ERROR mst_httpd_error_quark()

enum mst_httpd_error { MST_HTTPD_ERROR_LISTEN };

GQuark mst_httpd_error_quark(void);

int mst_httpd_new(struct mst_httpd **out,
    const struct mst_httpd_options *options, GError **error);

/* Reads a header of a request by its lower-case name; empty if absent. */
struct mst_bytes mst_http_header(
    const struct mst_http_request *request, const char *name);

/* Answers a request by its id; false when its caller has gone. */
bool mst_http_respond(struct mst_httpd *httpd, uint64_t id, int status,
    const struct mst_http_header *headers, size_t count, const char *body,
    size_t len);

/* Requests that are not answered yet. */
unsigned mst_httpd_pending_count(const struct mst_httpd *httpd);

/* Stops taking connections and closes those that are idle. */
void mst_httpd_shutdown(struct mst_httpd *httpd);

#endif
