#ifndef PEER_H
#define PEER_H

/* A peer of the platform's clients on loopback, and what their callbacks were
 * called with. */

#include "net/http_client.h"
#include "net/httpd.h"
#include "runtime/drivers.h"

/* An HTTP server that records each request and responds as configured, the
 * client under test, and the arguments of the last callback. */
struct peer {
	uv_loop_t loop;
	struct mst_httpd *httpd;
	struct mst_http_client *client;
	uv_timer_t timeout;
	int status; /* of the responses; 0: sends none */
	const char *body;
	/* Returns the body for a query instead; freed with g_free(). */
	char *(*respond)(struct mst_bytes query);
	unsigned requests;
	char *request_path;
	char *request_body;
	char address[32];        /* that it listens on */
	char *expected_instance; /* value of X-Expect-Instance */
	bool callback_called;    /* since the last peer_wait() */
	unsigned disconnect_count;
	struct mst_order_answer answer;
	struct store_update update;
	struct store_result result;
	char *row_key;
	char *row_value;
	uint64_t row_version;
	char *document;
	uint32_t first_run;
	struct mst_worker_completion first_completion; /* without its task */
	char *first_entry;
	char *added;   /* of the update, comma-separated */
	char *drained; /* of the update, comma-separated */
};

struct peer *peer_new(void);

/* Waits until a callback was called. */
void peer_wait(struct peer *peer);

/* Leaves the loop open: the HTTP server can be shut down but not freed. */
void peer_stop(struct peer *peer);

/* Callbacks for the drivers; ctx is the peer. */
void peer_on_answer(const struct mst_order_answer *answer, void *ctx);
void peer_on_update(const struct store_update *update, void *ctx);
void peer_on_status(enum store_status status, void *ctx);
void peer_on_result(const struct store_result *result, void *ctx);

#endif
