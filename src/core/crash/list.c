/* Crashes that an agent has recorded. */

#include "core/crash/crash.h"
#include "core/crash/crash_internal.h"
#include "core/id.h"

#define CRASHES_MAX 64 /* kept by one agent */

struct listed_crash {
	uint64_t number;
	uint64_t id;
	int64_t crashed_us;
	bool cleared;
	GArray *runs; /* struct mst_crashed_run, owns its strings */
};

static void
run_clear(gpointer data)
{
	g_free((char *)((struct mst_crashed_run *)data)->task.data);
}

static void
listed_crash_free(gpointer data)
{
	struct listed_crash *record = data;

	g_array_unref(record->runs);
	g_free(record);
}

void
mst_crash_list_init(struct mst_crash_list *list)
{
	g_queue_init(&list->records);
	list->last_number = 0;
	list->views =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
	list->dropped = g_ptr_array_new_with_free_func(listed_crash_free);
}

void
mst_crash_list_clear(struct mst_crash_list *list)
{
	g_queue_clear_full(&list->records, listed_crash_free);
	g_ptr_array_unref(list->views);
	g_ptr_array_unref(list->dropped);
}

static bool
is_known(const struct mst_crash_list *list, uint64_t id)
{
	GList *link;

	for (link = list->records.head; link != NULL; link = link->next) {
		if (((const struct listed_crash *)link->data)->id == id)
			return true;
	}
	return false;
}

static GArray *
copy_runs(const struct mst_crash *crash)
{
	GArray *runs =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_crashed_run));
	uint32_t i;

	g_array_set_clear_func(runs, run_clear);
	for (i = 0; i < crash->run_count; i++) {
		struct mst_crashed_run run = crash->runs[i];

		run.task.data = mst_bytes_dup(run.task);
		g_array_append_val(runs, run);
	}
	return runs;
}

/* Effects of this step may still refer to the crash. */
static void
drop_oldest(struct mst_crash_list *list)
{
	g_ptr_array_add(list->dropped, g_queue_pop_head(&list->records));
}

bool
mst_crash_list_add(struct mst_crash_list *list, const struct mst_crash *crash,
    int64_t crashed_us)
{
	struct listed_crash *record;

	if (is_known(list, crash->id))
		return false;
	record = g_new0(struct listed_crash, 1);
	record->number = ++list->last_number;
	record->id = crash->id;
	record->crashed_us = crashed_us;
	record->cleared = crash->cleared;
	record->runs = copy_runs(crash);
	g_queue_push_tail(&list->records, record);
	if (list->records.length > CRASHES_MAX)
		drop_oldest(list);
	return true;
}

void
mst_crash_list_expire(struct mst_crash_list *list, int64_t now_us)
{
	struct listed_crash *record;

	while ((record = g_queue_peek_head(&list->records)) != NULL &&
	    now_us - record->crashed_us > CRASH_KEEP_US)
		drop_oldest(list);
}

struct mst_crashes
mst_crash_list_after(
    struct mst_crash_list *list, uint64_t after, int64_t now_us)
{
	GArray *view = g_array_new(FALSE, FALSE, sizeof(struct mst_crash));
	GList *link;

	g_ptr_array_add(list->views, view);
	for (link = list->records.head; link != NULL; link = link->next) {
		const struct listed_crash *record = link->data;
		const struct mst_crash crash = {.number = record->number,
		    .id = record->id,
		    .age_ms = (uint32_t)CLAMP(
			(now_us - record->crashed_us) / 1000, 0, UINT32_MAX),
		    .cleared = record->cleared,
		    .run_count = record->runs->len,
		    .runs = (const void *)record->runs->data};

		if (record->number > after)
			g_array_append_val(view, crash);
	}
	return (struct mst_crashes){.after = after,
	    .count = view->len,
	    .items = (const void *)view->data};
}

void
mst_crash_list_release(struct mst_crash_list *list)
{
	g_ptr_array_set_size(list->views, 0);
	g_ptr_array_set_size(list->dropped, 0);
}
