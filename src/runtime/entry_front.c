/* An entry on a platform: callers by the front port, the store's news. */

#include <inttypes.h>
#include <string.h>

#include "api/record_json.h"
#include "base/log.h"
#include "runtime/entry_runtime.h"

#define FRONT_BODY_MAX    (1 << 20)
#define STORE_WAIT_SHARE  0.5 /* of the time to follow a configuration */
#define STORE_WAIT_MAX_MS 1500
#define STORE_CALL_MS     700
#define PUBLISH_RETRY_MS  500
/* Share of the time to stop in which jobs are still taken: the balancer needs
 * a while to send new connections elsewhere. */
#define FRONT_SERVE_SHARE 0.65
#define FRONT_RETRY_MS    1000 /* where nothing better is known */

static const char *const outcome_names[] = {[FRONT_COMPLETED] = "completed",
    [FRONT_FAILED] = "failed",
    [FRONT_NOT_RUN] = "not-run",
    [FRONT_MAY_HAVE_RUN] = "may-have-run",
    [FRONT_ACCEPTED] = "accepted",
    [FRONT_UNKNOWN_JOB] = "unknown",
    [FRONT_QUEUED] = "queued",
    [FRONT_RUNNING] = "running",
    [FRONT_CANCELLED] = "cancelled",
    [FRONT_STORE_AWAY] = "store-away"};

const char *
runtime_outcome_name(int outcome)
{
	bool named = outcome > 0 &&
	    (size_t)outcome < G_N_ELEMENTS(outcome_names) &&
	    outcome_names[outcome] != NULL;

	return named ? outcome_names[outcome] : "none";
}

static void
front_answer(struct entry_runtime *rt, struct mst_httpd *httpd, uint64_t id,
    const struct front_answer *answer)
{
	struct front_reply reply;

	rt->ports->front->write(&reply, answer);
	mst_http_answer(httpd, id, reply.status, reply.headers,
	    reply.header_count, reply.body, strlen(reply.body));
}

static void
front_answer_pending(struct entry_runtime *rt, struct pending *pending,
    struct front_answer *answer)
{
	answer->close = rt->leaving;
	front_answer(rt, rt->front, pending->id & ~RUNTIME_FRONT_BIT, answer);
	g_hash_table_remove(rt->pending, (gpointer)pending->id);
}

static enum front_outcome
outcome_of_job(const struct mst_job_view *view)
{
	if (view->state == MST_JOB_COMPLETE)
		return FRONT_COMPLETED;
	if (view->reason == MST_REASON_TASK_FAILED)
		return FRONT_FAILED;
	return view->may_have_run ? FRONT_MAY_HAVE_RUN : FRONT_NOT_RUN;
}

/* One line for a job's end; where it failed, one for each task, too. */
static void
log_job(const struct entry_runtime *rt, const struct mst_job_view *view,
    uint64_t handle, enum front_outcome outcome)
{
	int64_t took_us = view->closed_us - view->submitted_us;
	uint32_t i;

	mst_log(MST_LOG_INFO, "job-ended",
	    "job=%s queue=%s outcome=%s reason=%s tasks=%" PRIu32
	    " sent=%" PRIu32 " took_ms=%" PRId64 " objective_ms=%" PRId64,
	    view->key, view->team, outcome_names[outcome],
	    mst_reason_name(view->reason), view->count, view->started,
	    took_us / 1000, view->objective_us / 1000);
	if (outcome == FRONT_COMPLETED && took_us <= view->objective_us)
		return;
	for (i = 0; i < view->count; i++) {
		struct mst_task_view task;

		if (mst_entry_task(&task, rt->entry, handle, i) < 0)
			return;
		mst_log(MST_LOG_INFO, "task",
		    "job=%s task=%" PRIu32
		    " outcome=%s reason=%s agent=%016" PRIx64
		    " attempts=%" PRIu32 " declared_ms=%" PRIu32
		    " sent_ms=%" PRId64 " closed_ms=%" PRId64
		    " queue_ms=%" PRIu32 " run_ms=%" PRIu32,
		    view->key, i, mst_outcome_name(task.outcome),
		    mst_reason_name(task.reason), task.member, task.attempts,
		    task.declared_us / 1000,
		    (task.sent_us - view->submitted_us) / 1000,
		    (task.closed_us - view->submitted_us) / 1000,
		    task.queue_us / 1000, task.service_us / 1000);
	}
}

