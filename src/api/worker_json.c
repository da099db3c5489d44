#include "api/worker_json.h"

#include "api/json_field.h"

#include <glib.h>
#include <string.h>

#define LABELS_MAX_BYTES                                                       \
	(WORKER_LABELS_MAX * (WORKER_TEXT_MAX_BYTES + 1)) /* with commas */

static void
add_bytes(cJSON *json, const char *name, struct mst_bytes bytes)
{
	char *text = mst_bytes_to_str(bytes);

	cJSON_AddStringToObject(json, name, text);
	g_free(text);
}

char *
worker_json_write(const struct mst_worker_report *report)
{
	cJSON *json = cJSON_CreateObject();
	char *text;

	add_bytes(json, "id", report->id);
	add_bytes(json, "service", report->service);
	add_bytes(json, "rack", report->rack);
	add_bytes(json, "labels", report->labels);
	/* An incarnation is a time in milliseconds, which a double holds. */
	cJSON_AddNumberToObject(
	    json, "incarnation", (double)report->incarnation);
	cJSON_AddNumberToObject(
	    json, "millicores", report->capacity.millicores);
	cJSON_AddNumberToObject(json, "memory_mb", report->capacity.memory_mb);
	cJSON_AddNumberToObject(
	    json, "accelerators", report->capacity.accelerators);
	cJSON_AddBoolToObject(json, "draining", report->draining);
	text = cJSON_PrintUnformatted(json);
	cJSON_Delete(json);
	return text;
}

static struct mst_bytes
read_bytes(struct json_reader *reader, const char *name, size_t min)
{
	return mst_bytes_from_str(
	    json_read_text(reader, name, min, WORKER_TEXT_MAX_BYTES));
}

static struct mst_resources
read_capacity(struct json_reader *reader)
{
	return (struct mst_resources){.millicores = (uint32_t)json_read_integer(
					  reader, "millicores", 1, UINT32_MAX),
	    .memory_mb =
		(uint32_t)json_read_integer(reader, "memory_mb", 0, UINT32_MAX),
	    .accelerators = (uint32_t)json_read_integer(
		reader, "accelerators", 0, UINT32_MAX)};
}

cJSON *
worker_json_read(
    struct mst_worker_report *out, struct input_fault *fault, const char *text)
{
	cJSON *json = json_parse(fault, text, strlen(text));
	struct json_reader reader = {.json = json};

	*out = (struct mst_worker_report){0};
	if (json == NULL)
		return NULL;
	out->id = read_bytes(&reader, "id", 1);
	out->service = read_bytes(&reader, "service", 1);
	out->rack = read_bytes(&reader, "rack", 0);
	out->labels = mst_bytes_from_str(
	    json_read_text(&reader, "labels", 0, LABELS_MAX_BYTES));
	out->incarnation =
	    json_read_integer(&reader, "incarnation", 0, JSON_INTEGER_MAX);
	out->capacity = read_capacity(&reader);
	out->draining = json_read_flag(&reader, "draining");
	if (reader.fault.kind == 0)
		return json;
	*fault = reader.fault;
	cJSON_Delete(json);
	return NULL;
}
