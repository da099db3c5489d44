/*
 * Drained failure domains. No task may start in one, whichever process the
 * operator's write reaches first and whichever processes, links or the store
 * fail meanwhile, and no caller may lose an answer because of a drain.
 */

#include <masticstall.h>

#include "core/drains.h"
#include "sim/cluster.h"
#include "sim/worker.h"

#define MS             INT64_C(1000)
#define STOP_MAX_MS    500 /* from the write to the last start */
#define SPREAD_MAX_MS  500 /* until all processes know a set */
#define REPLACE_MAX_MS 100 /* until returned tasks start elsewhere */
#define SCAN_MAX_MS    100 /* until waiting jobs are answered */
#define DEADLINE_MS    20000
#define LOAD_STEP_MS   20 /* between two jobs */
#define TASKS_MAX      8
#define RANDOM_SEEDS   10

/* A start of a task at a worker. */
struct start {
	int64_t at_us;
	int agent; /* node id */
};

struct fixture {
	struct sim *sim;
	struct cluster cluster;
	int64_t task_ms;
	unsigned jobs;
	GArray *starts;   /* struct start */
	GArray *requests; /* uint64_t */
};

static const char *const domains[] = {"a", "b", "c"};

static struct sim_task_result
serve_task(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	struct fixture *fixture = ctx;
	const struct start start = {.at_us = now_us, .agent = agent};

	g_array_append_val(fixture->starts, start);
	return (struct sim_task_result){.outcome = MST_OUTCOME_DONE,
	    .status = 200,
	    .duration_us = fixture->task_ms * MS};
}

/* Agents belong to the domains in turn. */
static struct fixture *
fixture_new_random(uint32_t seed, int64_t jitter_us, int entries, int agents,
    int domain_count, unsigned slots)
{
	const struct mst_resources capacity = {
	    .millicores = slots * 1000, .memory_mb = 1024};
	struct fixture *fixture = g_new0(struct fixture, 1);
	const struct sim_options options = {.seed = seed,
	    .latency_us = 500,
	    .jitter_us = jitter_us,
	    .leased = true,
	    .get_task_result = serve_task,
	    .on_log = cluster_log_stderr,
	    .ctx = fixture};
	int i;

	fixture->task_ms = 100;
	fixture->starts = g_array_new(FALSE, FALSE, sizeof(struct start));
	fixture->requests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	fixture->sim = sim_new(&options);
	cluster_init(
	    &fixture->cluster, fixture->sim, entries, agents, &capacity);
	for (i = 0; i < agents; i++)
		sim_set_failure_domain(fixture->sim, fixture->cluster.agents[i],
		    domains[i % domain_count]);
	sim_run_until(fixture->sim, 4 * G_USEC_PER_SEC);
	return fixture;
}

static struct fixture *
fixture_new(int entries, int agents, int domain_count, unsigned slots)
{
	return fixture_new_random(1, 0, entries, agents, domain_count, slots);
}

static void
fixture_free(struct fixture *fixture)
{
	sim_free(fixture->sim);
	g_array_unref(fixture->starts);
	g_array_unref(fixture->requests);
	g_free(fixture);
}

static void
run_for_ms(struct fixture *fixture, int64_t ms)
{
	sim_run_until(fixture->sim, sim_now(fixture->sim) + ms * MS);
}

static void
set_drains(
    struct fixture *fixture, int entry, uint64_t revision, const char *names)
{
	sim_set_drains(
	    fixture->sim, fixture->cluster.entries[entry], revision, names);
}

static uint64_t
submit(struct fixture *fixture, int entry, uint32_t count)
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

/* Submits a job at each entry in turn, at a constant rate. */
static void
submit_for_ms(struct fixture *fixture, int64_t ms)
{
	int64_t elapsed_ms;

	for (elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += LOAD_STEP_MS) {
		submit(fixture,
		    (int)fixture->jobs % fixture->cluster.entry_count, 1);
		run_for_ms(fixture, LOAD_STEP_MS);
	}
}

static const struct sim_request *
get_request(const struct fixture *fixture, uint64_t id)
{
	return sim_get_request(fixture->sim, id);
}

