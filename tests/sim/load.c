#include "sim/load.h"

#include <math.h>
#include <string.h>

#include "sim/worker.h"

#define MS            INT64_C(1000)
#define STEP_MS       5
#define DRAIN_MS      3000 /* after the end of the load */
#define ANSWER_MAX_MS 500  /* after the longest deadline */
/* Between the peaks of two failure domains of callers. */
#define WAVE_DISTANCE_MS 1000
#define TASK_MILLICORES  1600
#define LATENCY_US       500
#define JITTER_US        300
#define ATTEMPTS         2    /* failed runs after which a task has failed */
#define SERVICE_SPREAD   0.15 /* largest deviation of a run's service time */
#define REFUSAL_MAX_MS   5    /* longest time until an immediate refusal */
#define FAILING_RUN_US   (10 * MS)
/* From the start of a task that crashes its worker. */
#define CRASH_MIN_MS 2
#define CRASH_MAX_MS 60

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

/* Returns true if a task straggles. That is a property of the task, so it does
 * not depend on the order of the draws, and a second run straggles as well. */
static bool
is_straggler(const struct load *load, const char *task_name)
{
	bool straggles;
	GRand *rand;

	if (load->shape.straggler_share <= 0)
		return false;
	rand =
	    g_rand_new_with_seed(~g_str_hash(task_name) ^ load->options.seed);
	straggles = g_rand_double(rand) < load->shape.straggler_share;
	g_rand_free(rand);
	return straggles;
}

