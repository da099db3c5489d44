#ifndef MST_SIM_SCENARIO_H
#define MST_SIM_SCENARIO_H

/*
 * Test fixture: callers that submit jobs to leased entries while processes,
 * workers, links and reports fail at random, and the checks that must hold.
 */

#include "sim/cluster.h"

#define SCENARIO_ENTRIES         3
#define SCENARIO_WORKERS         4
#define SCENARIO_MEMBERS         (SCENARIO_ENTRIES + SCENARIO_WORKERS)
#define SCENARIO_TASKS_MAX       5
#define SCENARIO_DEADLINE_MS     1500
#define SCENARIO_FAULTS_END_MS   8000
#define SCENARIO_JOB_INTERVAL_MS 40
#define SCENARIO_JOBS            (SCENARIO_FAULTS_END_MS / SCENARIO_JOB_INTERVAL_MS)

/* Kinds of faults; see random_faults.c. */
enum scenario_fault {
	FAULT_KILL = 0,    /* a process */
	FAULT_PAUSE,       /* a process */
	FAULT_CUT,         /* links; some keep what was sent */
	FAULT_LATE_ORDERS, /* orders are held up for 2 to 12 s */
	FAULT_RESTART,     /* a worker, under its id or a new one */
	FAULT_POWER,       /* an agent and its worker */
	FAULT_UNAVAILABLE, /* a worker loses orders and answers */
	FAULT_REFUSING,    /* a worker refuses orders, or resets connections */
	FAULT_REPORTS,     /* late reports, and those of other writers */
	FAULT_ANSWERS,     /* answers overtake each other */
	FAULT_CLOCK,       /* the time of day of a worker's host */
	FAULT_SLOW_ENTRY,
	FAULT_SLOW_AGENT,
	FAULT_RESET,    /* an entry's connections to callers and members */
	FAULT_REPLACED, /* an agent is killed twice while its links are cut */
	SCENARIO_FAULTS
};

/* All kinds, as bits. */
#define SCENARIO_ALL_FAULTS ((1U << SCENARIO_FAULTS) - 1)

/* A caller that submits one job, over all its attempts. */
struct caller {
	char key[20];
	uint32_t count;
	uint32_t service_ms;
	uint64_t request;   /* of the present attempt; 0: none */
	int entry;          /* index into the cluster's entries */
	int64_t due_ms;     /* time of the next attempt; 0: none */
	int64_t give_up_ms; /* deadline of the present attempt */
	unsigned attempts;
	bool waits_for_entry; /* a slow entry has not read the request yet */
	bool may_have_run; /* an attempt ran tasks, or its result is unknown */
	bool finished;     /* makes no further attempts */
};

struct scenario {
	struct sim *sim;
	GRand *rand;
	struct cluster cluster;
	/*
	 * Times at which killed members restart, paused members resume and cut
	 * links are restored; 0: nothing to restore.
	 */
	int64_t restart_ms[SCENARIO_MEMBERS];
	int64_t resume_ms[SCENARIO_MEMBERS];
	int64_t restore_links_ms;
	/* Slow members: end, and start of the next iteration of their loop. */
	int64_t slow_until_ms[SCENARIO_MEMBERS];
	int64_t iterate_ms[SCENARIO_MEMBERS];
	/* Member that is restarted once more at a time; 0: none. */
	int64_t replace_ms;
	int replaced_member;
	int64_t now_ms;
	GPtrArray *callers;
	GHashTable *starts; /* job key -> number of task starts */
	unsigned answered;
	unsigned completed;
	uint32_t seed;
	uint32_t resend_ms;
	uint32_t deadline_ms; /* of the callers */
	bool tasks_hang;      /* no task finishes */
	bool has_long_tasks;
	/* Faults as in random_faults.c, as bits; 0: as they were recorded. */
	unsigned faults;
	/* Only workers fail: they lose contact to their agents and are
	 * restarted meanwhile, while orders are late. */
	bool isolates_workers;
	int64_t worker_restart_ms[SCENARIO_WORKERS]; /* 0: not isolated */
	int64_t worker_return_ms[SCENARIO_WORKERS];
};

/* scenario.c */
/* Creates a scenario with the faults as the recorded seeds have them: workers
 * keep their id and report at once, and nobody else reports. */
struct scenario *scenario_new(uint32_t seed);
/* Creates a scenario with kinds of faults, as bits. */
struct scenario *scenario_new_with_faults(uint32_t seed, unsigned faults);
void scenario_free(struct scenario *scenario);

/* Adds a caller with a random job. */
void scenario_add_caller(struct scenario *scenario);
/* Submits a caller's job once more. */
void scenario_submit(struct scenario *scenario, struct caller *caller);
/* Breaks the connection of a caller's present attempt; it comes back later. */
void scenario_disconnect(struct scenario *scenario, struct caller *caller);
/* Returns true while a member is neither killed nor paused nor slow. */
bool scenario_member_is_calm(const struct scenario *scenario, int member);

/* Checks that the entries use all workers, as they must once all is calm. */
void scenario_check_members(const struct scenario *scenario);

/* Plays a scenario to its end, checks it and frees it. */
void scenario_run(struct scenario *scenario, bool faults, unsigned *completed);

/* random_faults.c */
/* Returns the kinds of faults that MST_TEST_FAULTS names, else all. */
unsigned random_faults_from_environment(void);
/* Sets what holds from the start. */
void random_faults_begin(struct scenario *scenario);
/* Injects a random fault of the scenario's kinds. */
void random_faults_inject(struct scenario *scenario);
/* Goes on with the faults that last; all: ends them. */
void random_faults_advance(struct scenario *scenario, bool all);

#endif