static void
assert_all_complete(const struct fixture *fixture)
{
	guint i;

	for (i = 0; i < fixture->requests->len; i++)
		g_assert_cmpint(
		    get_request(
			fixture, g_array_index(fixture->requests, uint64_t, i))
			->state,
		    ==, MST_JOB_COMPLETE);
	g_assert_cmpuint(sim_overlap_count(fixture->sim), ==, 0);
}

static struct mst_agent_gauges
agent_gauges(const struct fixture *fixture, int agent)
{
	return mst_agent_gauges(
	    sim_get_agent(fixture->sim, fixture->cluster.agents[agent]));
}

static struct mst_entry_gauges
entry_gauges(const struct fixture *fixture, int entry)
{
	return mst_entry_gauges(
	    sim_get_entry(fixture->sim, fixture->cluster.entries[entry]));
}

/* Returns the number of starts in a domain after a time. */
static unsigned
count_starts_since(
    const struct fixture *fixture, const char *domain, int64_t since_us)
{
	unsigned count = 0;
	guint i;

	for (i = 0; i < fixture->starts->len; i++) {
		const struct start *start =
		    &g_array_index(fixture->starts, struct start, i);

		count += start->at_us > since_us &&
		    g_str_equal(
			sim_get_failure_domain(fixture->sim, start->agent),
			domain);
	}
	return count;
}

static void
assert_entry_knows(const struct fixture *fixture, int entry, uint64_t revision,
    const char *names)
{
	struct mst_drains_msg drains = mst_entry_drains(
	    sim_get_entry(fixture->sim, fixture->cluster.entries[entry]));

	g_assert_cmpuint(drains.revision, ==, revision);
	g_assert_true(mst_bytes_equal_str(drains.domains, names));
}

/* Asserts that exactly the agents of one domain, or none, know that they are
 * drained. */
static void
assert_agents_drained(const struct fixture *fixture, const char *domain)
{
	int i;

	for (i = 0; i < fixture->cluster.agent_count; i++) {
		const char *own = sim_get_failure_domain(
		    fixture->sim, fixture->cluster.agents[i]);

		g_assert_cmpint(agent_gauges(fixture, i).drained, ==,
		    g_strcmp0(own, domain) == 0);
	}
}

static void
set_link_cut(struct fixture *fixture, int a, int b, bool cut)
{
	sim_get_link(fixture->sim, a, b)->cut = cut;
	sim_get_link(fixture->sim, b, a)->cut = cut;
}

/* Cuts the links between an entry and all agents, or restores them. */
static void
set_agents_cut(struct fixture *fixture, int entry, bool cut)
{
	int i;

	for (i = 0; i < fixture->cluster.agent_count; i++)
		set_link_cut(fixture, fixture->cluster.entries[entry],
		    fixture->cluster.agents[i], cut);
}

static void
set_entries_cut(struct fixture *fixture, bool cut)
{
	set_link_cut(fixture, fixture->cluster.entries[0],
	    fixture->cluster.entries[1], cut);
}

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

/* One entry is told while all of them send tasks to all domains: starts in the
 * domain must end soon after, and each job must complete. */
static void
drains__no_start_in_drained_domain(void)
{
	struct fixture *fixture = fixture_new(3, 6, 3, 2);
	int64_t told_us;

	submit_for_ms(fixture, 1000);
	g_assert_cmpuint(count_starts_since(fixture, "a", 0), >, 0);
	told_us = sim_now(fixture->sim);
	set_drains(fixture, 0, 2, "a");
	submit_for_ms(fixture, 3000);
	run_for_ms(fixture, 2000);
	g_assert_cmpuint(
	    count_starts_since(fixture, "a", told_us + STOP_MAX_MS * MS), ==,
	    0);
	assert_agents_drained(fixture, "a");
	assert_all_complete(fixture);
	fixture_free(fixture);
}

/* A running task must end normally, and a queued one must start elsewhere at
 * once instead of waiting for the running one. */
