#include "support/placement_fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS           INT64_C(1000)
#define MEMORY_MB    1024
#define READY_US     (G_USEC_PER_SEC + 3500 * MS)
#define TIMEOUT_MS   60000
#define LONG_STRETCH 100.0
#define KEY_LEN      16
#define END_AFTER_MS 100 /* of a run without success */

static struct placement_job *
find_job(const struct placement_fixture *fixture, const char *key)
{
	guint i;

	for (i = 0; i < fixture->jobs->len; i++) {
		struct placement_job *job = fixture->jobs->pdata[i];

		if (strncmp(job->key, key, KEY_LEN) == 0)
			return job;
	}
	g_assert_not_reached();
}

static struct sim_task_result
serve_task(
    void *ctx, int agent, const struct mst_dispatch_item *task, int64_t now_us)
{
	struct placement_job *job = find_job(ctx, task->path.data);
	unsigned index = (unsigned)atoi(task->path.data + KEY_LEN + 5);
	struct sim_task_result service = {.duration_us = job->run_ms * MS,
	    .outcome = MST_OUTCOME_DONE,
	    .status = 200};
	bool is_first = job->runs[index]++ == 0;

	job->agents[index] = agent;
	job->began_us[index] = now_us;
	if (index != job->end_index || job->end == PLACEMENT_DONE ||
	    (!is_first && job->end != PLACEMENT_FAIL_ALL))
		return service;
	service.duration_us = END_AFTER_MS * MS;
	service.crashes = job->end == PLACEMENT_CRASH_FIRST;
	service.status = 500;
	return service;
}

static const struct mst_job_spec *
load_job(void *ctx, const char *key)
{
	return &find_job(ctx, key)->spec;
}

struct placement_fixture *
placement_new(const struct placement_worker *workers, int count)
{
	struct placement_fixture *fixture = g_new0(struct placement_fixture, 1);
	const struct sim_options options = {.seed = 3,
	    .latency_us = 500,
	    .leased = true,
	    .stored_jobs = true,
	    .remote_factor = 1.5,
	    .load_job_spec = load_job,
	    .get_task_result = serve_task,
	    .on_log = cluster_log_stderr,
	    .ctx = fixture};
	int i;

	fixture->jobs = g_ptr_array_new();
	fixture->sim = sim_new(&options);
	cluster_init(&fixture->cluster, fixture->sim, 1, 0, NULL);
	for (i = 0; i < count; i++) {
		const struct mst_resources capacity = {
		    .millicores = workers[i].millicores,
		    .memory_mb = MEMORY_MB};

		cluster_add_agent(&fixture->cluster, &capacity);
		sim_set_worker_placement(fixture->sim,
		    fixture->cluster.agents[i], workers[i].rack,
		    workers[i].labels);
	}
	sim_run_until(fixture->sim, READY_US);
	return fixture;
}

void
placement_free(struct placement_fixture *fixture)
{
	sim_free(fixture->sim);
	g_ptr_array_unref(fixture->jobs);
	g_free(fixture);
}

static struct mst_bytes
bytes_or_none(const char *text)
{
	return text != NULL ? mst_bytes_from_str(text) : (struct mst_bytes){0};
}

void
placement_submit(struct placement_fixture *fixture, struct placement_job *job)
{
	int64_t declared_ms =
	    job->declared_ms > 0 ? job->declared_ms : job->run_ms;
	uint32_t i;

	for (i = 0; i < job->count; i++) {
		snprintf(job->names[i], sizeof(job->names[i]), "%s.0.0.%u",
		    job->key, i);
		job->tasks[i] = (struct mst_task_spec){
		    .path = mst_bytes_from_str(job->names[i]),
		    .flags = MST_TASK_RESTARTABLE,
		    .declared_us = (uint32_t)(declared_ms * MS),
		    .needs = {.millicores = job->millicores}};
	}
	job->step = (struct mst_step_spec){.count = job->count,
	    .required_label = bytes_or_none(job->label),
	    .rack = bytes_or_none(job->rack),
	    .per_member_max = job->per_member_max};
	job->spec = (struct mst_job_spec){.key = job->key,
	    .team = job->team != NULL ? job->team : "queue",
	    .service = "service",
	    .timeout_ms = TIMEOUT_MS,
	    .count = job->count,
	    .tasks = job->tasks,
	    .step_count = 1,
	    .steps = &job->step,
	    .restartable = true,
	    .attempts = job->attempts,
	    .stretch = job->stretch > 0 ? job->stretch : LONG_STRETCH,
	    .stored = job->stored,
	    .serialized_job = "text"};
	g_ptr_array_add(fixture->jobs, job);
	job->request =
	    sim_submit(fixture->sim, fixture->cluster.entries[0], &job->spec);
}

void
placement_run_for_ms(struct placement_fixture *fixture, int64_t ms)
{
	sim_run_until(fixture->sim, sim_now(fixture->sim) + ms * MS);
}

const struct mst_entry_counters *
placement_counters(const struct placement_fixture *fixture)
{
	return mst_entry_counters(
	    sim_get_entry(fixture->sim, fixture->cluster.entries[0]));
}

static void
assert_stored_complete(
    struct placement_fixture *fixture, const struct placement_job *job)
{
	uint64_t query = sim_query_stored_job(
	    fixture->sim, fixture->cluster.entries[0], job->key);

	placement_run_for_ms(fixture, 100);
	g_assert_cmpint(sim_get_request(fixture->sim, query)->stored_state, ==,
	    MST_STORED_COMPLETE);
}

void
placement_assert_complete(
    struct placement_fixture *fixture, const struct placement_job *job)
{
	if (job->stored)
		assert_stored_complete(fixture, job);
	else
		g_assert_cmpint(
		    sim_get_request(fixture->sim, job->request)->state, ==,
		    MST_JOB_COMPLETE);
}
