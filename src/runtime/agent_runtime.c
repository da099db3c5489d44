/*
 * Agent daemon: connects the reducer of masticstall/agent.h to the bus and the
 * upstream.
 */

#include <inttypes.h>
#include <masticstall/agent.h>
#include <masticstall/daemon.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/random.h"
#include "core/id.h"
#include "net/bus.h"
#include "net/http_guard.h"
#include "net/httpd.h"
#include "net/upstream.h"
#include "runtime/builds.h"
#include "runtime/crash_store.h"
#include "runtime/entry_links.h"
#include "runtime/loop.h"
#include "runtime/metrics.h"
#include "runtime/operators.h"
#include "runtime/drivers.h"
#include "runtime/record_store.h"
#include "runtime/report_store.h"
#include "runtime/store_watch.h"

#define AGENT_STOP_GRACE_MS         300
#define AGENT_HTTP_BODY_MAX_BYTES   (64 * 1024)
#define AGENT_REPORT_BODY_MAX_BYTES (5 << 20)
#define AGENT_LINKS_TICKS           20 /* ticks of 10 ms */
#define AGENT_WATCH_WAIT_MS         10000
#define AGENT_WORKER_CONNECTIONS    4 /* one waits for completions */

/* A call that finished while an event was applied; handled after that event. */
struct finished_call {
	uint64_t run;
	struct mst_result_item result;
};

struct agent_runtime {
	struct runtime_loop loop;
	const struct mst_settings *settings;
	struct mst_agent *agent;
	struct mst_bus *bus;
	struct entry_links *entry_links;
	uint32_t ticks;
	struct http_guard *http_guard; /* of all HTTP servers */
	struct mst_httpd *httpd;
	struct mst_upstream *upstream;
	bool stepping;         /* an event is being applied */
	GQueue finished_calls; /* struct finished_call */
	char *entry_addresses; /* last sent to the reducer, comma-separated */

	/* Used only with leases, where the upstream is a worker. */
	const struct mst_drivers *drivers;
	struct mst_http_client *worker_http_client;
	struct mst_http_client *store_http_client;
	struct mst_httpd *report_httpd;
	void *worker;
	void *store;
	struct store_watch entries_watch;
	struct record_store *record_store;
	struct report_store *report_store; /* NULL without a store */
	struct crash_store *crash_store;   /* NULL without a store */
};

static void agent_step(struct agent_runtime *rt, struct mst_agent_event *event);

/* Passes the addresses of all known entries to the reducer if they have
 * changed. */
static void
update_entries(struct agent_runtime *rt)
{
	struct mst_agent_event event = {.type = MST_AGENT_EV_ENTRIES};
	const char *addresses = entry_links_addresses(rt->entry_links);

	if (g_strcmp0(rt->entry_addresses, addresses) == 0)
		return;
	g_free(rt->entry_addresses);
	rt->entry_addresses = g_strdup(addresses);
	event.entries = rt->entry_addresses;
	agent_step(rt, &event);
}

/* Adds the entries of a comma-separated list of addresses. */
static void
add_entries(struct agent_runtime *rt, struct mst_bytes addresses)
{
	entry_links_add(rt->entry_links, addresses);
	update_entries(rt);
}

static void
on_entry_wanted(uint64_t entry, bool wanted, void *ctx)
{
	struct mst_agent_event event = {.type = MST_AGENT_EV_ENTRY_WANTED,
	    .entry = entry,
	    .wanted = wanted};

	agent_step(ctx, &event);
}

static void
agent_stop(struct agent_runtime *rt)
{
	if (rt->loop.stopping)
		return;
	mst_log(MST_LOG_INFO, "stopped", "running=0");
	runtime_loop_stop(&rt->loop, AGENT_STOP_GRACE_MS);
}

static void
log_drains(const struct mst_agent_effect *effect)
{
	char *domains = mst_bytes_to_str(effect->drains.domains);

	mst_log(MST_LOG_INFO, "drains",
	    "revision=%" PRIu64 " domains=%s drained=%d",
	    effect->drains.revision, mst_log_quote(domains), effect->drained);
	g_free(domains);
}