void
runtime_front_job(struct entry_runtime *rt, struct pending *pending,
    const struct mst_job_view *view, uint64_t handle)
{
	struct front_answer answer = {.outcome = outcome_of_job(view)};

	log_job(rt, view, handle, answer.outcome);
	mst_histogram_add(&rt->job_times[answer.outcome],
	    view->closed_us - view->submitted_us);
	if (answer.outcome == FRONT_NOT_RUN)
		answer.retry_after_ms =
		    MAX(view->retry_after_ms, FRONT_RETRY_MS);
	front_answer_pending(rt, pending, &answer);
}

void
runtime_front_refusal(struct entry_runtime *rt, struct pending *pending,
    const struct mst_entry_effect *effect)
{
	struct front_answer answer = {.outcome = FRONT_NOT_RUN,
	    .retry_after_ms = MAX(effect->retry_after_ms, FRONT_RETRY_MS)};
	struct mst_entry_gauges gauges = mst_entry_gauges(rt->entry);

	/* It will never run: its caller need not come back. */
	if (effect->reason == MST_REASON_NO_FIT)
		answer = (struct front_answer){.outcome = FRONT_FAILED};
	mst_log(MST_LOG_INFO, "job-refused",
	    "job=%s reason=%s wait_ms=%" PRIu32 " tasks_waiting=%" PRIu32
	    " tasks_sent=%" PRIu32 " agents=%" PRIu32 " config=%" PRIu64,
	    pending->job, mst_reason_name(effect->reason),
	    effect->retry_after_ms, gauges.tasks_waiting, gauges.tasks_sent,
	    gauges.members_active, gauges.config_version);
	front_answer_pending(rt, pending, &answer);
}

void
runtime_front_closed(struct entry_runtime *rt, uint64_t job)
{
	struct mst_job_view view;
	enum front_outcome outcome;

	if (mst_entry_job(&view, rt->entry, job) < 0)
		return;
	outcome = view.reason == MST_REASON_CANCELLED ? FRONT_CANCELLED
	    : view.state == MST_JOB_COMPLETE          ? FRONT_COMPLETED
						      : FRONT_FAILED;
	log_job(rt, &view, job, outcome);
	mst_histogram_add(
	    &rt->job_times[outcome], view.closed_us - view.submitted_us);
}

static const enum front_outcome outcomes_of_states[] = {
    [MST_STORED_UNKNOWN] = FRONT_UNKNOWN_JOB,
    [MST_STORED_QUEUED] = FRONT_QUEUED,
    [MST_STORED_RUNNING] = FRONT_RUNNING,
    [MST_STORED_COMPLETE] = FRONT_COMPLETED,
    [MST_STORED_FAILED] = FRONT_FAILED,
    [MST_STORED_CANCELLED] = FRONT_CANCELLED,
    [MST_STORED_ACCEPTED] = FRONT_ACCEPTED,
    [MST_STORED_UNAVAILABLE] = FRONT_STORE_AWAY};

void
runtime_front_state(struct entry_runtime *rt, struct pending *pending,
    enum mst_stored_state state)
{
	struct front_answer answer = {.outcome = outcomes_of_states[state]};

	/* A job whose storing has no answer may be run by its next owner. */
	if (state == MST_STORED_UNAVAILABLE && pending->asked == FRONT_SUBMIT)
		answer.outcome = FRONT_MAY_HAVE_RUN;
	if (answer.outcome == FRONT_STORE_AWAY)
		answer.retry_after_ms = FRONT_RETRY_MS;
	if (pending->asked != FRONT_STATE || state == MST_STORED_UNKNOWN ||
	    state == MST_STORED_UNAVAILABLE)
		mst_log(MST_LOG_INFO, "stored-job", "job=%s asked=%s answer=%s",
		    pending->job,
		    pending->asked == FRONT_SUBMIT      ? "submit"
			: pending->asked == FRONT_STATE ? "state"
							: "cancel",
		    outcome_names[answer.outcome]);
	front_answer_pending(rt, pending, &answer);
}

static struct pending *
front_pending(struct entry_runtime *rt, const struct mst_http_request *request,
    const struct front_request *asked)
{
	struct pending *pending =
	    runtime_pending_new(rt, request->id | RUNTIME_FRONT_BIT);

	pending->front = true;
	pending->asked = asked->kind;
	pending->job = g_strdup(asked->key);
	return pending;
}

/* The text under which a job is stored, with the terms of its queue. */
static char *
stored_text(const struct front_request *asked, const struct mst_config *config)
{
	const struct mst_queue_config *queue;

	if (!asked->spec.stored)
		return NULL;
	queue = mst_config_queue_by_name(config, asked->spec.team);
	return stored_json_write(queue, asked->body);
}

