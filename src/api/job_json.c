#include "api/job_json.h"

#include <cjson/cJSON.h>
#include <stddef.h>
#include <string.h>
#include <xxhash.h>

#include "api/json_size.h"
#include "settings/resources.h"
#include "settings/schema.h"

G_DEFINE_QUARK(mst_job_json_error, mst_job_json_error)

#define JOB_TEAM_MAX_BYTES         64
#define JOB_PATH_MAX_BYTES         4096
#define JOB_CONTENT_TYPE_MAX_BYTES 255
#define JOB_TIMEOUT_MAX_MS         3600000
#define JOB_DECLARED_MAX_MS        3600000
/* Of a job and its tasks, whose fields are fewer than 16 each. */
#define JOB_VALUES_MAX (MST_JOB_TASKS_MAX * 16)

struct task_fields {
	const char *method;
	const char *path;
	const char *content_type;
	const char *body;
	const char *body_base64;
	double declared_ms;
	bool idempotent;
	struct mst_resources needs;
};

struct mst_job_request {
	cJSON *json;
	struct mst_job_spec spec;
	GArray *tasks;             /* struct mst_task_spec */
	GPtrArray *decoded_bodies; /* bodies decoded from base64 */
	const char *team;
	uint32_t timeout_ms;
};

static const struct schema_field task_schema[] = {
    {.name = "method",
	.kind = SCHEMA_STRING,
	.offset = offsetof(struct task_fields, method),
	.min = 1,
	.max = 16},
    {.name = "path",
	.kind = SCHEMA_STRING,
	.offset = offsetof(struct task_fields, path),
	.min = 1,
	.max = JOB_PATH_MAX_BYTES,
	.required = true},
    {.name = "content_type",
	.kind = SCHEMA_STRING,
	.offset = offsetof(struct task_fields, content_type),
	.max = JOB_CONTENT_TYPE_MAX_BYTES},
    {.name = "body",
	.kind = SCHEMA_STRING,
	.offset = offsetof(struct task_fields, body),
	.max = MST_BODY_MAX_BYTES},
    {.name = "body_base64",
	.kind = SCHEMA_STRING,
	.offset = offsetof(struct task_fields, body_base64),
	.max = MST_BODY_MAX_BYTES * 1.5},
    {.name = "declared_ms",
	.kind = SCHEMA_NUMBER,
	.offset = offsetof(struct task_fields, declared_ms),
	.max = JOB_DECLARED_MAX_MS},
    {.name = "idempotent",
	.kind = SCHEMA_BOOL,
	.offset = offsetof(struct task_fields, idempotent)},
    {.name = "needs",
	.kind = SCHEMA_OBJECT,
	.offset = offsetof(struct task_fields, needs),
	.fields = schema_resource_fields},
    {0}};

static bool
is_visible_ascii(const char *text)
{
	for (; *text != '\0'; text++) {
		if (!g_ascii_isgraph(*text))
			return false;
	}
	return true;
}

static bool
is_header_value(const char *text)
{
	for (; *text != '\0'; text++) {
		if (!g_ascii_isprint(*text))
			return false;
	}
	return true;
}

static bool
is_http_method(const char *text)
{
	for (; *text != '\0'; text++) {
		if (!g_ascii_isupper(*text))
			return false;
	}
	return true;
}

static struct mst_bytes
decode_task_body(struct mst_job_request *request,
    const struct task_fields *fields, const char *pointer,
    struct schema_errors *errors)
{
	struct mst_bytes body = mst_bytes_from_str(fields->body);
	guchar *decoded;
	gsize len;

	if (fields->body_base64 == NULL)
		return body;
	if (fields->body != NULL)
		schema_add_error(errors, pointer, "has two bodies");
	decoded = g_base64_decode(fields->body_base64, &len);
	g_ptr_array_add(request->decoded_bodies, decoded);
	return (struct mst_bytes){.data = (const char *)decoded, .len = len};
}