static void
drains__queued_tasks_move_and_running_ones_end(void)
{
	struct fixture *fixture = fixture_new(1, 2, 2, 1);
	int64_t told_us;

	set_drains(fixture, 0, 2, "b");
	run_for_ms(fixture, 200);
	fixture->task_ms = 3000;
	submit(fixture, 0, 1);
	submit(fixture, 0, 1);
	run_for_ms(fixture, 200);
	g_assert_cmpuint(fixture->starts->len, ==, 1);
	g_assert_cmpuint(agent_gauges(fixture, 0).queued, ==, 1);
	told_us = sim_now(fixture->sim);
	set_drains(fixture, 0, 3, "a");
	run_for_ms(fixture, REPLACE_MAX_MS);
	g_assert_cmpuint(count_starts_since(fixture, "b", told_us), ==, 1);
	g_assert_cmpuint(agent_gauges(fixture, 0).running, ==, 1);
	run_for_ms(fixture, 4000);
	g_assert_cmpuint(fixture->starts->len, ==, 2);
	assert_all_complete(fixture);
	fixture_free(fixture);
}

/* An entry without a path to the store or to other entries must learn of the
 * drain from the agents. */
static void
drains__entry_learns_from_agents(void)
{
	struct fixture *fixture = fixture_new(2, 3, 3, 2);

	set_entries_cut(fixture, true);
	set_drains(fixture, 0, 2, "a");
	run_for_ms(fixture, SPREAD_MAX_MS);
	assert_entry_knows(fixture, 1, 2, "a");
	fixture_free(fixture);
}

/* An entry without a path to the store or to an agent must learn of the drain
 * from its peers. */
static void
drains__entry_learns_from_peers(void)
{
	struct fixture *fixture = fixture_new(2, 3, 3, 2);

	set_agents_cut(fixture, 1, true);
	set_drains(fixture, 0, 2, "a");
	run_for_ms(fixture, SPREAD_MAX_MS);
	assert_entry_knows(fixture, 1, 2, "a");
	fixture_free(fixture);
}

/* An agent of the domain hears only from an entry that is cut off from the
 * store and from the other entry. It must learn of the drain by way of another
 * agent and that entry. */
static void
drains__agent_learns_from_uninformed_entry(void)
{
	struct fixture *fixture = fixture_new(2, 3, 3, 2);
	int64_t told_us = sim_now(fixture->sim);

	set_entries_cut(fixture, true);
	set_link_cut(fixture, fixture->cluster.entries[0],
	    fixture->cluster.agents[0], true);
	set_drains(fixture, 0, 2, "a");
	submit_for_ms(fixture, 1000);
	run_for_ms(fixture, 1000);
	assert_agents_drained(fixture, "a");
	g_assert_cmpuint(
	    count_starts_since(fixture, "a", told_us + STOP_MAX_MS * MS), ==,
	    0);
	assert_all_complete(fixture);
	fixture_free(fixture);
}

/* The domain is restored while an entry is cut off from everything. When it is
 * back with its old set, it must take the new one and drain no agent again. */
static void
drains__outdated_entry_is_corrected(void)
{
	struct fixture *fixture = fixture_new(2, 3, 3, 2);

	set_drains(fixture, 0, 2, "a");
	run_for_ms(fixture, SPREAD_MAX_MS);
	assert_entry_knows(fixture, 1, 2, "a");
	set_entries_cut(fixture, true);
	set_agents_cut(fixture, 1, true);
	set_drains(fixture, 0, 3, "");
	run_for_ms(fixture, 1000);
	assert_entry_knows(fixture, 1, 2, "a");
	set_entries_cut(fixture, false);
	set_agents_cut(fixture, 1, false);
	run_for_ms(fixture, SPREAD_MAX_MS);
	assert_entry_knows(fixture, 0, 3, "");
	assert_entry_knows(fixture, 1, 3, "");
	assert_agents_drained(fixture, NULL);
	fixture_free(fixture);
}

static uint64_t
count_all_messages(const struct fixture *fixture)
{
	uint64_t count = 0;
	int type;

	for (type = MST_MSG_ANNOUNCE; type < MST_MSG_MAX; type++)
		count +=
		    sim_count_messages(fixture->sim, (enum mst_msg_type)type);
	return count;
}

/* An entry whose messages arrive, but which is not reached for seconds, stays
 * out of date. Each of its messages may be answered by one more, so the number
 * of messages may at most double. */
