/* Entry on a platform: requests through the frontend, watches of the store. */

#include <inttypes.h>
#include <string.h>

#include "api/record_json.h"
#include "base/log.h"
#include "runtime/entry_runtime.h"

#define STORE_WAIT_SHARE      0.5 /* a watch waits this share of config_ms */
#define STORE_WAIT_MAX_MS     1500
#define STORE_CALL_TIMEOUT_MS 700
#define PUBLISH_RETRY_MS      500
/*
 * Share of the grace period in which jobs are still accepted, because the load
 * balancer takes a while to send new connections elsewhere.
 */
#define FRONTEND_SERVE_SHARE 0.65
/* Time before the end of the grace period at which open jobs are answered. */
#define FRONTEND_STOP_MARGIN_MS 300
/* Connections kept for operators, metrics and the load balancer's checks. */
#define FRONTEND_CONNECTIONS_KEPT 32
#define FRONTEND_RETRY_AFTER_MS   1000 /* if there is no better estimate */

static void
send_result(struct entry_runtime *rt, struct mst_httpd *httpd, uint64_t id,
    const struct frontend_result *result)
{
	struct frontend_response response;

	rt->drivers->frontend->write(&response, result);
	mst_http_respond(httpd, id, response.status, response.headers,
	    response.header_count, response.body, strlen(response.body));
}

static void
send_pending_result(struct entry_runtime *rt, struct pending_request *pending,
    struct frontend_result *result)
{
	result->close = rt->shutting_down;
	send_result(rt, rt->frontend_httpd, pending->id & ~RUNTIME_FRONTEND_BIT,
	    result);
	g_hash_table_remove(rt->pending_requests, (gpointer)pending->id);
}

static enum frontend_outcome
job_outcome(const struct mst_job_view *view)
{
	if (view->state == MST_JOB_COMPLETE)
		return FRONTEND_COMPLETED;
	if (view->reason == MST_REASON_TASK_FAILED)
		return FRONTEND_FAILED;
	return view->may_have_run ? FRONTEND_MAY_HAVE_RUN : FRONTEND_NOT_RUN;
}

/*
 * Logs a closed job. If it failed or missed its objective, logs each of its
 * tasks as well.
 */