static void
log_config(const struct mst_agent_effect *effect)
{
	mst_log(MST_LOG_INFO, "config", "version=%" PRIu64,
	    effect->msg.config.version);
}

/* Logs a run that ended without success. */
static void
log_failed_run(const struct mst_agent_effect *effect)
{
	const struct mst_bytes *name = &effect->task->path;
	int job_len = (int)mst_task_name_job(*name).len;

	mst_log(MST_LOG_INFO, "run-ended",
	    "job=%.*s task=%.*s run=%" PRIu32 " entry=%016" PRIx64
	    " outcome=%s reason=%s queue_ms=%" PRIu32 " run_ms=%" PRIu32
	    " start_uncertain=%d proof=%s",
	    job_len, name->data, (int)name->len, name->data, effect->run_number,
	    effect->entry, mst_outcome_name(effect->result.outcome),
	    mst_reason_name(effect->result.reason),
	    effect->result.queue_us / 1000, effect->result.service_us / 1000,
	    effect->result.start_uncertain, mst_run_proof_name(effect->proof));
}

static void
log_worker_state(const struct mst_agent_effect *effect)
{
	if (effect->restart_cause == MST_RESTART_UNKNOWN)
		mst_log(MST_LOG_INFO, "worker", "state=%s worker=%" PRIu64,
		    effect->state, effect->worker_incarnation);
	else
		mst_log(MST_LOG_INFO, "worker",
		    "state=%s worker=%" PRIu64 " cause=%s", effect->state,
		    effect->worker_incarnation,
		    mst_restart_cause_name(effect->restart_cause));
}

static void
log_refused_report(const struct mst_agent_effect *effect)
{
	char *id = mst_bytes_to_str(effect->report->id);

	mst_log(MST_LOG_WARNING, "report-refused",
	    "fault=other-incarnation id=%s reported=%" PRIu64
	    " worker=%" PRIu64,
	    mst_log_quote(id), effect->report->incarnation,
	    effect->worker_incarnation);
	g_free(id);
}

static void
log_unknown_run(const struct mst_agent_effect *effect)
{
	const struct mst_bytes *name = &effect->unknown_run.task;

	mst_log(MST_LOG_WARNING, "unknown-run",
	    "job=%.*s task=%.*s run=%" PRIu32 " worker=%" PRIu64,
	    (int)mst_task_name_job(*name).len, name->data, (int)name->len,
	    name->data, effect->unknown_run.run, effect->worker_incarnation);
}

/* Logs the record that was added last. Each run of a crash is logged when it
 * ends. */
static void
log_crash(const struct mst_agent_effect *effect)
{
	const struct mst_crash *crash =
	    &effect->crashes.items[effect->crashes.count - 1];

	if (crash->cleared) {
		mst_log(MST_LOG_INFO, "suspect-cleared", "task=%.*s",
		    (int)crash->runs[0].task.len, crash->runs[0].task.data);
		return;
	}
	mst_log(MST_LOG_WARNING, "worker-crashed",
	    "crash=%016" PRIx64 " runs=%" PRIu32, crash->id, crash->run_count);
}

