/* Simulated cluster whose failure domains are drained. */

#include "support/drain_fixture.h"

#define LOAD_STEP_MS 20 /* between two jobs */
#define TASKS_MAX    8

const char *const drain_domains[] = {"a", "b", "c"};

struct sim_task_result
drain_serve_task(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	struct drain_fixture *fixture = ctx;
	const struct drain_start start = {.at_us = now_us, .agent = agent};

	g_array_append_val(fixture->starts, start);
	return (struct sim_task_result){.outcome = MST_OUTCOME_DONE,
	    .status = 200,
	    .duration_us = fixture->task_ms * MS};
}

struct drain_fixture *
drain_fixture_new_random(uint32_t seed, int64_t jitter_us, int entries,
    int agents, int domain_count, unsigned slots)
{
	const struct mst_resources capacity = {
	    .millicores = slots * 1000, .memory_mb = 1024};
	struct drain_fixture *fixture = g_new0(struct drain_fixture, 1);
	const struct sim_options options = {.seed = seed,
	    .latency_us = 500,
	    .jitter_us = jitter_us,
	    .leased = true,
	    .get_task_result = drain_serve_task,
	    .on_log = cluster_log_stderr,
	    .ctx = fixture};
	int i;

	fixture->task_ms = 100;
	fixture->starts = g_array_new(FALSE, FALSE, sizeof(struct drain_start));
	fixture->requests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	fixture->sim = sim_new(&options);
	cluster_init(
	    &fixture->cluster, fixture->sim, entries, agents, &capacity);
	for (i = 0; i < agents; i++)
		sim_set_failure_domain(fixture->sim, fixture->cluster.agents[i],
		    drain_domains[i % domain_count]);
	sim_run_until(fixture->sim, 4 * G_USEC_PER_SEC);
	return fixture;
}

struct drain_fixture *
drain_fixture_new(int entries, int agents, int domain_count, unsigned slots)
{
	return drain_fixture_new_random(
	    1, 0, entries, agents, domain_count, slots);
}

void
drain_fixture_free(struct drain_fixture *fixture)
{
	sim_free(fixture->sim);
	g_array_unref(fixture->starts);
	g_array_unref(fixture->requests);
	g_free(fixture);
}

void
drain_run_for_ms(struct drain_fixture *fixture, int64_t ms)
{
	sim_run_until(fixture->sim, sim_now(fixture->sim) + ms * MS);
}

void
drain_set_domains(struct drain_fixture *fixture, int entry, uint64_t revision,
    const char *names)
{
	sim_set_drains(
	    fixture->sim, fixture->cluster.entries[entry], revision, names);
}

uint64_t
drain_submit(struct drain_fixture *fixture, int entry, uint32_t count)
{
	struct mst_task_spec tasks[TASKS_MAX] = {0};
	char key[20], names[TASKS_MAX][40];
	const struct mst_job_spec spec = {.team = "queue",
	    .timeout_ms = DEADLINE_MS,
	    .caller_deadline_ms = DEADLINE_MS,
	    .count = count,
	    .tasks = tasks,
	    .restartable = true,
	    .key = key,
	    .service = "service",
	    .attempts = 2,
	    .stretch = 20,
	    .target_ms = 1000};
	uint64_t id;
	uint32_t i;

	g_snprintf(key, sizeof(key), "%016x", ++fixture->jobs);
	for (i = 0; i < count; i++) {
		g_snprintf(names[i], sizeof(names[i]), "%s.0.0.%u", key, i);
		tasks[i] =
		    (struct mst_task_spec){.path = mst_bytes_from_str(names[i]),
			.flags = MST_TASK_RESTARTABLE,
			.declared_us = (uint32_t)(fixture->task_ms * MS),
			.needs = {.millicores = 1000}};
	}
	id = sim_submit(fixture->sim, fixture->cluster.entries[entry], &spec);
	g_array_append_val(fixture->requests, id);
	return id;
}

void
drain_submit_for_ms(struct drain_fixture *fixture, int64_t ms)
{
	int64_t elapsed_ms;

	for (elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += LOAD_STEP_MS) {
		drain_submit(fixture,
		    (int)fixture->jobs % fixture->cluster.entry_count, 1);
		drain_run_for_ms(fixture, LOAD_STEP_MS);
	}
}

const struct sim_request *
drain_get_request(const struct drain_fixture *fixture, uint64_t id)
{
	return sim_get_request(fixture->sim, id);
}

void
drain_assert_all_complete(const struct drain_fixture *fixture)
{
	guint i;

	for (i = 0; i < fixture->requests->len; i++)
		g_assert_cmpint(
		    drain_get_request(
			fixture, g_array_index(fixture->requests, uint64_t, i))
			->state,
		    ==, MST_JOB_COMPLETE);
	g_assert_cmpuint(sim_overlap_count(fixture->sim), ==, 0);
}

struct mst_agent_gauges
drain_agent_gauges(const struct drain_fixture *fixture, int agent)
{
	return mst_agent_gauges(
	    sim_get_agent(fixture->sim, fixture->cluster.agents[agent]));
}

struct mst_entry_gauges
drain_entry_gauges(const struct drain_fixture *fixture, int entry)
{
	return mst_entry_gauges(
	    sim_get_entry(fixture->sim, fixture->cluster.entries[entry]));
}

unsigned
drain_count_starts_since(
    const struct drain_fixture *fixture, const char *domain, int64_t since_us)
{
	unsigned count = 0;
	guint i;

	for (i = 0; i < fixture->starts->len; i++) {
		const struct drain_start *start =
		    &g_array_index(fixture->starts, struct drain_start, i);

		count += start->at_us > since_us &&
		    g_str_equal(
			sim_get_failure_domain(fixture->sim, start->agent),
			domain);
	}
	return count;
}

void
drain_assert_entry_knows(const struct drain_fixture *fixture, int entry,
    uint64_t revision, const char *names)
{
	struct mst_drains_msg drains = mst_entry_drains(
	    sim_get_entry(fixture->sim, fixture->cluster.entries[entry]));

	g_assert_cmpuint(drains.revision, ==, revision);
	g_assert_true(mst_bytes_equal_str(drains.domains, names));
}

void
drain_assert_agents_drained(
    const struct drain_fixture *fixture, const char *domain)
{
	int i;

	for (i = 0; i < fixture->cluster.agent_count; i++) {
		const char *own = sim_get_failure_domain(
		    fixture->sim, fixture->cluster.agents[i]);

		g_assert_cmpint(drain_agent_gauges(fixture, i).drained, ==,
		    g_strcmp0(own, domain) == 0);
	}
}

void
drain_set_link_cut(struct drain_fixture *fixture, int a, int b, bool cut)
{
	sim_get_link(fixture->sim, a, b)->cut = cut;
	sim_get_link(fixture->sim, b, a)->cut = cut;
}

void
drain_set_agents_cut(struct drain_fixture *fixture, int entry, bool cut)
{
	int i;

	for (i = 0; i < fixture->cluster.agent_count; i++)
		drain_set_link_cut(fixture, fixture->cluster.entries[entry],
		    fixture->cluster.agents[i], cut);
}

void
drain_set_entries_cut(struct drain_fixture *fixture, bool cut)
{
	drain_set_link_cut(fixture, fixture->cluster.entries[0],
	    fixture->cluster.entries[1], cut);
}

uint64_t
drain_count_messages(const struct drain_fixture *fixture)
{
	uint64_t count = 0;
	int type;

	for (type = MST_MSG_ANNOUNCE; type < MST_MSG_MAX; type++)
		count +=
		    sim_count_messages(fixture->sim, (enum mst_msg_type)type);
	return count;
}
