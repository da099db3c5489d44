#include "runtime/builds.h"
#include "runtime/entry_runtime.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "base/random.h"

#define RUNTIME_MEMBERS_POLL_MS 10000
#define RUNTIME_ENTRY_ROW_TTL_S 60
/* Records outlast the time in which callers may query them. */
#define RUNTIME_RETENTION_MARGIN_US    (60 * G_USEC_PER_SEC)
#define RUNTIME_STOP_GRACE_MS          1500
#define RUNTIME_FRONTEND_STOP_GRACE_MS 300
#define RUNTIME_TRACE_EXPORT_TICKS     200 /* ticks of 10 ms */
#define RUNTIME_LINKS_TICKS            20  /* ticks of 10 ms */
/* Small beside the times of tasks, which it delays. */
#define RUNTIME_POLL_INTERVAL_US 2000

static void
log_member(const struct mst_entry_effect *effect)
{
	mst_log(MST_LOG_INFO, "member", "agent=%016" PRIx64 " state=%s",
	    effect->peer, effect->state);
}

/* Logs a run that ended because its worker crashed. */
static void
log_crashed_task(
    const struct entry_runtime *rt, const struct mst_entry_effect *effect)
{
	struct mst_job_view job;

	if (mst_entry_job(&job, rt->entry, effect->job) < 0)
		return;
	mst_log(MST_LOG_WARNING, "task-crashed",
	    "job=%s queue=%s task=%" PRIu32 " crashes=%" PRIu32
	    " agent=%016" PRIx64,
	    job.key != NULL ? job.key : "", job.team, effect->index,
	    effect->count, effect->peer);
}

/* Logs a task that may run again at one host only. */
static void
log_bound_task(
    const struct entry_runtime *rt, const struct mst_entry_effect *effect)
{
	struct mst_job_view job;

	if (mst_entry_job(&job, rt->entry, effect->job) < 0)
		return;
	mst_log(MST_LOG_INFO, "task-bound",
	    "job=%s queue=%s task=%" PRIu32 " agent=%016" PRIx64 " host=%s",
	    job.key != NULL ? job.key : "", job.team, effect->index,
	    effect->peer, effect->state != NULL ? effect->state : "");
}

static void
trace_closed_task(
    struct entry_runtime *rt, const struct mst_entry_effect *effect)
{
	struct mst_job_view job;
	struct mst_task_view task;

	if (mst_entry_job(&job, rt->entry, effect->job) < 0 ||
	    mst_entry_task(&task, rt->entry, effect->job, effect->index) < 0)
		return;
	trace_record_task(rt->traces, &job, &task, effect->index, effect->peer);
}

static void
respond_ticket(struct entry_runtime *rt, const struct mst_entry_effect *effect)
{
	struct pending_request *pending = g_hash_table_lookup(
	    rt->pending_requests, (gpointer)effect->request);
	char ticket[MST_TICKET_TEXT];
	char body[96];

	if (pending == NULL)
		return;
	mst_ticket_format(ticket, &effect->ticket);
	g_snprintf(body, sizeof(body), "{\"ticket\":\"%s\"}\n", ticket);
	pending->ticket = g_strdup(ticket);
	runtime_respond(
	    rt, pending, 201, "application/json", body, strlen(body), 0);
}

static void
apply_member_config(
    struct entry_runtime *rt, const struct mst_entry_effect *effect)
{
	const struct mst_config_msg *config = &effect->msg.config;
	char *document = mst_bytes_to_str(config->document);

	runtime_config_apply(rt, config->version, document);
	g_free(document);
}

