#include "api/record_json.h"

#include "api/json_extra.h"

#include <stdlib.h>
#include <string.h>

#define OWNER_HEX_LEN 16
/* Member of a document that was read, which owns the text of the extra ones. */
#define EXTRA_NAME "extra"

static const char *const record_names[] = {
    "owner", "term", "change", "state", "tasks", "closed_ms", NULL};

static const char *
json_get_string(const cJSON *json, const char *name)
{
	const cJSON *item = cJSON_GetObjectItemCaseSensitive(json, name);

	return cJSON_IsString(item) ? item->valuestring : "";
}

static double
json_get_number(const cJSON *json, const char *name)
{
	const cJSON *item = cJSON_GetObjectItemCaseSensitive(json, name);

	return cJSON_IsNumber(item) ? item->valuedouble : 0;
}

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
record_state_from_name(const char *name)
{
	int state;

	for (state = MST_RECORD_OPEN; state <= MST_RECORD_CANCELLED; state++) {
		if (strcmp(name, mst_record_state_name(state)) == 0)
			return (uint8_t)state;
	}
	return 0;
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
	return json_get_string(json, EXTRA_NAME);
}

cJSON *
record_json_read(struct mst_record *out, const char *text)
{
	cJSON *json = text != NULL ? cJSON_Parse(text) : NULL;

	*out = (struct mst_record){
	    .owner = strtoull(json_get_string(json, "owner"), NULL, 16),
	    .term = (uint32_t)json_get_number(json, "term"),
	    .update_seq = (uint32_t)json_get_number(json, "change"),
	    .state = record_state_from_name(json_get_string(json, "state")),
	    .tasks = json_get_string(json, "tasks"),
	    .closed_ms = (int64_t)json_get_number(json, "closed_ms")};
	if (out->owner == 0 || out->state == 0) {
		cJSON_Delete(json);
		return NULL;
	}
	out->extra = read_extra(json);
	return json;
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

cJSON *
owner_json_read(GArray *out, bool *released, const char *text)
{
	cJSON *json = text != NULL ? cJSON_Parse(text) : NULL;
	const cJSON *item;

	*released =
	    cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(json, "released"));
	cJSON_ArrayForEach (
	    item, cJSON_GetObjectItemCaseSensitive(json, "queues")) {
		const struct mst_queue_length length = {
		    .queue = item->string, .jobs = (uint32_t)item->valueint};

		g_array_append_val(out, length);
	}
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

cJSON *
stored_job_json_read(
    struct mst_queue_config *queue, const char **body, const char *text)
{
	cJSON *json = text != NULL ? cJSON_Parse(text) : NULL;

	*queue =
	    (struct mst_queue_config){.name = json_get_string(json, "queue"),
		.service = json_get_string(json, "service"),
		.priority = (uint32_t)json_get_number(json, "priority"),
		.attempts = (uint32_t)json_get_number(json, "attempts"),
		.timeout_ms = (uint32_t)json_get_number(json, "timeout_ms"),
		.stretch = json_get_number(json, "stretch"),
		.target_ms = (uint32_t)json_get_number(json, "target_ms")};
	*body = json_get_string(json, "body");
	return json;
}
