#include "runtime/trace.h"

#include <cjson/cJSON.h>
#include <inttypes.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/random.h"

#define TRACE_COUNT_MAX            1000
#define TRACE_SPANS_PER_TRACE_MAX  2048
#define TRACE_EXPORT_SPANS_MAX     4096
#define TRACE_EXPORT_TIMEOUT_MS    5000
#define TRACEPARENT_LEN            55
#define TRACE_ID_LEN               32
#define SPAN_ID_LEN                16
#define TRACEPARENT_SAMPLED_OFFSET 54 /* digit with the sampled flag */

struct span_record {
	char trace_id[TRACE_ID_LEN + 1];
	char span_id[SPAN_ID_LEN + 1];
	char parent_id[SPAN_ID_LEN + 1];
	const char *name;
	int64_t start_us;
	int64_t end_us;
	int64_t task;   /* task index; -1: span of the job */
	uint64_t agent; /* incarnation; 0: none */
	char outcome[24];
};

struct trace {
	char id[TRACE_ID_LEN + 1];
	GArray *spans; /* struct span_record */
};

struct trace_store {
	struct mst_http_client *http_client;
	const struct mst_trace_settings *settings;
	char *service;
	GHashTable *traces;     /* id -> struct trace */
	GQueue trace_ids;       /* ids in traces, oldest first */
	GArray *export_queue;   /* struct span_record */
	int64_t wall_offset_us; /* time of day minus that of the runtime */
};

static void
trace_free(struct trace *trace)
{
	g_array_unref(trace->spans);
	g_free(trace);
}

struct trace_store *
trace_store_new(struct mst_http_client *http_client,
    const struct mst_trace_settings *settings, const char *service)
{
	struct trace_store *store = g_new0(struct trace_store, 1);

	store->http_client = http_client;
	store->settings = settings;
	store->service = g_strdup(service);
	store->traces = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)trace_free);
	store->export_queue =
	    g_array_new(FALSE, TRUE, sizeof(struct span_record));
	store->wall_offset_us = g_get_real_time() - mst_clock_us();
	return store;
}

void
trace_store_free(struct trace_store *store)
{
	if (store == NULL)
		return;
	g_queue_clear(&store->trace_ids);
	g_hash_table_unref(store->traces);
	g_array_unref(store->export_queue);
	g_free(store->service);
	g_free(store);
}

static bool
is_valid_traceparent(struct mst_bytes text)
{
	size_t i;

	/* Version, trace id, parent id and flags, separated by hyphens. */
	if (text.len != TRACEPARENT_LEN || text.data[2] != '-' ||
	    text.data[35] != '-' || text.data[52] != '-')
		return false;
	for (i = 0; i < text.len; i++) {
		if (i == 2 || i == 35 || i == 52)
			continue;
		if (!g_ascii_isxdigit(text.data[i]) ||
		    g_ascii_isupper(text.data[i]))
			return false;
	}
	return memcmp(text.data, "ff", 2) != 0;
}

char *
trace_make_traceparent(struct trace_store *store, struct mst_bytes traceparent)
{
	double sample_draw =
	    (double)(mst_random_u64() >> 11) / (double)(1ULL << 53);

	if (is_valid_traceparent(traceparent))
		return g_strdup_printf("00-%.32s-%016" PRIx64 "-%.2s",
		    traceparent.data + 3, mst_random_u64(),
		    traceparent.data + 53);
	return g_strdup_printf("00-%016" PRIx64 "%016" PRIx64 "-%016" PRIx64
			       "-%s",
	    mst_random_u64(), mst_random_u64(), mst_random_u64(),
	    sample_draw < store->settings->sample ? "01" : "00");
}

static bool
is_sampled_job(const struct mst_job_view *job)
{
	return job->traceparent.len == TRACEPARENT_LEN &&
	    (g_ascii_xdigit_value(
		 job->traceparent.data[TRACEPARENT_SAMPLED_OFFSET]) &
		1) != 0;
}

static struct trace *
trace_get_or_create(struct trace_store *store, const char *id)
{
	struct trace *trace = g_hash_table_lookup(store->traces, id);

	if (trace != NULL)
		return trace;
	if (store->trace_ids.length >= TRACE_COUNT_MAX)
		g_hash_table_remove(
		    store->traces, g_queue_pop_head(&store->trace_ids));
	trace = g_new0(struct trace, 1);
	g_strlcpy(trace->id, id, sizeof(trace->id));
	trace->spans = g_array_new(FALSE, TRUE, sizeof(struct span_record));
	g_hash_table_insert(store->traces, trace->id, trace);
	g_queue_push_tail(&store->trace_ids, trace->id);
	return trace;
}

static void
add_span(struct trace_store *store, const struct mst_job_view *job,
    struct span_record span)
{
	struct trace *trace;

	g_strlcpy(
	    span.trace_id, job->traceparent.data + 3, sizeof(span.trace_id));
	if (span.span_id[0] == '\0')
		g_snprintf(span.span_id, sizeof(span.span_id), "%016" PRIx64,
		    mst_random_u64());
	trace = trace_get_or_create(store, span.trace_id);
	if (trace->spans->len < TRACE_SPANS_PER_TRACE_MAX)
		g_array_append_val(trace->spans, span);
	if (store->settings->otlp_endpoint != NULL &&
	    store->export_queue->len < TRACE_EXPORT_SPANS_MAX)
		g_array_append_val(store->export_queue, span);
}