static void
execute_effect(struct entry_runtime *rt, const struct mst_entry_effect *effect)
{
	struct pending_request *pending = g_hash_table_lookup(
	    rt->pending_requests, (gpointer)effect->request);

	switch (effect->type) {
	case MST_ENTRY_FX_SEND:
		mst_bus_send(rt->bus, &effect->msg);
		break;
	case MST_ENTRY_FX_ANSWER:
		if (pending != NULL)
			runtime_respond_job(rt, pending, effect->job);
		break;
	case MST_ENTRY_FX_REFUSE:
		if (pending != NULL)
			runtime_respond_refusal(rt, pending, effect);
		break;
	case MST_ENTRY_FX_STORE:
		record_store_submit(rt->record_store, &effect->op);
		break;
	case MST_ENTRY_FX_STATE:
		if (pending != NULL)
			runtime_frontend_respond_state(
			    rt, pending, effect->stored);
		break;
	case MST_ENTRY_FX_CLOSED:
		runtime_frontend_on_job_closed(rt, effect->job);
		break;
	case MST_ENTRY_FX_OWNER:
		runtime_frontend_on_ownership(rt, effect);
		break;
	case MST_ENTRY_FX_TICKET:
		respond_ticket(rt, effect);
		break;
	case MST_ENTRY_FX_FORWARD:
		if (pending != NULL)
			runtime_forward(rt, pending, effect->peer);
		break;
	case MST_ENTRY_FX_PEERS:
		entry_links_add(rt->entry_links, effect->peers);
		break;
	case MST_ENTRY_FX_TASK:
		trace_closed_task(rt, effect);
		break;
	case MST_ENTRY_FX_BOUND:
		log_bound_task(rt, effect);
		break;
	case MST_ENTRY_FX_CRASHED:
		log_crashed_task(rt, effect);
		break;
	case MST_ENTRY_FX_QUARANTINE:
		mst_log(MST_LOG_WARNING, "quarantine",
		    "queue=%s state=%s members=%" PRIu32, effect->team,
		    effect->state, effect->count);
		break;
	case MST_ENTRY_FX_MEMBER:
		log_member(effect);
		break;
	case MST_ENTRY_FX_DRAINS:
		runtime_drains_log(effect);
		break;
	case MST_ENTRY_FX_BUILD:
		builds_log_change(effect->peer, &effect->build);
		break;
	case MST_ENTRY_FX_CONFIG:
	case MST_ENTRY_FX_STOPPED:
		break;
	}
}

static void
runtime_stop(struct entry_runtime *rt)
{
	if (rt->loop.stopping)
		return;
	mst_log(MST_LOG_INFO, "stopped", "jobs_open=0");
	mst_httpd_shutdown(rt->httpd);
	if (rt->frontend_httpd != NULL)
		runtime_frontend_shutdown(rt);
	/* The grace period lets responses and messages be sent. */
	runtime_loop_stop(&rt->loop,
	    rt->frontend_httpd != NULL ? RUNTIME_FRONTEND_STOP_GRACE_MS
				       : RUNTIME_STOP_GRACE_MS);
}

static void
step(struct entry_runtime *rt, struct mst_entry_event *event)
{
	const GArray *effects;
	const struct mst_entry_effect *config = NULL;
	uint64_t drains_revision = 0;
	bool stopped = false;
	guint i;

	event->now_us = runtime_now_us();
	event->wall_ms = g_get_real_time() / 1000;
	effects = mst_entry_step(rt->entry, event);
	if (event->type != MST_ENTRY_EV_FLUSH)
		rt->loop.flush_due = true;
	for (i = 0; i < effects->len; i++) {
		const struct mst_entry_effect *effect =
		    &g_array_index(effects, struct mst_entry_effect, i);

		if (effect->type == MST_ENTRY_FX_CONFIG)
			config = effect;
		else if (effect->type == MST_ENTRY_FX_STOPPED)
			stopped = true;
		else
			execute_effect(rt, effect);
		if (effect->type == MST_ENTRY_FX_DRAINS)
			drains_revision = effect->drains.revision;
	}
	/* Done last, because both may step the reducer, which invalidates the
	 * effects. */
	if (config != NULL)
		apply_member_config(rt, config);
	if (drains_revision > 0)
		runtime_drains_on_change(rt, drains_revision);
	if (stopped)
		runtime_stop(rt);
	rt->event_us[event->type] += runtime_now_us() - event->now_us;
}

static void
on_flush(void *ctx, int64_t busy_us)
{
	struct entry_runtime *rt = ctx;
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_FLUSH, .busy_us = busy_us};

	rt->step(rt, &event);
}

static void
on_connected(void *ctx)
{
	struct entry_runtime *rt = ctx;
	struct mst_entry_event event = {.type = MST_ENTRY_EV_CONNECTED};

	rt->step(rt, &event);
}