static void
front_submit(struct entry_runtime *rt, const struct mst_http_request *request,
    struct front_request *asked)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_SUBMIT, .spec = &asked->spec};
	struct front_answer answer = {
	    .outcome = FRONT_NOT_RUN, .retry_after_ms = FRONT_RETRY_MS};
	char *text;

	if (asked->unserved) {
		mst_log(MST_LOG_INFO, "job-refused", "job=%s reason=%s",
		    asked->key, mst_reason_name(MST_REASON_NOT_SERVED));
		front_answer(rt, rt->front, request->id, &answer);
		return;
	}
	text = stored_text(asked, mst_entry_config(rt->entry));
	asked->spec.serialized = text;
	event.request = front_pending(rt, request, asked)->id;
	runtime_step(rt, &event);
	cJSON_free(text);
}

static void
front_ask(struct entry_runtime *rt, const struct mst_http_request *request,
    const struct front_request *asked)
{
	struct mst_entry_event event = {.type = asked->kind == FRONT_CANCEL
		? MST_ENTRY_EV_CANCEL_KEY
		: MST_ENTRY_EV_FIND_KEY,
	    .key = asked->key};

	event.request = front_pending(rt, request, asked)->id;
	runtime_step(rt, &event);
}

static void
log_unrouted(
    const struct mst_http_request *request, const struct mst_config *config)
{
	char *host = mst_bytes_to_str(request->host);
	char *path = mst_bytes_to_str(request->path);

	mst_log(MST_LOG_INFO, "request-unrouted",
	    "host=%s path=%s config=%" PRIu64, mst_log_quote(host),
	    mst_log_quote(path), config ? config->version : 0);
	g_free(host);
	g_free(path);
}

static void
on_front_request(struct mst_http_request *request, void *ctx)
{
	struct entry_runtime *rt = ctx;
	const struct mst_config *config = mst_entry_config(rt->entry);
	struct front_request asked;
	struct front_answer answer = {0};

	rt->ports->front->read(&asked, request, config);
	switch (asked.kind) {
	case FRONT_SUBMIT:
		front_submit(rt, request, &asked);
		break;
	case FRONT_READY:
		answer.outcome =
		    mst_entry_gauges(rt->entry).ready && !rt->leaving
		    ? FRONT_IS_READY
		    : FRONT_IS_NOT_READY;
		break;
	case FRONT_NO_QUEUE:
		log_unrouted(request, config);
		answer.outcome =
		    config != NULL ? FRONT_UNKNOWN_QUEUE : FRONT_NOT_RUN;
		answer.retry_after_ms = config != NULL ? 0 : FRONT_RETRY_MS;
		break;
	case FRONT_STATE:
	case FRONT_CANCEL:
		front_ask(rt, request, &asked);
		break;
	case FRONT_QUEUE:
		answer.outcome = FRONT_QUEUE_LENGTH;
		answer.length = mst_entry_queue_length(rt->entry, asked.queue);
		break;
	case FRONT_MALFORMED:
		answer.outcome = FRONT_WRONG;
		mst_log(MST_LOG_INFO, "request-malformed", "fault=%s",
		    mst_log_quote(asked.fault));
		break;
	}
	if (answer.outcome != 0)
		front_answer(rt, rt->front, request->id, &answer);
	rt->ports->front->release(&asked);
}

static void
on_front_gone(uint64_t id, void *ctx)
{
	runtime_on_gone(id | RUNTIME_FRONT_BIT, ctx);
}

/* The balancer's checks come to an address of their own. */
static void
on_ready_request(struct mst_http_request *request, void *ctx)
{
	struct entry_runtime *rt = ctx;
	struct front_answer answer = {.outcome = FRONT_IS_NOT_READY};

	if (mst_entry_gauges(rt->entry).ready && !rt->leaving)
		answer.outcome = FRONT_IS_READY;
	front_answer(rt, rt->ready, request->id, &answer);
}

static void
on_ready_gone(uint64_t id, void *ctx)
{
}

static void
on_config_news(const struct store_news *news, void *ctx)
{
	if (news->fault != NULL)
		mst_log(MST_LOG_ERROR, "config-rejected", "reason=%s",
		    mst_log_quote(news->fault));
	if (news->document != NULL)
		runtime_config_apply(ctx, news->version, news->document);
}

static void
on_entries_news(const struct store_news *news, void *ctx)
{
	guint i;

	for (i = 0; i < news->entries->len; i++)
		runtime_connect_peers(
		    ctx, mst_bytes_from_str(news->entries->pdata[i]));
}

/* Jobs that other entries have cancelled. Where changes may have been missed,
 * every record is looked at. */
static void
on_cancels_news(const struct store_news *news, void *ctx)
{
	struct mst_entry_event event = {.type = MST_ENTRY_EV_CANCELLED};
	guint i;

	for (i = 0; i < news->entries->len; i++) {
		event.key = news->entries->pdata[i];
		runtime_step(ctx, &event);
	}
	event.key = NULL;
	if (news->complete)
		runtime_step(ctx, &event);
}

