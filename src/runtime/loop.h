#ifndef MST_RUNTIME_LOOP_H
#define MST_RUNTIME_LOOP_H

/* The event loop that both daemons share: ticks, flushes, graceful stops. */

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/histogram.h"

struct runtime_loop_callbacks {
	void (*on_tick)(void *ctx);
	void (*on_flush)(void *ctx);  /* once a turn, when flush_due was set */
	void (*on_drain)(void *ctx);  /* SIGTERM or SIGINT */
	void (*on_reload)(void *ctx); /* SIGHUP */
};

struct runtime_loop {
	uv_loop_t uv;
	uv_timer_t tick;
	uv_timer_t stop;
	uv_prepare_t prepare;
	uv_signal_t term;
	uv_signal_t interrupt;
	uv_signal_t hangup;
	struct runtime_loop_callbacks callbacks;
	void *ctx;
	bool flush_due;
	bool stopping;
	int64_t tick_us;          /* the last tick */
	struct mst_histogram lag; /* of ticks */
};

/* Microseconds of the clock that only goes forward. */
int64_t runtime_now_us(void);

void runtime_loop_init(struct runtime_loop *loop,
    const struct runtime_loop_callbacks *callbacks, void *ctx);

/* Starts the handles; after those whose sends a flush must come before. */
void runtime_loop_start(struct runtime_loop *loop);

/* Ends the loop a while later, so that what was sent can leave. */
void runtime_loop_stop(struct runtime_loop *loop, uint64_t grace_ms);

#endif
