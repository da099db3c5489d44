/* The set of drained failure domains that each process holds. */

#include <masticstall.h>

#include "core/drains.h"

/* A set that arrives late must not replace a newer one. */
static void
set__newer_revision_wins(void)
{
	const char *const names[] = {"b", "a"};
	struct mst_drains drains;

	mst_drains_init(&drains);
	g_assert_true(mst_drains_update(&drains, 5, names, 2));
	g_assert_false(mst_drains_update(&drains, 4, NULL, 0));
	g_assert_false(mst_drains_update(&drains, 5, NULL, 0));
	g_assert_true(mst_drains_contains(&drains, "a"));
	g_assert_true(mst_drains_contains(&drains, "b"));
	g_assert_false(mst_drains_contains(&drains, "c"));
	g_assert_false(mst_drains_contains(&drains, NULL));
	/* Only the revision has changed. */
	g_assert_false(mst_drains_update(&drains, 6, names, 2));
	g_assert_cmpuint(drains.revision, ==, 6);
	g_assert_true(mst_drains_update(&drains, 7, NULL, 0));
	g_assert_false(mst_drains_contains(&drains, "a"));
	mst_drains_clear(&drains);
}

/* A deployment that never drains must not pay for the field, and a set that has
 * become empty must still be sent. */
static void
set__is_sent_once_published(void)
{
	const char *const names[] = {"b", "a"};
	struct mst_drains drains;
	struct mst_drains_msg msg;

	mst_drains_init(&drains);
	g_assert_false(mst_drains_update(&drains, 3, NULL, 0));
	msg = mst_drains_to_msg(&drains);
	g_assert_cmpuint(msg.revision, ==, 0);
	g_assert_cmpuint(msg.domains.len, ==, 0);
	g_assert_true(mst_drains_update(&drains, 4, names, 2));
	msg = mst_drains_to_msg(&drains);
	g_assert_cmpuint(msg.revision, ==, 4);
	g_assert_true(mst_bytes_equal_str(msg.domains, "a,b"));
	g_assert_true(mst_drains_update(&drains, 5, NULL, 0));
	msg = mst_drains_to_msg(&drains);
	g_assert_cmpuint(msg.revision, ==, 5);
	g_assert_cmpuint(msg.domains.len, ==, 0);
	mst_drains_clear(&drains);
}

static bool
merge_is_outdated(
    struct mst_drains *drains, uint64_t revision, const char *names)
{
	const struct mst_drains_msg msg = {
	    .revision = revision, .domains = mst_bytes_from_str(names)};
	bool outdated;

	mst_drains_merge(drains, &msg, &outdated);
	return outdated;
}

/* Two processes must not answer each other endlessly: only a sender whose set
 * is older and differs is out of date. */
static void
set__only_older_and_different_is_outdated(void)
{
	const char *const names[] = {"a"};
	struct mst_drains drains;

	mst_drains_init(&drains);
	mst_drains_update(&drains, 5, names, 1);
	g_assert_true(merge_is_outdated(&drains, 4, "b"));
	g_assert_true(merge_is_outdated(&drains, 4, ""));
	g_assert_false(merge_is_outdated(&drains, 4, "a"));
	g_assert_false(merge_is_outdated(&drains, 5, "b"));
	/* The sender knows no set, or sends none. */
	g_assert_false(merge_is_outdated(&drains, 0, ""));
	g_assert_cmpuint(drains.revision, ==, 5);
	g_assert_false(merge_is_outdated(&drains, 6, "b,c"));
	g_assert_cmpuint(drains.revision, ==, 6);
	g_assert_false(mst_drains_contains(&drains, "a"));
	g_assert_true(mst_drains_contains(&drains, "c"));
	mst_drains_clear(&drains);
}

/* A process that has only known the empty set must be able to correct one that
 * still has an older, different set. */
static void
set__empty_set_corrects_outdated(void)
{
	struct mst_drains drains;

	mst_drains_init(&drains);
	mst_drains_update(&drains, 5, NULL, 0);
	g_assert_true(merge_is_outdated(&drains, 4, "a"));
	g_assert_cmpuint(mst_drains_to_msg(&drains).revision, ==, 5);
	mst_drains_clear(&drains);
}

/* Names that the messages can't carry, and more names than they may carry, must
 * not make the sets of two processes differ. */
static void
set__ignores_invalid_names(void)
{
	const char *const names[] = {"b", "", "x,y", "a", "b"};
	const char *many[MST_DRAINS_MAX + 4];
	char numbers[MST_DRAINS_MAX + 4][8];
	struct mst_drains drains;
	guint i;

	mst_drains_init(&drains);
	mst_drains_update(&drains, 1, names, G_N_ELEMENTS(names));
	g_assert_true(
	    mst_bytes_equal_str(mst_drains_to_msg(&drains).domains, "a,b"));
	for (i = 0; i < G_N_ELEMENTS(many); i++) {
		g_snprintf(numbers[i], sizeof(numbers[i]), "d%02u",
		    (guint)G_N_ELEMENTS(many) - i);
		many[i] = numbers[i];
	}
	mst_drains_update(&drains, 2, many, G_N_ELEMENTS(many));
	g_assert_cmpuint(drains.domains->len, ==, MST_DRAINS_MAX);
	g_assert_true(mst_drains_contains(&drains, "d01"));
	g_assert_false(mst_drains_contains(&drains, "d17"));
	mst_drains_clear(&drains);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/drains/set/newer-wins", set__newer_revision_wins);
	g_test_add_func("/drains/set/published", set__is_sent_once_published);
	g_test_add_func(
	    "/drains/set/outdated", set__only_older_and_different_is_outdated);
	g_test_add_func("/drains/set/empty", set__empty_set_corrects_outdated);
	g_test_add_func("/drains/set/invalid", set__ignores_invalid_names);
	return g_test_run();
}