void
trace_record_task(struct trace_store *store, const struct mst_job_view *job,
    const struct mst_task_view *task, uint32_t index, uint64_t agent)
{
	struct span_record span = {.task = index, .agent = agent};
	int64_t started_us;

	if (!is_sampled_job(job))
		return;
	g_strlcpy(
	    span.parent_id, job->traceparent.data + 36, sizeof(span.parent_id));
	g_strlcpy(span.outcome, mst_outcome_name(task->outcome),
	    sizeof(span.outcome));
	span.name = "queue";
	span.start_us = job->submitted_us;
	span.end_us = task->sent_us ? task->sent_us : task->closed_us;
	add_span(store, job, span);
	if (task->sent_us == 0)
		return;
	span.name = "dispatch";
	span.start_us = task->sent_us;
	span.end_us = task->closed_us;
	add_span(store, job, span);
	if (task->outcome != MST_OUTCOME_DONE)
		return;
	/*
	 * The time that the agent does not account for was spent on the
	 * network; half of it is attributed to each direction.
	 */
	started_us = task->sent_us + task->queue_us +
	    (task->closed_us - task->sent_us - task->queue_us -
		task->service_us) /
		2;
	span.name = "agent-queue";
	span.start_us = started_us - task->queue_us;
	span.end_us = started_us;
	add_span(store, job, span);
	span.name = "upstream";
	span.start_us = started_us;
	span.end_us = started_us + task->service_us;
	add_span(store, job, span);
}

void
trace_record_job(struct trace_store *store, const struct mst_job_view *job)
{
	struct span_record span = {.name = "job",
	    .task = -1,
	    .start_us = job->submitted_us,
	    .end_us = job->closed_us};

	if (!is_sampled_job(job))
		return;
	g_strlcpy(
	    span.span_id, job->traceparent.data + 36, sizeof(span.span_id));
	g_strlcpy(span.outcome,
	    job->state == MST_JOB_COMPLETE ? "complete" : "failed",
	    sizeof(span.outcome));
	add_span(store, job, span);
}

static void
add_attribute(cJSON *list, const char *key, const char *value)
{
	cJSON *item = cJSON_CreateObject();

	cJSON_AddStringToObject(item, "key", key);
	cJSON_AddStringToObject(
	    cJSON_AddObjectToObject(item, "value"), "stringValue", value);
	cJSON_AddItemToArray(list, item);
}

static void
add_timestamp(const struct trace_store *store, cJSON *out, const char *key,
    int64_t time_us)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%" PRId64 "000",
	    time_us + store->wall_offset_us);
	cJSON_AddStringToObject(out, key, text);
}

static cJSON *
span_to_json(const struct trace_store *store, const struct span_record *span)
{
	cJSON *out = cJSON_CreateObject();
	cJSON *attributes;
	char text[32];

	cJSON_AddStringToObject(out, "traceId", span->trace_id);
	cJSON_AddStringToObject(out, "spanId", span->span_id);
	if (span->parent_id[0] != '\0')
		cJSON_AddStringToObject(out, "parentSpanId", span->parent_id);
	cJSON_AddStringToObject(out, "name", span->name);
	add_timestamp(store, out, "startTimeUnixNano", span->start_us);
	add_timestamp(store, out, "endTimeUnixNano", span->end_us);
	attributes = cJSON_AddArrayToObject(out, "attributes");
	add_attribute(attributes, "outcome", span->outcome);
	if (span->task >= 0) {
		g_snprintf(text, sizeof(text), "%" PRId64, span->task);
		add_attribute(attributes, "task", text);
	}
	if (span->agent != 0) {
		g_snprintf(text, sizeof(text), "%016" PRIx64, span->agent);
		add_attribute(attributes, "agent", text);
	}
	return out;
}

static char *
spans_to_json(const struct trace_store *store, const GArray *spans)
{
	cJSON *out = cJSON_CreateObject();
	cJSON *resources = cJSON_AddArrayToObject(out, "resourceSpans");
	cJSON *resource = cJSON_CreateObject();
	cJSON *scopes, *scope, *span_list;
	char *text, *copy;
	guint i;

	cJSON_AddItemToArray(resources, resource);
	add_attribute(
	    cJSON_AddArrayToObject(
		cJSON_AddObjectToObject(resource, "resource"), "attributes"),
	    "service.name", store->service);
	scopes = cJSON_AddArrayToObject(resource, "scopeSpans");
	scope = cJSON_CreateObject();
	cJSON_AddItemToArray(scopes, scope);
	span_list = cJSON_AddArrayToObject(scope, "spans");
	for (i = 0; i < spans->len; i++)
		cJSON_AddItemToArray(span_list,
		    span_to_json(
			store, &g_array_index(spans, struct span_record, i)));
	text = cJSON_PrintUnformatted(out);
	copy = g_strdup(text);
	cJSON_free(text);
	cJSON_Delete(out);
	return copy;
}

static void
on_exported(int status, const char *body, size_t len, void *ctx)
{
}

void
trace_export(struct trace_store *store)
{
	const char *const headers[] = {"Content-Type: application/json", NULL};
	struct mst_http_call call = {.url = store->settings->otlp_endpoint,
	    .method = "POST",
	    .headers = headers,
	    .timeout_ms = TRACE_EXPORT_TIMEOUT_MS,
	    .on_done = on_exported};
	char *text;

	if (store->export_queue->len == 0)
		return;
	text = spans_to_json(store, store->export_queue);
	call.body = text;
	mst_http_client_send(store->http_client, &call);
	g_array_set_size(store->export_queue, 0);
	g_free(text);
}

char *
trace_json(const struct trace_store *store, const char *trace_id)
{
	const struct trace *trace =
	    g_hash_table_lookup(store->traces, trace_id);

	return trace != NULL ? spans_to_json(store, trace->spans) : NULL;
}
