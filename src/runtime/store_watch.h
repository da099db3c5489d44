#ifndef MST_STORE_WATCH_H
#define MST_STORE_WATCH_H

/*
 * Follows one subject of the store: reads it, then waits for changes. Every
 * call has a time-out, as a connection may go silent for good; after a failure
 * it goes on from where it was.
 */

#include <uv.h>

#include "runtime/drivers.h"

struct store_watch {
	const struct store_driver *driver;
	void *store;
	enum store_subject subject;
	uint32_t wait_ms; /* longest wait for a change */
	store_update_cb on_update;
	void *ctx;
	uv_timer_t timer;
	uint64_t revision;
	bool has_state; /* the state was read; changes are waited for */
	unsigned failures;
};

/* Starts to follow; the struct's fields up to ctx are the caller's. on_news is
 * called for good news only. */
void store_watch_start(struct store_watch *watch, uv_loop_t *loop);

#endif
