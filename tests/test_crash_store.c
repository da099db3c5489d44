/*
 * Tests of the crashes that an agent keeps in the store: what the next
 * incarnation reads, and what a store that fails at times delays.
 */

#include <masticstall.h>
#include <string.h>
#include <uv.h>

#include "runtime/crash_store.h"

#define CRASHED_MS 1700000000000 /* wall-clock time of the crash */
#define AGE_MS     250

/* A store with one row. */
struct fake_store {
	const char *key;
	const char *from; /* first key of the last read */
	char *value;
	enum store_status status; /* of the answers */
	unsigned reads;
	unsigned writes;
	store_result_cb held; /* answer that is held back */
	void *held_ctx;
	bool hold;
};

/* What a test has read. */
struct loaded {
	unsigned calls;
	uint32_t count;
	uint32_t age_ms;
	uint64_t id;
	char task[40];
	bool cleared;
};

static int64_t now_ms = CRASHED_MS;

static int64_t
wall_ms(void)
{
	return now_ms;
}

static void
fake_commit(void *ctx, const struct store_txn *txn, uint32_t timeout_ms,
    store_result_cb on_result, void *result_ctx)
{
	struct fake_store *store = ctx;
	const struct store_result result = {.status = store->status};

	store->writes++;
	g_free(store->value);
	store->value = g_strdup(txn->rows[0].value);
	if (store->hold) {
		store->held = on_result;
		store->held_ctx = result_ctx;
	} else {
		on_result(&result, result_ctx);
	}
}

static void
fake_list_range(void *ctx, const struct store_range *range, uint32_t timeout_ms,
    store_result_cb on_result, void *result_ctx)
{
	struct fake_store *store = ctx;
	const struct store_row row = {.key = store->key, .value = store->value};
	const struct store_result result = {.status = store->status,
	    .rows = &row,
	    .count = store->value != NULL ? 1 : 0};

	store->reads++;
	store->from = range->from;
	store->status = STORE_OK;
	on_result(&result, result_ctx);
}

static const struct store_driver fake_driver = {
    .commit = fake_commit, .list_range = fake_list_range};
static const struct mst_drivers drivers = {.store = &fake_driver};

static void
on_crashes(const struct mst_crashes *crashes, void *ctx)
{
	struct loaded *loaded = ctx;
	const struct mst_crash *last = &crashes->items[crashes->count - 1];

	loaded->calls++;
	loaded->count = crashes->count;
	loaded->age_ms = last->age_ms;
	loaded->id = last->id;
	loaded->cleared = last->cleared;
	memcpy(loaded->task, last->runs[0].task.data, last->runs[0].task.len);
}

static struct crash_store *
open_store(struct fake_store *fake, uv_loop_t *loop, struct loaded *loaded)
{
	const struct crash_store_options options = {.loop = loop,
	    .drivers = &drivers,
	    .store = fake,
	    .name = "host",
	    .wall_ms = wall_ms,
	    .on_crashes = on_crashes,
	    .ctx = loaded};

	*fake = (struct fake_store){.key = "crashes", .status = STORE_OK};
	*loaded = (struct loaded){0};
	now_ms = CRASHED_MS;
	uv_loop_init(loop);
	return crash_store_new(&options);
}

static void
save(struct crash_store *store, uint64_t id)
{
	const struct mst_crashed_run runs[] = {
	    {.task = {"a.0.0.1", 7}, .team = 5},
	    {.task = {"b.0.0.0", 7}, .team = 6}};
	const struct mst_crash crash = {.id = id, .run_count = 2, .runs = runs};
	const struct mst_crashes crashes = {.count = 1, .items = &crash};

	crash_store_save(store, &crashes);
}

/* Guards against an agent that forgets with its restart which tasks were
 * present when its worker crashed. */
static void
crash_store__next_incarnation_reads_crashes(void)
{
	struct fake_store fake;
	struct loaded loaded;
	uv_loop_t loop;
	struct crash_store *store = open_store(&fake, &loop, &loaded);

	save(store, 0xfedcba9876543210u);
	now_ms += AGE_MS;
	crash_store_load(store);
	g_assert_cmpuint(loaded.count, ==, 1);
	g_assert_true(loaded.id == 0xfedcba9876543210u);
	g_assert_cmpuint(loaded.age_ms, ==, AGE_MS);
	g_assert_cmpstr(loaded.task, ==, "a.0.0.1");
	g_assert_false(loaded.cleared);
}