static void
log_closed_job(const struct entry_runtime *rt, const struct mst_job_view *view,
    uint64_t handle, enum frontend_outcome outcome)
{
	int64_t took_us = view->closed_us - view->submitted_us;
	uint32_t i;

	mst_log(MST_LOG_INFO, "job-ended",
	    "job=%s queue=%s outcome=%s reason=%s tasks=%" PRIu32
	    " sent=%" PRIu32 " took_ms=%" PRId64 " objective_ms=%" PRId64,
	    view->key, view->team, frontend_outcome_name(outcome),
	    mst_reason_name(view->reason), view->count, view->started,
	    took_us / 1000, view->objective_us / 1000);
	if (outcome == FRONTEND_COMPLETED && took_us <= view->objective_us)
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
runtime_frontend_respond_job(struct entry_runtime *rt,
    struct pending_request *pending, const struct mst_job_view *view,
    uint64_t handle)
{
	struct frontend_result result = {.outcome = job_outcome(view)};

	log_closed_job(rt, view, handle, result.outcome);
	mst_histogram_observe(&rt->job_times[result.outcome],
	    view->closed_us - view->submitted_us);
	if (result.outcome == FRONTEND_NOT_RUN)
		result.retry_after_ms =
		    MAX(view->retry_after_ms, FRONTEND_RETRY_AFTER_MS);
	send_pending_result(rt, pending, &result);
}

void
runtime_frontend_respond_refusal(struct entry_runtime *rt,
    struct pending_request *pending, const struct mst_entry_effect *effect)
{
	struct frontend_result result = {.outcome = FRONTEND_NOT_RUN,
	    .retry_after_ms =
		MAX(effect->retry_after_ms, FRONTEND_RETRY_AFTER_MS)};
	struct mst_entry_gauges gauges = mst_entry_gauges(rt->entry);

	/* No member can ever run the job, so its caller must not retry it. */
	if (effect->reason == MST_REASON_NO_FIT)
		result = (struct frontend_result){.outcome = FRONTEND_FAILED};
	mst_log(MST_LOG_INFO, "job-refused",
	    "job=%s reason=%s wait_ms=%" PRIu32 " tasks_waiting=%" PRIu32
	    " tasks_sent=%" PRIu32 " agents=%" PRIu32 " free_slots=%" PRIu32
	    " shed_percent=%" PRIu32 " config=%" PRIu64,
	    pending->job_key, mst_reason_name(effect->reason),
	    effect->retry_after_ms, gauges.tasks_waiting, gauges.tasks_sent,
	    gauges.members_active, gauges.free_slots, gauges.shed_percent,
	    gauges.config_version);
	send_pending_result(rt, pending, &result);
}

void
runtime_frontend_on_job_closed(struct entry_runtime *rt, uint64_t job)
{
	struct mst_job_view view;
	enum frontend_outcome outcome;

	if (mst_entry_job(&view, rt->entry, job) < 0)
		return;
	outcome = view.reason == MST_REASON_CANCELLED ? FRONTEND_CANCELLED
	    : view.state == MST_JOB_COMPLETE          ? FRONTEND_COMPLETED
						      : FRONTEND_FAILED;
	log_closed_job(rt, &view, job, outcome);
	mst_histogram_observe(
	    &rt->job_times[outcome], view.closed_us - view.submitted_us);
}

static const enum frontend_outcome outcome_by_state[] = {
    [MST_STORED_UNKNOWN] = FRONTEND_UNKNOWN_JOB,
    [MST_STORED_QUEUED] = FRONTEND_QUEUED,
    [MST_STORED_RUNNING] = FRONTEND_RUNNING,
    [MST_STORED_COMPLETE] = FRONTEND_COMPLETED,
    [MST_STORED_FAILED] = FRONTEND_FAILED,
    [MST_STORED_CANCELLED] = FRONTEND_CANCELLED,
    [MST_STORED_ACCEPTED] = FRONTEND_ACCEPTED,
    [MST_STORED_UNAVAILABLE] = FRONTEND_STORE_UNAVAILABLE};

void
runtime_frontend_respond_state(struct entry_runtime *rt,
    struct pending_request *pending, enum mst_stored_state state)
{
	struct frontend_result result = {.outcome = outcome_by_state[state]};

	/*
	 * If the store has not responded to the write of a job, the job may be
	 * stored all the same and be run by its next owner.
	 */
	if (state == MST_STORED_UNAVAILABLE &&
	    pending->request_kind == FRONTEND_REQ_SUBMIT)
		result.outcome = FRONTEND_MAY_HAVE_RUN;
	if (result.outcome == FRONTEND_STORE_UNAVAILABLE)
		result.retry_after_ms = FRONTEND_RETRY_AFTER_MS;
	if (pending->request_kind != FRONTEND_REQ_STATE ||
	    state == MST_STORED_UNKNOWN || state == MST_STORED_UNAVAILABLE)
		mst_log(MST_LOG_INFO, "stored-job", "job=%s asked=%s answer=%s",
		    pending->job_key,
		    pending->request_kind == FRONTEND_REQ_SUBMIT ? "submit"
			: pending->request_kind == FRONTEND_REQ_STATE
			? "state"
			: "cancel",
		    frontend_outcome_name(result.outcome));
	send_pending_result(rt, pending, &result);
}

static struct pending_request *
add_pending_request(struct entry_runtime *rt,
    const struct mst_http_request *http_request,
    const struct frontend_request *request)
{
	struct pending_request *pending =
	    pending_request_new(rt, http_request->id | RUNTIME_FRONTEND_BIT);

	pending->from_frontend = true;
	pending->request_kind = request->kind;
	pending->job_key = g_strdup(request->key);
	return pending;
}

/*
 * Returns the text that is stored for a job, with its queue's configuration, or
 * NULL if the job is not to be stored. Free with cJSON_free().
 */
static char *
serialize_stored_job(
    const struct frontend_request *request, const struct mst_config *config)
{
	const struct mst_queue_config *queue;

	if (!request->spec.stored)
		return NULL;
	queue = mst_config_queue_by_name(config, request->spec.team);
	return stored_job_json_write(queue, request->body);
}

static void
submit_job(struct entry_runtime *rt,
    const struct mst_http_request *http_request,
    struct frontend_request *request)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_SUBMIT, .spec = &request->spec};
	struct frontend_result result = {.outcome = FRONTEND_NOT_RUN,
	    .retry_after_ms = FRONTEND_RETRY_AFTER_MS};
	char *serialized;

	if (request->unsupported) {
		mst_log(MST_LOG_INFO, "job-refused", "job=%s reason=%s",
		    request->key, mst_reason_name(MST_REASON_NOT_SERVED));
		send_result(rt, rt->frontend_httpd, http_request->id, &result);
		return;
	}
	serialized = serialize_stored_job(request, mst_entry_config(rt->entry));
	request->spec.serialized_job = serialized;
	event.request = add_pending_request(rt, http_request, request)->id;
	rt->step(rt, &event);
	cJSON_free(serialized);
}

