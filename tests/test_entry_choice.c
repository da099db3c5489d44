/*
 * Choice of the entries that an agent connects to: it spreads the agents evenly
 * over the entries, changes little when entries come and go, and keeps enough
 * live ones.
 */

#include <glib.h>
#include <string.h>

#include "core/entry_choice.h"

#define ENTRIES    45
#define AGENTS     252
#define CHOSEN_MAX 16
#define S          G_USEC_PER_SEC
#define UPDATE_S   1
#define START_US   (10 * S)

struct agent {
	struct mst_entry_choice *choice;
	bool linked[ENTRIES];   /* connected to the entry */
	bool heard[ENTRIES];    /* on this connection */
	bool unwanted[ENTRIES]; /* told that the entry is not wanted */
};

struct fixture {
	struct agent agents[AGENTS];
	bool dead[ENTRIES];
	int64_t now_us;
	enum mst_entry_source source; /* of the addresses */
};

static int
entry_index(const char *address)
{
	return (int)g_ascii_strtoll(strrchr(address, '.') + 1, NULL, 10);
}

static char *
entry_address(int entry)
{
	return g_strdup_printf("10.0.0.%d:7000", entry);
}

static void
on_connect(const char *address, void *ctx)
{
	struct agent *agent = ctx;

	g_assert_false(agent->linked[entry_index(address)]);
	agent->linked[entry_index(address)] = true;
	agent->heard[entry_index(address)] = false;
	agent->unwanted[entry_index(address)] = false;
}

static void
on_disconnect(const char *address, void *ctx)
{
	struct agent *agent = ctx;

	g_assert_true(agent->linked[entry_index(address)]);
	agent->linked[entry_index(address)] = false;
}

/* As entry_links does: one that was never heard from is released at once. */
static void
on_set_wanted(const char *address, bool wanted, void *ctx)
{
	struct agent *agent = ctx;
	int entry = entry_index(address);

	agent->unwanted[entry] = !wanted;
	if (wanted || agent->heard[entry])
		return;
	agent->linked[entry] = false;
	mst_entry_choice_release(agent->choice, address);
}

static void
fixture_open(struct fixture *f, gconstpointer source)
{
	int i;

	memset(f, 0, sizeof(*f));
	f->source = (enum mst_entry_source)GPOINTER_TO_INT(source);
	f->now_us = START_US;
	for (i = 0; i < AGENTS; i++) {
		char name[16];
		struct mst_entry_choice_options options = {.name = name,
		    .max = CHOSEN_MAX,
		    .connect = on_connect,
		    .disconnect = on_disconnect,
		    .set_wanted = on_set_wanted,
		    .ctx = &f->agents[i]};

		g_snprintf(name, sizeof(name), "agent-%d", i);
		f->agents[i].choice = mst_entry_choice_new(&options);
	}
}

static void
fixture_close(struct fixture *f)
{
	int i;

	for (i = 0; i < AGENTS; i++)
		mst_entry_choice_free(f->agents[i].choice);
}

static void
add_entry(struct fixture *f, int entry)
{
	char *address = entry_address(entry);
	int i;

	for (i = 0; i < AGENTS; i++)
		mst_entry_choice_add(
		    f->agents[i].choice, address, f->source, f->now_us);
	g_free(address);
}

static void
add_all(struct fixture *f)
{
	int i;

	for (i = 0; i < ENTRIES; i++)
		add_entry(f, i);
}

/* Releases what an agent doesn't want, and tells it which live entries it hears
 * from. */
static void
update_agent(struct fixture *f, struct agent *agent)
{
	int i;

	for (i = 0; i < ENTRIES; i++) {
		char *address = entry_address(i);

		if (agent->linked[i] && agent->unwanted[i]) {
			agent->linked[i] = false;
			mst_entry_choice_release(agent->choice, address);
		}
		if (agent->linked[i] && !f->dead[i]) {
			agent->heard[i] = true;
			mst_entry_choice_hear(
			    agent->choice, address, f->now_us);
		}
		g_free(address);
	}
	mst_entry_choice_update(agent->choice, f->now_us);
}

static void
run_for(struct fixture *f, int seconds)
{
	int i, n;

	for (n = 0; n < seconds; n += UPDATE_S) {
		f->now_us += UPDATE_S * S;
		for (i = 0; i < AGENTS; i++)
			update_agent(f, &f->agents[i]);
	}
}

static int
count_agents(const struct fixture *f, int entry)
{
	int i, count = 0;

	for (i = 0; i < AGENTS; i++)
		count += f->agents[i].linked[entry];
	return count;
}

static int
count_live(const struct fixture *f, const struct agent *agent)
{
	int i, count = 0;

	for (i = 0; i < ENTRIES; i++)
		count += agent->linked[i] && !f->dead[i];
	return count;
}

static void
assert_all_have_enough(const struct fixture *f)
{
	int i;

	for (i = 0; i < AGENTS; i++)
		g_assert_cmpint(count_live(f, &f->agents[i]), ==, CHOSEN_MAX);
}

/* Each agent connects to its share of the entries, and no entry has less than
 * two thirds or more than four thirds of its share of the agents. */
