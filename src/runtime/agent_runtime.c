/* The agent's daemon: the reducer between the bus and the upstream. */

#include <inttypes.h>
#include <masticstall/agent.h>
#include <masticstall/daemon.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/random.h"
#include "net/bus.h"
#include "net/httpd.h"
#include "net/upstream.h"
#include "runtime/loop.h"
#include "runtime/metrics.h"
#include "runtime/operators.h"
#include "runtime/drivers.h"
#include "runtime/record_store.h"
#include "runtime/store_watch.h"

#define AGENT_GRACE_MS           300
#define AGENT_HTTP_MAX           (64 * 1024)
#define AGENT_REPORT_MAX         (5 << 20)
#define AGENT_WATCH_MS           10000
#define AGENT_WORKER_CONNECTIONS 4 /* one of them waits for ends */

/* The end of a call that was reported while the reducer was at work. */
struct ended {
	uint64_t run;
	struct mst_result_item result;
};

struct agent_runtime {
	struct runtime_loop loop;
	const struct mst_settings *settings;
	struct mst_agent *agent;
	struct mst_bus *bus;
	struct mst_httpd *httpd;
	struct mst_upstream *upstream;
	bool stepping;
	GQueue ended;    /* struct ended */
	char *addresses; /* as the reducer knows them */

	/* Leased only. */
	const struct mst_drivers *ports;
	struct mst_http_client *caller;       /* to the worker */
	struct mst_http_client *store_caller; /* to the store */
	struct mst_httpd *reports;
	void *worker;
	void *store;
	struct store_watch entries_watch;
	struct record_store *records;
};

static void agent_step(struct agent_runtime *rt, struct mst_agent_event *event);

static void
connect_entries(struct agent_runtime *rt, struct mst_bytes peers)
{
	struct mst_agent_event event = {.type = MST_AGENT_EV_ENTRIES};
	char *text = mst_bytes_to_str(peers);
	char **list = g_strsplit(text, ",", 64);
	GError *error = NULL;
	int i;

	for (i = 0; list[i] != NULL; i++) {
		if (*list[i] != '\0' &&
		    mst_bus_connect(rt->bus, list[i], &error) < 0) {
			mst_log(MST_LOG_WARNING, "entry-refused", "reason=%s",
			    mst_log_quote(error->message));
			g_clear_error(&error);
		}
	}
	g_strfreev(list);
	g_free(text);
	if (g_strcmp0(rt->addresses, mst_bus_entry_addresses(rt->bus)) == 0)
		return;
	g_free(rt->addresses);
	rt->addresses = g_strdup(mst_bus_entry_addresses(rt->bus));
	event.entries = rt->addresses;
	agent_step(rt, &event);
}

static void
agent_stop(struct agent_runtime *rt)
{
	if (rt->loop.stopping)
		return;
	mst_log(MST_LOG_INFO, "stopped", "running=0");
	runtime_loop_stop(&rt->loop, AGENT_GRACE_MS);
}

static void
log_config(const struct mst_agent_effect *effect)
{
	mst_log(MST_LOG_INFO, "config", "version=%" PRIu64,
	    effect->msg.config.version);
}

/* The task's name begins with the job's. */
static void
log_run(const struct mst_agent_effect *effect)
{
	const struct mst_bytes *name = &effect->task->path;
	const char *dot = memchr(name->data, '.', name->len);
	int job_len = (int)(dot ? dot - name->data : (ssize_t)name->len);

	mst_log(MST_LOG_INFO, "run-ended",
	    "job=%.*s task=%.*s run=%" PRIu32 " entry=%016" PRIx64
	    " outcome=%s reason=%s queue_ms=%" PRIu32 " run_ms=%" PRIu32,
	    job_len, name->data, (int)name->len, name->data, effect->number,
	    effect->entry, mst_outcome_name(effect->result.outcome),
	    mst_reason_name(effect->result.reason),
	    effect->result.queue_us / 1000, effect->result.service_us / 1000);
}

static void
effect_execute(struct agent_runtime *rt, const struct mst_agent_effect *effect)
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
	case MST_AGENT_FX_STOPPED:
		agent_stop(rt);
		break;
	case MST_AGENT_FX_ORDER:
		rt->ports->worker->order(rt->worker, &effect->order);
		break;
	case MST_AGENT_FX_RUN:
		log_run(effect);
		break;
	case MST_AGENT_FX_LEASE:
		mst_log(MST_LOG_WARNING, "entry-lease-lapsed",
		    "entry=%016" PRIx64 " silent_ms=%" PRId64 " tasks=%" PRIu32,
		    effect->entry, effect->silent_us / 1000, effect->open);
		break;
	case MST_AGENT_FX_STORE:
		record_store_submit(rt->records, &effect->op);
		break;
	case MST_AGENT_FX_WORKER:
		mst_log(MST_LOG_INFO, "worker", "state=%s", effect->state);
		break;
	}
}

