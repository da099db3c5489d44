#ifndef DRAIN_FIXTURE_H
#define DRAIN_FIXTURE_H

/* Simulated cluster whose failure domains are drained, and a load on it. */

#include <masticstall.h>

#include "sim/cluster.h"
#include "sim/worker.h"

#define MS            INT64_C(1000)
#define STOP_MAX_MS   500 /* from the write to the last start */
#define SPREAD_MAX_MS 500 /* until all processes know a set */
#define DEADLINE_MS   20000

/* A start of a task at a worker. */
struct drain_start {
	int64_t at_us;
	int agent; /* node id */
};

struct drain_fixture {
	struct sim *sim;
	struct cluster cluster;
	int64_t task_ms;
	unsigned jobs;
	GArray *starts;   /* struct drain_start */
	GArray *requests; /* uint64_t */
};

extern const char *const drain_domains[3];

/* Records the start and returns success after the fixture's task_ms. */
struct sim_task_result drain_serve_task(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us);
/* Agents belong to the domains in turn. */
struct drain_fixture *drain_fixture_new_random(uint32_t seed, int64_t jitter_us,
    int entries, int agents, int domain_count, unsigned slots);
/* The same with a fixed seed and without jitter. */
struct drain_fixture *drain_fixture_new(
    int entries, int agents, int domain_count, unsigned slots);
void drain_fixture_free(struct drain_fixture *fixture);
void drain_run_for_ms(struct drain_fixture *fixture, int64_t ms);
/* Publishes a set of drained domains at one entry, as the store does. */
void drain_set_domains(struct drain_fixture *fixture, int entry,
    uint64_t revision, const char *names);
/* Submits a job of some tasks at an entry. Returns the id of its request. */
uint64_t drain_submit(struct drain_fixture *fixture, int entry, uint32_t count);
/* Submits a job at each entry in turn, at a constant rate. */
void drain_submit_for_ms(struct drain_fixture *fixture, int64_t ms);
const struct sim_request *drain_get_request(
    const struct drain_fixture *fixture, uint64_t id);
/* Asserts that all jobs are complete and no task has run twice at a time. */
void drain_assert_all_complete(const struct drain_fixture *fixture);
struct mst_agent_gauges drain_agent_gauges(
    const struct drain_fixture *fixture, int agent);
struct mst_entry_gauges drain_entry_gauges(
    const struct drain_fixture *fixture, int entry);
/* Returns the number of starts in a domain after a time. */
unsigned drain_count_starts_since(
    const struct drain_fixture *fixture, const char *domain, int64_t since_us);
void drain_assert_entry_knows(const struct drain_fixture *fixture, int entry,
    uint64_t revision, const char *names);
/* Asserts that exactly the agents of one domain, or none, know that they are
 * drained. */
void drain_assert_agents_drained(
    const struct drain_fixture *fixture, const char *domain);
/* Cuts a link in both directions, or restores it. */
void drain_set_link_cut(struct drain_fixture *fixture, int a, int b, bool cut);
/* Cuts the links between an entry and all agents, or restores them. */
void drain_set_agents_cut(struct drain_fixture *fixture, int entry, bool cut);
/* Cuts the link between the first two entries, or restores it. */
void drain_set_entries_cut(struct drain_fixture *fixture, bool cut);
/* Returns the number of messages sent so far. */
uint64_t drain_count_messages(const struct drain_fixture *fixture);

#endif
