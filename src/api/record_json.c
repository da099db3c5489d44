#include "api/record_json.h"

#include "api/json_extra.h"

#include <string.h>

#define OWNER_HEX_LEN  16
#define NAME_MAX_BYTES 255 /* of a queue or a service */
#define PRIORITY_MAX   1000000
#define ATTEMPTS_MAX   1000
#define TIMEOUT_MAX_MS 3600000
#define STRETCH_MAX    1000
/* Run numbers are made of the term and the attempts. */
#define RECORD_TERM_MAX (UINT32_MAX >> 11)
/* Member of a document that was read, which owns the text of the extra ones. */
#define EXTRA_NAME "extra"

static const char *const record_names[] = {
    "owner", "term", "change", "state", "tasks", "closed_ms", NULL};

static char *
print_and_delete(cJSON *json)
{
	char *text = cJSON_PrintUnformatted(json);

	cJSON_Delete(json);
	return text;
}

char *
record_json_write(const struct mst_record *record)
{
	cJSON *json = cJSON_CreateObject();
	cJSON *extra;
	char owner[OWNER_HEX_LEN + 1];

	/* JSON numbers are doubles, which can't hold every 64-bit value. */
	g_snprintf(
	    owner, sizeof(owner), "%016" G_GINT64_MODIFIER "x", record->owner);
	cJSON_AddStringToObject(json, "owner", owner);
	cJSON_AddNumberToObject(json, "term", record->term);
	cJSON_AddNumberToObject(json, "change", record->update_seq);
	cJSON_AddStringToObject(
	    json, "state", mst_record_state_name(record->state));
	cJSON_AddStringToObject(json, "tasks", record->tasks);
	if (record->closed_ms != 0)
		cJSON_AddNumberToObject(
		    json, "closed_ms", (double)record->closed_ms);
	if (record->extra != NULL) {
		extra = cJSON_Parse(record->extra);
		json_extra_copy(json, extra, record_names);
		cJSON_Delete(extra);
	}
	return print_and_delete(json);
}

static uint8_t
read_state(struct json_reader *reader)
{
	const char *name = json_read_text(reader, "state", 1, NAME_MAX_BYTES);
	int state;

	for (state = MST_RECORD_OPEN;
	     name != NULL && state <= MST_RECORD_CANCELLED; state++) {
		if (strcmp(name, mst_record_state_name(state)) == 0)
			return (uint8_t)state;
	}
	json_reader_set_fault(reader, INPUT_FAULT_NAME, "state");
	return 0;
}

static bool
parse_owner(uint64_t *out, const char *text)
{
	return g_ascii_string_to_unsigned(text, 16, 1, UINT64_MAX, out, NULL);
}

static uint64_t
read_owner(struct json_reader *reader)
{
	const char *text = json_read_text(reader, "owner", 1, OWNER_HEX_LEN);
	uint64_t owner = 0;

	if (text == NULL || !parse_owner(&owner, text))
		json_reader_set_fault(reader, INPUT_FAULT_NAME, "owner");
	return owner;
}

static const char *
read_tasks(struct json_reader *reader)
{
	const char *tasks =
	    json_read_optional_text(reader, "tasks", 0, MST_JOB_TASKS_MAX, "");
	const char *code;

	for (code = tasks; code != NULL && *code != '\0'; code++) {
		if (*code != MST_RECORD_DONE &&
		    (*code < MST_RECORD_NO_FAILURES ||
			*code >
			    MST_RECORD_NO_FAILURES + MST_RECORD_FAILURES_MAX))
			json_reader_set_fault(
			    reader, INPUT_FAULT_NAME, "tasks");
	}
	return tasks;
}

/* Returns the text of the members that this build doesn't know, which the
 * document owns, or NULL if there are none. */
static const char *
read_extra(cJSON *json)
{
	cJSON *extra = cJSON_CreateObject();
	char *text;

	json_extra_copy(extra, json, record_names);
	if (extra->child == NULL) {
		cJSON_Delete(extra);
		return NULL;
	}
	text = print_and_delete(extra);
	cJSON_DeleteItemFromObjectCaseSensitive(json, EXTRA_NAME);
	cJSON_AddStringToObject(json, EXTRA_NAME, text);
	cJSON_free(text);
	return cJSON_GetStringValue(
	    cJSON_GetObjectItemCaseSensitive(json, EXTRA_NAME));
}

cJSON *
record_json_read(
    struct mst_record *out, struct input_fault *fault, const char *text)
{
	cJSON *json = json_parse(fault, text, strlen(text));
	struct json_reader reader = {.json = json};