static void
execute_effect(struct agent_runtime *rt, const struct mst_agent_effect *effect)
{
	switch (effect->type) {
	case MST_AGENT_FX_SEND:
		mst_bus_send(rt->bus, &effect->msg);
		break;
	case MST_AGENT_FX_START:
		mst_upstream_call(rt->upstream, effect->run, effect->task,
		    effect->timeout_ms);
		break;
	case MST_AGENT_FX_CONFIG:
		log_config(effect);
		break;
	case MST_AGENT_FX_PEERS:
		break;
	case MST_AGENT_FX_DRAINS:
		log_drains(effect);
		break;
	case MST_AGENT_FX_BUILD:
		builds_log_change(effect->entry, &effect->build);
		break;
	case MST_AGENT_FX_STOPPED:
		agent_stop(rt);
		break;
	case MST_AGENT_FX_ORDER:
		rt->drivers->worker->order(rt->worker, &effect->order);
		break;
	case MST_AGENT_FX_RUN_FAILED:
		log_failed_run(effect);
		break;
	case MST_AGENT_FX_UNKNOWN_RUN:
		log_unknown_run(effect);
		break;
	case MST_AGENT_FX_LEASE_EXPIRED:
		mst_log(MST_LOG_WARNING, "entry-lease-lapsed",
		    "entry=%016" PRIx64 " silent_ms=%" PRId64 " tasks=%" PRIu32,
		    effect->entry, effect->silent_us / 1000, effect->open);
		break;
	case MST_AGENT_FX_STORE:
		record_store_submit(rt->record_store, &effect->op);
		break;
	case MST_AGENT_FX_ENTRY_UNUSED:
		entry_links_release(rt->entry_links, effect->entry);
		break;
	case MST_AGENT_FX_LOAD_REPORT:
		if (rt->report_store != NULL)
			report_store_load(rt->report_store);
		if (rt->crash_store != NULL)
			crash_store_load(rt->crash_store);
		break;
	case MST_AGENT_FX_CRASH:
		log_crash(effect);
		if (rt->crash_store != NULL)
			crash_store_save(rt->crash_store, &effect->crashes);
		break;
	case MST_AGENT_FX_KEEP_REPORT:
		if (rt->report_store != NULL)
			report_store_save(rt->report_store, effect->report);
		break;
	case MST_AGENT_FX_REPORT_REFUSED:
		log_refused_report(effect);
		break;
	case MST_AGENT_FX_WORKER:
		log_worker_state(effect);
		break;
	}
}

static void
agent_apply_event(struct agent_runtime *rt, struct mst_agent_event *event)
{
	const GArray *effects;
	char *peers = NULL;
	guint i;

	rt->stepping = true;
	event->now_us = runtime_now_us();
	effects = mst_agent_step(rt->agent, event);
	if (event->type != MST_AGENT_EV_FLUSH)
		rt->loop.flush_due = true;
	for (i = 0; i < effects->len; i++) {
		const struct mst_agent_effect *effect =
		    &g_array_index(effects, struct mst_agent_effect, i);

		if (effect->type == MST_AGENT_FX_PEERS && peers == NULL)
			peers = mst_bytes_to_str(effect->peers);
		execute_effect(rt, effect);
	}
	rt->stepping = false;
	if (peers != NULL)
		add_entries(rt, mst_bytes_from_str(peers));
	g_free(peers);
}

/* Applies an event, then the calls that have finished in the meantime. */
static void
agent_step(struct agent_runtime *rt, struct mst_agent_event *event)
{
	struct finished_call *call;

	agent_apply_event(rt, event);
	while ((call = g_queue_pop_head(&rt->finished_calls)) != NULL) {
		struct mst_agent_event finished_event = {
		    .type = MST_AGENT_EV_FINISHED,
		    .run = call->run,
		    .result = call->result};

		agent_apply_event(rt, &finished_event);
		g_free(call);
	}
}

static void
on_call_done(uint64_t run, const struct mst_result_item *result, void *ctx)
{
	struct agent_runtime *rt = ctx;
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_FINISHED, .run = run, .result = *result};
	struct finished_call *call;

	if (!rt->stepping) {
		agent_step(rt, &event);
		return;
	}
	/*
	 * Only a call that fails to connect is reported from within
	 * mst_upstream_call(). Its result has no strings to copy.
	 */
	call = g_new0(struct finished_call, 1);
	call->run = run;
	call->result = *result;
	call->result.content_type = call->result.body = (struct mst_bytes){0};
	g_queue_push_tail(&rt->finished_calls, call);
}

static void
on_message(const struct mst_msg *msg, void *ctx)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_MESSAGE, .msg = msg};

	agent_step(ctx, &event);
}