static void
drains__answers_to_outdated_entry_are_bounded(void)
{
	const int64_t period_ms = 2000;
	struct fixture *fixture = fixture_new(2, 3, 3, 2);
	const struct cluster *cluster = &fixture->cluster;
	uint64_t before, usual;
	int i;

	set_drains(fixture, 0, 2, "a");
	run_for_ms(fixture, SPREAD_MAX_MS);
	before = count_all_messages(fixture);
	run_for_ms(fixture, period_ms);
	usual = count_all_messages(fixture) - before;
	for (i = 0; i < cluster_size(cluster); i++)
		sim_get_link(
		    fixture->sim, cluster_node(cluster, i), cluster->entries[1])
		    ->delay_us = 2 * period_ms * MS;
	set_drains(fixture, 0, 3, "b");
	run_for_ms(fixture, SPREAD_MAX_MS);
	before = count_all_messages(fixture);
	run_for_ms(fixture, period_ms);
	assert_entry_knows(fixture, 1, 2, "a");
	g_assert_cmpuint(count_all_messages(fixture) - before, <=, 2 * usual);
	fixture_free(fixture);
}

/* Sets that arrive out of order, from the store and over links of different
 * delays, must not bring an older set back. */
static void
drains__sets_out_of_order(void)
{
	struct fixture *fixture = fixture_new(2, 3, 3, 2);
	const struct cluster *cluster = &fixture->cluster;
	int i;

	for (i = 0; i < cluster->agent_count; i++)
		sim_get_link(
		    fixture->sim, cluster->entries[0], cluster->agents[i])
		    ->delay_us = 300 * MS;
	set_drains(fixture, 0, 2, "a");
	set_drains(fixture, 1, 4, "b");
	set_drains(fixture, 1, 3, "c");
	run_for_ms(fixture, 1000);
	set_drains(fixture, 0, 3, "c");
	run_for_ms(fixture, 1000);
	assert_entry_knows(fixture, 0, 4, "b");
	assert_entry_knows(fixture, 1, 4, "b");
	assert_agents_drained(fixture, "b");
	fixture_free(fixture);
}

/* Processes that restart while the store is silent must learn the set from the
 * others before they start or send anything to the domain. */
static void
drains__restarted_processes_learn_the_set(void)
{
	struct fixture *fixture = fixture_new(2, 6, 3, 2);
	int64_t told_us = sim_now(fixture->sim);

	set_drains(fixture, 0, 2, "a");
	submit_for_ms(fixture, STOP_MAX_MS);
	run_for_ms(fixture, 1000);
	cluster_restart(&fixture->cluster, 0);
	cluster_restart(&fixture->cluster, 2); /* an agent of the domain */
	submit_for_ms(fixture, 1000);
	run_for_ms(fixture, 2000);
	assert_entry_knows(fixture, 0, 2, "a");
	assert_agents_drained(fixture, "a");
	g_assert_cmpuint(
	    count_starts_since(fixture, "a", told_us + STOP_MAX_MS * MS), ==,
	    0);
	assert_all_complete(fixture);
	fixture_free(fixture);
}

/* With all domains drained, callers must be told at once. The running tasks
 * must still be answered, and the jobs that wait at the agents or the entry
 * must be answered as not run. */
static void
drains__all_domains_drained(void)
{
	const unsigned agents = 3, jobs = 7;
	struct fixture *fixture = fixture_new(1, (int)agents, 3, 1);
	const struct sim_request *request;
	unsigned complete = 0, not_run = 0;
	unsigned i;

	fixture->task_ms = 2000;
	for (i = 0; i < jobs; i++)
		submit(fixture, 0, 1);
	run_for_ms(fixture, 500);
	g_assert_cmpuint(fixture->starts->len, ==, agents);
	g_assert_cmpuint(entry_gauges(fixture, 0).jobs_open, ==, jobs);
	set_drains(fixture, 0, 2, "a,b,c");
	request = get_request(fixture, submit(fixture, 0, 1));
	g_assert_true(request->refused);
	g_assert_cmpint(request->reason, ==, MST_REASON_NO_MEMBERS);
	g_assert_cmpuint(request->retry_after_ms, >, 0);
	g_assert_false(entry_gauges(fixture, 0).ready);
	run_for_ms(fixture, SCAN_MAX_MS);
	for (i = 0; i < jobs; i++) {
		request = get_request(
		    fixture, g_array_index(fixture->requests, uint64_t, i));
		if (request->answered_us == 0)
			continue;
		not_run++;
		g_assert_cmpint(request->reason, ==, MST_REASON_NO_MEMBERS);
		g_assert_cmpuint(request->not_run, ==, 1);
		g_assert_false(request->may_have_run);
	}
	g_assert_cmpuint(not_run, ==, jobs - agents);
	run_for_ms(fixture, 3000);
	for (i = 0; i < jobs; i++)
		complete += get_request(fixture,
				g_array_index(fixture->requests, uint64_t, i))
				->state == MST_JOB_COMPLETE;
	g_assert_cmpuint(complete, ==, agents);
	g_assert_cmpuint(fixture->starts->len, ==, agents);
	fixture_free(fixture);
}

