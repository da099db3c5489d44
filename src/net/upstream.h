#ifndef MST_UPSTREAM_H
#define MST_UPSTREAM_H

/* Calls to one upstream over kept-alive HTTP/1.1 connections, by h2o. */

#include <masticstall/message.h>
#include <uv.h>

struct mst_upstream;

/* The result's strings are valid during the call only. */
typedef void (*mst_upstream_done_cb)(
    uint64_t run, const struct mst_result_item *result, void *ctx);

struct mst_upstream_options {
	uv_loop_t *loop;
	const char *address; /* ip:port */
	uint32_t connections;
	uint32_t result_max_bytes;
	mst_upstream_done_cb on_done;
	void *ctx;
};

int mst_upstream_new(
    struct mst_upstream **out, const struct mst_upstream_options *options);

/* Starts one call; its end is always reported, never from within. */
void mst_upstream_call(struct mst_upstream *upstream, uint64_t run,
    const struct mst_dispatch_item *task, uint32_t timeout_ms);

/* Ends the calls whose time is over. */
void mst_upstream_expire_calls(struct mst_upstream *upstream);

/* Calls that have not ended. */
unsigned mst_upstream_pending_count(const struct mst_upstream *upstream);

#endif
