#ifndef MST_CRASH_STORE_H
#define MST_CRASH_STORE_H

/*
 * Keeps the crashes of an agent's worker in the store, so that the next
 * incarnation of the agent knows which tasks were present.
 */

#include <masticstall/message.h>
#include <uv.h>

#include "runtime/drivers.h"

/* crashes are valid during the callback only. */
typedef void (*crash_store_cb)(const struct mst_crashes *crashes, void *ctx);

struct crash_store_options {
	uv_loop_t *loop;
	const struct mst_drivers *drivers;
	void *store;
	const char *name; /* of the host; partition of the row */
	int64_t (*wall_ms)(void);
	crash_store_cb on_crashes;
	void *ctx;
};

struct crash_store;

/* Copies the options; their strings must outlive the result. */
struct crash_store *crash_store_new(const struct crash_store_options *options);

/* Writes the crashes in place of those written before. While a write is in
 * flight, only the last ones wait for it. */
void crash_store_save(
    struct crash_store *store, const struct mst_crashes *crashes);

/* Reads the kept crashes, again until the store answers. on_crashes is called
 * if there are some. */
void crash_store_load(struct crash_store *store);

#endif
