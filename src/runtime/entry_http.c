/* HTTP interface of an entry: routing, jobs, forwards between entries. */

#include <cjson/cJSON.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "api/job_json.h"
#include "api/problem.h"
#include "base/log.h"
#include "runtime/builds.h"
#include "runtime/entry_runtime.h"
#include "runtime/metrics.h"
#include "runtime/operators.h"

#define JSON_TYPE              "application/json"
#define PASSTHROUGH_PREFIX     "/upstream"
#define DRAINS_PATH            "/v1/drains"
#define PASSTHROUGH_TIMEOUT_MS 30000

static bool
has_prefix(struct mst_bytes bytes, const char *prefix)
{
	return bytes.len >= strlen(prefix) &&
	    memcmp(bytes.data, prefix, strlen(prefix)) == 0;
}

static struct mst_bytes
bytes_skip(struct mst_bytes bytes, size_t count)
{
	return (struct mst_bytes){
	    .data = bytes.data + count, .len = bytes.len - count};
}

void
runtime_respond_refusal(struct entry_runtime *rt,
    struct pending_request *pending, const struct mst_entry_effect *effect)
{
	struct mst_problem problem;
	char *text;

	if (pending->from_frontend) {
		runtime_frontend_respond_refusal(rt, pending, effect);
		return;
	}
	problem = mst_problem_from_refusal(effect);
	text = mst_problem_json(&problem);

	runtime_respond(rt, pending, problem.status, MST_PROBLEM_TYPE, text,
	    strlen(text), problem.retry_after_s);
	g_free(text);
}

static int
failed_job_status(const struct mst_job_view *view)
{
	switch (view->reason) {
	case MST_REASON_DEADLINE:
		return 504;
	case MST_REASON_CANCELLED:
		return 409;
	case MST_REASON_NO_FIT:
		return 422;
	case MST_REASON_FENCED:
	case MST_REASON_HISTORY_LOST:
		return 503;
	default:
		return 502;
	}
}

/* Responds to a passthrough request with the upstream's response. */
static void
respond_passthrough(
    struct entry_runtime *rt, struct pending_request *pending, uint64_t job)
{
	struct mst_task_view task;
	char *type;

	mst_entry_task(&task, rt->entry, job, 0);
	type = mst_bytes_to_str(task.content_type);
	runtime_respond(rt, pending, task.status,
	    *type ? type : "application/octet-stream", task.body.data,
	    task.body.len, 0);
	g_free(type);
}

void
runtime_respond_job(
    struct entry_runtime *rt, struct pending_request *pending, uint64_t job)
{
	struct mst_job_view view;
	struct mst_task_view task;
	char ticket[MST_TICKET_TEXT];
	char *text;
	int status = 200;

	if (mst_entry_job(&view, rt->entry, job) < 0)
		return;
	if (view.state != MST_JOB_OPEN)
		trace_record_job(rt->traces, &view);
	if (pending->from_frontend) {
		runtime_frontend_respond_job(rt, pending, &view, job);
		return;
	}
	mst_entry_task(&task, rt->entry, job, 0);
	if (pending->passthrough && view.state != MST_JOB_OPEN &&
	    task.outcome == MST_OUTCOME_DONE) {
		respond_passthrough(rt, pending, job);
		return;
	}
	mst_ticket_format(ticket, &view.ticket);
	if (pending->ticket == NULL)
		pending->ticket = g_strdup(ticket);
	if (view.state == MST_JOB_OPEN)
		status = 202;
	else if (view.state == MST_JOB_FAILED)
		status = failed_job_status(&view);
	text = mst_job_format_json(rt->entry, job);
	runtime_respond(rt, pending, status, JSON_TYPE, text, strlen(text),
	    view.state == MST_JOB_OPEN ? 1 : 0);
	g_free(text);
}

/* Submits a parsed job to the reducer. */
static void
submit_job(struct entry_runtime *rt, struct pending_request *pending,
    struct mst_job_request *request, bool detach)
{
	struct mst_job_spec *spec = mst_job_request_spec(request);
	struct mst_entry_event event = {.type = MST_ENTRY_EV_SUBMIT,
	    .request = pending->id,
	    .spec = spec,
	    .detach = detach};