/* Guards against a time of day that was set back making a crash a future one.
 */
static void
crash_store__clock_set_back_gives_age_zero(void)
{
	struct fake_store fake;
	struct loaded loaded;
	uv_loop_t loop;
	struct crash_store *store = open_store(&fake, &loop, &loaded);

	save(store, 1);
	now_ms -= AGE_MS;
	crash_store_load(store);
	g_assert_cmpuint(loaded.calls, ==, 1);
	g_assert_cmpuint(loaded.age_ms, ==, 0);
}

/* Guards against crashes that are never read because the store was away when
 * the agent started. */
static void
crash_store__load_is_repeated(void)
{
	struct fake_store fake;
	struct loaded loaded;
	uv_loop_t loop;
	struct crash_store *store = open_store(&fake, &loop, &loaded);

	save(store, 1);
	fake.status = STORE_UNAVAILABLE;
	crash_store_load(store);
	g_assert_cmpuint(loaded.calls, ==, 0);
	uv_run(&loop, UV_RUN_DEFAULT);
	g_assert_cmpuint(fake.reads, ==, 2);
	g_assert_cmpuint(loaded.calls, ==, 1);
}

/* Guards against many writes for a series of crashes while the store is slow,
 * and against losing the last one. */
static void
crash_store__last_save_waits_for_write(void)
{
	const struct store_result written = {.status = STORE_OK};
	struct fake_store fake;
	struct loaded loaded;
	uv_loop_t loop;
	struct crash_store *store = open_store(&fake, &loop, &loaded);

	fake.hold = true;
	save(store, 1);
	save(store, 2);
	save(store, 3);
	g_assert_cmpuint(fake.writes, ==, 1);
	fake.hold = false;
	fake.held(&written, fake.held_ctx);
	g_assert_cmpuint(fake.writes, ==, 2);
	crash_store_load(store);
	g_assert_cmpuint(loaded.id, ==, 3);
}

/* Guards against a malformed row taking the agent down. */
static void
crash_store__malformed_row_is_ignored(void)
{
	static const char *const values[] = {"", "[]", "{\"crashes\":5}",
	    "{\"crashes\":[{}]}",
	    "{\"crashes\":[{\"id\":\"1\",\"wall_ms\":-1,\"runs\":[]}]}",
	    "{\"crashes\":[{\"id\":\"1\",\"wall_ms\":1,\"runs\":[{}]}]}"};
	struct fake_store fake;
	struct loaded loaded;
	uv_loop_t loop;
	struct crash_store *store = open_store(&fake, &loop, &loaded);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		g_free(fake.value);
		fake.value = g_strdup(values[i]);
		crash_store_load(store);
	}
	g_assert_cmpuint(loaded.calls, ==, 0);
}

/* Guards against one odd crash that hides the others of the row. */
static void
crash_store__odd_crashes_are_left_out(void)
{
	static const char *const odd[] = {"7", "[]", "{}",
	    "{\"id\":\"zz\",\"wall_ms\":1,\"runs\":[]}",
	    "{\"id\":\"1\",\"wall_ms\":1e300,\"runs\":[]}",
	    "{\"id\":\"1\",\"wall_ms\":1.5,\"runs\":[]}",
	    "{\"id\":\"1\",\"wall_ms\":1,\"runs\":{\"a\":1}}",
	    "{\"id\":\"1\",\"wall_ms\":1,\"cleared\":1,\"runs\":[]}",
	    "{\"id\":\"1\",\"wall_ms\":1,\"runs\":[7]}",
	    "{\"id\":\"1\",\"wall_ms\":1,\"runs\":[{\"task\":\"\",\"team\":1}]"
	    "}",
	    "{\"id\":\"1\",\"wall_ms\":1,\"runs\":[{\"task\":\"a\","
	    "\"team\":4294967296}]}",
	    "{\"id\":\"1\",\"wall_ms\":1,\"runs\":[{\"task\":\"a\",\"team\":1,"
	    "\"lasted_ms\":-1}]}"};
	struct fake_store fake;
	struct loaded loaded;
	uv_loop_t loop;
	struct crash_store *store = open_store(&fake, &loop, &loaded);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		g_free(fake.value);
		fake.value = g_strdup_printf(
		    "{\"crashes\":[%s,{\"id\":\"2\",\"wall_ms\":1,"
		    "\"runs\":[{\"task\":\"a.0.0.1\",\"team\":5}]},%s]}",
		    odd[i], odd[i]);
		crash_store_load(store);
		g_assert_cmpuint(loaded.calls, ==, i + 1);
		g_assert_cmpuint(loaded.count, ==, 1);
		g_assert_cmpuint(loaded.id, ==, 2);
		g_assert_cmpstr(loaded.task, ==, "a.0.0.1");
	}
}

