/*
 * Free slots that agents offer to entries whose tasks wait. Under overload, at
 * least as many jobs must end in time as when entries compete for the slots
 * that they hear of, and callers of an entry with few jobs must be served as
 * well as those of an entry with many.
 */

#include <masticstall.h>

#include "core/agent/agent_internal.h"
#include "sim/load.h"

#define SEEDS   3
#define ENTRIES 8
/* Least share in time of the entries with the fewest callers, relative to that
 * of the entries with the most. */
#define FAIRNESS_MIN 0.9

/* More work than slots for three seconds; some entries have three times the
 * callers of others. */
static const struct load_shape shape = {.name = "unequal",
    .entries = ENTRIES,
    .workers = 24,
    .slots = 8,
    .service_factors = {1},
    .factor_count = 1,
    .kinds = {{"short", 8, 55, 35, 0}, {"medium", 2, 190, 100, 1},
	{"long", 4, 850, 6, 2}},
    .kind_count = 3,
    .service_sigma = 0.4,
    .declared_sigma = 0.4,
    .base_load = 0.5,
    .peak_load = 1.2,
    .stretch = 1.6,
    .target_ms = 60,
    .deadline_ms = 9000,
    .entry_weights = {3, 3, 1, 1},
    .entry_weight_count = 4};

struct counts_by_weight {
	struct load_counts few;  /* callers of the entries of weight 1 */
	struct load_counts many; /* those of weight 3 */
};

static double
share_in_time(const struct load_counts *counts)
{
	return (double)counts->in_time / MAX(counts->submitted, 1);
}

static double
weight_of(int entry)
{
	return shape.entry_weights[(unsigned)entry % shape.entry_weight_count];
}

static struct counts_by_weight
play(bool offer_slots)
{
	struct mst_tuning tuning = MST_TUNING_INIT;
	struct counts_by_weight counts = {0};
	uint32_t seed;
	guint i;

	tuning.offer_slots = offer_slots;
	for (seed = 1; seed <= SEEDS; seed++) {
		const struct load_options options = {
		    .seed = seed, .paired = true, .tuning = &tuning};
		struct load *load = load_new(&shape, &options);

		load_run(load);
		for (i = 0; i < load->jobs->len; i++) {
			const struct load_job *job = load->jobs->pdata[i];

			if (job->submitted_ms < LOAD_PEAK_START_MS ||
			    job->submitted_ms >= LOAD_PEAK_END_MS)
				continue;
			load_count_job(weight_of(job->entry) > 1 ? &counts.many
								 : &counts.few,
			    load, job);
		}
		load_free(load);
	}
	g_test_message("offers %d: many %u/%u in time, few %u/%u", offer_slots,
	    counts.many.in_time, counts.many.submitted, counts.few.in_time,
	    counts.few.submitted);
	return counts;
}

/* Guards against agents whose slots go to the entries with most running tasks.
 */
static void
offers__entries_with_few_callers_are_served_alike(void)
{
	struct counts_by_weight counts = play(true);

	g_assert_cmpuint(counts.many.lost + counts.few.lost, ==, 0);
	g_assert_cmpfloat(share_in_time(&counts.few), >=,
	    FAIRNESS_MIN * share_in_time(&counts.many));
}

/* Reserving slots must not cost more than it gains: as many jobs end in time as
 * without offers. */
static void
offers__serve_no_fewer_jobs(void)
{
	struct counts_by_weight with = play(true);
	struct counts_by_weight without = play(false);

	g_assert_cmpuint(with.few.in_time + with.many.in_time, >=,
	    without.few.in_time + without.many.in_time);
}

/* A leased agent whose worker has one free slot, and two entries with a lease.
 */
struct agent_fixture {
	struct mst_agent *agent;
	struct session *waiting; /* of the entry whose task waits */
	struct session *other;
};

static void
agent_fixture_init(struct agent_fixture *fixture)
{
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	struct mst_agent *agent;

	options.incarnation = 1;
	options.leased = true;
	options.resources = (struct mst_resources){.millicores = 2000};
	mst_lease_times(&options.leases, 1300, 1000);
	mst_agent_new(&agent, &options);
	agent->now_us = G_USEC_PER_SEC;
	agent->worker.has_reported = true;
	agent->worker.synced = true;
	agent->worker.id = g_strdup("worker");
	fixture->agent = agent;
	fixture->waiting = mst_session_open(agent, 2);
	fixture->other = mst_session_open(agent, 3);
	fixture->waiting->echo_us = agent->now_us;
	fixture->other->echo_us = agent->now_us;
	fixture->waiting->demand = 1;
	mst_agent_offer_slots(agent);
}

static void
offers__slot_is_reserved(void)
{
	struct agent_fixture fixture;

	agent_fixture_init(&fixture);
	g_assert_true(fixture.waiting->offer_due);
	g_assert_cmpuint(
	    mst_session_free_slots(fixture.agent, fixture.waiting), ==, 1);
	g_assert_cmpuint(
	    mst_session_free_slots(fixture.agent, fixture.other), ==, 0);
	mst_agent_free(fixture.agent);
}

/* An entry that does not use its offer must not keep the slot from others, also
 * before the agent sends results again. */
static void
offers__unused_offer_ends(void)
{
	struct agent_fixture fixture;

	agent_fixture_init(&fixture);
	fixture.agent->now_us = fixture.waiting->offered_until_us;
	g_assert_cmpuint(
	    mst_session_free_slots(fixture.agent, fixture.other), ==, 1);
	mst_agent_free(fixture.agent);
}

/* Neither must an entry that has lost its lease. */
static void
offers__offer_ends_with_the_lease(void)
{
	struct agent_fixture fixture;

	agent_fixture_init(&fixture);
	fixture.waiting->echo_us -=
	    fixture.agent->options.leases.entry_lease_us + 1;
	g_assert_cmpuint(
	    mst_session_free_slots(fixture.agent, fixture.other), ==, 1);
	mst_agent_free(fixture.agent);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/offers/few-callers",
	    offers__entries_with_few_callers_are_served_alike);
	g_test_add_func("/offers/served", offers__serve_no_fewer_jobs);
	g_test_add_func("/offers/reserved", offers__slot_is_reserved);
	g_test_add_func("/offers/unused", offers__unused_offer_ends);
	g_test_add_func(
	    "/offers/lease-lost", offers__offer_ends_with_the_lease);
	return g_test_run();
}
