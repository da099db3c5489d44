/*
 * Fuzzes the reading of the store: its answers, what is watched, and the values
 * of the rows of each table.
 */

#include "api/crash_json.h"
#include "api/record_json.h"
#include "api/worker_json.h"
#include "driver.h"
#include "platform.h"

#define WALL_MS INT64_C(1764829866123)

static void
read_answer(const char *body, size_t len)
{
	cJSON *json = cJSON_ParseWithLength(body, len);
	const cJSON *rows = cJSON_GetObjectItemCaseSensitive(json, "rows");
	struct platform_result result;
	struct store_update update;
	int subject;

	for (subject = STORE_CONFIG; subject <= STORE_CANCELS; subject++) {
		platform_update_init(&update, true);
		platform_update_add_rows(
		    &update, (enum store_subject)subject, rows);
		platform_update_clear(&update);
	}
	cJSON_Delete(json);
	platform_result_read(&result, STORE_OK, "rows", body, len);
	platform_result_clear(&result);
}

static void
read_record(const char *text)
{
	struct mst_record record;
	struct input_fault fault;
	cJSON *json = record_json_read(&record, &fault, text);

	if (json != NULL)
		cJSON_free(record_json_write(&record));
	cJSON_Delete(json);
}

static void
read_owner(const char *text)
{
	GArray *lengths =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_queue_length));
	struct input_fault fault;
	bool released;

	cJSON_Delete(owner_json_read(lengths, &released, &fault, text));
	g_array_unref(lengths);
}

static void
read_job(const char *text)
{
	struct mst_queue_config queue;
	struct frontend_request job;
	struct input_fault fault;
	const char *body;
	cJSON *json = stored_job_json_read(&queue, &body, &fault, text);

	if (json == NULL)
		return;
	platform_frontend.read_stored(&job, "5c0e7a21d94b36f8", body, &queue);
	platform_frontend.release(&job);
	cJSON_Delete(json);
}

static void
read_crashes(const char *text)
{
	struct crash_json crashes;
	struct input_fault fault;

	if (crash_json_read(&crashes, &fault, text, WALL_MS))
		cJSON_free(
		    crash_json_write(&crashes.crashes, WALL_MS, crashes.json));
	crash_json_clear(&crashes);
}

static void
read_kept_report(const char *text)
{
	struct mst_worker_report report;
	struct input_fault fault;
	cJSON *json = worker_json_read(&report, &fault, text);

	if (json != NULL)
		cJSON_free(worker_json_write(&report));
	cJSON_Delete(json);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	char *text = g_strndup((const char *)data, len);

	read_answer(text, len);
	read_record(text);
	read_owner(text);
	read_job(text);
	read_crashes(text);
	read_kept_report(text);
	g_free(text);
	return 0;
}

#ifndef MST_LIBFUZZER

int
main(void)
{
	return fuzz_run_corpus("rows");
}

#endif