/* Announces this agent without delay, as work may wait there. */
static void
on_connected(void *ctx)
{
	struct mst_agent_event event = {.type = MST_AGENT_EV_CONNECTED};

	agent_step(ctx, &event);
}

static void
on_flush(void *ctx, int64_t busy_us)
{
	struct mst_agent_event event = {.type = MST_AGENT_EV_FLUSH};

	agent_step(ctx, &event);
}

static void
on_tick(void *ctx)
{
	struct agent_runtime *rt = ctx;
	struct mst_agent_event event = {.type = MST_AGENT_EV_TICK};

	if (rt->upstream != NULL)
		mst_upstream_expire_calls(rt->upstream);
	agent_step(rt, &event);
	if (++rt->ticks % AGENT_LINKS_TICKS == 0) {
		entry_links_update(rt->entry_links);
		update_entries(rt);
	}
}

static void
on_reload(void *ctx)
{
	struct agent_runtime *rt = ctx;

	entry_links_reload(rt->entry_links);
	update_entries(rt);
}

static void
on_drain(void *ctx)
{
	struct agent_runtime *rt = ctx;
	struct mst_agent_event event = {.type = MST_AGENT_EV_DRAIN};

	mst_log(MST_LOG_INFO, "draining", "running=%u",
	    mst_agent_gauges(rt->agent).running);
	agent_step(rt, &event);
}

static void
respond_text(
    struct agent_runtime *rt, uint64_t id, int status, const char *text)
{
	const struct mst_http_header header = {
	    "content-type", "text/plain; charset=utf-8"};

	mst_http_respond(rt->httpd, id, status, &header, 1, text, strlen(text));
}

static void
on_request(struct mst_http_request *request, void *ctx)
{
	struct agent_runtime *rt = ctx;
	struct mst_agent_gauges gauges = mst_agent_gauges(rt->agent);
	char *path = mst_bytes_to_str(request->path);
	bool is_post = request->method.len == 4 &&
	    memcmp(request->method.data, "POST", 4) == 0;
	GArray *builds;
	GString *text;

	if (strcmp(path, "/healthz") == 0) {
		respond_text(rt, request->id, gauges.draining ? 503 : 200,
		    gauges.draining ? "leaving\n" : "ready\n");
	} else if (strcmp(path, "/metrics") == 0) {
		text = runtime_agent_metrics(mst_agent_counters(rt->agent),
		    &gauges, mst_bus_counters(rt->bus));
		metrics_add_process(text, &rt->loop.lag);
		metrics_add_clients(text, rt->http_guard);
		metrics_add_loop(text, &rt->loop.load);
		builds = mst_agent_builds(rt->agent);
		builds_add_metrics(text, builds);
		g_array_unref(builds);
		respond_text(rt, request->id, 200, text->str);
		g_string_free(text, TRUE);
	} else if (is_post && strcmp(path, "/v1/drain") == 0 &&
	    mst_operator_authenticate(rt->settings->operators,
		mst_http_header(request, "authorization"))) {
		respond_text(rt, request->id, 202, "draining\n");
		on_drain(rt);
	} else if (is_post && strcmp(path, "/v1/drain") == 0) {
		respond_text(rt, request->id, 401, "an operator is needed\n");
	} else {
		respond_text(rt, request->id, 404, "not found\n");
	}
	g_free(path);
}

static void
on_disconnect(uint64_t id, void *ctx)
{
}

static void
on_worker_answer(const struct mst_order_answer *answer, void *ctx)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_ORDER_ANSWER, .answer = answer};

	agent_step(ctx, &event);
}

static void
on_worker_report(struct mst_http_request *request, void *ctx)
{
	struct agent_runtime *rt = ctx;
	const struct worker_driver *driver = rt->drivers->worker;
	struct mst_worker_report report;
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_REPORT, .report = &report};
	struct input_fault fault;
	void *driver_data;
	char *id;

	if (driver->read_report(&report, &driver_data, &fault, request)) {
		agent_step(rt, &event);
		mst_http_respond(
		    rt->report_httpd, request->id, 200, NULL, 0, "{}", 2);
	} else {
		id = mst_bytes_to_str(report.id);
		input_fault_report(INPUT_REPORT, id, &fault);
		g_free(id);
		mst_http_respond(
		    rt->report_httpd, request->id, 400, NULL, 0, "{}", 2);
	}
	driver->release_report(driver_data);
}