static void
on_message(const struct mst_msg *msg, void *ctx)
{
	struct entry_runtime *rt = ctx;
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_MESSAGE, .msg = msg};

	if (msg->type == MST_MSG_FORWARD)
		runtime_on_forward(rt, msg);
	else if (msg->type == MST_MSG_FORWARDED)
		runtime_on_forward_reply(rt, &msg->forwarded);
	else
		rt->step(rt, &event);
}

/* Refuses forwarded requests whose owner is no longer reachable. */
static void
expire_forwards(struct entry_runtime *rt)
{
	const struct mst_entry_effect unreachable = {
	    .reason = MST_REASON_OWNER_UNREACHABLE,
	    .may_have_run = true,
	    .retry_after_ms = 1000};
	GPtrArray *expired = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, rt->pending_requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pending_request *pending = value;

		if (pending->forwarded_to != 0 &&
		    !mst_entry_peer_is_alive(rt->entry, pending->forwarded_to))
			g_ptr_array_add(expired, value);
	}
	for (i = 0; i < expired->len; i++)
		runtime_respond_refusal(rt, expired->pdata[i], &unreachable);
	g_ptr_array_unref(expired);
}

static void
on_tick(void *ctx)
{
	struct entry_runtime *rt = ctx;
	struct mst_entry_event event = {.type = MST_ENTRY_EV_TICK};

	rt->step(rt, &event);
	runtime_limits_update(rt);
	if (rt->ticks % RUNTIME_LINKS_TICKS == 0)
		entry_links_update(rt->entry_links);
	if (++rt->ticks % 10 == 0)
		expire_forwards(rt);
	if (rt->ticks % RUNTIME_TRACE_EXPORT_TICKS == 0 &&
	    rt->settings->trace.otlp_endpoint != NULL)
		trace_export(rt->traces);
}

static void
on_entries_listed(
    enum mst_table_result result, const GPtrArray *addresses, void *ctx)
{
	struct entry_runtime *rt = ctx;

	entry_links_add_stored(rt->entry_links, addresses);
}

static void
on_entry_row_written(enum mst_table_result result, void *ctx)
{
	if (result != MST_TABLE_OK)
		mst_log(MST_LOG_WARNING, "table-away", "operation=put-entry");
}

static void
on_members_timer(uv_timer_t *timer)
{
	struct entry_runtime *rt = timer->data;
	int64_t now_s = g_get_real_time() / G_USEC_PER_SEC;

	if (!rt->loop.stopping && !mst_entry_gauges(rt->entry).draining)
		mst_table_put_entry(rt->table, rt->settings->advertise,
		    now_s + RUNTIME_ENTRY_ROW_TTL_S, on_entry_row_written, rt);
	mst_table_list_entries(rt->table, now_s, on_entries_listed, rt);
}

static void
on_reload(void *ctx)
{
	struct entry_runtime *rt = ctx;

	entry_links_reload(rt->entry_links);
}

static void
on_drain(void *ctx)
{
	struct entry_runtime *rt = ctx;
	struct mst_entry_event event = {.type = MST_ENTRY_EV_DRAIN};

	mst_log(MST_LOG_INFO, "draining", "jobs_open=%u",
	    mst_entry_gauges(rt->entry).jobs_open);
	if (rt->frontend_httpd != NULL) {
		runtime_frontend_drain(rt);
		return;
	}
	rt->step(rt, &event);
}

static void
members_timer_start(struct entry_runtime *rt)
{
	uv_timer_init(&rt->loop.uv, &rt->members_timer);
	rt->members_timer.data = rt;
	uv_timer_start(
	    &rt->members_timer, on_members_timer, 0, RUNTIME_MEMBERS_POLL_MS);
}

static void
options_set_leases(
    struct mst_entry_options *options, const struct mst_settings *settings)
{
	struct mst_lease_times times = mst_settings_lease_times(settings);

	mst_entry_options_set_leases(options, &times);
	options->remote_factor = settings->frontend.remote_factor;
	options->entries_max = settings->entries_max;
	options->stored_jobs = settings->store != NULL;
	options->deadline_max_ms = settings->frontend.deadline_max_ms;
	options->record_retention_us =
	    (int64_t)(settings->frontend.retention_s * G_USEC_PER_SEC) +
	    RUNTIME_RETENTION_MARGIN_US;
}

