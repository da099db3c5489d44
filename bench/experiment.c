/*
 * Compares variants of the policy on leased members. Each shape of fleet and
 * load is played with each fault and several seeds, once with the defaults and
 * once with the changed parameters; both get the same arrivals and service
 * times. Besides the profile, a shape may have waves of callers per failure
 * domain, unequal entries and workers, stragglers and deadlines of a kind's
 * callers (see struct load_shape). The same arguments always give the same
 * figures, apart from the processor time.
 *
 * Usage: bench-experiment [OPTION]...
 *   --shape FILE         play this shape; may be repeated; default: all of
 *                        bench/shapes
 *   --drawn SEED         also play two shapes that are drawn from a seed
 *   --fault NAME         play only this fault
 *   --seeds N            seeds for each shape and fault; default 4
 *   --set NAME=VALUE     a parameter of the variant; see struct mst_tuning;
 *                        placement=NAME sets the placement policy
 *   --ablate             compare each mechanism switched off, one by one
 *   --save FILE          write the credit of each run with the defaults
 *   --against FILE       take the defaults' credit from a saved file, to
 *                        compare with another build
 *   --jobs               print the jobs that did not end in time
 */

#include <getopt.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "experiment/experiment.h"

#define SEEDS_DEFAULT 4
#define LATE_CREDIT   0.2 /* of a job that ends late */
#define VARIANTS_MAX  32
#define THREADS_MAX   5

/* Figures of one play. */
struct figures {
	struct load_counts counts;
	double credit;        /* share of the credit of all jobs */
	double worst_credit;  /* in the worst period */
	double busy_per_task; /* dispatches that came back: no free slot */
	double messages_per_task;
	double cpu_s;
};

/* One play: a shape, a fault and a seed, with the parameters of a variant. */
struct play {
	const struct load_shape *shape;
	const struct load_fault *fault;
	const struct variant *variant;
	uint32_t seed;
	bool print_jobs;
	struct figures figures;
};

struct settings {
	GPtrArray *shapes; /* struct load_shape */
	const char *fault;
	uint32_t seeds;
	struct variant variants[VARIANTS_MAX];
	unsigned variant_count; /* the first one is the base */
	const char *save;
	GHashTable *saved; /* name of a play -> its credit, or NULL */
	bool print_jobs;
};

static double
job_weight(const struct load_job *job)
{
	return job->kind->tasks * job->kind->service_ms;
}

/* Returns the credit of the jobs submitted in a period, as a share. */
static double
credit_share(const struct load *load, int64_t from_ms, int64_t to_ms)
{
	double earned = 0, total = 0;
	guint i;

	for (i = 0; i < load->jobs->len; i++) {
		const struct load_job *job = load->jobs->pdata[i];
		struct load_counts counts = {0};

		if (job->submitted_ms < from_ms || job->submitted_ms >= to_ms)
			continue;
		load_count_job(&counts, load, job);
		total += job_weight(job);
		earned += job_weight(job) *
		    (counts.in_time + LATE_CREDIT * counts.late);
	}
	return total > 0 ? earned / total : 1;
}

static double
worst_period_credit(const struct load *load)
{
	double worst = 1;
	int64_t start_ms;

	for (start_ms = LOAD_START_MS; start_ms + LOAD_WINDOW_MS <= LOAD_END_MS;
	     start_ms += LOAD_WINDOW_MS / 4)
		worst = MIN(worst,
		    credit_share(load, start_ms, start_ms + LOAD_WINDOW_MS));
	return worst;
}

static void
count_messages(const struct load *load, struct figures *figures)
{
	double tasks = (double)MAX(sim_count_all_starts(load->sim), 1);
	double busy = 0, messages = 0;
	int i;

	for (i = 0; i < load->cluster.agent_count; i++) {
		const struct mst_agent *agent =
		    sim_get_agent(load->sim, load->cluster.agents[i]);

		if (agent != NULL)
			busy += (double)mst_agent_counters(agent)
				    ->refused[MST_REASON_BUSY];
	}
	for (i = 0; i < MST_MSG_MAX; i++)
		messages += (double)sim_count_messages(load->sim, i);
	figures->busy_per_task = busy / tasks;
	figures->messages_per_task = messages / tasks;
}