static void
step_once(struct agent_runtime *rt, struct mst_agent_event *event)
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
		effect_execute(rt, effect);
	}
	rt->stepping = false;
	if (peers != NULL)
		connect_entries(rt, mst_bytes_from_str(peers));
	g_free(peers);
}

static void
agent_step(struct agent_runtime *rt, struct mst_agent_event *event)
{
	struct ended *ended;

	step_once(rt, event);
	while ((ended = g_queue_pop_head(&rt->ended)) != NULL) {
		struct mst_agent_event finished = {
		    .type = MST_AGENT_EV_FINISHED,
		    .run = ended->run,
		    .result = ended->result};

		step_once(rt, &finished);
		g_free(ended);
	}
}

static void
on_call_done(uint64_t run, const struct mst_result_item *result, void *ctx)
{
	struct agent_runtime *rt = ctx;
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_FINISHED, .run = run, .result = *result};
	struct ended *ended;

	if (!rt->stepping) {
		agent_step(rt, &event);
		return;
	}
	/* Only a call that could not connect ends so early; it has no
	 * strings. */
	ended = g_new0(struct ended, 1);
	ended->run = run;
	ended->result = *result;
	ended->result.content_type = ended->result.body = (struct mst_bytes){0};
	g_queue_push_tail(&rt->ended, ended);
}

static void
on_message(const struct mst_msg *msg, void *ctx)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_MESSAGE, .msg = msg};

	agent_step(ctx, &event);
}

static void
on_flush(void *ctx)
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
}

static void
on_reload(void *ctx)
{
	struct agent_runtime *rt = ctx;

	mst_bus_reload_entries(rt->bus, rt->settings);
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
answer(struct agent_runtime *rt, uint64_t id, int status, const char *text)
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
	bool post = request->method.len == 4 &&
	    memcmp(request->method.data, "POST", 4) == 0;
	GString *text;

	if (strcmp(path, "/healthz") == 0) {
		answer(rt, request->id, gauges.draining ? 503 : 200,
		    gauges.draining ? "leaving\n" : "ready\n");
	} else if (strcmp(path, "/metrics") == 0) {
		text = runtime_agent_metrics(mst_agent_counters(rt->agent),
		    &gauges, mst_bus_counters(rt->bus));
		metric_process(text, &rt->loop.lag);
		answer(rt, request->id, 200, text->str);
		g_string_free(text, TRUE);
	} else if (post && strcmp(path, "/v1/drain") == 0 &&
	    mst_operator_authenticate(rt->settings->operators,
		mst_http_header(request, "authorization"))) {
		answer(rt, request->id, 202, "draining\n");
		on_drain(rt);
	} else if (post && strcmp(path, "/v1/drain") == 0) {
		answer(rt, request->id, 401, "an operator is needed\n");
	} else {
		answer(rt, request->id, 404, "not found\n");
	}
	g_free(path);
}

static void
on_gone(uint64_t id, void *ctx)
{
}

static void
on_worker_answer(const struct mst_order_answer *answer, void *ctx)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_ORDERED, .answer = answer};

	agent_step(ctx, &event);
}

static void
on_report(struct mst_http_request *request, void *ctx)
{
	struct agent_runtime *rt = ctx;
	const struct worker_driver *port = rt->ports->worker;
	struct mst_worker_report report;
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_REPORT, .report = &report};
	const char *fault = NULL;
	void *internal;

	if (port->read_report(&report, &internal, &fault, request)) {
		agent_step(rt, &event);
		mst_http_respond(
		    rt->reports, request->id, 200, NULL, 0, "{}", 2);
	} else {
		mst_log(MST_LOG_WARNING, "report-refused", "fault=%s",
		    mst_log_quote(fault));
		mst_http_respond(
		    rt->reports, request->id, 400, NULL, 0, "{}", 2);
	}
	port->release_report(internal);
}

static void
on_store_answer(const struct mst_store_answer *answer, void *ctx)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_STORE, .store_answer = answer};

	agent_step(ctx, &event);
}

static void
records_open(struct agent_runtime *rt)
{
	const struct record_store_options options = {.loop = &rt->loop.uv,
	    .drivers = rt->ports,
	    .store = rt->store,
	    .on_answer = on_store_answer,
	    .ctx = rt};

	rt->records = record_store_new(&options);
}

static void
on_entries_news(const struct store_update *news, void *ctx)
{
	guint i;

	for (i = 0; i < news->added->len; i++)
		connect_entries(ctx, mst_bytes_from_str(news->added->pdata[i]));
}

