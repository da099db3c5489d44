#ifndef MST_HTTPD_H
#define MST_HTTPD_H

/* HTTP server on the libuv loop, based on h2o. */

#include <glib.h>
#include <masticstall/message.h>
#include <uv.h>

struct http_guard;
struct mst_httpd;

/* A request; valid until its response is sent or its caller disconnects. */
struct mst_http_request {
	struct mst_bytes method;
	struct mst_bytes host; /* as sent by the caller, with the port if any */
	struct mst_bytes path; /* without the query */
	struct mst_bytes query; /* without the question mark */
	struct mst_bytes body;
	uint64_t id;    /* never reused by the server */
	void *internal; /* the server's state of the request */
};

typedef void (*mst_http_request_cb)(
    struct mst_http_request *request, void *ctx);
typedef void (*mst_http_disconnect_cb)(uint64_t id, void *ctx);

struct mst_httpd_options {
	uv_loop_t *loop;
	const char *listen;    /* ip:port */
	size_t body_max_bytes; /* limit for the body of a request */
	/* Bounds what the clients of all servers that share it make the process
	 * hold; NULL: the server has one of its own, with wide bounds. */
	struct http_guard *guard;
	/* Names of the fields that on_request looks up, in lower case, ending
	 * with NULL. Others may be dropped from requests with very many. NULL:
	 * none is dropped. */
	const char *const *header_names;
	/* Connections of the guard that this server leaves to the others. */
	uint32_t connections_kept;
	mst_http_request_cb on_request;
	/* Called if a caller disconnects before it gets a response, within
	 * 20 ms. */
	mst_http_disconnect_cb on_disconnect;
	void *ctx;
};

/* A header of a response. */
struct mst_http_header {
	const char *name;
	const char *value;
};

#define MST_HTTPD_ERROR mst_httpd_error_quark()

enum mst_httpd_error { MST_HTTPD_ERROR_LISTEN };

GQuark mst_httpd_error_quark(void);

/**
 * Starts a server.
 *
 * @param out receives the server, also on failure
 * @param options copied; the strings must outlive the server
 * @param error an MST_HTTPD_ERROR on failure
 * @return 0, or -1 on failure
 */
int mst_httpd_new(struct mst_httpd **out,
    const struct mst_httpd_options *options, GError **error);

/* Sets the limit for the body of a request, in bytes. Longer ones are answered
 * with 413. */
void mst_httpd_set_body_max(struct mst_httpd *httpd, size_t bytes);

/* Returns the value of a request's header; empty if absent. The name must be in
 * lower case. */
struct mst_bytes mst_http_header(
    const struct mst_http_request *request, const char *name);

/**
 * Sends the response to a request.
 *
 * @param id the id of the request
 * @param status the HTTP status
 * @param headers headers, whose names must be static strings and whose values
 *     are copied; a header "connection" closes the connection after the
 *     response
 * @param count number of headers
 * @param body copied
 * @param len length of the body in bytes
 * @return false if the request has a response already or the caller has
 *     disconnected
 */
bool mst_http_respond(struct mst_httpd *httpd, uint64_t id, int status,
    const struct mst_http_header *headers, size_t count, const char *body,
    size_t len);

/* Stops accepting connections and closes the idle ones. */
void mst_httpd_shutdown(struct mst_httpd *httpd);

#endif
