/*
 * How a set of drained failure domains spreads: each process must learn it,
 * whichever processes, links or the store fail meanwhile.
 */

#include "support/drain_fixture.h"

/* An entry without a path to the store or to other entries must learn of the
 * drain from the agents. */
static void
drains__entry_learns_from_agents(void)
{
	struct drain_fixture *fixture = drain_fixture_new(2, 3, 3, 2);

	drain_set_entries_cut(fixture, true);
	drain_set_domains(fixture, 0, 2, "a");
	drain_run_for_ms(fixture, SPREAD_MAX_MS);
	drain_assert_entry_knows(fixture, 1, 2, "a");
	drain_fixture_free(fixture);
}

/* An entry without a path to the store or to an agent must learn of the drain
 * from its peers. */
static void
drains__entry_learns_from_peers(void)
{
	struct drain_fixture *fixture = drain_fixture_new(2, 3, 3, 2);

	drain_set_agents_cut(fixture, 1, true);
	drain_set_domains(fixture, 0, 2, "a");
	drain_run_for_ms(fixture, SPREAD_MAX_MS);
	drain_assert_entry_knows(fixture, 1, 2, "a");
	drain_fixture_free(fixture);
}

/* An agent of the domain hears only from an entry that is cut off from the
 * store and from the other entry. It must learn of the drain by way of another
 * agent and that entry. */
static void
drains__agent_learns_from_uninformed_entry(void)
{
	struct drain_fixture *fixture = drain_fixture_new(2, 3, 3, 2);
	int64_t told_us = sim_now(fixture->sim);

	drain_set_entries_cut(fixture, true);
	drain_set_link_cut(fixture, fixture->cluster.entries[0],
	    fixture->cluster.agents[0], true);
	drain_set_domains(fixture, 0, 2, "a");
	drain_submit_for_ms(fixture, 1000);
	drain_run_for_ms(fixture, 1000);
	drain_assert_agents_drained(fixture, "a");
	g_assert_cmpuint(
	    drain_count_starts_since(fixture, "a", told_us + STOP_MAX_MS * MS),
	    ==, 0);
	drain_assert_all_complete(fixture);
	drain_fixture_free(fixture);
}

/* The domain is restored while an entry is cut off from everything. When it is
 * back with its old set, it must take the new one and drain no agent again. */
static void
drains__outdated_entry_is_corrected(void)
{
	struct drain_fixture *fixture = drain_fixture_new(2, 3, 3, 2);

	drain_set_domains(fixture, 0, 2, "a");
	drain_run_for_ms(fixture, SPREAD_MAX_MS);
	drain_assert_entry_knows(fixture, 1, 2, "a");
	drain_set_entries_cut(fixture, true);
	drain_set_agents_cut(fixture, 1, true);
	drain_set_domains(fixture, 0, 3, "");
	drain_run_for_ms(fixture, 1000);
	drain_assert_entry_knows(fixture, 1, 2, "a");
	drain_set_entries_cut(fixture, false);
	drain_set_agents_cut(fixture, 1, false);
	drain_run_for_ms(fixture, SPREAD_MAX_MS);
	drain_assert_entry_knows(fixture, 0, 3, "");
	drain_assert_entry_knows(fixture, 1, 3, "");
	drain_assert_agents_drained(fixture, NULL);
	drain_fixture_free(fixture);
}

/* An entry whose messages arrive, but which is not reached for seconds, stays
 * out of date. Each of its messages may be answered by one more, so the number
 * of messages may at most double. */
static void
drains__answers_to_outdated_entry_are_bounded(void)
{
	const int64_t period_ms = 2000;
	struct drain_fixture *fixture = drain_fixture_new(2, 3, 3, 2);
	const struct cluster *cluster = &fixture->cluster;
	uint64_t before, usual;
	int i;

	drain_set_domains(fixture, 0, 2, "a");
	drain_run_for_ms(fixture, SPREAD_MAX_MS);
	before = drain_count_messages(fixture);
	drain_run_for_ms(fixture, period_ms);
	usual = drain_count_messages(fixture) - before;
	for (i = 0; i < cluster_size(cluster); i++)
		sim_get_link(
		    fixture->sim, cluster_node(cluster, i), cluster->entries[1])
		    ->delay_us = 2 * period_ms * MS;
	drain_set_domains(fixture, 0, 3, "b");
	drain_run_for_ms(fixture, SPREAD_MAX_MS);
	before = drain_count_messages(fixture);
	drain_run_for_ms(fixture, period_ms);
	drain_assert_entry_knows(fixture, 1, 2, "a");
	g_assert_cmpuint(drain_count_messages(fixture) - before, <=, 2 * usual);
	drain_fixture_free(fixture);
}

