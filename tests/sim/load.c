#include "sim/load.h"

#include <math.h>

#include "sim/worker.h"

#define MS              INT64_C(1000)
#define STEP_MS         5
#define DRAIN_MS        3000 /* after the end of the load */
#define TASK_MILLICORES 1600
#define LATENCY_US      500
#define JITTER_US       300
#define ATTEMPTS        2    /* failed runs after which a task has failed */
#define SERVICE_SPREAD  0.15 /* largest deviation of a run's service time */
#define REFUSAL_MAX_MS  5    /* longest time until an immediate refusal */
#define FAILING_RUN_US  (10 * MS)

double
load_random_normal(GRand *rand)
{
	double u = g_rand_double_range(rand, 1e-9, 1);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(rand));
}

/* Returns the index of an agent among the cluster's agents. */
static int
agent_index(const struct load *load, int node_id)
{
	int i;

	for (i = 0; i < load->cluster.agent_count; i++) {
		if (load->cluster.agents[i] == node_id)
			return i;
	}
	return 0;
}

/* Returns the deviation of the service time of a task, as a factor. */
static double
draw_deviation(struct load *load, const struct mst_dispatch_item *task)
{
	GRand *rand;
	double factor;
	char *name;

	if (!load->options.paired)
		return g_rand_double_range(
		    load->rand, 1 - SERVICE_SPREAD, 1 + SERVICE_SPREAD);
	name = mst_bytes_to_str(task->path);
	rand = g_rand_new_with_seed(g_str_hash(name) ^ load->options.seed);
	factor =
	    g_rand_double_range(rand, 1 - SERVICE_SPREAD, 1 + SERVICE_SPREAD);
	g_rand_free(rand);
	g_free(name);
	return factor;
}

static struct sim_task_result
serve_task(void *ctx, int node_id, const struct mst_dispatch_item *task,
    int64_t now_us)
{
	struct load *load = ctx;
	int agent = agent_index(load, node_id);
	char *key = g_strndup(task->path.data, 16);
	const struct load_job *job =
	    g_hash_table_lookup(load->jobs_by_key, key);
	double duration_ms = job->service_ms * load->slowdowns[agent] *
	    load->shape
		.service_factors[(unsigned)node_id % load->shape.factor_count];

	g_free(key);
	duration_ms *= draw_deviation(load, task);
	if (load->fails[agent] || job->poisoned)
		return (struct sim_task_result){.duration_us = FAILING_RUN_US,
		    .outcome = MST_OUTCOME_DONE,
		    .status = 500};
	return (struct sim_task_result){.duration_us = load->hangs[agent]
		? -1
		: (int64_t)(duration_ms * MS),
	    .outcome = MST_OUTCOME_DONE,
	    .status = 200};
}

static const struct load_kind *
choose_job_kind(struct load *load)
{
	const struct load_shape *shape = &load->shape;
	double total_weight = 0, draw;
	unsigned i;

	for (i = 0; i < shape->kind_count; i++)
		total_weight += shape->kinds[i].weight;
	draw = g_rand_double_range(load->rand, 0, total_weight);
	for (i = 0; draw >= shape->kinds[i].weight; i++)
		draw -= shape->kinds[i].weight;
	return &shape->kinds[i];
}

static void
set_tasks(struct load_job *job, struct mst_task_spec *tasks, double declared_ms)
{
	uint32_t i;

	for (i = 0; i < job->kind->tasks; i++) {
		g_snprintf(job->task_names[i], sizeof(job->task_names[i]),
		    "%s.0.0.%u", job->key, i);
		tasks[i] = (struct mst_task_spec){
		    .path = mst_bytes_from_str(job->task_names[i]),
		    .flags = MST_TASK_RESTARTABLE,
		    .declared_us = (uint32_t)(declared_ms * MS),
		    .needs = {.millicores = TASK_MILLICORES}};
	}
}

