#ifndef MST_SIM_LOAD_H
#define MST_SIM_LOAD_H

/*
 * Load on leased members: jobs of several kinds arrive at entries that do not
 * know each other's queues. The rate follows a profile: a base load, and a peak
 * during which a fault may be injected as well.
 */

#include "sim/cluster.h"

#define LOAD_KINDS_MAX  8
#define LOAD_SPEEDS_MAX 16
#define LOAD_TASKS_MAX  32 /* per job */

/* Times after the start of the simulation. */
#define LOAD_START_MS      1000
#define LOAD_PEAK_START_MS 3000
#define LOAD_PEAK_END_MS   6000
#define LOAD_END_MS        9000
#define LOAD_WINDOW_MS     2000 /* of the worst period */

/* Jobs of one kind; all their tasks have the same service time. */
struct load_kind {
	char queue[16];
	uint32_t tasks;
	double service_ms; /* of a task on a worker of factor 1; median */
	double weight;     /* relative frequency */
	uint32_t priority;
	/* Time that the callers say they wait; 0: the shape's deadline. */
	double deadline_ms;
};

/*
 * Callers of several failure domains whose request rates vary periodically
 * between the base load and the peak load. The peaks of the domains are a
 * second apart, and centred on the peak of the profile.
 */
struct load_waves {
	unsigned domains; /* 0: the rate follows the profile */
	double period_ms;
};

/* A fleet and the load on it. */
struct load_shape {
	char name[32];
	int entries;
	int workers;
	unsigned slots; /* tasks that a worker can run at a time */
	/* Factors on the service time, assigned to the workers in turn. */
	double service_factors[LOAD_SPEEDS_MAX];
	unsigned factor_count;
	struct load_kind kinds[LOAD_KINDS_MAX];
	unsigned kind_count;
	double service_sigma;  /* of the logarithm of the service times */
	double declared_sigma; /* of the logarithm of declared over true time */
	double base_load;      /* share of the workers' capacity */
	double peak_load;
	/* A job is in time if it ends within stretch times its service time
	 * plus target_ms, and within its deadline. */
	double stretch;
	double target_ms;
	double deadline_ms;
	/* The other fields are optional; 0 or empty: not in this shape. */
	struct load_waves waves;
	/* Relative numbers of callers, assigned to the entries in turn. */
	double entry_weights[LOAD_SPEEDS_MAX];
	unsigned entry_weight_count;
	/* Factors on the slots, assigned to the workers in turn. */
	double slot_factors[LOAD_SPEEDS_MAX];
	unsigned slot_factor_count;
	/* Tasks that take longer than the others of their job by a factor,
	 * on every worker. Their job is allowed as much longer. */
	double straggler_share;
	double straggler_factor;
	/* Multiple of a job's limit after which its result is of no use. */
	double useless_stretch;
};

/* A job as submitted by a caller. */
struct load_job {
	char key[20];
	char task_names[LOAD_TASKS_MAX][32];
	const struct load_kind *kind;
	double service_ms;
	double declared_ms;
	double longest_ms; /* service time of its longest task */
	int64_t submitted_ms;
	uint64_t request;
	int entry;       /* index of the entry asked */
	unsigned domain; /* failure domain of the caller, with waves */
	bool poisoned;   /* its tasks fail wherever they run */
	bool crashing;   /* its first task crashes each worker that runs it */
	unsigned crashing_starts; /* of that task */
};

struct load;

/* Fault that is injected during the peak. */
struct load_fault {
	const char *name;
	double load_factor; /* on the peak load; 0: 1 */
	void (*begin)(struct load *load);
	void (*step)(struct load *load, int64_t now_ms); /* in the peak */
	void (*end)(struct load *load);
};

/* load_faults.c */
/* All faults; the last one has no name. */
extern const struct load_fault load_faults[];
/* Returns the fault with a name, or NULL. */
const struct load_fault *load_fault_find(const char *name);

struct load_options {
	uint32_t seed;
	/* Arrivals and service times of the tasks do not depend on what the
	 * entries decide, so that policies can be compared on the same load.
	 */
	bool paired;
	const struct load_fault *fault;  /* NULL: none */
	const struct mst_tuning *tuning; /* NULL: the default one */
	const char *config; /* JSON of the configuration; NULL: the default */
	int64_t extra_ms;   /* base load beyond LOAD_END_MS */
};

struct load {
	struct load_shape shape;
	struct load_options options;
	struct sim *sim;
	GRand *rand;
	struct cluster cluster;
	GPtrArray *jobs;         /* struct load_job */
	GHashTable *jobs_by_key; /* key -> struct load_job */
	double due_jobs; /* jobs due at the current rate, not yet submitted */
	/* Changed by faults: factor on the service time of each worker, and
	 * whether its tasks fail or hang. */
	double slowdowns[CLUSTER_NODES_MAX];
	bool fails[CLUSTER_NODES_MAX];
	bool hangs[CLUSTER_NODES_MAX];
	double declared_sigma;
	double poisoned_share; /* of the jobs */
	double crashing_share; /* of the jobs of the first kind */
	bool crashing_at_once; /* before the answers to their starts */
	double due_burst_jobs; /* the same for the extra jobs of burst_kind */
	/* Kind whose jobs come more often; NULL: none. */
	const struct load_kind *burst_kind;
	double burst_factor;
};

/* Number of jobs with each outcome. */
struct load_counts {
	unsigned submitted;
	unsigned in_time;
	unsigned late;
	unsigned refused;
	unsigned refused_late; /* after the time for an immediate refusal */
	unsigned failed; /* answered without a complete result, or too late for
			    it to be of use */
	unsigned uncertain; /* of the failed: a start of a task got no answer */
	unsigned lost;      /* not answered */
	int64_t refusal_max_ms; /* longest time until a refusal */
};

/* load.c */
/* Creates a cluster under load. */
struct load *load_new(
    const struct load_shape *shape, const struct load_options *options);
void load_free(struct load *load);
/* Submits one job of a kind, or of a random one if it is NULL. */
void load_submit(
    struct load *load, const struct load_kind *kind, int64_t now_ms);
/* Submits a job again, at the entry after the one that was asked before. */
void load_resubmit(struct load *load, guint index);
/* Plays the whole load. */
void load_run(struct load *load);
/* Returns the time within which a job must end to be in time. */
double load_limit_ms(const struct load *load, const struct load_job *job);
/* Counts the outcomes of the jobs that were submitted in a period. */
struct load_counts load_count(
    const struct load *load, int64_t from_ms, int64_t to_ms);
/* Adds the outcome of one job. */
void load_count_job(struct load_counts *counts, const struct load *load,
    const struct load_job *job);
/* Returns the rate, in jobs per second, that keeps all workers busy. */
double load_capacity_jobs_per_s(const struct load_shape *shape);
/* Returns a sample of the standard normal distribution. */
double load_random_normal(GRand *rand);

#endif
