#include "runtime/report_store.h"

#include <string.h>

#include "api/worker_json.h"
#include "base/log.h"

#define CALL_TIMEOUT_MS 600
#define REPORT_KEY      "worker" /* the only row of a host's partition */

struct report_store {
	struct report_store_options options;
	char *written; /* last value that was written; NULL: unknown */
	char *writing; /* value of the write in flight; NULL: none */
};

struct report_store *
report_store_new(const struct report_store_options *options)
{
	struct report_store *store = g_new0(struct report_store, 1);

	store->options = *options;
	return store;
}

/* A failed write is repeated with the next report. */
static void
on_written(const struct store_result *result, void *ctx)
{
	struct report_store *store = ctx;

	if (result->status == STORE_OK) {
		g_free(store->written);
		store->written = store->writing;
	} else {
		mst_log(MST_LOG_INFO, "report-not-kept", "status=%d",
		    result->status);
		g_free(store->writing);
	}
	store->writing = NULL;
}

void
report_store_save(
    struct report_store *store, const struct mst_worker_report *report)
{
	char *value = report->shutting_down ? NULL : worker_json_write(report);
	const struct store_row row = {.table = STORE_TABLE_REPORTS,
	    .partition = store->options.name,
	    .key = REPORT_KEY,
	    .value = value};
	const struct store_txn txn = {.rows = &row, .count = 1};
	const char *text = value != NULL ? value : ""; /* empty: no row */

	if (store->writing == NULL && g_strcmp0(store->written, text) != 0) {
		store->writing = g_strdup(text);
		store->options.drivers->store->commit(store->options.store,
		    &txn, CALL_TIMEOUT_MS, on_written, store);
	}
	cJSON_free(value);
}

static void
on_rows(const struct store_result *result, void *ctx)
{
	struct report_store *store = ctx;
	struct mst_worker_report report;
	struct input_fault fault;
	cJSON *json;

	if (result->status != STORE_OK) {
		mst_log(MST_LOG_INFO, "report-not-read", "status=%d",
		    result->status);
		return;
	}
	if (result->count == 0 || result->rows[0].value == NULL ||
	    strcmp(result->rows[0].key, REPORT_KEY) != 0)
		return;
	json = worker_json_read(&report, &fault, result->rows[0].value);
	if (json == NULL) {
		input_fault_report(
		    INPUT_KEPT_REPORT, store->options.name, &fault);
		return;
	}
	store->options.on_report(&report, store->options.ctx);
	cJSON_Delete(json);
}

void
report_store_load(struct report_store *store)
{
	const struct store_range range = {.table = STORE_TABLE_REPORTS,
	    .partition = store->options.name,
	    .from = REPORT_KEY,
	    .limit = 1};

	store->options.drivers->store->list_range(
	    store->options.store, &range, CALL_TIMEOUT_MS, on_rows, store);
}