void
load_submit(struct load *load, const struct load_kind *kind, int64_t now_ms)
{
	struct mst_task_spec tasks[LOAD_TASKS_MAX] = {0};
	struct load_job *job = g_new0(struct load_job, 1);
	struct mst_job_spec spec = {.tasks = tasks,
	    .timeout_ms = (uint32_t)load->shape.deadline_ms,
	    .restartable = true,
	    .service = "service",
	    .attempts = ATTEMPTS,
	    .stretch = load->shape.stretch,
	    .target_ms = (uint32_t)load->shape.target_ms};
	double declared_ms;

	job->kind = kind != NULL ? kind : choose_job_kind(load);
	job->service_ms = job->kind->service_ms *
	    exp(load->shape.service_sigma * load_random_normal(load->rand));
	declared_ms = job->service_ms *
	    exp(load->declared_sigma * load_random_normal(load->rand));
	job->submitted_ms = now_ms;
	if (load->poisoned_share > 0)
		job->poisoned =
		    g_rand_double(load->rand) < load->poisoned_share;
	g_snprintf(job->key, sizeof(job->key), "%016x", load->jobs->len + 1);
	g_hash_table_insert(load->jobs_by_key, job->key, job);
	g_ptr_array_add(load->jobs, job);
	set_tasks(job, tasks, declared_ms);
	spec.key = job->key;
	spec.count = job->kind->tasks;
	spec.priority = job->kind->priority;
	spec.team = job->kind->queue;
	job->request = sim_submit(load->sim,
	    load->cluster
		.entries[g_rand_int_range(load->rand, 0, load->shape.entries)],
	    &spec);
}

double
load_capacity_jobs_per_s(const struct load_shape *shape)
{
	double service_s = 0, total_weight = 0, speed = 0;
	double sigma = shape->service_sigma;
	unsigned i;

	for (i = 0; i < shape->kind_count; i++) {
		const struct load_kind *kind = &shape->kinds[i];

		service_s += kind->weight * kind->tasks * kind->service_ms /
		    1000 * exp(sigma * sigma / 2);
		total_weight += kind->weight;
	}
	for (i = 0; i < shape->factor_count; i++)
		speed += 1 / shape->service_factors[i] / shape->factor_count;
	return shape->workers * shape->slots * speed /
	    (service_s / total_weight);
}

struct load *
load_new(const struct load_shape *shape, const struct load_options *options)
{
	const struct mst_resources capacity = {
	    .millicores = shape->slots * TASK_MILLICORES, .memory_mb = 1024};
	struct load *load = g_new0(struct load, 1);
	struct sim_options sim_options = {.seed = options->seed,
	    .latency_us = LATENCY_US,
	    .jitter_us = JITTER_US,
	    .leased = true,
	    .tuning = options->tuning,
	    .get_task_result = serve_task,
	    .ctx = load};
	int i;

	load->shape = *shape;
	load->options = *options;
	load->declared_sigma = shape->declared_sigma;
	load->rand = g_rand_new_with_seed(options->seed);
	load->jobs = g_ptr_array_new_with_free_func(g_free);
	load->jobs_by_key = g_hash_table_new(g_str_hash, g_str_equal);
	load->sim = sim_new(&sim_options);
	cluster_init(&load->cluster, load->sim, shape->entries, shape->workers,
	    &capacity);
	for (i = 0; i < shape->workers; i++)
		load->slowdowns[i] = 1;
	for (i = 0; i < shape->entries && options->config != NULL; i++)
		sim_configure(
		    load->sim, load->cluster.entries[i], 2, options->config);
	return load;
}

void
load_free(struct load *load)
{
	sim_free(load->sim);
	g_hash_table_unref(load->jobs_by_key);
	g_ptr_array_unref(load->jobs);
	g_rand_free(load->rand);
	g_free(load);
}