static void
print_missed_jobs(const struct load *load)
{
	guint i;

	for (i = 0; i < load->jobs->len; i++) {
		const struct load_job *job = load->jobs->pdata[i];
		const struct sim_request *request =
		    sim_get_request(load->sim, job->request);
		struct load_counts counts = {0};

		load_count_job(&counts, load, job);
		if (counts.in_time == 0)
			printf("%6d ms %s %-8s service %4.0f ms, limit %4.0f, "
			       "took %5d, %s%s\n",
			    (int)job->submitted_ms, job->key, job->kind->queue,
			    job->service_ms, load_limit_ms(load, job),
			    (int)((request->answered_us -
				      request->submitted_us) /
				1000),
			    counts.late          ? "late"
				: counts.refused ? "refused "
				: counts.failed  ? "failed "
						 : "lost",
			    counts.refused || counts.failed
				? mst_reason_name(request->reason)
				: "");
	}
}

static double
thread_cpu_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void
run_play(gpointer data, gpointer ctx)
{
	struct play *play = data;
	const struct load_options options = {.seed = play->seed,
	    .paired = true,
	    .fault = play->fault,
	    .tuning = &play->variant->tuning,
	    .config = play->variant->config};
	double started_s = thread_cpu_s();
	struct load *load = load_new(play->shape, &options);
	struct figures *figures = &play->figures;

	load_run(load);
	figures->cpu_s = thread_cpu_s() - started_s;
	figures->counts = load_count(load, LOAD_START_MS, LOAD_END_MS);
	figures->credit = credit_share(load, LOAD_START_MS, LOAD_END_MS);
	figures->worst_credit = worst_period_credit(load);
	count_messages(load, figures);
	if (play->print_jobs)
		print_missed_jobs(load);
	load_free(load);
}

static char *
play_name(const struct play *play)
{
	return g_strdup_printf(
	    "%s %s %u", play->shape->name, play->fault->name, play->seed);
}

/* Returns the plays of a shape and a fault: by variant, then by seed. */
static GArray *
make_plays(const struct settings *settings, const struct load_shape *shape,
    const struct load_fault *fault)
{
	GArray *plays = g_array_new(FALSE, TRUE, sizeof(struct play));
	uint32_t seed;
	unsigned i;

	for (i = 0; i < settings->variant_count; i++) {
		for (seed = 1; seed <= settings->seeds; seed++) {
			struct play play = {.shape = shape,
			    .fault = fault,
			    .variant = &settings->variants[i],
			    .seed = seed,
			    .print_jobs = settings->print_jobs &&
				i + 1 == settings->variant_count};

			g_array_append_val(plays, play);
		}
	}
	return plays;
}

static double
base_credit(const struct settings *settings, const struct play *base)
{
	char *name = play_name(base);
	const double *saved = settings->saved != NULL
	    ? g_hash_table_lookup(settings->saved, name)
	    : NULL;

	g_free(name);
	return saved != NULL ? *saved : base->figures.credit;
}

static void
print_figures(const struct settings *settings, const struct play *plays)
{
	struct load_counts total = {0};
	double credit = 0, worst = 0, busy = 0, messages = 0, cpu_s = 0, n;
	uint32_t s;

	for (s = 0; s < settings->seeds; s++) {
		const struct figures *figures = &plays[s].figures;

		total.submitted += figures->counts.submitted;
		total.in_time += figures->counts.in_time;
		total.late += figures->counts.late;
		total.refused += figures->counts.refused;
		total.refused_late += figures->counts.refused_late;
		total.failed += figures->counts.failed;
		total.lost += figures->counts.lost;
		credit += figures->credit / settings->seeds;
		worst += figures->worst_credit / settings->seeds;
		busy += figures->busy_per_task / settings->seeds;
		messages += figures->messages_per_task / settings->seeds;
		cpu_s += figures->cpu_s / settings->seeds;
	}
	n = MAX(total.submitted, 1);
	printf("%-14s %-14s %.3f %.3f  %.3f %.3f %.3f %.3f %.3f %.3f  %5.2f "
	       "%6.1f %5.2f",
	    plays->shape->name, plays->fault->name, credit, worst,
	    total.in_time / n, total.late / n, total.refused / n,
	    total.refused_late / n, total.failed / n, total.lost / n, busy,
	    messages, cpu_s);
}