static void
test_spread(gconstpointer source)
{
	struct fixture f;
	int i;

	fixture_open(&f, source);
	add_all(&f);
	run_for(&f, 2);
	assert_all_have_enough(&f);
	for (i = 0; i < ENTRIES; i++) {
		int count = count_agents(&f, i);

		g_assert_cmpint(
		    count * 3 * ENTRIES, >, AGENTS * CHOSEN_MAX * 2);
		g_assert_cmpint(
		    count * 3 * ENTRIES, <, AGENTS * CHOSEN_MAX * 4);
	}
	fixture_close(&f);
}

/* With fewer entries than an agent may use, it uses all. */
static void
test_small(gconstpointer source)
{
	struct fixture f;
	int i;

	fixture_open(&f, source);
	for (i = 0; i < CHOSEN_MAX; i++)
		add_entry(&f, i);
	run_for(&f, 2);
	for (i = 0; i < CHOSEN_MAX; i++)
		g_assert_cmpint(count_agents(&f, i), ==, AGENTS);
	fixture_close(&f);
}

/* An entry that dies is replaced at the agents that used it, and only there,
 * and is used by the same ones when it is back. */
static void
test_lost_and_back(gconstpointer source)
{
	struct fixture f, before;
	int i;

	fixture_open(&f, source);
	add_all(&f);
	run_for(&f, 2);
	before = f;
	f.dead[7] = true;
	run_for(&f, 6);
	assert_all_have_enough(&f);
	for (i = 0; i < AGENTS; i++) {
		if (!before.agents[i].linked[7])
			g_assert_cmpmem(f.agents[i].linked, ENTRIES,
			    before.agents[i].linked, ENTRIES);
	}
	f.dead[7] = false;
	run_for(&f, 6);
	for (i = 0; i < AGENTS; i++)
		g_assert_cmpmem(f.agents[i].linked, ENTRIES,
		    before.agents[i].linked, ENTRIES);
	fixture_close(&f);
}

/* While all are silent, an agent tries at most twice as many as it wants. */
static void
test_all_lost(gconstpointer source)
{
	struct fixture f;
	int i, n;

	fixture_open(&f, source);
	add_all(&f);
	run_for(&f, 2);
	for (i = 0; i < ENTRIES; i++)
		f.dead[i] = true;
	run_for(&f, 30);
	for (i = 0; i < AGENTS; i++) {
		int linked = 0;

		for (n = 0; n < ENTRIES; n++)
			linked += f.agents[i].linked[n];
		g_assert_cmpint(linked, ==, 2 * CHOSEN_MAX);
	}
	memset(f.dead, 0, sizeof(f.dead));
	run_for(&f, 6);
	assert_all_have_enough(&f);
	fixture_close(&f);
}

/* An address that stays silent and that nobody names is forgotten; one that is
 * named is kept. */
static void
test_forgotten(gconstpointer source)
{
	struct fixture f;
	const char *addresses;
	int i, n, agent = 0;

	fixture_open(&f, source);
	add_all(&f);
	run_for(&f, 2);
	/* Addresses that only the store names are listed once reached. */
	while (!f.agents[agent].linked[3] || !f.agents[agent].linked[4])
		agent++;
	f.dead[3] = f.dead[4] = true;
	for (n = 0; n < 30; n++) {
		run_for(&f, 3);
		for (i = 0; i < ENTRIES; i++) {
			if (i != 3)
				add_entry(&f, i);
		}
	}
	g_assert_cmpint(count_agents(&f, 3), ==, 0);
	addresses = mst_entry_choice_addresses(f.agents[agent].choice);
	g_assert_null(strstr(addresses, "10.0.0.3:"));
	g_assert_nonnull(strstr(addresses, "10.0.0.4:"));
	fixture_close(&f);
}

/* No more than 1,024 addresses are kept, whoever names them, and of those that
 * only the store names 512. */
static void
test_bound(gconstpointer source)
{
	struct fixture f;
	struct mst_entry_choice *choice;
	char address[32];
	int i, max;

	fixture_open(&f, source);
	max = f.source == MST_ENTRY_STORED ? 512 : 1024;
	choice = f.agents[0].choice;
	for (i = 0; i < 2000; i++) {
		g_snprintf(address, sizeof(address), "10.1.0.0:%d", i + 1);
		g_assert_cmpint(
		    mst_entry_choice_add(choice, address, f.source, f.now_us),
		    ==, i < max);
	}
	g_assert_true(
	    mst_entry_choice_add(choice, "10.1.0.0:1", f.source, f.now_us));
	fixture_close(&f);
}

static void
add_test(const char *name, GTestDataFunc test)
{
	char *path = g_strconcat("/entry-choice/named/", name, NULL);

	g_test_add_data_func(path, GINT_TO_POINTER(MST_ENTRY_NAMED), test);
	g_free(path);
	path = g_strconcat("/entry-choice/stored/", name, NULL);
	g_test_add_data_func(path, GINT_TO_POINTER(MST_ENTRY_STORED), test);
	g_free(path);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add_test("spread", test_spread);
	add_test("small", test_small);
	add_test("lost-and-back", test_lost_and_back);
	add_test("all-lost", test_all_lost);
	add_test("forgotten", test_forgotten);
	add_test("bound", test_bound);
	return g_test_run();
}