static int
runtime_start(struct entry_runtime *rt, GError **error)
{
	const struct mst_settings *settings = rt->settings;
	struct mst_entry_options options = MST_ENTRY_OPTIONS_INIT;
	const struct mst_shares shares = mst_settings_shares(settings);
	struct mst_bus_options bus_options = {.loop = &rt->loop.uv,
	    .listen = settings->members_listen,
	    .self_address = settings->advertise,
	    .curve = settings->curve,
	    .on_message = on_message,
	    .on_connected = on_connected,
	    .ctx = rt};
	const struct http_guard_options guard_options =
	    runtime_limits_options(rt);
	struct mst_httpd_options http_options = {.loop = &rt->loop.uv,
	    .listen = settings->http_listen,
	    .body_max_bytes = shares.body_bytes,
	    .on_request = runtime_on_request,
	    .on_disconnect = runtime_on_disconnect,
	    .ctx = rt};
	struct entry_links_options links_options = {.settings = settings};

	options.incarnation = mst_random_u64();
	options.seed = (uint32_t)mst_random_u64();
	options.address = settings->advertise;
	options.failure_domain = settings->failure_domain;
	options.jobs_max = settings->limits.jobs_max;
	options.bytes_max = shares.jobs_bytes;
	if (settings->frontend.listen != NULL)
		options_set_leases(&options, settings);
	mst_entry_new(&rt->entry, &options);
	rt->http_guard = http_guard_new(&guard_options);
	http_options.guard = rt->http_guard;
	rt->http_client = mst_http_client_new(&rt->loop.uv, 0);
	if (settings->table.endpoint != NULL)
		rt->table = mst_table_new(rt->http_client, &settings->table);
	rt->traces =
	    trace_store_new(rt->http_client, &settings->trace, settings->name);
	if (mst_bus_new(&rt->bus, &bus_options, error) < 0 ||
	    mst_httpd_new(&rt->httpd, &http_options, error) < 0)
		return -1;
	links_options.bus = rt->bus;
	rt->entry_links = entry_links_new(&links_options);
	runtime_loop_start(&rt->loop);
	if (rt->table != NULL) {
		members_timer_start(rt);
		runtime_config_start(rt);
	} else if (runtime_frontend_open(rt, error) < 0) {
		return -1;
	}
	mst_log(MST_LOG_INFO, "started",
	    "version=%s features=%x incarnation=%016" PRIx64
	    " http=%s members=%s",
	    mst_version(), MST_FEATURES, options.incarnation,
	    settings->http_listen, settings->members_listen);
	return 0;
}

int
mst_entryd_run(const struct mst_settings *settings,
    const struct mst_drivers *drivers, GError **error)
{
	static const struct runtime_loop_callbacks callbacks = {
	    .on_tick = on_tick,
	    .on_flush = on_flush,
	    .on_drain = on_drain,
	    .on_reload = on_reload};
	struct entry_runtime *rt = g_new0(struct entry_runtime, 1);
	int rc;

	rt->settings = settings;
	rt->drivers = drivers;
	rt->step = step;
	drain_set_init(&rt->drain_set);
	rt->pending_requests = g_hash_table_new_full(g_direct_hash,
	    g_direct_equal, NULL, (GDestroyNotify)pending_request_free);
	runtime_loop_init(&rt->loop, &callbacks, rt);
	rt->loop.poll_interval_us = RUNTIME_POLL_INTERVAL_US;
	rc = runtime_start(rt, error);
	if (rc == 0) {
		uv_run(&rt->loop.uv, UV_RUN_DEFAULT);
		/* Sends the last messages and closes the handles. */
		mst_bus_close(rt->bus);
		mst_http_client_close(rt->http_client);
		uv_run(&rt->loop.uv, UV_RUN_NOWAIT);
		mst_bus_free(rt->bus);
		trace_store_free(rt->traces);
		mst_table_free(rt->table);
		mst_entry_free(rt->entry);
		drain_set_clear(&rt->drain_set);
		g_hash_table_unref(rt->pending_requests);
	}
	return rc;
}