	if (pending->ticket != NULL)
		mst_ticket_parse(
		    &spec->ticket, mst_bytes_from_str(pending->ticket));
	spec->traceparent = mst_bytes_from_str(pending->traceparent);
	rt->step(rt, &event);
}

static void
respond_invalid_job(struct entry_runtime *rt, struct pending_request *pending,
    const GError *error)
{
	struct mst_problem problem = {
	    .status = g_error_matches(
			  error, MST_JOB_JSON_ERROR, MST_JOB_JSON_ERROR_SYNTAX)
		? 400
		: 422,
	    .type = "invalid-job",
	    .title = "The job is malformed",
	    .detail = error->message,
	    .ran = "none"};
	char *text = mst_problem_json(&problem);

	runtime_respond(rt, pending, problem.status, MST_PROBLEM_TYPE, text,
	    strlen(text), 0);
	g_free(text);
}

static void
parse_and_submit_job(
    struct entry_runtime *rt, struct pending_request *pending, bool detach)
{
	struct mst_job_request *request;
	GError *error = NULL;

	if (mst_job_request_parse(&request, pending->body, &error) < 0) {
		respond_invalid_job(rt, pending, error);
		g_clear_error(&error);
		return;
	}
	submit_job(rt, pending, request, detach);
	mst_job_request_free(request);
}

/*
 * Parses the ticket in an Idempotency-Key header, with or without quotes, into
 * pending. Returns false if it is malformed; a missing header is valid.
 */
static bool
parse_idempotency_key(struct pending_request *pending, struct mst_bytes key)
{
	struct mst_ticket ticket;

	if (key.len >= 2 && key.data[0] == '"' && key.data[key.len - 1] == '"')
		key = (struct mst_bytes){
		    .data = key.data + 1, .len = key.len - 2};
	if (key.len == 0)
		return true;
	if (mst_ticket_parse(&ticket, key) < 0)
		return false;
	pending->ticket = mst_bytes_to_str(key);
	return true;
}

static const struct mst_problem problem_bad_ticket = {.status = 400,
    .type = "bad-key",
    .title = "The key is not a ticket of this service",
    .ran = "none"};

static void
on_submit(struct entry_runtime *rt, const struct mst_http_request *request)
{
	struct pending_request *pending = pending_request_new(rt, request->id);
	struct mst_bytes prefer = mst_http_header(request, "prefer");

	pending->body = request->body;
	pending->traceparent = trace_make_traceparent(
	    rt->traces, mst_http_header(request, "traceparent"));
	if (!parse_idempotency_key(
		pending, mst_http_header(request, "idempotency-key"))) {
		g_hash_table_remove(
		    rt->pending_requests, (gpointer)request->id);
		runtime_respond_problem(rt, request->id, &problem_bad_ticket);
		return;
	}
	parse_and_submit_job(rt, pending,
	    prefer.len > 0 &&
		g_strstr_len(
		    prefer.data, (gssize)prefer.len, "respond-async") != NULL);
}

static void
on_passthrough(struct entry_runtime *rt, const struct mst_http_request *request)
{
	struct pending_request *pending = pending_request_new(rt, request->id);
	struct mst_bytes team = mst_http_header(request, "masticstall-team");
	struct mst_bytes path = request->path;
	struct mst_job_request *job;
	char *team_name = team.len ? g_strndup(team.data, MIN(team.len, 64))
				   : g_strdup("default");

	path = bytes_skip(path, strlen(PASSTHROUGH_PREFIX));
	/* The query follows the path in the same buffer, after the "?". */
	if (request->query.len > 0)
		path.len += 1 + request->query.len;
	if (path.len == 0)
		path = mst_bytes_from_str("/");
	pending->passthrough = true;
	pending->traceparent = trace_make_traceparent(
	    rt->traces, mst_http_header(request, "traceparent"));
	job = mst_job_request_from_http(team_name, request->method, path,
	    mst_http_header(request, "content-type"), request->body,
	    PASSTHROUGH_TIMEOUT_MS);
	submit_job(rt, pending, job, false);
	mst_job_request_free(job);
	g_free(team_name);
}

