/* Crashes that an entry has learnt of, and the tasks that were present. */

#include "core/crash/crash.h"
#include "core/crash/crash_internal.h"
#include "core/id.h"

#define CRASHES_MAX 1024 /* remembered by one entry */

static void
presence_clear(gpointer data)
{
	struct crash_presence *presence = data;

	g_free(presence->task);
	g_free(presence->job);
}

static void
record_free(gpointer data)
{
	struct crash_record *record = data;

	g_array_unref(record->runs);
	g_free(record);
}

struct mst_crash_history *
mst_crash_history_new(void)
{
	struct mst_crash_history *history = g_new0(struct mst_crash_history, 1);

	history->records = g_ptr_array_new_with_free_func(record_free);
	history->tasks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	history->candidates =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	history->cause_lasted_max_ms = MST_LASTED_UNKNOWN;
	return history;
}

void
mst_crash_history_free(struct mst_crash_history *history)
{
	g_hash_table_unref(history->tasks);
	g_hash_table_unref(history->candidates);
	g_ptr_array_unref(history->records);
	g_free(history);
}

static bool
is_known(const struct mst_crash_history *history, uint64_t id)
{
	guint i;

	for (i = 0; i < history->records->len; i++) {
		const struct crash_record *record = history->records->pdata[i];

		if (record->id == id)
			return true;
	}
	return false;
}

static struct crash_record *
record_new(const struct mst_crash *crash, int64_t now_us)
{
	struct crash_record *record = g_new0(struct crash_record, 1);
	uint32_t i;

	record->id = crash->id;
	record->cleared = crash->cleared;
	record->crashed_us = now_us - (int64_t)crash->age_ms * 1000;
	record->alone = true;
	record->runs = g_array_new(FALSE, FALSE, sizeof(struct crash_presence));
	g_array_set_clear_func(record->runs, presence_clear);
	for (i = 0; i < crash->run_count; i++) {
		const struct mst_crashed_run *run = &crash->runs[i];
		struct crash_presence presence = {
		    .task = mst_bytes_to_str(run->task),
		    .job = mst_bytes_to_str(mst_task_name_job(run->task)),
		    .team = run->team,
		    .lasted_ms = run->lasted_ms};

		g_array_append_val(record->runs, presence);
		record->alone &= g_str_equal(presence.job,
		    g_array_index(record->runs, struct crash_presence, 0).job);
	}
	return record;
}

/* Counts the crashes of each task. The names are those of the records. */
static void
count_tasks(struct mst_crash_history *history)
{
	guint i, k;

	g_hash_table_remove_all(history->tasks);
	for (i = 0; i < history->records->len; i++) {
		const struct crash_record *record = history->records->pdata[i];

		for (k = 0; k < record->runs->len; k++) {
			char *name = g_array_index(
			    record->runs, struct crash_presence, k)
					 .task;
			struct mst_task_crashes *crashes =
			    g_hash_table_lookup(history->tasks, name);

			if (crashes == NULL) {
				crashes = g_new0(struct mst_task_crashes, 1);
				g_hash_table_insert(
				    history->tasks, name, crashes);
			}
			crashes->total += !record->cleared;
			crashes->alone += !record->cleared && record->alone;
			crashes->cleared |= record->cleared;
		}
	}
}

/* Drops a record. The tables refer to its strings, so they are emptied and have
 * to be filled again. */
static void
drop_record(struct mst_crash_history *history, guint index)
{
	g_hash_table_remove_all(history->tasks);
	g_hash_table_remove_all(history->candidates);
	g_ptr_array_remove_index(history->records, index);
}

const struct crash_record *
mst_crash_history_add(struct mst_crash_history *history,
    const struct mst_crash *crash, int64_t now_us)
{
	struct crash_record *record;

	if (crash->run_count == 0 || is_known(history, crash->id))
		return NULL;
	if (history->records->len >= CRASHES_MAX)
		drop_record(history, 0);
	record = record_new(crash, now_us);
	g_ptr_array_add(history->records, record);
	count_tasks(history);
	mst_crash_attribute(history, now_us);
	return record;
}

struct mst_task_crashes
mst_crash_history_task(
    const struct mst_crash_history *history, struct mst_bytes task)
{
	const struct mst_task_crashes *crashes;
	char *name;

	if (history->records->len == 0)
		return (struct mst_task_crashes){0};
	name = mst_bytes_to_str(task);
	crashes = g_hash_table_lookup(history->tasks, name);
	g_free(name);
	return crashes != NULL ? *crashes : (struct mst_task_crashes){0};
}

void
mst_crash_history_expire(struct mst_crash_history *history, int64_t now_us)
{
	guint count = history->records->len;
	guint i = 0;

	while (i < history->records->len) {
		const struct crash_record *record = history->records->pdata[i];

		if (now_us - record->crashed_us <= CRASH_KEEP_US) {
			i++;
			continue;
		}
		drop_record(history, i);
	}
	if (history->records->len == count)
		return;
	count_tasks(history);
	mst_crash_attribute(history, now_us);
}