static void
query_or_cancel_job(struct entry_runtime *rt,
    const struct mst_http_request *http_request,
    const struct frontend_request *request)
{
	struct mst_entry_event event = {
	    .type = request->kind == FRONTEND_REQ_CANCEL
		? MST_ENTRY_EV_CANCEL_STORED
		: MST_ENTRY_EV_QUERY_STORED,
	    .key = request->key};

	event.request = add_pending_request(rt, http_request, request)->id;
	rt->step(rt, &event);
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
on_frontend_request(struct mst_http_request *http_request, void *ctx)
{
	struct entry_runtime *rt = ctx;
	const struct mst_config *config = mst_entry_config(rt->entry);
	struct frontend_request request;
	struct frontend_result result = {0};

	rt->drivers->frontend->read(&request, http_request, config);
	switch (request.kind) {
	case FRONTEND_REQ_SUBMIT:
		submit_job(rt, http_request, &request);
		break;
	case FRONTEND_REQ_READY:
		result.outcome =
		    mst_entry_gauges(rt->entry).ready && !rt->shutting_down
		    ? FRONTEND_IS_READY
		    : FRONTEND_IS_NOT_READY;
		break;
	case FRONTEND_REQ_NO_QUEUE:
		log_unrouted(http_request, config);
		result.outcome =
		    config != NULL ? FRONTEND_UNKNOWN_QUEUE : FRONTEND_NOT_RUN;
		result.retry_after_ms =
		    config != NULL ? 0 : FRONTEND_RETRY_AFTER_MS;
		break;
	case FRONTEND_REQ_STATE:
	case FRONTEND_REQ_CANCEL:
		query_or_cancel_job(rt, http_request, &request);
		break;
	case FRONTEND_REQ_QUEUE_LENGTH:
		result.outcome = FRONTEND_QUEUE_LENGTH;
		result.length =
		    mst_entry_queue_length(rt->entry, request.queue);
		break;
	case FRONTEND_REQ_MALFORMED:
		result.outcome = FRONTEND_BAD_REQUEST;
		mst_log(MST_LOG_INFO, "request-malformed", "fault=%s",
		    mst_log_quote(request.fault));
		break;
	}
	if (result.outcome != 0)
		send_result(rt, rt->frontend_httpd, http_request->id, &result);
	rt->drivers->frontend->release(&request);
}

static void
on_frontend_disconnect(uint64_t id, void *ctx)
{
	runtime_on_disconnect(id | RUNTIME_FRONTEND_BIT, ctx);
}

/* Responds to the load balancer's checks, which use a separate address. */
static void
on_ready_request(struct mst_http_request *request, void *ctx)
{
	struct entry_runtime *rt = ctx;
	struct frontend_result result = {.outcome = FRONTEND_IS_NOT_READY};

	if (mst_entry_gauges(rt->entry).ready && !rt->shutting_down)
		result.outcome = FRONTEND_IS_READY;
	send_result(rt, rt->ready_httpd, request->id, &result);
}

static void
on_ready_disconnect(uint64_t id, void *ctx)
{
	/* Checks leave no pending request behind. */
}

static void
on_config_update(const struct store_update *update, void *ctx)
{
	runtime_drains_on_store_update(ctx, update);
	if (update->fault.kind != 0)
		input_fault_report(INPUT_CONFIG, "", &update->fault);
	if (update->document != NULL)
		runtime_config_apply(ctx, update->version, update->document);
}

static void
on_entries_update(const struct store_update *update, void *ctx)
{
	struct entry_runtime *rt = ctx;

	entry_links_add_stored(rt->entry_links, update->added);
}

/*
 * Notifies the reducer of jobs that other entries have cancelled. Changes
 * before a snapshot may have been missed, so after a snapshot an event without
 * a key makes the reducer check every job.
 */
static void
on_cancels_update(const struct store_update *update, void *ctx)
{
	struct entry_runtime *rt = ctx;
	struct mst_entry_event event = {.type = MST_ENTRY_EV_STORED_CANCELLED};
	guint i;

	for (i = 0; i < update->added->len; i++) {
		event.key = update->added->pdata[i];
		rt->step(rt, &event);
	}
	event.key = NULL;
	if (update->is_snapshot)
		rt->step(rt, &event);
}

static void
on_published(enum store_status status, void *ctx)
{
	struct entry_runtime *rt = ctx;

	if (status == STORE_OK || rt->shutting_down)
		return;
	mst_log(MST_LOG_DEBUG, "publish-failed", "address=%s",
	    rt->settings->advertise);
	uv_timer_start(
	    &rt->publish_timer, runtime_publish_address, PUBLISH_RETRY_MS, 0);
}

void
runtime_publish_address(uv_timer_t *timer)
{
	struct entry_runtime *rt = timer->data;

	rt->drivers->store->put_entry(rt->store, rt->settings->advertise,
	    STORE_CALL_TIMEOUT_MS, on_published, rt);
}

static void
on_serve_timer(uv_timer_t *timer)
{
	struct entry_runtime *rt = timer->data;
	struct mst_entry_event event = {.type = MST_ENTRY_EV_DRAIN};

	rt->step(rt, &event);
}

static void
on_retracted(enum store_status status, void *ctx)
{
	if (status != STORE_OK)
		mst_log(MST_LOG_INFO, "retract-failed", "status=%d", status);
}

void
runtime_frontend_drain(struct entry_runtime *rt)
{
	int64_t grace_ms = (int64_t)(rt->settings->frontend.grace_s * 1000);
	uint64_t serve_ms = (uint64_t)((double)grace_ms * FRONTEND_SERVE_SHARE);
	struct mst_entry_event event = {.type = MST_ENTRY_EV_STOPPING,
	    .stop_us = runtime_now_us() +
		MAX(grace_ms - FRONTEND_STOP_MARGIN_MS, (int64_t)serve_ms) *
		    1000};

	if (rt->shutting_down)
		return;
	rt->shutting_down = true;
	rt->step(rt, &event);
	rt->drivers->store->remove_entry(rt->store, rt->settings->advertise,
	    STORE_CALL_TIMEOUT_MS, on_retracted, rt);
	uv_timer_start(&rt->publish_timer, on_serve_timer, serve_ms, 0);
}

static void
start_watch(struct entry_runtime *rt, struct store_watch *watch,
    enum store_subject subject, store_update_cb on_update)
{
	*watch = (struct store_watch){.driver = rt->drivers->store,
	    .store = rt->store,
	    .subject = subject,
	    .wait_ms = MIN(
		(uint32_t)(rt->settings->frontend.config_ms * STORE_WAIT_SHARE),
		STORE_WAIT_MAX_MS),
	    .on_update = on_update,
	    .ctx = rt};
	store_watch_start(watch, &rt->loop.uv);
}

void
runtime_frontend_on_ownership(
    struct entry_runtime *rt, const struct mst_entry_effect *effect)
{
	mst_log(MST_LOG_INFO, "ownership",
	    "owner=%016" PRIx64 " state=%s jobs=%" PRIu32, effect->owner,
	    effect->state, effect->count);
	if (rt->watches_cancels)
		return;
	rt->watches_cancels = true;
	start_watch(rt, &rt->cancels_watch, STORE_CANCELS, on_cancels_update);
}

static void
on_store_answer(const struct mst_store_answer *answer, void *ctx)
{
	struct entry_runtime *rt = ctx;
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_STORE_ANSWER, .answer = answer};

	rt->step(rt, &event);
}

