/* Sequence sets: the frontier, ranges beyond it, and the limit on ranges. */

#include <glib.h>
#include <masticstall/seqset.h>

#define SEED        20261203
#define RANDOM_ADDS 20000

static void
seqset__gap_is_kept_until_it_is_filled(void)
{
	struct mst_seqset set = {0};

	g_assert_cmpint(mst_seqset_add(&set, 1), ==, MST_SEQSET_ADDED);
	g_assert_cmpint(mst_seqset_add(&set, 3), ==, MST_SEQSET_ADDED);
	g_assert_cmpint(mst_seqset_add(&set, 4), ==, MST_SEQSET_ADDED);
	g_assert_cmpuint(set.frontier, ==, 1);
	g_assert_cmpuint(set.count, ==, 1);
	g_assert_false(mst_seqset_contains(&set, 2));
	g_assert_true(mst_seqset_contains(&set, 4));
	g_assert_cmpint(mst_seqset_add(&set, 2), ==, MST_SEQSET_ADDED);
	g_assert_cmpuint(set.frontier, ==, 4);
	g_assert_cmpuint(set.count, ==, 0);
	mst_seqset_clear(&set);
}

static void
seqset__duplicates_are_reported(void)
{
	struct mst_seqset set = {0};

	mst_seqset_add(&set, 5);
	g_assert_cmpint(mst_seqset_add(&set, 5), ==, MST_SEQSET_PRESENT);
	mst_seqset_add(&set, 6);
	g_assert_cmpint(mst_seqset_add(&set, 6), ==, MST_SEQSET_PRESENT);
	g_assert_false(mst_seqset_contains(&set, 7));
	g_assert_false(mst_seqset_contains(&set, 4));
	mst_seqset_clear(&set);
}

static void
seqset__full_set_rejects_new_range(void)
{
	struct mst_seqset set = {0};
	uint64_t seq;

	for (seq = 2; set.count < MST_SEQSET_RANGES_MAX; seq += 2)
		mst_seqset_add(&set, seq);
	g_assert_cmpint(mst_seqset_add(&set, seq), ==, MST_SEQSET_FULL);
	g_assert_false(mst_seqset_contains(&set, seq));
	/* A number that fills a gap is still added, and frees a range. */
	g_assert_cmpint(mst_seqset_add(&set, 1), ==, MST_SEQSET_ADDED);
	g_assert_cmpint(mst_seqset_add(&set, seq), ==, MST_SEQSET_ADDED);
	mst_seqset_clear(&set);
}

static void
seqset__agrees_with_hash_set(void)
{
	struct mst_seqset set = {0};
	GHashTable *reference = g_hash_table_new(g_direct_hash, g_direct_equal);
	GRand *rand = g_rand_new_with_seed(SEED);
	uint64_t seq;
	bool is_new;
	int i;

	for (i = 0; i < RANDOM_ADDS; i++) {
		seq = (uint64_t)g_rand_int_range(rand, 1, 4000);
		is_new = g_hash_table_add(reference, GSIZE_TO_POINTER(seq));
		g_assert_cmpint(mst_seqset_add(&set, seq), ==,
		    is_new ? MST_SEQSET_ADDED : MST_SEQSET_PRESENT);
		seq = (uint64_t)g_rand_int_range(rand, 1, 4000);
		g_assert_cmpint(mst_seqset_contains(&set, seq), ==,
		    g_hash_table_contains(reference, GSIZE_TO_POINTER(seq)));
	}
	g_rand_free(rand);
	g_hash_table_unref(reference);
	mst_seqset_clear(&set);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/seqset/gap", seqset__gap_is_kept_until_it_is_filled);
	g_test_add_func("/seqset/duplicates", seqset__duplicates_are_reported);
	g_test_add_func("/seqset/full", seqset__full_set_rejects_new_range);
	g_test_add_func("/seqset/reference", seqset__agrees_with_hash_set);
	return g_test_run();
}
