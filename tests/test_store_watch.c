/* Watches of the store whose revisions are not what they should be. */

#include <glib.h>

#include "runtime/store_watch.h"

/* A store that answers each call with the next revision of a list. */
struct fake_store {
	const uint64_t *revisions; /* ends with 0, after which none answers */
	GString *log;
};

static void
answer(struct fake_store *fake, bool is_snapshot, store_update_cb on_update,
    void *ctx)
{
	const struct store_update update = {.status = STORE_OK,
	    .revision = *fake->revisions,
	    .is_snapshot = is_snapshot};

	if (*fake->revisions++ != 0)
		on_update(&update, ctx);
}

static void
fake_read(void *store, enum store_subject subject, uint32_t timeout_ms,
    store_update_cb on_update, void *ctx)
{
	g_string_append(((struct fake_store *)store)->log, "read; ");
	answer(store, true, on_update, ctx);
}

static void
fake_watch(void *store, enum store_subject subject, uint64_t after,
    uint32_t wait_ms, uint32_t timeout_ms, store_update_cb on_update, void *ctx)
{
	g_string_append_printf(((struct fake_store *)store)->log,
	    "watch after %" G_GUINT64_FORMAT "; ", after);
	answer(store, false, on_update, ctx);
}

static void
on_update(const struct store_update *update, void *ctx)
{
	struct fake_store *fake = ctx;

	g_string_append_printf(
	    fake->log, "update %" G_GUINT64_FORMAT "; ", update->revision);
}

static void
assert_calls(const uint64_t *revisions, const char *expected)
{
	static const struct store_driver driver = {
	    .read = fake_read, .watch = fake_watch};
	struct fake_store fake = {
	    .revisions = revisions, .log = g_string_new(NULL)};
	struct store_watch watch = {.driver = &driver,
	    .store = &fake,
	    .subject = STORE_ENTRIES,
	    .on_update = on_update,
	    .ctx = &fake};
	uv_loop_t loop;

	uv_loop_init(&loop);
	store_watch_start(&watch, &loop);
	uv_run(&loop, UV_RUN_DEFAULT);
	g_assert_cmpstr(fake.log->str, ==, expected);
	g_string_free(fake.log, TRUE);
}

static void
watch__continues_from_last_revision(void)
{
	static const uint64_t revisions[] = {5, 5, 7, 0};

	assert_calls(revisions,
	    "read; update 5; watch after 5; update 5; watch after 5; "
	    "update 7; watch after 7; ");
}

/* Guards against a watch that skips every change after one answer with a huge
 * revision. */
static void
watch__lower_revision_is_read_anew(void)
{
	static const uint64_t revisions[] = {
	    5, UINT64_C(9007199254740992), 6, 6, 0};

	assert_calls(revisions,
	    "read; update 5; watch after 5; update 9007199254740992; "
	    "watch after 9007199254740992; read; update 6; watch after 6; ");
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/store-watch/continues", watch__continues_from_last_revision);
	g_test_add_func(
	    "/store-watch/lower-revision", watch__lower_revision_is_read_anew);
	return g_test_run();
}