/* Guards against a row that is no JSON at all, so that no crash is ever kept
 * again. */
static void
crash_store__unreadable_row_is_replaced(void)
{
	struct fake_store fake;
	struct loaded loaded;
	uv_loop_t loop;
	struct crash_store *store = open_store(&fake, &loop, &loaded);

	fake.value = g_strdup("\xff");
	crash_store_load(store);
	save(store, 3);
	g_assert_cmpuint(fake.writes, ==, 1);
	crash_store_load(store);
	g_assert_cmpuint(loaded.id, ==, 3);
}

/* Guards against the row of another writer in the same partition. */
static void
crash_store__other_row_is_ignored(void)
{
	struct fake_store fake;
	struct loaded loaded;
	uv_loop_t loop;
	struct crash_store *store = open_store(&fake, &loop, &loaded);

	save(store, 1);
	fake.key = "crashes of another";
	crash_store_load(store);
	g_assert_cmpuint(loaded.calls, ==, 0);
	g_assert_cmpstr(fake.from, ==, "crashes");
}

/* Guards against an older build that drops what a newer one has added. */
static void
crash_store__added_members_are_kept(void)
{
	struct fake_store fake;
	struct loaded loaded;
	uv_loop_t loop;
	struct crash_store *store = open_store(&fake, &loop, &loaded);

	fake.value = g_strdup("{\"crashes\":[{\"id\":\"0000000000000001\","
			      "\"wall_ms\":1,\"cleared\":false,\"signal\":9,"
			      "\"runs\":[{\"task\":\"a\",\"team\":5}]}],"
			      "\"format\":2}");
	crash_store_load(store);
	g_assert_cmpuint(loaded.calls, ==, 1);
	save(store, 1);
	g_assert_nonnull(strstr(fake.value, "\"signal\":9"));
	g_assert_nonnull(strstr(fake.value, "\"format\":2"));
}

/* Guards against a row in a format that this build doesn't know being replaced
 * by one that has only what this build has seen. */
static void
crash_store__unknown_format_is_left_alone(void)
{
	static const char other[] = "{\"crashes\":{\"first\":1}}";
	struct fake_store fake;
	struct loaded loaded;
	uv_loop_t loop;
	struct crash_store *store = open_store(&fake, &loop, &loaded);

	fake.value = g_strdup(other);
	crash_store_load(store);
	save(store, 1);
	g_assert_cmpuint(fake.writes, ==, 0);
	g_assert_cmpstr(fake.value, ==, other);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crash-store/next-incarnation-reads-crashes",
	    crash_store__next_incarnation_reads_crashes);
	g_test_add_func("/crash-store/clock-set-back-gives-age-zero",
	    crash_store__clock_set_back_gives_age_zero);
	g_test_add_func(
	    "/crash-store/load-is-repeated", crash_store__load_is_repeated);
	g_test_add_func("/crash-store/last-save-waits-for-write",
	    crash_store__last_save_waits_for_write);
	g_test_add_func("/crash-store/malformed-row-is-ignored",
	    crash_store__malformed_row_is_ignored);
	g_test_add_func("/crash-store/odd-crashes-are-left-out",
	    crash_store__odd_crashes_are_left_out);
	g_test_add_func("/crash-store/unreadable-row-is-replaced",
	    crash_store__unreadable_row_is_replaced);
	g_test_add_func("/crash-store/other-row-is-ignored",
	    crash_store__other_row_is_ignored);
	g_test_add_func("/crash-store/added-members-are-kept",
	    crash_store__added_members_are_kept);
	g_test_add_func("/crash-store/unknown-format-is-left-alone",
	    crash_store__unknown_format_is_left_alone);
	return g_test_run();
}