/* An entry that restarts while all domains are drained, and has only heard from
 * some of the agents, must not leave a job that it has accepted meanwhile
 * waiting. */
static void
drains__restarted_entry_answers_accepted_job(void)
{
	struct fixture *fixture = fixture_new(1, 3, 3, 1);
	const struct sim_request *request;
	uint64_t id;

	set_drains(fixture, 0, 2, "a,b,c");
	run_for_ms(fixture, 1000);
	cluster_restart(&fixture->cluster, 0);
	id = submit(fixture, 0, 1);
	run_for_ms(fixture, 1200);
	request = get_request(fixture, id);
	g_assert_cmpint(request->answered_us, >, 0);
	g_assert_cmpint(request->reason, ==, MST_REASON_NO_MEMBERS);
	g_assert_false(request->may_have_run);
	g_assert_cmpuint(fixture->starts->len, ==, 0);
	fixture_free(fixture);
}

/* A job of which one task is done must not be failed by a drain of all domains
 * that is over before its deadline. */
static void
drains__started_job_survives_a_short_drain(void)
{
	struct fixture *fixture = fixture_new(1, 1, 1, 1);
	uint64_t id = submit(fixture, 0, 3);

	run_for_ms(fixture, 50);
	g_assert_cmpuint(fixture->starts->len, ==, 1);
	set_drains(fixture, 0, 2, "a");
	run_for_ms(fixture, 3000);
	g_assert_cmpuint(fixture->starts->len, ==, 1);
	g_assert_cmpint(get_request(fixture, id)->answered_us, ==, 0);
	set_drains(fixture, 0, 3, "");
	run_for_ms(fixture, 1000);
	g_assert_cmpint(get_request(fixture, id)->state, ==, MST_JOB_COMPLETE);
	fixture_free(fixture);
}

/* One domain is drained while another is lost: the jobs of both must complete
 * in the third one. */
static void
drains__another_domain_is_lost(void)
{
	struct fixture *fixture = fixture_new(2, 6, 3, 4);
	int64_t told_us;

	submit_for_ms(fixture, 500);
	told_us = sim_now(fixture->sim);
	set_drains(fixture, 0, 2, "a");
	sim_kill(fixture->sim, fixture->cluster.agents[1]);
	sim_kill(fixture->sim, fixture->cluster.agents[4]);
	submit_for_ms(fixture, 1000);
	run_for_ms(fixture, 5000);
	g_assert_cmpuint(
	    count_starts_since(fixture, "a", told_us + STOP_MAX_MS * MS), ==,
	    0);
	assert_all_complete(fixture);
	fixture_free(fixture);
}

/* The last domain is restored: the entry must serve again at once. */
static void
drains__restored_domain_serves_at_once(void)
{
	struct fixture *fixture = fixture_new(2, 2, 1, 2);
	int64_t restored_us;
	uint64_t id;

	set_drains(fixture, 0, 2, "a");
	run_for_ms(fixture, 3000);
	g_assert_false(entry_gauges(fixture, 1).ready);
	restored_us = sim_now(fixture->sim);
	set_drains(fixture, 0, 3, "");
	run_for_ms(fixture, 20);
	g_assert_true(entry_gauges(fixture, 0).ready);
	g_assert_true(entry_gauges(fixture, 1).ready);
	id = submit(fixture, 1, 1);
	run_for_ms(fixture, 20);
	g_assert_cmpuint(count_starts_since(fixture, "a", restored_us), ==, 1);
	run_for_ms(fixture, 500);
	g_assert_cmpint(get_request(fixture, id)->state, ==, MST_JOB_COMPLETE);
	fixture_free(fixture);
}