/* Prints the mean and the spread of the differences to the base. */
static void
print_difference(const struct settings *settings, const struct play *base,
    const struct play *plays, double *sum)
{
	double mean = 0, variance = 0;
	uint32_t s;

	for (s = 0; s < settings->seeds; s++)
		mean += (plays[s].figures.credit -
			    base_credit(settings, &base[s])) /
		    settings->seeds;
	for (s = 0; s < settings->seeds; s++) {
		double deviation = plays[s].figures.credit -
		    base_credit(settings, &base[s]) - mean;

		variance += deviation * deviation / MAX(settings->seeds - 1, 1);
	}
	printf("  %+.4f+-%.4f", mean, sqrt(variance / settings->seeds));
	*sum += mean;
}

static void
save_plays(const struct settings *settings, FILE *file, const struct play *base)
{
	uint32_t s;

	for (s = 0; s < settings->seeds; s++) {
		char *name = play_name(&base[s]);

		fprintf(file, "%s=%.6f\n", name, base[s].figures.credit);
		g_free(name);
	}
}

static void
print_header(const struct settings *settings)
{
	unsigned i;

	printf("%-14s %-14s %5s %5s  %5s %5s %5s %5s %5s %5s  %5s %6s %5s",
	    "shape", "fault", "crdit", "worst", "time", "late", "refsd",
	    "rf-lt", "faild", "lost", "busy", "msgs", "cpu-s");
	for (i = 1; i < settings->variant_count; i++)
		printf("  %-15s", settings->variants[i].name);
	printf("\n");
}

/* Returns an array of plays for each shape and fault. */
static GPtrArray *
make_groups(const struct settings *settings)
{
	GPtrArray *groups =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
	const struct load_fault *fault;
	guint i;

	for (i = 0; i < settings->shapes->len; i++) {
		for (fault = load_faults; fault->name != NULL; fault++) {
			if (settings->fault == NULL ||
			    strcmp(settings->fault, fault->name) == 0)
				g_ptr_array_add(groups,
				    make_plays(settings,
					settings->shapes->pdata[i], fault));
		}
	}
	return groups;
}

static void
run_groups(const GPtrArray *groups)
{
	GThreadPool *pool =
	    g_thread_pool_new(run_play, NULL, THREADS_MAX, TRUE, NULL);
	guint i, p;

	for (i = 0; i < groups->len; i++) {
		GArray *plays = groups->pdata[i];

		for (p = 0; p < plays->len; p++)
			g_thread_pool_push(
			    pool, &g_array_index(plays, struct play, p), NULL);
	}
	g_thread_pool_free(pool, FALSE, TRUE);
}

/* Prints the table; sums is increased by the differences of each variant. */
static void
print_groups(
    const struct settings *settings, const GPtrArray *groups, double *sums)
{
	guint i, v;

	print_header(settings);
	for (i = 0; i < groups->len; i++) {
		const GArray *plays = groups->pdata[i];
		const struct play *base = (const struct play *)plays->data;

		print_figures(settings, base);
		for (v = settings->saved != NULL ? 0 : 1;
		     v < settings->variant_count; v++)
			print_difference(settings, base,
			    base + v * settings->seeds, &sums[v]);
		printf("\n");
	}
	for (v = 0; v < settings->variant_count; v++)
		printf("mean difference of %s: %+.4f\n",
		    settings->variants[v].name, sums[v] / MAX(groups->len, 1));
}

