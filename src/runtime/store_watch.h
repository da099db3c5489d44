#ifndef MST_STORE_WATCH_H
#define MST_STORE_WATCH_H

/*
 * Watches one subject of the store: reads its state, then waits for changes.
 * Every call has a timeout, because a connection may stop responding without
 * being closed. After a failure the watch resumes from its last revision; the
 * state is read again only if the store no longer keeps that revision.
 */

#include <uv.h>

#include "runtime/drivers.h"

struct store_watch {
	const struct store_driver *driver;
	void *store;
	enum store_subject subject;
	uint32_t wait_ms; /* longest wait of one call for a change */
	store_update_cb on_update;
	void *ctx;
	uv_timer_t timer;
	uint64_t revision; /* last revision received */
	bool has_state;    /* the state was read; only changes are requested */
	unsigned failures; /* consecutive failed calls */
};

/*
 * Starts the watch. The caller sets the fields through ctx and leaves the
 * others zero. on_update is called for successful calls only.
 */
void store_watch_start(struct store_watch *watch, uv_loop_t *loop);

#endif
