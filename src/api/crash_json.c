#include "api/crash_json.h"

#include "api/json_extra.h"
#include "api/json_field.h"

#include <glib.h>
#include <inttypes.h>

/* Runs in one text: with names of up to 100 bytes it fits into a row. */
#define RUNS_MAX 256
#define ID_TEXT  17 /* 16 hexadecimal digits and NUL */

static const char *const text_names[] = {"crashes", NULL};
static const char *const crash_names[] = {
    "id", "wall_ms", "cleared", "runs", NULL};

static cJSON *
write_run(const struct mst_crashed_run *run)
{
	cJSON *json = cJSON_CreateObject();
	char *task = mst_bytes_to_str(run->task);

	cJSON_AddStringToObject(json, "task", task);
	cJSON_AddNumberToObject(json, "team", run->team);
	if (run->lasted_ms != MST_LASTED_UNKNOWN)
		cJSON_AddNumberToObject(json, "lasted_ms", run->lasted_ms);
	g_free(task);
	return json;
}

/* Returns the crash with an id in the text that was read, or NULL. */
static const cJSON *
find_crash(const cJSON *last, const char *id)
{
	const cJSON *item;

	cJSON_ArrayForEach (
	    item, cJSON_GetObjectItemCaseSensitive(last, "crashes")) {
		const char *other = cJSON_GetStringValue(
		    cJSON_GetObjectItemCaseSensitive(item, "id"));

		if (g_strcmp0(other, id) == 0)
			return item;
	}
	return NULL;
}

static cJSON *
write_crash(const struct mst_crash *crash, int64_t wall_ms, const cJSON *last)
{
	cJSON *json = cJSON_CreateObject();
	cJSON *runs;
	char id[ID_TEXT];
	uint32_t i;

	g_snprintf(id, sizeof(id), "%016" PRIx64, crash->id);
	cJSON_AddStringToObject(json, "id", id);
	cJSON_AddNumberToObject(
	    json, "wall_ms", (double)(wall_ms - crash->age_ms));
	cJSON_AddBoolToObject(json, "cleared", crash->cleared);
	runs = cJSON_AddArrayToObject(json, "runs");
	for (i = 0; i < crash->run_count; i++)
		cJSON_AddItemToArray(runs, write_run(&crash->runs[i]));
	json_extra_copy(json, find_crash(last, id), crash_names);
	return json;
}

/* Returns the index of the first crash to write. */
static uint32_t
first_to_write(const struct mst_crashes *crashes)
{
	uint32_t first = crashes->count;
	uint32_t runs = 0;

	while (
	    first > 0 && runs + crashes->items[first - 1].run_count <= RUNS_MAX)
		runs += crashes->items[--first].run_count;
	return first;
}

char *
crash_json_write(
    const struct mst_crashes *crashes, int64_t wall_ms, const cJSON *last)
{
	cJSON *json = cJSON_CreateObject();
	cJSON *list = cJSON_AddArrayToObject(json, "crashes");
	uint32_t i;
	char *text;

	for (i = first_to_write(crashes); i < crashes->count; i++)
		cJSON_AddItemToArray(
		    list, write_crash(&crashes->items[i], wall_ms, last));
	json_extra_copy(json, last, text_names);
	text = cJSON_PrintUnformatted(json);
	cJSON_Delete(json);
	return text;
}

static bool
read_run(struct mst_crashed_run *out, const cJSON *json)
{
	const cJSON *task = cJSON_GetObjectItemCaseSensitive(json, "task");
	double team, lasted_ms;

	if (!cJSON_IsString(task) ||
	    !json_get_number(&team, json, "team", UINT32_MAX))
		return false;
	out->task = mst_bytes_from_str(task->valuestring);
	out->team = (uint32_t)team;
	out->lasted_ms = MST_LASTED_UNKNOWN;
	if (json_get_number(&lasted_ms, json, "lasted_ms", UINT32_MAX))
		out->lasted_ms = (uint32_t)lasted_ms;
	return true;
}

/* Reads a crash whose runs are added to those of the earlier ones. */
static bool
read_crash(struct mst_crash *out, struct crash_json *crashes,
    uint32_t *run_count, const cJSON *json, int64_t wall_ms)
{
	const cJSON *id = cJSON_GetObjectItemCaseSensitive(json, "id");
	const cJSON *runs = cJSON_GetObjectItemCaseSensitive(json, "runs");
	const cJSON *run;
	double crashed_ms;

	if (!cJSON_IsString(id) || !cJSON_IsArray(runs) ||
	    !json_get_number(&crashed_ms, json, "wall_ms", JSON_INTEGER_MAX) ||
	    *run_count + (uint32_t)cJSON_GetArraySize(runs) > RUNS_MAX)
		return false;
	out->id = g_ascii_strtoull(id->valuestring, NULL, 16);
	/* The time of day may have been set back since. */
	out->age_ms = (uint32_t)CLAMP(
	    wall_ms - (int64_t)crashed_ms, 0, (int64_t)UINT32_MAX);
	out->cleared =
	    cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(json, "cleared"));
	out->runs = crashes->runs + *run_count;
	cJSON_ArrayForEach (run, runs) {
		if (!read_run(crashes->runs + *run_count, run))
			return false;
		(*run_count)++;
		out->run_count++;
	}
	return out->run_count <= MST_CRASH_RUNS_MAX;
}

bool
crash_json_read(struct crash_json *out, const char *text, int64_t wall_ms)
{
	uint32_t run_count = 0;
	const cJSON *list, *item;
	int count;

	*out = (struct crash_json){.json = cJSON_Parse(text)};
	list = cJSON_GetObjectItemCaseSensitive(out->json, "crashes");
	count = cJSON_GetArraySize(list);
	if (!cJSON_IsArray(list) || count > MST_CRASHES_MAX)
		return false;
	out->items = g_new0(struct mst_crash, (gsize)count);
	out->runs = g_new0(struct mst_crashed_run, RUNS_MAX);
	out->crashes.items = out->items;
	cJSON_ArrayForEach (item, list) {
		if (!read_crash(&out->items[out->crashes.count], out,
			&run_count, item, wall_ms))
			return false;
		out->crashes.count++;
	}
	return true;
}

void
crash_json_clear(struct crash_json *crashes)
{
	cJSON_Delete(crashes->json);
	g_free(crashes->items);
	g_free(crashes->runs);
}
