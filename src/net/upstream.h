#ifndef MST_UPSTREAM_H
#define MST_UPSTREAM_H

/* HTTP/1.1 client for one upstream, based on h2o; reuses connections. */

#include <masticstall/message.h>
#include <uv.h>

struct mst_upstream;

/* run is the number given to mst_upstream_call(). The strings of the result are
 * valid during the callback only. */
typedef void (*mst_upstream_done_cb)(
    uint64_t run, const struct mst_result_item *result, void *ctx);

struct mst_upstream_options {
	uv_loop_t *loop;
	const char *address;       /* ip:port */
	uint32_t connections;      /* maximum number at a time */
	uint32_t result_max_bytes; /* limit for the body of a response */
	mst_upstream_done_cb on_done;
	void *ctx;
};

/**
 * Creates the client of an upstream. There is no function to free it.
 *
 * @param out receives the client
 * @param options copied; the strings must outlive the client
 * @return 0
 */
int mst_upstream_new(
    struct mst_upstream **out, const struct mst_upstream_options *options);

/**
 * Starts a call. on_done is called exactly once for it, from within this
 * function only if the connection fails at once.
 *
 * @param run number of the run, passed to on_done
 * @param task the task, sent as an HTTP request; copied
 * @param timeout_ms limit for the whole call
 */
void mst_upstream_call(struct mst_upstream *upstream, uint64_t run,
    const struct mst_dispatch_item *task, uint32_t timeout_ms);

/* Cancels the calls that have timed out and reports their outcome. To be called
 * regularly, because calls have no timers of their own. */
void mst_upstream_expire_calls(struct mst_upstream *upstream);

#endif