static void
on_issue_ticket(
    struct entry_runtime *rt, const struct mst_http_request *request)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_TICKET, .request = request->id};

	pending_request_new(rt, request->id);
	rt->step(rt, &event);
}

static void
on_job(struct entry_runtime *rt, const struct mst_http_request *request,
    struct mst_bytes name)
{
	struct mst_entry_event event = {.request = request->id};
	struct pending_request *pending;
	struct mst_ticket ticket;

	if (mst_ticket_parse(&ticket, name) < 0) {
		runtime_respond_problem(rt, request->id, &problem_bad_ticket);
		return;
	}
	pending = pending_request_new(rt, request->id);
	pending->ticket = mst_bytes_to_str(name);
	event.job = ticket.job;
	event.poll = !mst_bytes_equal_str(request->query, "wait");
	pending->forward_kind =
	    event.poll ? MST_FORWARD_POLL : MST_FORWARD_WAIT;
	event.type = mst_bytes_equal_str(request->method, "DELETE")
	    ? MST_ENTRY_EV_CANCEL
	    : MST_ENTRY_EV_WAIT;
	rt->step(rt, &event);
}

static const struct mst_problem problem_no_versions = {.status = 409,
    .type = "config-by-platform",
    .title = "The configuration is set by the platform's operator",
    .detail = "this deployment keeps no versions of its own"};

static void
on_history(struct entry_runtime *rt, const struct mst_http_request *request)
{
	if (rt->table == NULL)
		runtime_respond_problem(rt, request->id, &problem_no_versions);
	else
		runtime_config_history(rt, request);
}

static void
on_config(struct entry_runtime *rt, const struct mst_http_request *request)
{
	static const struct mst_problem problem_not_operator = {.status = 401,
	    .type = "not-an-operator",
	    .title = "An operator's token is needed"};
	const char *document = mst_entry_document(rt->entry);
	const char *operator_name;
	cJSON *out;
	char *text;

	if (mst_bytes_equal_str(request->method, "PATCH") &&
	    rt->table == NULL) {
		runtime_respond_problem(rt, request->id, &problem_no_versions);
		return;
	}
	if (mst_bytes_equal_str(request->method, "PATCH")) {
		operator_name =
		    mst_operator_authenticate(rt->settings->operators,
			mst_http_header(request, "authorization"));
		if (operator_name == NULL)
			runtime_respond_problem(
			    rt, request->id, &problem_not_operator);
		else
			runtime_config_patch(rt, request, operator_name);
		return;
	}
	out = cJSON_CreateObject();
	cJSON_AddNumberToObject(
	    out, "version", (double)mst_entry_gauges(rt->entry).config_version);
	cJSON_AddRawToObject(out, "document", document ? document : "{}");
	text = cJSON_PrintUnformatted(out);
	runtime_respond_text(rt, request->id, 200, JSON_TYPE, text);
	cJSON_free(text);
	cJSON_Delete(out);
}

static void
on_members(struct entry_runtime *rt, const struct mst_http_request *request)
{
	GArray *members = mst_entry_members(rt->entry);
	cJSON *out = cJSON_CreateObject();
	cJSON *member_list = cJSON_AddArrayToObject(out, "members");
	char id[24];
	char *text;
	guint i;

	for (i = 0; i < members->len; i++) {
		const struct mst_member_view *view =
		    &g_array_index(members, struct mst_member_view, i);
		cJSON *item = cJSON_CreateObject();

		g_snprintf(id, sizeof(id), "%016" PRIx64, view->incarnation);
		cJSON_AddStringToObject(item, "incarnation", id);
		cJSON_AddStringToObject(item, "name", view->name);
		cJSON_AddStringToObject(
		    item, "failure_domain", view->failure_domain);
		cJSON_AddStringToObject(item, "rack", view->rack);
		cJSON_AddStringToObject(item, "state", view->state);
		cJSON_AddNumberToObject(item, "slots", view->slots);
		cJSON_AddNumberToObject(item, "grant", view->grant);
		cJSON_AddNumberToObject(item, "outstanding", view->outstanding);
		cJSON_AddNumberToObject(item, "slowness", view->slowness);
		cJSON_AddNumberToObject(
		    item, "config_version", (double)view->config_version);
		cJSON_AddStringToObject(item, "version", view->version);
		cJSON_AddItemToArray(member_list, item);
	}
	text = cJSON_PrintUnformatted(out);
	runtime_respond_text(rt, request->id, 200, JSON_TYPE, text);
	cJSON_free(text);
	cJSON_Delete(out);
	g_array_unref(members);
}