/* A task that runs longer than expected would be withdrawn elsewhere. With all
 * domains drained it could not run again, so it must stay and complete. */
static void
drains__overdue_task_stays(void)
{
	struct fixture *fixture = fixture_new(1, 2, 2, 1);

	submit(fixture, 0, 1);
	fixture->task_ms = 3000;
	run_for_ms(fixture, 20);
	g_assert_cmpuint(fixture->starts->len, ==, 1);
	set_drains(fixture, 0, 2, "a,b");
	run_for_ms(fixture, 4000);
	g_assert_cmpuint(fixture->starts->len, ==, 1);
	assert_all_complete(fixture);
	fixture_free(fixture);
}

/* A domain is drained in the same write that restores the others. Until the
 * restored agents have announced themselves, callers must not be refused. */
static void
drains__swap_refuses_no_caller(void)
{
	struct fixture *fixture = fixture_new(2, 3, 3, 2);

	set_drains(fixture, 0, 2, "a,b");
	run_for_ms(fixture, 1000);
	set_drains(fixture, 0, 3, "c");
	g_assert_true(entry_gauges(fixture, 0).ready);
	submit(fixture, 0, 1);
	run_for_ms(fixture, 1);
	submit(fixture, 1, 1);
	run_for_ms(fixture, 1000);
	assert_all_complete(fixture);
	fixture_free(fixture);
}

/* An agent without leases that has drained usually ends and does not return.
 * One whose domain was drained must get tasks again after the restore. */
static void
drains__agent_without_leases_returns(void)
{
	struct fixture fixture = {.task_ms = 100,
	    .starts = g_array_new(FALSE, FALSE, sizeof(struct start))};
	const struct sim_options options = {.seed = 1,
	    .latency_us = 500,
	    .get_task_result = serve_task,
	    .on_log = cluster_log_stderr,
	    .ctx = &fixture};
	struct mst_agent_options agent_options = MST_AGENT_OPTIONS_INIT;
	const struct mst_task_spec task = {
	    .path = mst_bytes_from_str("task"), .declared_us = 100 * MS};
	const struct mst_job_spec spec = {
	    .team = "team", .timeout_ms = 5000, .count = 1, .tasks = &task};
	int entry, agent;
	uint64_t id;

	fixture.sim = sim_new(&options);
	agent_options.failure_domain = "a";
	agent_options.slots = 1;
	entry = sim_add_entry(fixture.sim, "entry1");
	sim_configure(fixture.sim, entry, 1, "{}");
	agent = sim_add_agent(fixture.sim, "agent1", &agent_options);
	run_for_ms(&fixture, 3000);
	sim_set_drains(fixture.sim, entry, 2, "a");
	run_for_ms(&fixture, 1000);
	g_assert_true(
	    mst_agent_gauges(sim_get_agent(fixture.sim, agent)).drained);
	id = sim_submit(fixture.sim, entry, &spec);
	g_assert_true(sim_get_request(fixture.sim, id)->refused);
	g_assert_cmpint(sim_get_request(fixture.sim, id)->reason, ==,
	    MST_REASON_NO_MEMBERS);
	sim_set_drains(fixture.sim, entry, 3, "");
	run_for_ms(&fixture, 100);
	id = sim_submit(fixture.sim, entry, &spec);
	run_for_ms(&fixture, 1000);
	g_assert_cmpint(
	    sim_get_request(fixture.sim, id)->state, ==, MST_JOB_COMPLETE);
	sim_free(fixture.sim);
	g_array_unref(fixture.starts);
}

/* Sends one task to the agent of domain a, whose worker leaves its orders
 * without an answer, and drains the domain while the start order is pending. */
