#include "api/worker_json.h"

#include "api/json_field.h"

#include <glib.h>

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

static bool
get_bytes(struct mst_bytes *out, const cJSON *json, const char *name)
{
	const cJSON *item = cJSON_GetObjectItemCaseSensitive(json, name);

	if (!cJSON_IsString(item))
		return false;
	*out = mst_bytes_from_str(item->valuestring);
	return true;
}

static bool
get_capacity(struct mst_resources *out, const cJSON *json)
{
	double millicores, memory_mb, accelerators;

	if (!json_get_number(&millicores, json, "millicores", UINT32_MAX) ||
	    !json_get_number(&memory_mb, json, "memory_mb", UINT32_MAX) ||
	    !json_get_number(&accelerators, json, "accelerators", UINT32_MAX))
		return false;
	*out = (struct mst_resources){.millicores = (uint32_t)millicores,
	    .memory_mb = (uint32_t)memory_mb,
	    .accelerators = (uint32_t)accelerators};
	return true;
}

cJSON *
worker_json_read(struct mst_worker_report *out, const char *text)
{
	cJSON *json = cJSON_Parse(text);
	double incarnation;

	*out = (struct mst_worker_report){0};
	if (!get_bytes(&out->id, json, "id") ||
	    !get_bytes(&out->service, json, "service") ||
	    !get_bytes(&out->rack, json, "rack") ||
	    !get_bytes(&out->labels, json, "labels") ||
	    !json_get_number(
		&incarnation, json, "incarnation", JSON_INTEGER_MAX) ||
	    !get_capacity(&out->capacity, json)) {
		cJSON_Delete(json);
		return NULL;
	}
	out->incarnation = (uint64_t)incarnation;
	out->draining =
	    cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(json, "draining"));
	return json;
}
