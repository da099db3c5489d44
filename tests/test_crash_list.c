/* Tests of the list of crashes that an agent remembers. */

#include <masticstall.h>

#include "core/crash/crash.h"

#define CRASHES   100 /* more than a list keeps */
#define NOW_US    (INT64_C(1000) * G_USEC_PER_SEC)
#define FORGET_US (INT64_C(3600) * G_USEC_PER_SEC)

static bool
add(struct mst_crash_list *list, uint64_t id)
{
	char name[24];
	struct mst_crashed_run run = {.team = (uint32_t)id};
	struct mst_crash crash = {.id = id, .run_count = 1, .runs = &run};

	g_snprintf(name, sizeof(name), "%" G_GUINT64_FORMAT ".0.0.0", id);
	run.task = mst_bytes_from_str(name);
	return mst_crash_list_add(list, &crash, NOW_US);
}

/* Guards against effects that refer to crashes which later ones of the same
 * step have displaced: several suspects may complete in one answer. */
static void
crash_list__views_outlive_later_changes(void)
{
	struct mst_crashes first;
	struct mst_crash_list list;
	uint64_t id;

	mst_crash_list_init(&list);
	add(&list, 1);
	first = mst_crash_list_after(&list, 0, NOW_US);
	for (id = 2; id <= CRASHES; id++) {
		add(&list, id);
		mst_crash_list_after(&list, 0, NOW_US);
	}
	g_assert_cmpuint(first.count, ==, 1);
	g_assert_cmpuint(first.items[0].id, ==, 1);
	g_assert_true(
	    mst_bytes_equal_str(first.items[0].runs[0].task, "1.0.0.0"));
	mst_crash_list_release(&list);
	mst_crash_list_clear(&list);
}

/* Guards against a list that grows without bound, and against old crashes that
 * are sent to new entries for ever. */
static void
crash_list__is_bounded(void)
{
	struct mst_crash_list list;
	struct mst_crashes all;
	uint64_t id;

	mst_crash_list_init(&list);
	for (id = 1; id <= CRASHES; id++)
		add(&list, id);
	all = mst_crash_list_after(&list, 0, NOW_US);
	g_assert_cmpuint(all.count, <, CRASHES);
	g_assert_cmpuint(all.items[all.count - 1].number, ==, CRASHES);
	mst_crash_list_expire(&list, NOW_US + FORGET_US);
	g_assert_cmpuint(mst_crash_list_after(&list, 0, NOW_US).count, ==, 0);
	mst_crash_list_clear(&list);
}

/* Guards against a crash that is read from the store counting twice. */
static void
crash_list__known_crash_is_not_added(void)
{
	struct mst_crash_list list;

	mst_crash_list_init(&list);
	g_assert_true(add(&list, 5));
	g_assert_false(add(&list, 5));
	g_assert_cmpuint(list.last_number, ==, 1);
	mst_crash_list_clear(&list);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crash-list/views-outlive-later-changes",
	    crash_list__views_outlive_later_changes);
	g_test_add_func("/crash-list/is-bounded", crash_list__is_bounded);
	g_test_add_func("/crash-list/known-crash-is-not-added",
	    crash_list__known_crash_is_not_added);
	return g_test_run();
}
