/*
 * Tests of the kept report of a worker: which transactions its reports cause at
 * a store that answers at once.
 */

#include <masticstall.h>

#include "runtime/report_store.h"

static const struct mst_worker_report ready = {.id = {"w", 1},
    .service = {"service", 7},
    .incarnation = 5,
    .seq = 1,
    .capacity = {.millicores = 8000, .memory_mb = 1024}};
static const struct mst_worker_report leaving = {
    .id = {"w", 1}, .shutting_down = true};

/* A store with one row that counts the transactions. */
struct fake_store {
	const char *key;
	const char *value; /* of the row that is read */
	unsigned reports;  /* that were read */
	unsigned writes;
	unsigned removals;
	enum store_status status; /* of the answers */
};

static void
fake_commit(void *ctx, const struct store_txn *txn, uint32_t timeout_ms,
    store_result_cb on_result, void *result_ctx)
{
	struct fake_store *store = ctx;
	const struct store_result result = {.status = store->status};

	if (txn->rows[0].value != NULL)
		store->writes++;
	else
		store->removals++;
	on_result(&result, result_ctx);
}

static void
fake_list_range(void *ctx, const struct store_range *range, uint32_t timeout_ms,
    store_result_cb on_result, void *result_ctx)
{
	struct fake_store *store = ctx;
	const struct store_row row = {.key = store->key, .value = store->value};
	const struct store_result result = {
	    .status = STORE_OK, .rows = &row, .count = 1};

	g_assert_cmpstr(range->from, ==, "worker");
	on_result(&result, result_ctx);
}

static void
on_report(const struct mst_worker_report *report, void *ctx)
{
	((struct fake_store *)ctx)->reports++;
}

static const struct store_driver fake_driver = {
    .commit = fake_commit, .list_range = fake_list_range};
static const struct mst_drivers drivers = {.store = &fake_driver};

static struct report_store *
open_store(struct fake_store *fake)
{
	const struct report_store_options options = {.drivers = &drivers,
	    .store = fake,
	    .name = "host",
	    .on_report = on_report,
	    .ctx = fake};

	*fake = (struct fake_store){.key = "worker", .status = STORE_OK};
	return report_store_new(&options);
}

static void
report_store__writes_changes_only(void)
{
	struct mst_worker_report draining = ready;
	struct fake_store fake;
	struct report_store *store = open_store(&fake);

	draining.draining = true;
	report_store_save(store, &ready);
	report_store_save(store, &ready);
	g_assert_cmpuint(fake.writes, ==, 1);
	report_store_save(store, &draining);
	g_assert_cmpuint(fake.writes, ==, 2);
	g_assert_cmpuint(fake.removals, ==, 0);
}

static void
report_store__failed_write_is_repeated(void)
{
	struct fake_store fake;
	struct report_store *store = open_store(&fake);

	fake.status = STORE_UNAVAILABLE;
	report_store_save(store, &ready);
	fake.status = STORE_OK;
	report_store_save(store, &ready);
	report_store_save(store, &ready);
	g_assert_cmpuint(fake.writes, ==, 2);
}

/* A leaving worker may report that several times. */
static void
report_store__row_is_removed_once(void)
{
	struct fake_store fake;
	struct report_store *store = open_store(&fake);

	report_store_save(store, &ready);
	report_store_save(store, &leaving);
	report_store_save(store, &leaving);
	g_assert_cmpuint(fake.removals, ==, 1);
}

/* The row that an earlier incarnation of the agent has written must not be read
 * by the next one. */
static void
report_store__row_of_earlier_incarnation_is_removed(void)
{
	struct fake_store fake;
	struct report_store *store = open_store(&fake);

	report_store_save(store, &leaving);
	g_assert_cmpuint(fake.removals, ==, 1);
}

#define KEPT_FIELDS                                                            \
	"\"service\":\"s\",\"rack\":\"\",\"labels\":\"\",\"memory_mb\":1,"     \
	"\"accelerators\":0}"

/* Guards against a kept report of another writer that ends the agent, adds a
 * header to its orders, or has numbers that differ between machines. */
static void
report_store__odd_rows_are_ignored(void)
{
	static const char *const odd[] = {"", "7", "{}", "\xff",
	    "{\"id\":\"w\\r\\nX: "
	    "1\",\"incarnation\":1,\"millicores\":1," KEPT_FIELDS,
	    "{\"id\":\"\",\"incarnation\":1,\"millicores\":1," KEPT_FIELDS,
	    "{\"id\":\"w\",\"incarnation\":1.5,\"millicores\":1," KEPT_FIELDS,
	    "{\"id\":\"w\",\"incarnation\":18446744073709551615,"
	    "\"millicores\":1," KEPT_FIELDS,
	    "{\"id\":\"w\",\"incarnation\":1,\"millicores\":-1," KEPT_FIELDS,
	    "{\"id\":\"w\",\"incarnation\":1,\"millicores\":0," KEPT_FIELDS,
	    "{\"id\":\"w\",\"incarnation\":1,\"millicores\":1,"
	    "\"draining\":7," KEPT_FIELDS};
	struct fake_store fake;
	struct report_store *store = open_store(&fake);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		fake.value = odd[i];
		report_store_load(store);
		g_assert_cmpuint(fake.reports, ==, 0);
	}
	fake.value =
	    "{\"id\":\"w\",\"incarnation\":1,\"millicores\":1," KEPT_FIELDS;
	fake.key = "worker of another";
	report_store_load(store);
	g_assert_cmpuint(fake.reports, ==, 0);
	fake.key = "worker";
	report_store_load(store);
	g_assert_cmpuint(fake.reports, ==, 1);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/report-store/writes-changes-only",
	    report_store__writes_changes_only);
	g_test_add_func("/report-store/failed-write-is-repeated",
	    report_store__failed_write_is_repeated);
	g_test_add_func("/report-store/row-is-removed-once",
	    report_store__row_is_removed_once);
	g_test_add_func("/report-store/row-of-earlier-incarnation-is-removed",
	    report_store__row_of_earlier_incarnation_is_removed);
	g_test_add_func("/report-store/odd-rows-are-ignored",
	    report_store__odd_rows_are_ignored);
	return g_test_run();
}