/* Sets that arrive out of order, from the store and over links of different
 * delays, must not bring an older set back. */
static void
drains__sets_out_of_order(void)
{
	struct drain_fixture *fixture = drain_fixture_new(2, 3, 3, 2);
	const struct cluster *cluster = &fixture->cluster;
	int i;

	for (i = 0; i < cluster->agent_count; i++)
		sim_get_link(
		    fixture->sim, cluster->entries[0], cluster->agents[i])
		    ->delay_us = 300 * MS;
	drain_set_domains(fixture, 0, 2, "a");
	drain_set_domains(fixture, 1, 4, "b");
	drain_set_domains(fixture, 1, 3, "c");
	drain_run_for_ms(fixture, 1000);
	drain_set_domains(fixture, 0, 3, "c");
	drain_run_for_ms(fixture, 1000);
	drain_assert_entry_knows(fixture, 0, 4, "b");
	drain_assert_entry_knows(fixture, 1, 4, "b");
	drain_assert_agents_drained(fixture, "b");
	drain_fixture_free(fixture);
}

/* Processes that restart while the store is silent must learn the set from the
 * others before they start or send anything to the domain. */
static void
drains__restarted_processes_learn_the_set(void)
{
	struct drain_fixture *fixture = drain_fixture_new(2, 6, 3, 2);
	int64_t told_us = sim_now(fixture->sim);

	drain_set_domains(fixture, 0, 2, "a");
	drain_submit_for_ms(fixture, STOP_MAX_MS);
	drain_run_for_ms(fixture, 1000);
	cluster_restart(&fixture->cluster, 0);
	cluster_restart(&fixture->cluster, 2); /* an agent of the domain */
	drain_submit_for_ms(fixture, 1000);
	drain_run_for_ms(fixture, 2000);
	drain_assert_entry_knows(fixture, 0, 2, "a");
	drain_assert_agents_drained(fixture, "a");
	g_assert_cmpuint(
	    drain_count_starts_since(fixture, "a", told_us + STOP_MAX_MS * MS),
	    ==, 0);
	drain_assert_all_complete(fixture);
	drain_fixture_free(fixture);
}

/* Runs a load, and passes the empty set to the entries as a store does that is
 * read each second. */
static struct drain_fixture *
run_without_drains(bool read_store)
{
	struct drain_fixture *fixture = drain_fixture_new(2, 3, 3, 2);
	uint64_t revision;

	for (revision = 1; revision <= 4; revision++) {
		if (read_store) {
			drain_set_domains(fixture, 0, revision, "");
			drain_set_domains(fixture, 1, revision, "");
		}
		drain_submit_for_ms(fixture, 1000);
	}
	drain_run_for_ms(fixture, 2000);
	return fixture;
}

/* A deployment that never drains must not behave differently, nor send another
 * message or byte. */
static void
drains__nothing_changes_without_drains(void)
{
	struct drain_fixture *plain = run_without_drains(false);
	struct drain_fixture *reading = run_without_drains(true);
	guint i;

	drain_assert_all_complete(plain);
	g_assert_cmpuint(
	    drain_count_messages(plain), ==, drain_count_messages(reading));
	g_assert_cmpuint(
	    sim_message_bytes(plain->sim), ==, sim_message_bytes(reading->sim));
	g_assert_cmpuint(plain->starts->len, ==, reading->starts->len);
	for (i = 0; i < plain->starts->len; i++) {
		const struct drain_start *a =
		    &g_array_index(plain->starts, struct drain_start, i);
		const struct drain_start *b =
		    &g_array_index(reading->starts, struct drain_start, i);

		g_assert_cmpint(a->at_us, ==, b->at_us);
		g_assert_cmpint(a->agent, ==, b->agent);
	}
	drain_fixture_free(plain);
	drain_fixture_free(reading);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/drains/entry-learns-from-agents",
	    drains__entry_learns_from_agents);
	g_test_add_func(
	    "/drains/entry-learns-from-peers", drains__entry_learns_from_peers);
	g_test_add_func(
	    "/drains/agent-learns", drains__agent_learns_from_uninformed_entry);
	g_test_add_func(
	    "/drains/outdated-entry", drains__outdated_entry_is_corrected);
	g_test_add_func("/drains/answers-bounded",
	    drains__answers_to_outdated_entry_are_bounded);
	g_test_add_func("/drains/out-of-order", drains__sets_out_of_order);
	g_test_add_func(
	    "/drains/restarts", drains__restarted_processes_learn_the_set);
	g_test_add_func(
	    "/drains/never", drains__nothing_changes_without_drains);
	return g_test_run();
}
