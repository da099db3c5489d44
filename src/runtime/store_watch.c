#include "runtime/store_watch.h"

#include <inttypes.h>

#include "base/log.h"
#include "base/random.h"
#include "base/retry_delay.h"

#define WATCH_CALL_TIMEOUT_MS 700 /* in addition to the requested wait */

static const struct mst_retry_bounds watch_bounds_ms = {
    .min = 150, .max = 1000};

static const char *const subject_names[] = {[STORE_CONFIG] = "config",
    [STORE_ENTRIES] = "entries",
    [STORE_CANCELS] = "cancels"};
static const char *const status_names[] = {[STORE_OK] = "ok",
    [STORE_UNAVAILABLE] = "no-answer",
    [STORE_BUSY] = "busy",
    [STORE_CONFLICT] = "conflict",
    [STORE_COMPACTED] = "compacted",
    [STORE_INVALID] = "invalid"};

static void watch_schedule_call(struct store_watch *watch, uint64_t delay_ms);

static void
watch_handle_failure(
    struct store_watch *watch, const struct store_update *update)
{
	if (watch->failures++ == 0)
		mst_log(MST_LOG_WARNING, "store-lost",
		    "subject=%s status=%s revision=%" PRIu64 " fault=%s",
		    subject_names[watch->subject], status_names[update->status],
		    watch->revision, input_fault_kind_name(update->fault.kind));
	watch_schedule_call(watch,
	    (uint64_t)mst_retry_delay(
		&watch_bounds_ms, watch->failures, mst_random_share()));
}

/*
 * Handles that the store's revision has gone back: what was read as of the
 * higher one is doubtful, and no change would be reported until it is reached
 * again. Reads the state anew.
 */
static void
watch_restart(struct store_watch *watch, const struct store_update *update)
{
	mst_log(MST_LOG_WARNING, "store-reverted",
	    "subject=%s revision=%" PRIu64 " expected=%" PRIu64,
	    subject_names[watch->subject], update->revision, watch->revision);
	watch->has_state = false;
	watch_schedule_call(watch, (uint64_t)watch_bounds_ms.min);
}

static void
on_store_update(const struct store_update *update, void *ctx)
{
	struct store_watch *watch = ctx;

	if (update->status == STORE_COMPACTED) {
		mst_log(MST_LOG_INFO, "store-compacted",
		    "subject=%s revision=%" PRIu64,
		    subject_names[watch->subject], watch->revision);
		watch->has_state = false;
		watch_schedule_call(watch, 0);
		return;
	}
	if (update->status != STORE_OK) {
		watch_handle_failure(watch, update);
		return;
	}
	if (watch->failures > 0)
		mst_log(MST_LOG_INFO, "store-back", "subject=%s failures=%u",
		    subject_names[watch->subject], watch->failures);
	watch->failures = 0;
	if (!update->is_snapshot && update->revision < watch->revision) {
		watch_restart(watch, update);
		return;
	}
	watch->has_state = true;
	watch->revision = update->revision;
	watch->on_update(update, watch->ctx);
	watch_schedule_call(watch, 0);
}

static void
on_timer(uv_timer_t *timer)
{
	struct store_watch *watch = timer->data;

	if (watch->has_state)
		watch->driver->watch(watch->store, watch->subject,
		    watch->revision, watch->wait_ms,
		    watch->wait_ms + WATCH_CALL_TIMEOUT_MS, on_store_update,
		    watch);
	else
		watch->driver->read(watch->store, watch->subject,
		    WATCH_CALL_TIMEOUT_MS, on_store_update, watch);
}

static void
watch_schedule_call(struct store_watch *watch, uint64_t delay_ms)
{
	uv_timer_start(&watch->timer, on_timer, delay_ms, 0);
}

void
store_watch_start(struct store_watch *watch, uv_loop_t *loop)
{
	uv_timer_init(loop, &watch->timer);
	watch->timer.data = watch;
	watch_schedule_call(watch, 0);
}