static double
straggler_factor(const struct load *load, const char *task_name)
{
	return is_straggler(load, task_name) ? load->shape.straggler_factor : 1;
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

/* Returns true if a task crashes each worker that runs it. */
static bool
is_crashing(const struct load_job *job, const char *task_name)
{
	return job->crashing && strcmp(job->task_names[0], task_name) == 0;
}

static struct sim_task_result
crash_worker(struct load *load, struct load_job *job)
{
	job->crashing_starts++;
	if (load->crashing_at_once)
		return (struct sim_task_result){
		    .crashes = true, .start_unanswered = true};
	return (struct sim_task_result){.duration_us = MS *
		g_rand_int_range(load->rand, CRASH_MIN_MS, CRASH_MAX_MS),
	    .crashes = true};
}

static struct sim_task_result
serve_task(void *ctx, int node_id, const struct mst_dispatch_item *task,
    int64_t now_us)
{
	struct load *load = ctx;
	int agent = agent_index(load, node_id);
	char *key = g_strndup(task->path.data, 16);
	char *name = mst_bytes_to_str(task->path);
	struct load_job *job = g_hash_table_lookup(load->jobs_by_key, key);
	bool crashes = is_crashing(job, name);
	double duration_ms = job->service_ms * load->slowdowns[agent] *
	    load->shape
		.service_factors[(unsigned)node_id % load->shape.factor_count];

	duration_ms *= draw_deviation(load, task);
	duration_ms *= straggler_factor(load, name);
	g_free(name);
	g_free(key);
	if (crashes)
		return crash_worker(load, job);
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

/* Returns the load of the callers in a failure domain, as a share of the
 * workers' capacity if all domains had it. */
static double
domain_load(const struct load *load, unsigned domain, int64_t now_ms)
{
	const struct load_shape *shape = &load->shape;
	double peak_ms = (LOAD_PEAK_START_MS + LOAD_PEAK_END_MS) / 2.0 +
	    (domain - (shape->waves.domains - 1) / 2.0) * WAVE_DISTANCE_MS;
	double phase =
	    2 * G_PI * ((double)now_ms - peak_ms) / shape->waves.period_ms;

	return shape->base_load +
	    (shape->peak_load - shape->base_load) * (1 + cos(phase)) / 2;
}

static double
sum_domain_loads(const struct load *load, int64_t now_ms)
{
	double sum = 0;
	unsigned d;

	for (d = 0; d < load->shape.waves.domains; d++)
		sum += domain_load(load, d, now_ms);
	return sum;
}

/* Returns the failure domain of a caller, drawn by their present rates. */
static unsigned
choose_domain(struct load *load, int64_t now_ms)
{
	unsigned domain = 0;
	double draw;

	if (load->shape.waves.domains == 0)
		return 0;
	draw =
	    g_rand_double_range(load->rand, 0, sum_domain_loads(load, now_ms));
	for (; domain + 1 < load->shape.waves.domains; domain++) {
		draw -= domain_load(load, domain, now_ms);
		if (draw < 0)
			break;
	}
	return domain;
}

static double
entry_weight(const struct load_shape *shape, int index)
{
	return shape
	    ->entry_weights[(unsigned)index % shape->entry_weight_count];
}

/* Returns the index of the entry that a caller asks. */
static int
choose_entry(struct load *load)
{
	const struct load_shape *shape = &load->shape;
	double total_weight = 0, draw;
	int i;

	if (shape->entry_weight_count == 0)
		return g_rand_int_range(load->rand, 0, shape->entries);
	for (i = 0; i < shape->entries; i++)
		total_weight += entry_weight(shape, i);
	draw = g_rand_double_range(load->rand, 0, total_weight);
	for (i = 0; i + 1 < shape->entries; i++) {
		draw -= entry_weight(shape, i);
		if (draw < 0)
			break;
	}
	return i;
}

/* Sets the time of the longest task, which decides when the job is in time. */
static void
set_longest(const struct load *load, struct load_job *job)
{
	uint32_t i;

	job->longest_ms = job->service_ms;
	for (i = 0; i < job->kind->tasks; i++)
		job->longest_ms = MAX(job->longest_ms,
		    job->service_ms *
			straggler_factor(load, job->task_names[i]));
}

static void
name_tasks(struct load_job *job)
{
	uint32_t i;

	for (i = 0; i < job->kind->tasks; i++)
		g_snprintf(job->task_names[i], sizeof(job->task_names[i]),
		    "%s.0.0.%u", job->key, i);
}

static void
set_tasks(const struct load_job *job, struct mst_task_spec *tasks)
{
	uint32_t i;

	for (i = 0; i < job->kind->tasks; i++)
		tasks[i] = (struct mst_task_spec){
		    .path = mst_bytes_from_str(job->task_names[i]),
		    .flags = MST_TASK_RESTARTABLE,
		    .declared_us = (uint32_t)(job->declared_ms * MS),
		    .needs = {.millicores = TASK_MILLICORES}};
}

/* Sends a job to its entry. */
static void
send_job(struct load *load, struct load_job *job)
{
	struct mst_task_spec tasks[LOAD_TASKS_MAX] = {0};
	const struct mst_job_spec spec = {.tasks = tasks,
	    .key = job->key,
	    .count = job->kind->tasks,
	    .team = job->kind->queue,
	    .priority = job->kind->priority,
	    .timeout_ms = (uint32_t)load->shape.deadline_ms,
	    .caller_deadline_ms = (uint32_t)job->kind->deadline_ms,
	    .restartable = true,
	    .service = "service",
	    .attempts = ATTEMPTS,
	    .stretch = load->shape.stretch,
	    .target_ms = (uint32_t)load->shape.target_ms};

	set_tasks(job, tasks);
	job->request =
	    sim_submit(load->sim, load->cluster.entries[job->entry], &spec);
}

void
load_resubmit(struct load *load, guint index)
{
	struct load_job *job = load->jobs->pdata[index];

	job->entry = (job->entry + 1) % load->shape.entries;
	send_job(load, job);
}

void
load_submit(struct load *load, const struct load_kind *kind, int64_t now_ms)
{
	struct load_job *job = g_new0(struct load_job, 1);

	job->kind = kind != NULL ? kind : choose_job_kind(load);
	job->service_ms = job->kind->service_ms *
	    exp(load->shape.service_sigma * load_random_normal(load->rand));
	job->declared_ms = job->service_ms *
	    exp(load->declared_sigma * load_random_normal(load->rand));
	job->submitted_ms = now_ms;
	if (load->poisoned_share > 0)
		job->poisoned =
		    g_rand_double(load->rand) < load->poisoned_share;
	if (load->crashing_share > 0 && job->kind == &load->shape.kinds[0])
		job->crashing =
		    g_rand_double(load->rand) < load->crashing_share;
	g_snprintf(job->key, sizeof(job->key), "%016x", load->jobs->len + 1);
	g_hash_table_insert(load->jobs_by_key, job->key, job);
	g_ptr_array_add(load->jobs, job);
	name_tasks(job);
	set_longest(load, job);
	job->domain = choose_domain(load, now_ms);
	job->entry = choose_entry(load);
	send_job(load, job);
}

/* Returns the number of slots of a worker. */
static uint32_t
slots_of(const struct load_shape *shape, unsigned worker)
{
	if (shape->slot_factor_count == 0)
		return shape->slots;
	return (uint32_t)lround(shape->slots *
	    shape->slot_factors[worker % shape->slot_factor_count]);
}

/* Returns the mean number of slots of a worker. */
static double
mean_slots(const struct load_shape *shape)
{
	double sum = 0;
	unsigned i;

	if (shape->slot_factor_count == 0)
		return shape->slots;
	for (i = 0; i < shape->slot_factor_count; i++)
		sum += slots_of(shape, i);
	return sum / shape->slot_factor_count;
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
	if (shape->straggler_share > 0)
		service_s *=
		    1 + shape->straggler_share * (shape->straggler_factor - 1);
	return shape->workers * mean_slots(shape) * speed /
	    (service_s / total_weight);
}

struct load *
load_new(const struct load_shape *shape, const struct load_options *options)
{
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
	cluster_init(&load->cluster, load->sim, shape->entries, 0, NULL);
	for (i = 0; i < shape->workers; i++) {
		const struct mst_resources capacity = {
		    .millicores =
			slots_of(shape, (unsigned)i) * TASK_MILLICORES,
		    .memory_mb = 1024};

		cluster_add_agent(&load->cluster, &capacity);
		load->slowdowns[i] = 1;
	}
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

/* Returns the load as a share of the workers' capacity. */
static double
current_load(const struct load *load, bool at_peak, int64_t now_ms)
{
	const struct load_fault *fault = load->options.fault;
	double factor =
	    fault != NULL && fault->load_factor > 0 ? fault->load_factor : 1;

	if (load->shape.waves.domains > 0)
		return sum_domain_loads(load, now_ms) /
		    load->shape.waves.domains * (at_peak ? factor : 1);
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

/* Returns the time after the end of the load until all jobs are answered. */
static int64_t
drain_ms(const struct load_shape *shape)
{
	double deadline = 0;
	unsigned i;

	for (i = 0; i < shape->kind_count; i++)
		deadline = MAX(deadline, shape->kinds[i].deadline_ms);
	return MAX(DRAIN_MS, (int64_t)deadline + ANSWER_MAX_MS);
}

void
load_run(struct load *load)
{
	double capacity = load_capacity_jobs_per_s(&load->shape);
	int64_t end_ms = LOAD_END_MS + load->options.extra_ms;
	int64_t now_ms;

	for (now_ms = LOAD_START_MS; now_ms < end_ms; now_ms += STEP_MS) {
		bool at_peak =
		    now_ms >= LOAD_PEAK_START_MS && now_ms < LOAD_PEAK_END_MS;

		sim_run_until(load->sim, G_USEC_PER_SEC + now_ms * MS);
		inject_fault(load, now_ms);
		load->due_jobs += capacity *
		    current_load(load, at_peak, now_ms) * STEP_MS / 1000;
		for (; load->due_jobs >= 1; load->due_jobs -= 1)
			load_submit(load, NULL, now_ms);
		load->due_burst_jobs += capacity * STEP_MS / 1000 *
		    current_load(load, at_peak, now_ms) * extra_share(load);
		for (; load->due_burst_jobs >= 1; load->due_burst_jobs -= 1)
			load_submit(load, load->burst_kind, now_ms);
	}
	sim_run_until(
	    load->sim, G_USEC_PER_SEC + (end_ms + drain_ms(&load->shape)) * MS);
}

/* Returns the time that the callers of a job wait. */
static double
deadline_ms(const struct load *load, const struct load_job *job)
{
	return job->kind->deadline_ms > 0 ? job->kind->deadline_ms
					  : load->shape.deadline_ms;
}

double
load_limit_ms(const struct load *load, const struct load_job *job)
{
	double limit_ms =
	    load->shape.stretch * job->longest_ms + load->shape.target_ms;

	return MIN(limit_ms, deadline_ms(load, job));
}

/* Returns true if an answer after this time is of no use. */
static bool
is_useless(const struct load *load, const struct load_job *job, int64_t took_ms)
{
	return load->shape.useless_stretch > 0 &&
	    (double)took_ms >
	    load->shape.useless_stretch * load_limit_ms(load, job);
}

void
load_count_job(struct load_counts *counts, const struct load *load,
    const struct load_job *job)
{
	const struct sim_request *request =
	    sim_get_request(load->sim, job->request);
	int64_t took_ms = (request->answered_us - request->submitted_us) / MS;

	counts->submitted++;
	if (request->answered_us == 0) {
		counts->lost++;
	} else if (request->refused) {
		counts->refused++;
		counts->refused_late += took_ms > REFUSAL_MAX_MS;
		counts->refusal_max_ms = MAX(counts->refusal_max_ms, took_ms);
		g_assert_cmpuint(request->retry_after_ms, >, 0);
		g_assert_false(request->may_have_run);
	} else if (request->state != MST_JOB_COMPLETE ||
	    is_useless(load, job, took_ms)) {
		counts->failed++;
		counts->uncertain += request->start_uncertain;
	} else if ((double)took_ms <= load_limit_ms(load, job)) {
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
