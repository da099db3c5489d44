#ifndef PLACEMENT_FIXTURE_H
#define PLACEMENT_FIXTURE_H

/*
 * Simulated workers of unequal labels, racks and resources beside one entry,
 * and stored and best-effort jobs of one step. The test says how each task of
 * a job runs.
 */

#include <masticstall.h>

#include "sim/cluster.h"
#include "sim/worker.h"

#define PLACEMENT_TASKS_MAX 16

/* How the runs of a job's tasks end. */
enum placement_end {
	PLACEMENT_DONE = 0,
	PLACEMENT_CRASH_FIRST, /* the first run crashes its worker */
	PLACEMENT_FAIL_FIRST,  /* the first run fails */
	PLACEMENT_FAIL_ALL
};

struct placement_worker {
	const char *rack;
	const char *labels; /* comma-separated */
	uint32_t millicores;
};

struct placement_job {
	const char *key; /* 16 characters */
	const char *team;
	const char *label; /* that it requires; NULL: none */
	const char *rack;  /* of its data; NULL: any */
	uint32_t count;    /* tasks */
	uint32_t millicores;
	uint32_t per_member_max; /* 0: any */
	uint32_t attempts;
	double stretch; /* of the objective; 0: long */
	int64_t run_ms;
	int64_t declared_ms; /* 0: as long as it runs */
	enum placement_end end;
	unsigned end_index; /* the task that ends so; the others succeed */
	bool stored;
	/* Set by the fixture. */
	uint64_t request;
	unsigned runs[PLACEMENT_TASKS_MAX];
	int agents[PLACEMENT_TASKS_MAX];       /* node id of the last run */
	int64_t began_us[PLACEMENT_TASKS_MAX]; /* of the last run */
	char names[PLACEMENT_TASKS_MAX][40];
	struct mst_task_spec tasks[PLACEMENT_TASKS_MAX];
	struct mst_step_spec step;
	struct mst_job_spec spec;
};

struct placement_fixture {
	struct sim *sim;
	struct cluster cluster;
	GPtrArray *jobs; /* struct placement_job, borrowed */
};

/* Starts an entry and the workers, and waits until the entry knows them. */
struct placement_fixture *placement_new(
    const struct placement_worker *workers, int count);
void placement_free(struct placement_fixture *fixture);
/* Submits a job, which must live as long as the fixture. */
void placement_submit(
    struct placement_fixture *fixture, struct placement_job *job);
void placement_run_for_ms(struct placement_fixture *fixture, int64_t ms);
/* Returns the counters of the entry. */
const struct mst_entry_counters *placement_counters(
    const struct placement_fixture *fixture);
/* Asserts that a job has completed. */
void placement_assert_complete(
    struct placement_fixture *fixture, const struct placement_job *job);

#endif
