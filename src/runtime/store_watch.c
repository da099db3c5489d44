#include "runtime/store_watch.h"

#include <inttypes.h>

#include "base/log.h"
#include "base/random.h"

#define WATCH_CALL_MS      700 /* for an answer beyond the wait asked for */
#define WATCH_RETRY_MS     150
#define WATCH_RETRY_MAX_MS 1000

static const char *const subject_names[] = {[STORE_CONFIG] = "config",
    [STORE_ENTRIES] = "entries",
    [STORE_CANCELS] = "cancels"};
static const char *const status_names[] = {[STORE_OK] = "ok",
    [STORE_UNAVAILABLE] = "no-answer",
    [STORE_BUSY] = "busy",
    [STORE_CONFLICT] = "conflict",
    [STORE_COMPACTED] = "compacted",
    [STORE_INVALID] = "invalid"};

static void watch_next(struct store_watch *watch, uint64_t delay_ms);

static void
watch_failed(struct store_watch *watch, const struct store_update *news)
{
	uint64_t wait_ms;

	if (watch->failures++ == 0)
		mst_log(MST_LOG_WARNING, "store-lost",
		    "subject=%s status=%s revision=%" PRIu64 " fault=%s",
		    subject_names[watch->subject], status_names[news->status],
		    watch->revision, mst_log_quote(news->fault));
	wait_ms = MIN((uint64_t)WATCH_RETRY_MS << MIN(watch->failures - 1, 8),
	    WATCH_RETRY_MAX_MS);
	watch_next(watch, wait_ms / 2 + mst_random_u64() % (wait_ms / 2 + 1));
}

static void
on_news(const struct store_update *news, void *ctx)
{
	struct store_watch *watch = ctx;

	if (news->status == STORE_COMPACTED) {
		mst_log(MST_LOG_INFO, "store-compacted",
		    "subject=%s revision=%" PRIu64,
		    subject_names[watch->subject], watch->revision);
		watch->has_state = false;
		watch_next(watch, 0);
		return;
	}
	if (news->status != STORE_OK) {
		watch_failed(watch, news);
		return;
	}
	if (watch->failures > 0)
		mst_log(MST_LOG_INFO, "store-back", "subject=%s failures=%u",
		    subject_names[watch->subject], watch->failures);
	watch->failures = 0;
	watch->has_state = true;
	watch->revision = MAX(watch->revision, news->revision);
	watch->on_update(news, watch->ctx);
	watch_next(watch, 0);
}

static void
on_timer(uv_timer_t *timer)
{
	struct store_watch *watch = timer->data;

	if (watch->has_state)
		watch->driver->watch(watch->store, watch->subject,
		    watch->revision, watch->wait_ms,
		    watch->wait_ms + WATCH_CALL_MS, on_news, watch);
	else
		watch->driver->read(watch->store, watch->subject, WATCH_CALL_MS,
		    on_news, watch);
}

static void
watch_next(struct store_watch *watch, uint64_t delay_ms)
{
	uv_timer_start(&watch->timer, on_timer, delay_ms, 0);
}

void
store_watch_start(struct store_watch *watch, uv_loop_t *loop)
{
	uv_timer_init(loop, &watch->timer);
	watch->timer.data = watch;
	watch_next(watch, 0);
}
