#include "api/crash_json.h"

#include "api/json_extra.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

/* Runs in one text: with names of up to 100 bytes it fits into a row. */
#define RUNS_MAX       256
#define ID_TEXT        17 /* 16 hexadecimal digits and NUL */
#define TASK_MAX_BYTES 200

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

static void
read_run(struct mst_crashed_run *out, struct json_reader *reader)
{
	out->task = mst_bytes_from_str(
	    json_read_text(reader, "task", 1, TASK_MAX_BYTES));
	out->team = (uint32_t)json_read_integer(reader, "team", 0, UINT32_MAX);
	out->lasted_ms = (uint32_t)json_read_optional_integer(
	    reader, "lasted_ms", 0, UINT32_MAX, MST_LASTED_UNKNOWN);
}

/* Reads the runs of a crash to the end of those that were read before. */
static void
read_runs(
    struct mst_crash *out, struct crash_json *crashes, struct json_reader *json)
{
	const cJSON *list = json_read_field(json, "runs");
	uint32_t count = (uint32_t)cJSON_GetArraySize(list);
	const cJSON *item;

	json_read_list(json, "runs");
	if (count > MST_CRASH_RUNS_MAX ||
	    crashes->run_count + count > RUNS_MAX) {
		json_reader_set_fault(json, INPUT_FAULT_LENGTH, "runs");
		return;
	}
	out->runs = crashes->runs + crashes->run_count;
	cJSON_ArrayForEach (item, list) {
		struct json_reader run = {.json = item};

		read_run(&crashes->runs[crashes->run_count + out->run_count++],
		    &run);
		if (run.fault.kind != 0)
			json_reader_set_fault(
			    json, run.fault.kind, run.fault.field);
	}
}

static void
read_id(struct mst_crash *out, struct json_reader *json)
{
	const char *id = json_read_text(json, "id", 1, ID_TEXT - 1);

	if (id != NULL &&
	    !g_ascii_string_to_unsigned(id, 16, 0, UINT64_MAX, &out->id, NULL))
		json_reader_set_fault(json, INPUT_FAULT_NAME, "id");
}

/* Reads a crash and adds it, unless it has a fault. */
static void
add_crash(struct crash_json *crashes, const cJSON *item, int64_t wall_ms)
{
	struct json_reader reader = {.json = item};
	struct mst_crash crash = {0};
	int64_t crashed_ms;

	read_id(&crash, &reader);
	crashed_ms =
	    (int64_t)json_read_integer(&reader, "wall_ms", 0, JSON_INTEGER_MAX);
	/* The time of day may have been set back since. */
	crash.age_ms =
	    (uint32_t)CLAMP(wall_ms - crashed_ms, 0, (int64_t)UINT32_MAX);
	crash.cleared = json_read_flag(&reader, "cleared");
	read_runs(&crash, crashes, &reader);
	if (reader.fault.kind != 0) {
		input_fault_report(INPUT_KEPT_CRASH, "crash", &reader.fault);
		return;
	}
	crashes->run_count += crash.run_count;
	crashes->items[crashes->crashes.count++] = crash;
}

bool
crash_json_read(struct crash_json *out, struct input_fault *fault,
    const char *text, int64_t wall_ms)
{
	struct json_reader reader = {0};
	const cJSON *list, *item;

	*out = (struct crash_json){0};
	out->json = json_parse(fault, text, strlen(text));
	if (out->json == NULL)
		return false;
	reader.json = out->json;
	list = json_read_field(&reader, "crashes");
	json_read_list(&reader, "crashes");
	if (cJSON_GetArraySize(list) > MST_CRASHES_MAX)
		json_reader_set_fault(&reader, INPUT_FAULT_LENGTH, "crashes");
	*fault = reader.fault;
	if (fault->kind != 0)
		return false;
	out->items = g_new0(struct mst_crash, MST_CRASHES_MAX);
	out->runs = g_new0(struct mst_crashed_run, RUNS_MAX);
	out->crashes.items = out->items;
	cJSON_ArrayForEach (item, list)
		add_crash(out, item, wall_ms);
	return true;
}

void
crash_json_clear(struct crash_json *crashes)
{
	cJSON_Delete(crashes->json);
	g_free(crashes->items);
	g_free(crashes->runs);
}