static void
save_groups(const struct settings *settings, const GPtrArray *groups)
{
	FILE *file = fopen(settings->save, "w");
	guint i;

	if (file == NULL)
		g_error("cannot write %s", settings->save);
	for (i = 0; i < groups->len; i++)
		save_plays(settings, file,
		    (const struct play *)((GArray *)groups->pdata[i])->data);
	fclose(file);
}

static void
run_all(const struct settings *settings)
{
	GPtrArray *groups = make_groups(settings);
	double sums[VARIANTS_MAX] = {0};

	run_groups(groups);
	print_groups(settings, groups, sums);
	if (settings->save != NULL)
		save_groups(settings, groups);
	g_ptr_array_unref(groups);
}

static GHashTable *
load_saved(const char *path)
{
	GHashTable *saved =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	FILE *file = fopen(path, "r");
	char line[128];

	if (file == NULL)
		g_error("cannot read %s", path);
	while (fgets(line, sizeof(line), file) != NULL) {
		char *value = strchr(line, '=');
		double credit;

		if (value == NULL)
			continue;
		*value++ = '\0';
		credit = g_ascii_strtod(value, NULL);
		g_hash_table_insert(
		    saved, g_strdup(line), g_memdup2(&credit, sizeof(credit)));
	}
	fclose(file);
	return saved;
}

/* Adds the variants that switch off one mechanism each. */
static void
add_ablations(struct settings *settings)
{
	const char *const *name;

	for (name = experiment_switches; *name != NULL; name++) {
		struct variant *variant =
		    &settings->variants[settings->variant_count++];

		variant_init(variant, *name);
		variant_set(variant, *name, "false");
	}
}

static void
parse_set(struct variant *variant, const char *argument)
{
	char **pair = g_strsplit(argument, "=", 2);

	if (pair[0] == NULL || pair[1] == NULL ||
	    !variant_set(variant, pair[0], pair[1]))
		g_error("unknown parameter or value: %s", argument);
	g_strfreev(pair);
}

/* Applies an option of the command line. Returns false if it is unknown. */
static bool
apply_option(struct settings *settings, struct variant *variant, int option)
{
	switch (option) {
	case 's':
		g_ptr_array_add(settings->shapes, shape_load(optarg));
		return true;
	case 'd':
		shapes_draw(
		    settings->shapes, (uint32_t)strtoul(optarg, NULL, 10));
		return true;
	case 'f':
		settings->fault = optarg;
		return true;
	case 'n':
		settings->seeds = (uint32_t)strtoul(optarg, NULL, 10);
		return true;
	case 'S':
		parse_set(variant, optarg);
		return true;
	case 'a':
		add_ablations(settings);
		return true;
	case 'o':
		settings->save = optarg;
		return true;
	case 'A':
		settings->saved = load_saved(optarg);
		return true;
	case 'j':
		settings->print_jobs = true;
		return true;
	default:
		return false;
	}
}

int
main(int argc, char **argv)
{
	static const struct option options[] = {
	    {"shape", required_argument, NULL, 's'},
	    {"drawn", required_argument, NULL, 'd'},
	    {"fault", required_argument, NULL, 'f'},
	    {"seeds", required_argument, NULL, 'n'},
	    {"set", required_argument, NULL, 'S'},
	    {"ablate", no_argument, NULL, 'a'},
	    {"save", required_argument, NULL, 'o'},
	    {"against", required_argument, NULL, 'A'},
	    {"jobs", no_argument, NULL, 'j'}, {0}};
	struct settings settings = {.seeds = SEEDS_DEFAULT, .variant_count = 1};
	struct variant variant;
	bool has_variant = false;
	int option;

	settings.shapes = g_ptr_array_new_with_free_func(g_free);
	variant_init(&settings.variants[0], "base");
	variant_init(&variant, "variant");
	while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (!apply_option(&settings, &variant, option))
			return 2;
		has_variant |= option == 'S';
	}
	if (has_variant)
		settings.variants[settings.variant_count++] = variant;
	if (settings.shapes->len == 0)
		shapes_load_all(settings.shapes, "bench/shapes");
	run_all(&settings);
	return 0;
}