static void
on_store_answer(const struct mst_store_answer *answer, void *ctx)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_STORE_ANSWER, .store_answer = answer};

	agent_step(ctx, &event);
}

static void
on_kept_report(const struct mst_worker_report *report, void *ctx)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_KEPT_REPORT, .report = report};

	agent_step(ctx, &event);
}

static void
on_kept_crashes(const struct mst_crashes *crashes, void *ctx)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_KEPT_CRASHES, .crashes = crashes};

	agent_step(ctx, &event);
}

static int64_t
wall_ms(void)
{
	return g_get_real_time() / 1000;
}

static void
open_crash_store(struct agent_runtime *rt)
{
	const struct crash_store_options options = {.loop = &rt->loop.uv,
	    .drivers = rt->drivers,
	    .store = rt->store,
	    .name = rt->settings->name,
	    .wall_ms = wall_ms,
	    .on_crashes = on_kept_crashes,
	    .ctx = rt};

	rt->crash_store = crash_store_new(&options);
}

static void
open_report_store(struct agent_runtime *rt)
{
	const struct report_store_options options = {.drivers = rt->drivers,
	    .store = rt->store,
	    .name = rt->settings->name,
	    .on_report = on_kept_report,
	    .ctx = rt};

	rt->report_store = report_store_new(&options);
}

static void
open_record_store(struct agent_runtime *rt)
{
	const struct record_store_options options = {.loop = &rt->loop.uv,
	    .drivers = rt->drivers,
	    .store = rt->store,
	    .on_answer = on_store_answer,
	    .ctx = rt};

	rt->record_store = record_store_new(&options);
}

static void
on_entries_update(const struct store_update *update, void *ctx)
{
	struct agent_runtime *rt = ctx;

	entry_links_add_stored(rt->entry_links, update->added);
	update_entries(rt);
}

static int
open_leased_worker(struct agent_runtime *rt, GError **error)
{
	const struct mst_worker_settings *settings = &rt->settings->worker;
	struct worker_driver_options worker_options = {
	    .address = settings->address,
	    .now_us = runtime_now_us,
	    .on_answer = on_worker_answer,
	    .ctx = rt};
	struct mst_httpd_options report_options = {.loop = &rt->loop.uv,
	    .listen = settings->report_listen,
	    .body_max_bytes = AGENT_REPORT_BODY_MAX_BYTES,
	    .guard = rt->http_guard,
	    .on_request = on_worker_report,
	    .on_disconnect = on_disconnect,
	    .ctx = rt};

	if (mst_httpd_new(&rt->report_httpd, &report_options, error) < 0)
		return -1;
	rt->worker_http_client =
	    mst_http_client_new(&rt->loop.uv, AGENT_WORKER_CONNECTIONS);
	worker_options.http_client = rt->worker_http_client;
	rt->worker = rt->drivers->worker->open(&worker_options);
	if (rt->settings->store == NULL)
		return 0;
	rt->store_http_client = mst_http_client_new(&rt->loop.uv, 0);
	rt->store = rt->drivers->store->open(
	    rt->store_http_client, rt->settings->store);
	open_record_store(rt);
	open_report_store(rt);
	open_crash_store(rt);
	rt->entries_watch = (struct store_watch){.driver = rt->drivers->store,
	    .store = rt->store,
	    .subject = STORE_ENTRIES,
	    .wait_ms = AGENT_WATCH_WAIT_MS,
	    .on_update = on_entries_update,
	    .ctx = rt};
	store_watch_start(&rt->entries_watch, &rt->loop.uv);
	return 0;
}