static struct fixture *
drain_with_pending_start(int64_t pending_ms)
{
	struct fixture *fixture = fixture_new(1, 2, 2, 1);
	struct sim_worker *worker =
	    sim_get_worker(fixture->sim, fixture->cluster.agents[0]);

	set_drains(fixture, 0, 2, "b");
	run_for_ms(fixture, 200);
	sim_worker_set_unavailable(worker, true);
	submit(fixture, 0, 1);
	run_for_ms(fixture, pending_ms);
	g_assert_cmpuint(agent_gauges(fixture, 0).running, ==, 1);
	g_assert_cmpuint(fixture->starts->len, ==, 0);
	set_drains(fixture, 0, 3, "a");
	run_for_ms(fixture, 2);
	g_assert_true(agent_gauges(fixture, 0).drained);
	sim_worker_set_unavailable(worker, false);
	return fixture;
}

static void
assert_only_start_is_elsewhere(struct fixture *fixture)
{
	run_for_ms(fixture, 3000);
	g_assert_cmpuint(count_starts_since(fixture, "a", 0), ==, 0);
	g_assert_cmpuint(count_starts_since(fixture, "b", 0), ==, 1);
	assert_all_complete(fixture);
}

/* A start order that waits to be repeated must not be sent again in the drained
 * domain. */
static void
drains__due_start_is_not_repeated(void)
{
	struct fixture *fixture = drain_with_pending_start(55);

	assert_only_start_is_elsewhere(fixture);
	fixture_free(fixture);
}

/* A start order that gets no answer must neither be sent again before its
 * timeout nor repeated after it. */
static void
drains__open_start_is_not_hedged(void)
{
	struct fixture *fixture = drain_with_pending_start(5);

	assert_only_start_is_elsewhere(fixture);
	fixture_free(fixture);
}

/* A start order that the worker has rejected has certainly not run, so its task
 * is returned as such. */
static void
drains__rejected_start_is_not_run(void)
{
	struct fixture *fixture = fixture_new(1, 2, 2, 1);
	struct sim_worker *worker =
	    sim_get_worker(fixture->sim, fixture->cluster.agents[0]);
	const struct mst_agent_counters *counters = mst_agent_counters(
	    sim_get_agent(fixture->sim, fixture->cluster.agents[0]));

	set_drains(fixture, 0, 2, "b");
	run_for_ms(fixture, 200);
	sim_worker_set_order_fault(worker, MST_ORDER_LAPSED);
	submit(fixture, 0, 1);
	run_for_ms(fixture, 5);
	g_assert_cmpuint(agent_gauges(fixture, 0).running, ==, 1);
	set_drains(fixture, 0, 3, "a");
	run_for_ms(fixture, 2);
	sim_worker_set_order_fault(worker, MST_ORDER_DONE);
	g_assert_cmpuint(agent_gauges(fixture, 0).running, ==, 0);
	g_assert_cmpuint(counters->refused[MST_REASON_DRAINING], ==, 1);
	assert_only_start_is_elsewhere(fixture);
	fixture_free(fixture);
}

/* Drains one or two of three domains at an entry while an agent and another
 * entry restart. */
static void
drain_at_random(struct fixture *fixture, GRand *rand, uint64_t revision)
{
	const struct cluster *cluster = &fixture->cluster;
	const char *first = domains[g_rand_int_range(rand, 0, 3)];
	const char *second = domains[g_rand_int_range(rand, 0, 3)];
	char *names = g_strdup_printf("%s,%s", first, second);
	int64_t told_us = sim_now(fixture->sim);

	set_drains(fixture, g_rand_int_range(rand, 1, 3), revision, names);
	g_free(names);
	submit_for_ms(fixture, g_rand_int_range(rand, 0, 600));
	cluster_restart(cluster,
	    cluster->entry_count +
		g_rand_int_range(rand, 0, cluster->agent_count));
	submit_for_ms(fixture, g_rand_int_range(rand, 0, 600));
	cluster_restart(cluster, 0);
	submit_for_ms(fixture, 1000);
	told_us += STOP_MAX_MS * MS;
	g_assert_cmpuint(count_starts_since(fixture, first, told_us), ==, 0);
	g_assert_cmpuint(count_starts_since(fixture, second, told_us), ==, 0);
}