static void
parse_task(struct mst_job_request *request, const cJSON *value,
    const char *pointer, struct schema_errors *errors)
{
	struct task_fields fields = {.method = "POST"};
	struct mst_task_spec spec;

	schema_read_object(&fields, value, task_schema, pointer, errors);
	if (!is_http_method(fields.method))
		schema_add_error(errors, pointer, "has a malformed method");
	if (fields.path != NULL &&
	    (fields.path[0] != '/' || !is_visible_ascii(fields.path)))
		schema_add_error(errors, pointer, "has a malformed path");
	if (fields.content_type != NULL &&
	    !is_header_value(fields.content_type))
		schema_add_error(
		    errors, pointer, "has a malformed content type");
	spec =
	    (struct mst_task_spec){.method = mst_bytes_from_str(fields.method),
		.path = mst_bytes_from_str(fields.path),
		.content_type = mst_bytes_from_str(fields.content_type),
		.body = decode_task_body(request, &fields, pointer, errors),
		.declared_us = (uint32_t)MIN(
		    fields.declared_ms * 1000, (double)UINT32_MAX),
		.flags = fields.idempotent ? MST_TASK_IDEMPOTENT : 0,
		.needs = fields.needs};
	g_array_append_val(request->tasks, spec);
}

static void
parse_tasks(void *out, const cJSON *value, const char *pointer,
    struct schema_errors *errors)
{
	struct mst_job_request *request = out;
	const cJSON *item;
	int count = cJSON_GetArraySize(value);
	char item_pointer[64];
	int i = 0;

	if (!cJSON_IsArray(value) || count < 1 || count > MST_JOB_TASKS_MAX) {
		schema_add_error(errors, pointer,
		    "is not an array of 1 to %d tasks", MST_JOB_TASKS_MAX);
		return;
	}
	cJSON_ArrayForEach (item, value) {
		g_snprintf(
		    item_pointer, sizeof(item_pointer), "%s/%d", pointer, i++);
		parse_task(request, item, item_pointer, errors);
	}
}

static const struct schema_field job_schema[] = {
    {.name = "team",
	.kind = SCHEMA_STRING,
	.offset = offsetof(struct mst_job_request, team),
	.min = 1,
	.max = JOB_TEAM_MAX_BYTES,
	.required = true},
    {.name = "timeout_ms",
	.kind = SCHEMA_UINT,
	.offset = offsetof(struct mst_job_request, timeout_ms),
	.min = 1,
	.max = JOB_TIMEOUT_MAX_MS},
    {.name = "tasks",
	.kind = SCHEMA_CUSTOM,
	.required = true,
	.custom = parse_tasks},
    {0}};

static struct mst_job_request *
request_new(void)
{
	struct mst_job_request *request = g_new0(struct mst_job_request, 1);

	request->tasks = g_array_new(FALSE, TRUE, sizeof(struct mst_task_spec));
	request->decoded_bodies = g_ptr_array_new_with_free_func(g_free);
	return request;
}

static void
request_fill_spec(struct mst_job_request *request)
{
	request->spec.team = request->team;
	request->spec.timeout_ms = request->timeout_ms;
	request->spec.count = request->tasks->len;
	request->spec.tasks =
	    (const struct mst_task_spec *)request->tasks->data;
}

int
mst_job_request_parse(
    struct mst_job_request **out, struct mst_bytes text, GError **error)
{
	struct schema_errors errors = {.text = g_string_new(NULL)};
	struct mst_job_request *request = request_new();
	int code = MST_JOB_JSON_ERROR_INVALID;
	int rc = -1;

	*out = NULL;
	if (!g_utf8_validate(text.data, (gssize)text.len, NULL))
		schema_add_error(&errors, "", "is not valid UTF-8");
	else if (!json_has_at_most(text.data, text.len, JOB_VALUES_MAX))
		schema_add_error(
		    &errors, "", "holds more than %d values", JOB_VALUES_MAX);
	else
		request->json = cJSON_ParseWithLength(text.data, text.len);
	if (errors.count > 0) {
		code = MST_JOB_JSON_ERROR_SYNTAX;
	} else if (request->json == NULL) {
		schema_add_error(&errors, "", "is not valid JSON");
		code = MST_JOB_JSON_ERROR_SYNTAX;
	} else {
		schema_read_object(
		    request, request->json, job_schema, "", &errors);
	}
	if (errors.count > 0) {
		g_set_error(
		    error, MST_JOB_JSON_ERROR, code, "%s", errors.text->str);
		goto cleanup;
	}
	request_fill_spec(request);
	request->spec.fingerprint = XXH64(text.data, text.len, 0);
	*out = request;
	request = NULL;
	rc = 0;
cleanup:
	mst_job_request_free(request);
	g_string_free(errors.text, TRUE);
	return rc;
}