static void
on_trace(struct entry_runtime *rt, const struct mst_http_request *request,
    struct mst_bytes name)
{
	static const struct mst_problem problem_unknown_trace = {.status = 404,
	    .type = "unknown-trace",
	    .title = "No spans of this trace are kept"};
	char *id = mst_bytes_to_str(name);
	char *text = trace_json(rt->traces, id);

	if (text == NULL)
		runtime_respond_problem(
		    rt, request->id, &problem_unknown_trace);
	else
		runtime_respond_text(rt, request->id, 200, JSON_TYPE, text);
	g_free(text);
	g_free(id);
}

static void
on_health(struct entry_runtime *rt, const struct mst_http_request *request)
{
	struct mst_entry_gauges gauges = mst_entry_gauges(rt->entry);

	if (gauges.ready)
		runtime_respond_text(
		    rt, request->id, 200, "text/plain", "ready\n");
	else
		runtime_respond_text(rt, request->id, 503, "text/plain",
		    gauges.draining ? "leaving\n" : "not ready\n");
}

static double
config_age_s(const struct entry_runtime *rt)
{
	return rt->config_applied_us == 0
	    ? 0
	    : (double)(runtime_now_us() - rt->config_applied_us) /
		G_USEC_PER_SEC;
}

static void
on_metrics(struct entry_runtime *rt, const struct mst_http_request *request)
{
	const struct mst_entry_gauges gauges = mst_entry_gauges(rt->entry);
	const struct frontend_figures frontend = {.job_times = rt->job_times,
	    .config_failures = rt->config_watch.failures,
	    .entries_failures = rt->entries_watch.failures,
	    .config_age_s = config_age_s(rt)};
	GArray *domains = runtime_domains(rt);
	uint32_t tasks_withheld[MST_PREFERENCE_MAX];
	const struct entry_figures figures = {
	    .counters = mst_entry_counters(rt->entry),
	    .gauges = &gauges,
	    .tasks_withheld = tasks_withheld,
	    .domains = domains,
	    .bus = mst_bus_counters(rt->bus),
	    .loop_lag = &rt->loop.lag,
	    .http_guard = rt->http_guard,
	    .loop_load = &rt->loop.load,
	    .event_us = rt->event_us,
	    .frontend = rt->frontend_httpd != NULL ? &frontend : NULL,
	    .table = rt->table != NULL ? mst_table_counters(rt->table) : NULL};
	GString *text;
	GArray *builds = mst_entry_builds(rt->entry);

	mst_entry_count_withheld(tasks_withheld, rt->entry);
	text = metrics_format_entry(&figures);
	builds_add_metrics(text, builds);

	runtime_respond_text(rt, request->id, 200,
	    "text/plain; version=0.0.4; charset=utf-8", text->str);
	g_string_free(text, TRUE);
	g_array_unref(builds);
	g_array_unref(domains);
}

