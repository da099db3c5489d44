#include "runtime/loop.h"

#include <inttypes.h>
#include <signal.h>
#include <time.h>

#include "base/clock.h"
#include "base/log.h"

#define LOOP_TICK_MS        10
#define LOOP_LAG_WARNING_US (200 * 1000) /* callers notice such a delay */
#define LOOP_CPU_TICKS      100 /* between readings of processor time */

int64_t
runtime_now_us(void)
{
	return mst_clock_us();
}

void
runtime_loop_init(struct runtime_loop *loop,
    const struct runtime_loop_callbacks *callbacks, void *ctx)
{
	signal(SIGPIPE, SIG_IGN);
	loop->callbacks = *callbacks;
	loop->ctx = ctx;
	uv_loop_init(&loop->uv);
	uv_loop_configure(&loop->uv, UV_METRICS_IDLE_TIME);
}

static int64_t
read_cpu_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return time.tv_sec * G_USEC_PER_SEC + time.tv_nsec / 1000;
}

static void
read_load(struct runtime_loop *loop, int64_t now_us)
{
	loop->load.cpu_us = read_cpu_us();
	loop->cpu_read_us = now_us;
	loop->ticks_to_cpu = LOOP_CPU_TICKS;
}

/* Returns the time since the last call of poll without the time spent in it, in
 * microseconds. Events are handled within that call too. */
static int64_t
get_busy_us(const struct runtime_loop *loop)
{
	uint64_t idle_ns = uv_metrics_idle_time((uv_loop_t *)&loop->uv);

	return (int64_t)(uv_hrtime() - loop->polled_ns -
		   (idle_ns - loop->idle_ns)) /
	    1000;
}

/* Logs a late tick: for how much of the time since the last one the loop was
 * busy, and the processor time used since it was last read. */
static void
log_pause(
    struct runtime_loop *loop, int64_t now_us, int64_t lag_us, int64_t busy_us)
{
	int64_t cpu_us = loop->load.cpu_us;
	int64_t cpu_read_us = loop->cpu_read_us;

	read_load(loop, now_us);
	mst_log(MST_LOG_WARNING, "paused",
	    "ms=%" PRId64 " busy_ms=%" PRId64 " cpu_ms=%" PRId64
	    " in_ms=%" PRId64,
	    lag_us / 1000, (busy_us - loop->tick_busy_us) / 1000,
	    (loop->load.cpu_us - cpu_us) / 1000, (now_us - cpu_read_us) / 1000);
}

static void
on_tick(uv_timer_t *timer)
{
	struct runtime_loop *loop = timer->data;
	int64_t now_us = runtime_now_us();
	int64_t lag_us = MAX(now_us - loop->tick_us - LOOP_TICK_MS * 1000, 0);
	int64_t busy_us = loop->load.busy_us + get_busy_us(loop);

	mst_histogram_observe(&loop->lag, lag_us);
	if (lag_us > LOOP_LAG_WARNING_US)
		log_pause(loop, now_us, lag_us, busy_us);
	else if (--loop->ticks_to_cpu == 0)
		read_load(loop, now_us);
	loop->tick_us = now_us;
	loop->tick_busy_us = busy_us;
	loop->callbacks.on_tick(loop->ctx);
	mst_log_flush();
}

/*
 * Waits until the least time since the last call of poll has passed, so that
 * the events that come meanwhile are handled together: each iteration costs
 * wake-ups and calls for every socket. An iteration that has lasted as long
 * does not wait, nor does the first event after a longer silence.
 */
static void
wait_for_poll_interval(const struct runtime_loop *loop)
{
	int64_t passed_us = (int64_t)(uv_hrtime() - loop->polled_ns) / 1000;

	if (passed_us < loop->poll_interval_us)
		g_usleep((gulong)(loop->poll_interval_us - passed_us));
}

static void
on_prepare(uv_prepare_t *prepare)
{
	struct runtime_loop *loop = prepare->data;

	if (loop->flush_due) {
		loop->flush_due = false;
		loop->callbacks.on_flush(loop->ctx, get_busy_us(loop));
	}
	if (mst_log_has_chunk())
		mst_log_flush();
	loop->load.busy_us += get_busy_us(loop);
	loop->load.iterations++;
	if (loop->poll_interval_us > 0)
		wait_for_poll_interval(loop);
	loop->polled_ns = uv_hrtime();
	loop->idle_ns = uv_metrics_idle_time(&loop->uv);
}

static void
on_signal(uv_signal_t *signal, int number)
{
	struct runtime_loop *loop = signal->data;

	if (number == SIGHUP)
		loop->callbacks.on_reload(loop->ctx);
	else
		loop->callbacks.on_drain(loop->ctx);
}

void
runtime_loop_start(struct runtime_loop *loop)
{
	uv_timer_init(&loop->uv, &loop->tick_timer);
	loop->tick_timer.data = loop;
	loop->tick_us = runtime_now_us();
	loop->polled_ns = uv_hrtime();
	read_load(loop, loop->tick_us);
	uv_timer_start(&loop->tick_timer, on_tick, LOOP_TICK_MS, LOOP_TICK_MS);
	uv_timer_init(&loop->uv, &loop->stop_timer);
	uv_prepare_init(&loop->uv, &loop->prepare);
	loop->prepare.data = loop;
	uv_prepare_start(&loop->prepare, on_prepare);
	uv_signal_init(&loop->uv, &loop->term_signal);
	loop->term_signal.data = loop;
	uv_signal_start(&loop->term_signal, on_signal, SIGTERM);
	uv_signal_init(&loop->uv, &loop->interrupt_signal);
	loop->interrupt_signal.data = loop;
	uv_signal_start(&loop->interrupt_signal, on_signal, SIGINT);
	uv_signal_init(&loop->uv, &loop->hangup_signal);
	loop->hangup_signal.data = loop;
	uv_signal_start(&loop->hangup_signal, on_signal, SIGHUP);
}

static void
on_stop(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

void
runtime_loop_stop(struct runtime_loop *loop, uint64_t grace_ms)
{
	loop->stopping = true;
	uv_timer_start(&loop->stop_timer, on_stop, grace_ms, 0);
}