static void
on_published(enum store_status status, void *ctx)
{
	struct entry_runtime *rt = ctx;

	if (status == STORE_OK || rt->leaving)
		return;
	mst_log(MST_LOG_DEBUG, "publish-failed", "address=%s",
	    rt->settings->advertise);
	uv_timer_start(
	    &rt->publish_timer, runtime_publish, PUBLISH_RETRY_MS, 0);
}

void
runtime_publish(uv_timer_t *timer)
{
	struct entry_runtime *rt = timer->data;

	rt->ports->store->put_entry(rt->store, rt->settings->advertise,
	    STORE_CALL_MS, on_published, rt);
}

static void
on_serve_end(uv_timer_t *timer)
{
	struct mst_entry_event event = {.type = MST_ENTRY_EV_DRAIN};

	runtime_step(timer->data, &event);
}

static void
on_retracted(enum store_status status, void *ctx)
{
	if (status != STORE_OK)
		mst_log(MST_LOG_INFO, "retract-failed", "status=%d", status);
}

void
runtime_front_drain(struct entry_runtime *rt)
{
	uint64_t serve_ms = (uint64_t)(rt->settings->frontend.grace_s * 1000 *
	    FRONT_SERVE_SHARE);

	if (rt->leaving)
		return;
	rt->leaving = true;
	rt->ports->store->remove_entry(rt->store, rt->settings->advertise,
	    STORE_CALL_MS, on_retracted, rt);
	uv_timer_start(&rt->publish_timer, on_serve_end, serve_ms, 0);
}

static void
watch_start(struct entry_runtime *rt, struct store_watch *watch,
    enum store_subject subject, store_news_cb on_news)
{
	*watch = (struct store_watch){.port = rt->ports->store,
	    .store = rt->store,
	    .subject = subject,
	    .wait_ms = MIN(
		(uint32_t)(rt->settings->frontend.config_ms * STORE_WAIT_SHARE),
		STORE_WAIT_MAX_MS),
	    .on_news = on_news,
	    .ctx = rt};
	store_watch_start(watch, &rt->loop.uv);
}

void
runtime_front_owner(
    struct entry_runtime *rt, const struct mst_entry_effect *effect)
{
	mst_log(MST_LOG_INFO, "ownership",
	    "owner=%016" PRIx64 " state=%s jobs=%" PRIu32, effect->owner,
	    effect->state, effect->count);
	if (rt->watches_cancels)
		return;
	rt->watches_cancels = true;
	watch_start(rt, &rt->cancels_watch, STORE_CANCELS, on_cancels_news);
}

static void
on_store_answer(const struct mst_store_answer *answer, void *ctx)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_STORE, .answer = answer};

	runtime_step(ctx, &event);
}

static void
records_open(struct entry_runtime *rt)
{
	const struct record_store_options options = {.loop = &rt->loop.uv,
	    .ports = rt->ports,
	    .store = rt->store,
	    .on_answer = on_store_answer,
	    .ctx = rt};

	rt->records = record_store_new(&options);
}

int
runtime_front_open(struct entry_runtime *rt, GError **error)
{
	const struct mst_frontend_settings *settings = &rt->settings->frontend;
	struct mst_httpd_options front = {.loop = &rt->loop.uv,
	    .listen = settings->listen,
	    .body_max_bytes = FRONT_BODY_MAX,
	    .on_request = on_front_request,
	    .on_gone = on_front_gone,
	    .ctx = rt};
	struct mst_httpd_options ready = {.loop = &rt->loop.uv,
	    .listen = settings->ready_listen,
	    .body_max_bytes = FRONT_BODY_MAX,
	    .on_request = on_ready_request,
	    .on_gone = on_ready_gone,
	    .ctx = rt};

	if (mst_httpd_new(&rt->front, &front, error) < 0 ||
	    mst_httpd_new(&rt->ready, &ready, error) < 0)
		return -1;
	rt->store = rt->ports->store->open(rt->caller, rt->settings->store);
	records_open(rt);
	watch_start(rt, &rt->config_watch, STORE_CONFIG, on_config_news);
	watch_start(rt, &rt->entries_watch, STORE_ENTRIES, on_entries_news);
	uv_timer_init(&rt->loop.uv, &rt->publish_timer);
	rt->publish_timer.data = rt;
	uv_timer_start(&rt->publish_timer, runtime_publish, 0, 0);
	return 0;
}

void
runtime_front_shutdown(struct entry_runtime *rt)
{
	mst_httpd_shutdown(rt->front);
	mst_httpd_shutdown(rt->ready);
}
