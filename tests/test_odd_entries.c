/*
 * Choice of the entries to connect to while the store has hundreds of addresses
 * that another writer has put there and where no entry is.
 */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "core/entry_choice.h"

#define LIVE_COUNT 10
#define ODD_COUNT  1000
#define CHOSEN_MAX 16
#define TRIALS_MAX 16
#define STEP_US    (200 * 1000)
#define START_US   (10 * G_USEC_PER_SEC)
#define FIRST_LIVE 1 /* ports of the live entries */
#define FIRST_ODD  1000
#define PORTS      2048
#define RENAME_US  (20 * G_USEC_PER_SEC) /* between two snapshots */

struct fixture {
	struct mst_entry_choice *choice;
	bool linked[PORTS];
	bool tried[PORTS];
	int linked_most; /* at a time */
	int64_t now_us;
};

static int
port_of(const char *address)
{
	return (int)strtol(strrchr(address, ':') + 1, NULL, 10);
}

static int
count_linked(const struct fixture *f)
{
	int port, count = 0;

	for (port = 0; port < PORTS; port++)
		count += f->linked[port];
	return count;
}

static int
count_live(const struct fixture *f)
{
	int port, count = 0;

	for (port = 0; port < FIRST_ODD; port++)
		count += f->linked[port];
	return count;
}

static void
on_connect(const char *address, void *ctx)
{
	struct fixture *f = ctx;

	f->linked[port_of(address)] = true;
	f->tried[port_of(address)] = true;
	f->linked_most = MAX(f->linked_most, count_linked(f));
}

static void
on_disconnect(const char *address, void *ctx)
{
	((struct fixture *)ctx)->linked[port_of(address)] = false;
}

/* As entry_links does: an entry that was never heard from is released. */
static void
on_set_wanted(const char *address, bool wanted, void *ctx)
{
	struct fixture *f = ctx;

	if (wanted)
		return;
	f->linked[port_of(address)] = false;
	mst_entry_choice_release(f->choice, address);
}

static void
add_ports(struct fixture *f, int first, int count, enum mst_entry_source source)
{
	char address[32];
	int i;

	for (i = 0; i < count; i++) {
		g_snprintf(address, sizeof(address), "10.0.0.1:%d", first + i);
		mst_entry_choice_add(f->choice, address, source, f->now_us);
	}
}

static void
fixture_open(struct fixture *f, uint32_t max)
{
	const struct mst_entry_choice_options options = {.name = "agent",
	    .max = max,
	    .connect = on_connect,
	    .disconnect = on_disconnect,
	    .set_wanted = on_set_wanted,
	    .ctx = f};

	memset(f, 0, sizeof(*f));
	f->now_us = START_US;
	f->choice = mst_entry_choice_new(&options);
}

static void
step(struct fixture *f)
{
	char address[32];
	int port;

	f->now_us += STEP_US;
	for (port = FIRST_LIVE; port < FIRST_LIVE + LIVE_COUNT; port++) {
		g_snprintf(address, sizeof(address), "10.0.0.1:%d", port);
		if (f->linked[port])
			mst_entry_choice_hear(f->choice, address, f->now_us);
	}
	mst_entry_choice_update(f->choice, f->now_us);
}

static void
run_for(struct fixture *f, int seconds)
{
	int64_t end_us = f->now_us + seconds * G_USEC_PER_SEC;

	while (f->now_us < end_us)
		step(f);
}

/* Guards against odd rows that push out the entries that are in use. */
static void
test_live_are_kept(gconstpointer max)
{
	struct fixture f;
	int i;

	fixture_open(&f, GPOINTER_TO_UINT(max));
	add_ports(&f, FIRST_LIVE, LIVE_COUNT, MST_ENTRY_STORED);
	run_for(&f, 2);
	g_assert_cmpint(count_live(&f), ==, LIVE_COUNT);
	add_ports(&f, FIRST_ODD, ODD_COUNT, MST_ENTRY_STORED);
	for (i = 0; i < 300; i++) {
		step(&f);
		g_assert_cmpint(count_live(&f), ==, LIVE_COUNT);
	}
	mst_entry_choice_free(f.choice);
}

/* Guards against a connection, with its descriptors and memory, for each odd
 * row, and against a list of them that is passed on. */
static void
test_connections_are_bounded(gconstpointer max)
{
	struct fixture f;

	fixture_open(&f, GPOINTER_TO_UINT(max));
	add_ports(&f, FIRST_ODD, ODD_COUNT, MST_ENTRY_STORED);
	add_ports(&f, FIRST_LIVE, LIVE_COUNT, MST_ENTRY_NAMED);
	run_for(&f, 30);
	g_assert_cmpint(f.linked_most, <=, LIVE_COUNT + TRIALS_MAX);
	g_assert_cmpint(count_live(&f), ==, LIVE_COUNT);
	g_assert_null(
	    strstr(mst_entry_choice_addresses(f.choice), "10.0.0.1:1000"));
	mst_entry_choice_free(f.choice);
}

/* Guards against a live entry that is never tried as odd ones come first in
 * rank, or come again with each snapshot. */
static void
test_each_is_tried(gconstpointer max)
{
	struct fixture f;
	int i, port;

	fixture_open(&f, GPOINTER_TO_UINT(max));
	for (i = 0; i < 12; i++) {
		add_ports(&f, FIRST_ODD, 400, MST_ENTRY_STORED);
		add_ports(&f, FIRST_LIVE, LIVE_COUNT, MST_ENTRY_STORED);
		run_for(&f, RENAME_US / G_USEC_PER_SEC);
	}
	g_assert_cmpint(count_live(&f), ==, LIVE_COUNT);
	for (port = FIRST_ODD; port < FIRST_ODD + 400; port++)
		g_assert_true(f.tried[port] || GPOINTER_TO_UINT(max) > 0);
	mst_entry_choice_free(f.choice);
}

/* Guards against the configured entries of a new process waiting behind odd
 * rows. */
static void
test_configured_come_first(gconstpointer max)
{
	struct fixture f;

	fixture_open(&f, GPOINTER_TO_UINT(max));
	add_ports(&f, FIRST_ODD, ODD_COUNT, MST_ENTRY_STORED);
	add_ports(&f, FIRST_LIVE, LIVE_COUNT, MST_ENTRY_CONFIGURED);
	step(&f);
	g_assert_cmpint(count_live(&f), ==, LIVE_COUNT);
	mst_entry_choice_free(f.choice);
}

static void
add_test(const char *name, GTestDataFunc test)
{
	char *path = g_strconcat("/odd-entries/agent/", name, NULL);

	g_test_add_data_func(path, GUINT_TO_POINTER(CHOSEN_MAX), test);
	g_free(path);
	path = g_strconcat("/odd-entries/entry/", name, NULL);
	g_test_add_data_func(path, GUINT_TO_POINTER(0), test);
	g_free(path);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add_test("live-are-kept", test_live_are_kept);
	add_test("connections-are-bounded", test_connections_are_bounded);
	add_test("each-is-tried", test_each_is_tried);
	add_test("configured-come-first", test_configured_come_first);
	return g_test_run();
}