	*out = (struct mst_record){0};
	if (json == NULL)
		return NULL;
	out->owner = read_owner(&reader);
	out->term = (uint32_t)json_read_optional_integer(
	    &reader, "term", 0, RECORD_TERM_MAX, 0);
	out->update_seq = (uint32_t)json_read_optional_integer(
	    &reader, "change", 0, UINT32_MAX, 0);
	out->state = read_state(&reader);
	out->tasks = read_tasks(&reader);
	out->closed_ms = (int64_t)json_read_optional_integer(
	    &reader, "closed_ms", 0, JSON_INTEGER_MAX, 0);
	*fault = reader.fault;
	if (fault->kind != 0) {
		cJSON_Delete(json);
		return NULL;
	}
	out->extra = read_extra(json);
	return json;
}

bool
owner_key_parse(uint64_t *out, const char *key)
{
	return strlen(key) == OWNER_HEX_LEN && parse_owner(out, key);
}

char *
owner_json_write(
    const struct mst_queue_length *lengths, uint32_t count, bool released)
{
	cJSON *json = cJSON_CreateObject();
	cJSON *queues = cJSON_AddObjectToObject(json, "queues");
	uint32_t i;

	for (i = 0; i < count; i++)
		cJSON_AddNumberToObject(
		    queues, lengths[i].queue, lengths[i].jobs);
	if (released)
		cJSON_AddTrueToObject(json, "released");
	return print_and_delete(json);
}

/* Appends the length of a queue, unless it has a fault. */
static void
add_length(GArray *out, const cJSON *queues, const char *queue)
{
	struct json_reader reader = {.json = queues};
	const struct mst_queue_length length = {.queue = queue,
	    .jobs = (uint32_t)json_read_integer(&reader, queue, 0, UINT32_MAX)};

	reader.fault.field = "queues"; /* the name belongs to the document */
	if (reader.fault.kind == 0)
		g_array_append_val(out, length);
	else
		input_fault_report(INPUT_OWNER, queue, &reader.fault);
}

cJSON *
owner_json_read(
    GArray *out, bool *released, struct input_fault *fault, const char *text)
{
	cJSON *json = json_parse(fault, text, strlen(text));
	struct json_reader reader = {.json = json};
	const cJSON *queues, *item;

	*released = false;
	if (json == NULL)
		return NULL;
	*released = json_read_flag(&reader, "released");
	queues = json_read_field(&reader, "queues");
	if (queues != NULL && !cJSON_IsObject(queues))
		json_reader_set_fault(&reader, INPUT_FAULT_TYPE, "queues");
	*fault = reader.fault;
	if (fault->kind != 0) {
		*released = false;
		cJSON_Delete(json);
		return NULL;
	}
	cJSON_ArrayForEach (item, queues)
		add_length(out, queues, item->string);
	return json;
}

char *
stored_job_json_write(
    const struct mst_queue_config *queue, struct mst_bytes body)
{
	cJSON *json = cJSON_CreateObject();
	char *text = mst_bytes_to_str(body);

	cJSON_AddStringToObject(json, "queue", queue->name);
	cJSON_AddStringToObject(json, "service", queue->service);
	cJSON_AddNumberToObject(json, "priority", queue->priority);
	cJSON_AddNumberToObject(json, "attempts", queue->attempts);
	cJSON_AddNumberToObject(json, "timeout_ms", queue->timeout_ms);
	cJSON_AddNumberToObject(json, "stretch", queue->stretch);
	cJSON_AddNumberToObject(json, "target_ms", queue->target_ms);
	cJSON_AddStringToObject(json, "body", text);
	g_free(text);
	return print_and_delete(json);
}

static void
read_queue(struct mst_queue_config *out, struct json_reader *reader)
{
	*out = (struct mst_queue_config){
	    .name = json_read_text(reader, "queue", 1, NAME_MAX_BYTES),
	    .service = json_read_text(reader, "service", 1, NAME_MAX_BYTES),
	    .priority = (uint32_t)json_read_integer(
		reader, "priority", 0, PRIORITY_MAX),
	    .attempts = (uint32_t)json_read_integer(
		reader, "attempts", 1, ATTEMPTS_MAX),
	    .timeout_ms = (uint32_t)json_read_integer(
		reader, "timeout_ms", 1, TIMEOUT_MAX_MS),
	    .stretch = json_read_number(reader, "stretch", 0, STRETCH_MAX),
	    .target_ms = (uint32_t)json_read_integer(
		reader, "target_ms", 0, TIMEOUT_MAX_MS)};
}

cJSON *
stored_job_json_read(struct mst_queue_config *queue, const char **body,
    struct input_fault *fault, const char *text)
{
	/* The body is kept as its caller has sent it, in any encoding. */
	cJSON *json = cJSON_Parse(text);
	struct json_reader reader = {.json = json};

	if (json == NULL)
		json_reader_set_fault(&reader, INPUT_FAULT_SYNTAX, NULL);
	read_queue(queue, &reader);
	*body = json_read_string(&reader, "body");
	*fault = reader.fault;
	if (fault->kind == 0)
		return json;
	cJSON_Delete(json);
	return NULL;
}
