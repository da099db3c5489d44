#ifndef MST_RUNTIME_LOOP_H
#define MST_RUNTIME_LOOP_H

/* Event loop shared by both daemons: timer ticks, flushes and signals. */

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/histogram.h"

struct runtime_loop_callbacks {
	void (*on_tick)(void *ctx);
	/* Once per iteration, if flush_due. The loop has handled events for
	 * busy_us since it last waited for them. */
	void (*on_flush)(void *ctx, int64_t busy_us);
	void (*on_drain)(void *ctx);  /* SIGTERM or SIGINT */
	void (*on_reload)(void *ctx); /* SIGHUP */
};

/* What the loop has done since its start. A process that waits for its events
 * is not busy; one that is stopped while it handles them is busy without using
 * processor time. */
struct runtime_loop_load {
	int64_t busy_us;     /* time in which it did not wait for events */
	int64_t cpu_us;      /* of all threads, read about once a second */
	uint64_t iterations; /* calls of poll */
};

struct runtime_loop {
	uv_loop_t uv;
	uv_timer_t tick_timer;
	uv_timer_t stop_timer; /* ends the loop after the grace period */
	uv_prepare_t prepare;
	uv_signal_t term_signal;
	uv_signal_t interrupt_signal;
	uv_signal_t hangup_signal;
	struct runtime_loop_callbacks callbacks;
	void *ctx;
	/* Least time between two calls of poll, in microseconds. */
	int64_t poll_interval_us;
	bool flush_due;  /* on_flush is to be called in this iteration */
	bool stopping;   /* runtime_loop_stop() was called */
	int64_t tick_us; /* time of the last tick */
	struct mst_histogram lag; /* delays of ticks */
	struct runtime_loop_load load;
	uint64_t polled_ns;    /* when poll was called last */
	uint64_t idle_ns;      /* time spent in poll until then */
	int64_t tick_busy_us;  /* load.busy_us at the last tick */
	unsigned ticks_to_cpu; /* until the processor time is read */
	int64_t cpu_read_us;   /* when it was read */
};

/* Returns the time of the monotonic clock, in microseconds. */
int64_t runtime_now_us(void);

/* Initializes the loop and ignores SIGPIPE. */
void runtime_loop_init(struct runtime_loop *loop,
    const struct runtime_loop_callbacks *callbacks, void *ctx);

/*
 * Starts the loop's handles. Must be called after mst_bus_new(): libuv runs
 * prepare handles in the reverse order of their start, and the flush has to
 * precede the bus's handle, which services the sockets that the flush has sent
 * on.
 */
void runtime_loop_start(struct runtime_loop *loop);

/*
 * Ends the loop after grace_ms, so that messages and responses already queued
 * are still sent.
 */
void runtime_loop_stop(struct runtime_loop *loop, uint64_t grace_ms);

#endif