static void
options_set_leases(
    struct mst_agent_options *options, const struct mst_settings *settings)
{
	struct mst_lease_times times = mst_settings_lease_times(settings);

	mst_agent_options_set_leases(options, &times);
	options->stored_jobs = settings->store != NULL;
}

static int
agent_start(struct agent_runtime *rt, GError **error)
{
	const struct mst_settings *settings = rt->settings;
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	const struct mst_shares shares = mst_settings_shares(settings);
	const struct http_guard_options guard_options = {.loop = &rt->loop.uv,
	    .bytes_max = shares.input_bytes,
	    .connections_max = shares.connections};
	struct mst_bus_options bus_options = {.loop = &rt->loop.uv,
	    .curve = settings->curve,
	    .on_message = on_message,
	    .on_connected = on_connected,
	    .ctx = rt};
	struct mst_httpd_options http_options = {.loop = &rt->loop.uv,
	    .listen = settings->http_listen,
	    .body_max_bytes = AGENT_HTTP_BODY_MAX_BYTES,
	    .on_request = on_request,
	    .on_disconnect = on_disconnect,
	    .ctx = rt};
	struct mst_upstream_options upstream_options = {.loop = &rt->loop.uv,
	    .address = settings->upstream.address,
	    .connections = settings->upstream.connections,
	    .result_max_bytes = settings->upstream.result_max_bytes,
	    .on_done = on_call_done,
	    .ctx = rt};
	struct entry_links_options links_options = {
	    .settings = settings, .on_wanted = on_entry_wanted, .ctx = rt};

	options.incarnation = mst_random_u64();
	options.name = settings->name;
	options.failure_domain = settings->failure_domain;
	options.rack = settings->rack;
	options.slots = settings->upstream.slots;
	options.connections = settings->upstream.connections;
	options.resources = settings->resources;
	options.retained_bytes_max = shares.result_bytes;
	rt->http_guard = http_guard_new(&guard_options);
	http_options.guard = rt->http_guard;
	if (settings->worker.address != NULL) {
		options_set_leases(&options, settings);
		bus_options.announce_idle_us = options.leases.entry_silence_us;
		links_options.max = settings->entries_max;
	}
	mst_agent_new(&rt->agent, &options);
	if (settings->upstream.address != NULL)
		mst_upstream_new(&rt->upstream, &upstream_options);
	if (mst_bus_new(&rt->bus, &bus_options, error) < 0 ||
	    mst_httpd_new(&rt->httpd, &http_options, error) < 0)
		return -1;
	links_options.bus = rt->bus;
	rt->entry_links = entry_links_new(&links_options);
	if (settings->worker.address != NULL &&
	    open_leased_worker(rt, error) < 0)
		return -1;
	runtime_loop_start(&rt->loop);
	update_entries(rt);
	mst_log(MST_LOG_INFO, "started",
	    "version=%s features=%x incarnation=%016" PRIx64 " upstream=%s",
	    mst_version(), MST_FEATURES, options.incarnation,
	    settings->upstream.address ? settings->upstream.address
				       : settings->worker.address);
	return 0;
}

int
mst_agentd_run(const struct mst_settings *settings,
    const struct mst_drivers *drivers, GError **error)
{
	static const struct runtime_loop_callbacks callbacks = {
	    .on_tick = on_tick,
	    .on_flush = on_flush,
	    .on_drain = on_drain,
	    .on_reload = on_reload};
	struct agent_runtime *rt = g_new0(struct agent_runtime, 1);
	int rc;

	rt->settings = settings;
	rt->drivers = drivers;
	runtime_loop_init(&rt->loop, &callbacks, rt);
	rc = agent_start(rt, error);
	if (rc == 0) {
		uv_run(&rt->loop.uv, UV_RUN_DEFAULT);
		mst_bus_close(rt->bus);
		uv_run(&rt->loop.uv, UV_RUN_NOWAIT);
		mst_bus_free(rt->bus);
		mst_agent_free(rt->agent);
	}
	g_free(rt->entry_addresses);
	return rc;
}