static int
agent_worker_open(struct agent_runtime *rt, GError **error)
{
	const struct mst_worker_settings *settings = &rt->settings->worker;
	struct worker_driver_options worker = {.address = settings->address,
	    .now_us = runtime_now_us,
	    .on_answer = on_worker_answer,
	    .ctx = rt};
	struct mst_httpd_options reports = {.loop = &rt->loop.uv,
	    .listen = settings->report_listen,
	    .body_max_bytes = AGENT_REPORT_MAX,
	    .on_request = on_report,
	    .on_disconnect = on_gone,
	    .ctx = rt};

	if (mst_httpd_new(&rt->reports, &reports, error) < 0)
		return -1;
	rt->caller =
	    mst_http_client_new(&rt->loop.uv, AGENT_WORKER_CONNECTIONS);
	worker.http_client = rt->caller;
	rt->worker = rt->ports->worker->open(&worker);
	if (rt->settings->store == NULL)
		return 0;
	rt->store_caller = mst_http_client_new(&rt->loop.uv, 0);
	rt->store =
	    rt->ports->store->open(rt->store_caller, rt->settings->store);
	records_open(rt);
	rt->entries_watch = (struct store_watch){.driver = rt->ports->store,
	    .store = rt->store,
	    .subject = STORE_ENTRIES,
	    .wait_ms = AGENT_WATCH_MS,
	    .on_update = on_entries_news,
	    .ctx = rt};
	store_watch_start(&rt->entries_watch, &rt->loop.uv);
	return 0;
}

static void
options_set_leased(
    struct mst_agent_options *options, const struct mst_settings *settings)
{
	struct mst_lease_times times = mst_settings_lease_times(settings);

	mst_agent_options_lease(options, &times);
	options->stored_jobs = settings->store != NULL;
}

static int
agent_open(struct agent_runtime *rt, GError **error)
{
	const struct mst_settings *settings = rt->settings;
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	struct mst_bus_options bus = {.loop = &rt->loop.uv,
	    .curve = settings->curve,
	    .on_message = on_message,
	    .ctx = rt};
	struct mst_httpd_options http = {.loop = &rt->loop.uv,
	    .listen = settings->http_listen,
	    .body_max_bytes = AGENT_HTTP_MAX,
	    .on_request = on_request,
	    .on_disconnect = on_gone,
	    .ctx = rt};
	struct mst_upstream_options upstream = {.loop = &rt->loop.uv,
	    .address = settings->upstream.address,
	    .connections = settings->upstream.connections,
	    .result_max_bytes = settings->upstream.result_max_bytes,
	    .on_done = on_call_done,
	    .ctx = rt};

	options.incarnation = mst_random_u64();
	options.name = settings->name;
	options.failure_domain = settings->failure_domain;
	options.rack = settings->rack;
	options.slots = settings->upstream.slots;
	options.connections = settings->upstream.connections;
	options.resources = settings->resources;
	if (settings->worker.address != NULL) {
		options_set_leased(&options, settings);
		bus.announce_idle_us = options.leases.entry_silence_us;
	}
	mst_agent_new(&rt->agent, &options);
	if (settings->upstream.address != NULL)
		mst_upstream_new(&rt->upstream, &upstream);
	if (mst_bus_new(&rt->bus, &bus, error) < 0 ||
	    mst_httpd_new(&rt->httpd, &http, error) < 0)
		return -1;
	if (mst_bus_connect_entries(rt->bus, settings, error) < 0)
		return -1;
	if (settings->worker.address != NULL &&
	    agent_worker_open(rt, error) < 0)
		return -1;
	runtime_loop_start(&rt->loop);
	connect_entries(rt, (struct mst_bytes){0});
	mst_log(MST_LOG_INFO, "started",
	    "incarnation=%016" PRIx64 " upstream=%s", options.incarnation,
	    settings->upstream.address ? settings->upstream.address
				       : settings->worker.address);
	return 0;
}

int
mst_agentd_run(const struct mst_settings *settings,
    const struct mst_drivers *ports, GError **error)
{
	static const struct runtime_loop_callbacks callbacks = {
	    .on_tick = on_tick,
	    .on_flush = on_flush,
	    .on_drain = on_drain,
	    .on_reload = on_reload};
	struct agent_runtime *rt = g_new0(struct agent_runtime, 1);
	int rc;

	rt->settings = settings;
	rt->ports = ports;
	runtime_loop_init(&rt->loop, &callbacks, rt);
	rc = agent_open(rt, error);
	if (rc == 0) {
		uv_run(&rt->loop.uv, UV_RUN_DEFAULT);
		mst_bus_close(rt->bus);
		uv_run(&rt->loop.uv, UV_RUN_NOWAIT);
		mst_bus_free(rt->bus);
		mst_agent_free(rt->agent);
	}
	g_free(rt->addresses);
	return rc;
}
