#include "runtime/crash_store.h"

#include <string.h>

#include "api/crash_json.h"
#include "base/log.h"

#define CALL_TIMEOUT_MS 600
#define CRASHES_KEY     "crashes" /* the only row of a host's partition */
#define LOAD_RETRY_MS   1000

struct crash_store {
	struct crash_store_options options;
	uv_timer_t retry;
	bool writing;
	char *next;  /* to be written; NULL: nothing */
	cJSON *last; /* row that was read; NULL: none, or not read yet */
	/* The row has a format that this build doesn't know; it is left alone.
	 */
	bool is_foreign;
};

static void write_next(struct crash_store *store);

struct crash_store *
crash_store_new(const struct crash_store_options *options)
{
	struct crash_store *store = g_new0(struct crash_store, 1);

	store->options = *options;
	uv_timer_init(options->loop, &store->retry);
	store->retry.data = store;
	return store;
}

/* A failed write is not repeated: the entries know of the crashes, and the next
 * one writes all of them. */
static void
on_written(const struct store_result *result, void *ctx)
{
	struct crash_store *store = ctx;

	store->writing = false;
	if (result->status != STORE_OK)
		mst_log(MST_LOG_INFO, "crashes-not-kept", "status=%d",
		    result->status);
	write_next(store);
}

static void
write_next(struct crash_store *store)
{
	const struct store_row row = {.table = STORE_TABLE_CRASHES,
	    .partition = store->options.name,
	    .key = CRASHES_KEY,
	    .value = store->next};
	const struct store_txn txn = {.rows = &row, .count = 1};
	char *text = store->next;

	if (store->writing || text == NULL)
		return;
	store->writing = true;
	store->next = NULL;
	store->options.drivers->store->commit(
	    store->options.store, &txn, CALL_TIMEOUT_MS, on_written, store);
	cJSON_free(text);
}

void
crash_store_save(struct crash_store *store, const struct mst_crashes *crashes)
{
	if (store->is_foreign)
		return;
	cJSON_free(store->next);
	store->next =
	    crash_json_write(crashes, store->options.wall_ms(), store->last);
	write_next(store);
}

static void
on_retry(uv_timer_t *timer)
{
	crash_store_load(timer->data);
}

/* A JSON document of another format is left as it is: a newer build may have
 * written it. */
static void
read_row(struct crash_store *store, const char *value)
{
	struct crash_json kept;
	struct input_fault fault;

	if (!crash_json_read(&kept, &fault, value, store->options.wall_ms())) {
		store->is_foreign = fault.kind != INPUT_FAULT_SYNTAX &&
		    fault.kind != INPUT_FAULT_ENCODING;
		input_fault_report(
		    INPUT_KEPT_CRASH, store->options.name, &fault);
	} else {
		cJSON_Delete(store->last);
		store->last = g_steal_pointer(&kept.json);
		if (kept.crashes.count > 0)
			store->options.on_crashes(
			    &kept.crashes, store->options.ctx);
	}
	crash_json_clear(&kept);
}

static void
on_rows(const struct store_result *result, void *ctx)
{
	struct crash_store *store = ctx;

	if (result->status != STORE_OK) {
		mst_log(MST_LOG_INFO, "crashes-not-read", "status=%d",
		    result->status);
		uv_timer_start(&store->retry, on_retry, LOAD_RETRY_MS, 0);
		return;
	}
	if (result->count > 0 && result->rows[0].value != NULL &&
	    strcmp(result->rows[0].key, CRASHES_KEY) == 0)
		read_row(store, result->rows[0].value);
}

void
crash_store_load(struct crash_store *store)
{
	const struct store_range range = {.table = STORE_TABLE_CRASHES,
	    .partition = store->options.name,
	    .from = CRASHES_KEY,
	    .limit = 1};

	store->options.drivers->store->list_range(
	    store->options.store, &range, CALL_TIMEOUT_MS, on_rows, store);
}