struct mst_job_request *
mst_job_request_from_http(const char *team, struct mst_bytes method,
    struct mst_bytes path, struct mst_bytes content_type, struct mst_bytes body,
    uint32_t timeout_ms)
{
	struct mst_job_request *request = request_new();
	struct mst_task_spec spec = {.method = method,
	    .path = path,
	    .content_type = content_type,
	    .body = body};

	g_array_append_val(request->tasks, spec);
	request->team = team;
	request->timeout_ms = timeout_ms;
	request_fill_spec(request);
	request->spec.fingerprint = XXH64(body.data ? body.data : "", body.len,
	    XXH64(path.data, path.len, 0));
	return request;
}

void
mst_job_request_free(struct mst_job_request *request)
{
	if (request == NULL)
		return;
	cJSON_Delete(request->json);
	g_array_unref(request->tasks);
	g_ptr_array_unref(request->decoded_bodies);
	g_free(request);
}

struct mst_job_spec *
mst_job_request_spec(struct mst_job_request *request)
{
	return &request->spec;
}

static const char *
job_state_name(enum mst_job_state state)
{
	switch (state) {
	case MST_JOB_OPEN:
		return "open";
	case MST_JOB_COMPLETE:
		return "complete";
	case MST_JOB_FAILED:
		return "failed";
	}
	return "invalid";
}

static void
json_add_body(cJSON *out, struct mst_bytes body)
{
	char *text;

	if (g_utf8_validate(
		body.data ? body.data : "", (gssize)body.len, NULL)) {
		text = g_strndup(body.data ? body.data : "", body.len);
		cJSON_AddStringToObject(out, "body", text);
	} else {
		text = g_base64_encode((const guchar *)body.data, body.len);
		cJSON_AddStringToObject(out, "body_base64", text);
	}
	g_free(text);
}

static cJSON *
task_to_json(const struct mst_task_view *task, uint32_t index)
{
	cJSON *out = cJSON_CreateObject();
	char *content_type;

	cJSON_AddNumberToObject(out, "index", index);
	cJSON_AddStringToObject(
	    out, "outcome", mst_outcome_name(task->outcome));
	if (task->reason != MST_REASON_NONE)
		cJSON_AddStringToObject(
		    out, "reason", mst_reason_name(task->reason));
	if (task->outcome != MST_OUTCOME_DONE)
		return out;
	cJSON_AddNumberToObject(out, "status", task->status);
	if (task->content_type.len > 0) {
		content_type = mst_bytes_to_str(task->content_type);
		cJSON_AddStringToObject(out, "content_type", content_type);
		g_free(content_type);
	}
	json_add_body(out, task->body);
	return out;
}

char *
mst_job_format_json(const struct mst_entry *entry, uint64_t job)
{
	struct mst_job_view view;
	struct mst_task_view task;
	char ticket[MST_TICKET_TEXT];
	cJSON *out, *tasks;
	char *text, *copy;
	uint32_t i;

	if (mst_entry_job(&view, entry, job) < 0)
		return g_strdup("{}");
	mst_ticket_format(ticket, &view.ticket);
	out = cJSON_CreateObject();
	cJSON_AddStringToObject(out, "job", ticket);
	cJSON_AddStringToObject(out, "state", job_state_name(view.state));
	if (view.reason != MST_REASON_NONE)
		cJSON_AddStringToObject(
		    out, "reason", mst_reason_name(view.reason));
	cJSON_AddStringToObject(out, "team", view.team);
	cJSON_AddNumberToObject(out, "count", view.count);
	cJSON_AddNumberToObject(out, "open", view.open);
	cJSON_AddNumberToObject(out, "started", view.started);
	if (view.state != MST_JOB_OPEN) {
		cJSON_AddNumberToObject(out, "took_ms",
		    (double)(view.closed_us - view.submitted_us) / 1000);
		tasks = cJSON_AddArrayToObject(out, "tasks");
		for (i = 0; i < view.count; i++) {
			mst_entry_task(&task, entry, job, i);
			cJSON_AddItemToArray(tasks, task_to_json(&task, i));
		}
	}
	text = cJSON_PrintUnformatted(out);
	copy = g_strdup(text);
	cJSON_free(text);
	cJSON_Delete(out);
	return copy;
}