static double
current_load(const struct load *load, bool at_peak)
{
	const struct load_fault *fault = load->options.fault;
	double factor =
	    fault != NULL && fault->load_factor > 0 ? fault->load_factor : 1;

	return at_peak ? load->shape.peak_load * factor : load->shape.base_load;
}

/* Returns the extra jobs of the kind that comes more often, as a share of the
 * usual jobs. */
static double
extra_share(const struct load *load)
{
	double total_weight = 0;
	unsigned i;

	if (load->burst_kind == NULL)
		return 0;
	for (i = 0; i < load->shape.kind_count; i++)
		total_weight += load->shape.kinds[i].weight;
	return (load->burst_factor - 1) * load->burst_kind->weight /
	    total_weight;
}

/* Calls the functions of the fault that are due. */
static void
inject_fault(struct load *load, int64_t now_ms)
{
	const struct load_fault *fault = load->options.fault;

	if (fault == NULL)
		return;
	if (now_ms == LOAD_PEAK_START_MS && fault->begin != NULL)
		fault->begin(load);
	if (now_ms == LOAD_PEAK_END_MS && fault->end != NULL)
		fault->end(load);
	if (now_ms >= LOAD_PEAK_START_MS && now_ms < LOAD_PEAK_END_MS &&
	    fault->step != NULL)
		fault->step(load, now_ms);
}

void
load_run(struct load *load)
{
	double capacity = load_capacity_jobs_per_s(&load->shape);
	int64_t now_ms;

	for (now_ms = LOAD_START_MS; now_ms < LOAD_END_MS; now_ms += STEP_MS) {
		bool at_peak =
		    now_ms >= LOAD_PEAK_START_MS && now_ms < LOAD_PEAK_END_MS;

		sim_run_until(load->sim, G_USEC_PER_SEC + now_ms * MS);
		inject_fault(load, now_ms);
		load->due_jobs +=
		    capacity * current_load(load, at_peak) * STEP_MS / 1000;
		for (; load->due_jobs >= 1; load->due_jobs -= 1)
			load_submit(load, NULL, now_ms);
		load->due_burst_jobs += capacity * STEP_MS / 1000 *
		    current_load(load, at_peak) * extra_share(load);
		for (; load->due_burst_jobs >= 1; load->due_burst_jobs -= 1)
			load_submit(load, load->burst_kind, now_ms);
	}
	sim_run_until(
	    load->sim, G_USEC_PER_SEC + (LOAD_END_MS + DRAIN_MS) * MS);
}

void
load_count_job(struct load_counts *counts, const struct load *load,
    const struct load_job *job)
{
	const struct sim_request *request =
	    sim_get_request(load->sim, job->request);
	int64_t took_ms = (request->answered_us - request->submitted_us) / MS;
	double limit_ms =
	    load->shape.stretch * job->service_ms + load->shape.target_ms;

	counts->submitted++;
	if (request->answered_us == 0) {
		counts->lost++;
	} else if (request->refused) {
		counts->refused++;
		counts->refused_late += took_ms > REFUSAL_MAX_MS;
		counts->refusal_max_ms = MAX(counts->refusal_max_ms, took_ms);
		g_assert_cmpuint(request->retry_after_ms, >, 0);
		g_assert_false(request->may_have_run);
	} else if (request->state != MST_JOB_COMPLETE) {
		counts->failed++;
	} else if ((double)took_ms <= MIN(limit_ms, load->shape.deadline_ms)) {
		counts->in_time++;
	} else {
		counts->late++;
	}
}

struct load_counts
load_count(const struct load *load, int64_t from_ms, int64_t to_ms)
{
	struct load_counts counts = {0};
	guint i;

	for (i = 0; i < load->jobs->len; i++) {
		const struct load_job *job = load->jobs->pdata[i];

		if (job->submitted_ms >= from_ms && job->submitted_ms < to_ms)
			load_count_job(&counts, load, job);
	}
	return counts;
}