static void
open_record_store(struct entry_runtime *rt)
{
	const struct record_store_options options = {.loop = &rt->loop.uv,
	    .drivers = rt->drivers,
	    .store = rt->store,
	    .on_answer = on_store_answer,
	    .ctx = rt};

	rt->record_store = record_store_new(&options);
}

int
runtime_frontend_open(struct entry_runtime *rt, GError **error)
{
	const struct mst_frontend_settings *settings = &rt->settings->frontend;
	struct mst_httpd_options frontend_options = {.loop = &rt->loop.uv,
	    .listen = settings->listen,
	    .body_max_bytes = runtime_limits_body_max(rt),
	    .guard = rt->http_guard,
	    .header_names = rt->drivers->frontend->header_names,
	    .connections_kept = FRONTEND_CONNECTIONS_KEPT,
	    .on_request = on_frontend_request,
	    .on_disconnect = on_frontend_disconnect,
	    .ctx = rt};
	struct mst_httpd_options ready_options = {.loop = &rt->loop.uv,
	    .listen = settings->ready_listen,
	    .body_max_bytes = runtime_limits_body_max(rt),
	    .guard = rt->http_guard,
	    .on_request = on_ready_request,
	    .on_disconnect = on_ready_disconnect,
	    .ctx = rt};

	if (mst_httpd_new(&rt->frontend_httpd, &frontend_options, error) < 0 ||
	    mst_httpd_new(&rt->ready_httpd, &ready_options, error) < 0)
		return -1;
	rt->store =
	    rt->drivers->store->open(rt->http_client, rt->settings->store);
	open_record_store(rt);
	start_watch(rt, &rt->config_watch, STORE_CONFIG, on_config_update);
	start_watch(rt, &rt->entries_watch, STORE_ENTRIES, on_entries_update);
	uv_timer_init(&rt->loop.uv, &rt->publish_timer);
	rt->publish_timer.data = rt;
	uv_timer_start(&rt->publish_timer, runtime_publish_address, 0, 0);
	return 0;
}

void
runtime_frontend_shutdown(struct entry_runtime *rt)
{
	mst_httpd_shutdown(rt->frontend_httpd);
	mst_httpd_shutdown(rt->ready_httpd);
}