void
runtime_on_request(struct mst_http_request *request, void *ctx)
{
	static const struct mst_problem problem_not_found = {.status = 404,
	    .type = "not-found",
	    .title = "There is nothing at this path"};
	struct entry_runtime *rt = ctx;
	struct mst_bytes path = request->path;
	bool is_post = mst_bytes_equal_str(request->method, "POST");

	if (has_prefix(path, PASSTHROUGH_PREFIX "/") ||
	    mst_bytes_equal_str(path, PASSTHROUGH_PREFIX))
		on_passthrough(rt, request);
	else if (is_post && mst_bytes_equal_str(path, "/v1/jobs"))
		on_submit(rt, request);
	else if (is_post && mst_bytes_equal_str(path, "/v1/tickets"))
		on_issue_ticket(rt, request);
	else if (has_prefix(path, "/v1/jobs/"))
		on_job(rt, request, bytes_skip(path, 9));
	else if (mst_bytes_equal_str(path, "/v1/config"))
		on_config(rt, request);
	else if (mst_bytes_equal_str(path, "/v1/config/history"))
		on_history(rt, request);
	else if (mst_bytes_equal_str(path, DRAINS_PATH) ||
	    has_prefix(path, DRAINS_PATH "/"))
		runtime_on_drains_request(
		    rt, request, bytes_skip(path, strlen(DRAINS_PATH)));
	else if (mst_bytes_equal_str(path, "/v1/members"))
		on_members(rt, request);
	else if (has_prefix(path, "/v1/traces/"))
		on_trace(rt, request, bytes_skip(path, 11));
	else if (mst_bytes_equal_str(path, "/healthz"))
		on_health(rt, request);
	else if (mst_bytes_equal_str(path, "/metrics"))
		on_metrics(rt, request);
	else
		runtime_respond_problem(rt, request->id, &problem_not_found);
}

void
runtime_forward(
    struct entry_runtime *rt, struct pending_request *pending, uint64_t peer)
{
	struct mst_msg msg = {.type = MST_MSG_FORWARD,
	    .from = mst_entry_gauges(rt->entry).incarnation,
	    .to = peer};

	msg.forward.id = pending->id;
	msg.forward.kind = pending->forward_kind;
	msg.forward.ticket = mst_bytes_from_str(pending->ticket);
	msg.forward.body = pending->body;
	msg.forward.traceparent = mst_bytes_from_str(pending->traceparent);
	pending->forwarded_to = peer;
	mst_bus_send(rt->bus, &msg);
}

/* Forgets the body of a request that may still wait: the job has a copy. */
static void
forget_body(struct entry_runtime *rt, uint64_t id)
{
	struct pending_request *pending =
	    g_hash_table_lookup(rt->pending_requests, (gpointer)id);

	if (pending != NULL)
		pending->body = (struct mst_bytes){0};
}

void
runtime_on_forward(struct entry_runtime *rt, const struct mst_msg *msg)
{
	const struct mst_forward *forward = &msg->forward;
	uint64_t id = RUNTIME_FORWARDED_BIT | ++rt->last_forwarded_id;
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_WAIT, .request = id};
	struct mst_ticket ticket;
	struct pending_request *pending;

	if (mst_ticket_parse(&ticket, forward->ticket) < 0)
		return;
	pending = pending_request_new(rt, id);
	pending->origin_entry = msg->from;
	pending->origin_request_id = forward->id;
	pending->forward_kind = forward->kind;
	pending->ticket = mst_bytes_to_str(forward->ticket);
	pending->traceparent = mst_bytes_to_str(forward->traceparent);
	pending->body = forward->body;
	if (forward->kind == MST_FORWARD_SUBMIT) {
		parse_and_submit_job(rt, pending, false);
		forget_body(rt, id);
		return;
	}
	event.job = ticket.job;
	event.poll = forward->kind == MST_FORWARD_POLL;
	rt->step(rt, &event);
}

void
runtime_on_forward_reply(
    struct entry_runtime *rt, const struct mst_forwarded *reply)
{
	struct pending_request *pending =
	    g_hash_table_lookup(rt->pending_requests, (gpointer)reply->id);
	bool is_problem = reply->status >= 400 && reply->body.len > 0 &&
	    g_strstr_len(reply->body.data, (gssize)reply->body.len,
		"urn:masticstall:problem:") != NULL;

	if (pending == NULL)
		return;
	runtime_respond(rt, pending, (int)reply->status,
	    is_problem ? MST_PROBLEM_TYPE : JSON_TYPE, reply->body.data,
	    reply->body.len, reply->retry_after_s);
}