static void
run_random_drains(uint32_t seed)
{
	struct fixture *fixture = fixture_new_random(seed, 5 * MS, 3, 6, 3, 4);
	GRand *rand = g_rand_new_with_seed(seed);
	const struct sim_request *request;
	uint64_t revision;
	guint i;

	sim_set_message_faults(fixture->sim, 0.02, 0.02);
	for (revision = 2; revision < 8; revision++)
		drain_at_random(fixture, rand, revision);
	sim_set_message_faults(fixture->sim, 0, 0);
	set_drains(fixture, 1, revision, "");
	run_for_ms(fixture, DEADLINE_MS);
	assert_agents_drained(fixture, NULL);
	for (i = 0; i < fixture->requests->len; i++) {
		request = get_request(
		    fixture, g_array_index(fixture->requests, uint64_t, i));
		/* The callers of an entry that restarts get no answer. */
		if (request->entry != fixture->cluster.entries[0])
			g_assert_cmpint(request->state, ==, MST_JOB_COMPLETE);
	}
	g_assert_cmpuint(sim_overlap_count(fixture->sim), ==, 0);
	g_rand_free(rand);
	fixture_free(fixture);
}

/* Messages are lost, repeated and reordered, and processes restart, while the
 * set changes: no start may be late and no caller may lose an answer. */
static void
drains__random_faults(void)
{
	uint32_t seed;

	for (seed = 1; seed <= RANDOM_SEEDS; seed++)
		run_random_drains(seed);
}

/* Runs a load, and passes the empty set to the entries as a store does that is
 * read each second. */
static struct fixture *
run_without_drains(bool read_store)
{
	struct fixture *fixture = fixture_new(2, 3, 3, 2);
	uint64_t revision;

	for (revision = 1; revision <= 4; revision++) {
		if (read_store) {
			set_drains(fixture, 0, revision, "");
			set_drains(fixture, 1, revision, "");
		}
		submit_for_ms(fixture, 1000);
	}
	run_for_ms(fixture, 2000);
	return fixture;
}

/* A deployment that never drains must not behave differently, nor send another
 * message or byte. */
static void
drains__nothing_changes_without_drains(void)
{
	struct fixture *plain = run_without_drains(false);
	struct fixture *reading = run_without_drains(true);
	guint i;

	assert_all_complete(plain);
	g_assert_cmpuint(
	    count_all_messages(plain), ==, count_all_messages(reading));
	g_assert_cmpuint(
	    sim_message_bytes(plain->sim), ==, sim_message_bytes(reading->sim));
	g_assert_cmpuint(plain->starts->len, ==, reading->starts->len);
	for (i = 0; i < plain->starts->len; i++) {
		const struct start *a =
		    &g_array_index(plain->starts, struct start, i);
		const struct start *b =
		    &g_array_index(reading->starts, struct start, i);

		g_assert_cmpint(a->at_us, ==, b->at_us);
		g_assert_cmpint(a->agent, ==, b->agent);
	}
	fixture_free(plain);
	fixture_free(reading);
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
	g_test_add_func("/drains/no-start", drains__no_start_in_drained_domain);
	g_test_add_func(
	    "/drains/queued", drains__queued_tasks_move_and_running_ones_end);
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
	g_test_add_func("/drains/all-domains", drains__all_domains_drained);
	g_test_add_func("/drains/all-domains-restart",
	    drains__restarted_entry_answers_accepted_job);
	g_test_add_func("/drains/all-domains-short",
	    drains__started_job_survives_a_short_drain);
	g_test_add_func("/drains/overdue", drains__overdue_task_stays);
	g_test_add_func("/drains/swap", drains__swap_refuses_no_caller);
	g_test_add_func(
	    "/drains/no-leases", drains__agent_without_leases_returns);
	g_test_add_func("/drains/another-lost", drains__another_domain_is_lost);
	g_test_add_func(
	    "/drains/restore", drains__restored_domain_serves_at_once);
	g_test_add_func("/drains/due-start", drains__due_start_is_not_repeated);
	g_test_add_func("/drains/open-start", drains__open_start_is_not_hedged);
	g_test_add_func(
	    "/drains/rejected-start", drains__rejected_start_is_not_run);
	g_test_add_func("/drains/random", drains__random_faults);
	g_test_add_func(
	    "/drains/never", drains__nothing_changes_without_drains);
	return g_test_run();
}
