#ifndef MST_CORE_WORKER_H
#define MST_CORE_WORKER_H

/* Worker of a leased agent, as the other parts of the agent see it. */

#include <masticstall/agent.h>

#include "core/slowness.h"

struct run;

/* Progress of the orders for a leased run. */
enum order_state {
	ORDER_NONE = 0,
	ORDER_STARTING,  /* start sent, not answered yet */
	ORDER_START_DUE, /* start without an answer, to be repeated */
	ORDER_STARTED,
	ORDER_STOPPING, /* stop sent, not answered yet */
	ORDER_STOP_DUE, /* stop to be sent when due, once the worker answers */
	ORDER_STOPPED   /* stop confirmed, completion not listed yet */
};

/* Most concurrent renew orders. A second one is sent only while answers get
 * lost. */
#define WORKER_RENEWS_MAX 2

/* Tasks that are remembered in struct unseen_task; the oldest is replaced. */
#define WORKER_UNSEEN_TASKS_MAX 64

/* Ids that are remembered in struct named_id; the oldest is replaced. */
#define WORKER_NAMED_IDS_MAX 16

/* A renew order without an answer. */
struct renewal {
	uint64_t id; /* 0: none */
	uint64_t fence;
	uint64_t named_id; /* hash of the id that it names; 0: none */
};

/* Id that orders with a lease have named. */
struct named_id {
	uint64_t hash;
	int64_t sent_us; /* the last of them; 0: none */
};

/* Report that is not known to be of the present incarnation of the worker. */
struct candidate {
	bool is_set;
	bool is_kept; /* the kept report */
	/* What was known of the worker, until it refused a start that named its
	 * id. */
	bool is_doubted;
	struct mst_worker_report report; /* owns its strings */
	struct renewal renewal;          /* order that verifies it */
	unsigned failures;               /* orders that have not decided it */
	int64_t due_us;                  /* time of the next such order */
};

/* Task that may have been in progress at a crash, of which the worker had shown
 * nothing. */
struct unseen_task {
	uint64_t hash;      /* of its path */
	int64_t crashed_us; /* 0: none */
};

/* Worker of a leased agent. */
struct worker {
	bool has_reported;   /* its status is known */
	bool report_is_kept; /* from the kept report only */
	bool report_loaded;  /* the kept report was asked for */
	bool synced; /* has answered, and its lists were read since its start */
	bool was_synced;   /* has been so before, perhaps in an earlier life */
	bool is_restarted; /* has been since the last synced list */
	bool draining;
	char *id;          /* of the present incarnation; NULL: not known */
	int64_t id_us;     /* when it was learnt */
	uint64_t id_hash;  /* 0: not known */
	bool id_confirmed; /* the worker has executed an order that names it */
	bool id_is_new;    /* no order that may be held up gives it a lease */
	/* No id is known, because an order that named the confirmed one was
	 * refused: the worker of that id has ended. */
	bool has_ended;
	GPtrArray *old_ids; /* texts that effects of this step refer to */
	struct named_id named_ids[WORKER_NAMED_IDS_MAX];
	int64_t unnamed_us; /* last order with a lease that named no id */
	struct candidate candidate;
	char *service;
	char *labels;
	uint64_t incarnation; /* the present one, as its answers show */
	int64_t heard_us;     /* when it was first heard */
	int64_t answered_us;  /* when the newest answered order was sent */
	uint64_t report_seq;
	uint64_t fence; /* 0: to be raised once the worker's clock is known */
	uint64_t fence_max;      /* highest that this agent has used */
	uint64_t fence_in_force; /* highest under which lists were read */
	uint64_t fence_step;     /* last rise after a rejected order; 0: none */
	/* The fence was reached by steps, so it may be that of an earlier
	 * incarnation of this agent. */
	bool fence_is_guess;
	int64_t fence_us; /* when it was last raised */
	/* Number of the last completion read from the worker's lists. The last
	 * one that it may drop is given by mst_completions_last_acked(). */
	uint64_t completions_read;
	GQueue unacked_completions; /* struct unacked_completion */
	GPtrArray *record_updates;  /* struct record_update */
	GPtrArray *unknown_records; /* struct unknown_record */
	bool lease_expiring;        /* the lease is no longer renewed */
	int64_t clock_ms;           /* clock of the worker at clock_us */
	int64_t clock_us;           /* when clock_ms was estimated */
	/* When a list first showed runs that are not this agent's; 0: none. */
	int64_t unknown_since_us;
	int64_t lease_end_us;    /* its runs end by then unless renewed */
	int64_t start_after_us;  /* nothing is started before */
	bool expects_long_lease; /* start_after_us allows for such a lease */
	struct renewal renewals[WORKER_RENEWS_MAX];
	int64_t next_renew_us;
	int64_t unreliable_until_us; /* set when an order gets no answer */
	/* Time until an answer, and its deviation; moving averages. */
	double answer_time_us;
	double answer_deviation_us;
	unsigned renew_failures; /* consecutive failures */
	unsigned unanswered;     /* consecutive orders without an answer */
	struct unseen_task unseen_tasks[WORKER_UNSEEN_TASKS_MAX];
	unsigned unseen_next; /* index of the oldest of them */
	struct mst_resources used_resources;
	int64_t full_until_us; /* until then it has no room for a task ... */
	struct mst_resources full_for;     /* ... that needs as much */
	struct mst_resources capacity_max; /* most that it has reported */
	struct mst_slowness slowness_avg; /* slowness as an average over runs */
	bool is_cold;
	int64_t cold_since_us; /* first report of this warm-up; 0: none */
	int64_t cold_until_us;
	int64_t warm_since_us;                 /* end of the last warm-up */
	struct mst_slowness warm_slowness_avg; /* before the warm-up */
};

/* candidate.c */
/* Drops a candidate. */
void mst_candidate_clear(struct candidate *candidate);

/* report_check.c */
/* Handles a status report of the worker. */
void mst_worker_handle_report(
    struct mst_agent *agent, const struct mst_worker_report *report);
/* Handles a report that an earlier incarnation of this agent has kept. */
void mst_worker_handle_kept_report(
    struct mst_agent *agent, const struct mst_worker_report *report);

/* worker.c */
/* Handles the answer to an order. */
void mst_worker_handle_answer(
    struct mst_agent *agent, const struct mst_order_answer *answer);
/* Handles the expiry of the worker's lease and sends due renew orders. */
void mst_worker_tick(struct mst_agent *agent);

/* state.c */
/* Returns true if the worker accepts new tasks. */
bool mst_worker_is_ready(const struct mst_agent *agent);

/* start.c */
/* Returns true if a start order of a run got no answer and may still be
 * executed. */
bool mst_worker_start_is_uncertain(const struct run *run);
/* Returns true if a run was started and no start order of it may still be
 * executed. */
bool mst_worker_start_is_settled(const struct run *run);

/* order.c */
/* Orders the worker to start a run. */
void mst_worker_start_run(struct mst_agent *agent, struct run *run);
/* Ends the runs whose start order waits to be repeated, because the failure
 * domain of the worker is drained. */
void mst_worker_cancel_due_starts(struct mst_agent *agent);
/* Orders the worker to stop a run, unless that was done already. The reason is
 * reported if the run ends without a result. */
void mst_worker_stop_run(
    struct mst_agent *agent, struct run *run, enum mst_reason reason);
/* Stops a run whose entry has not waited for its result since a given time.
 * Until its end is known, the worker's lease is not renewed beyond one lease
 * from then. */
void mst_worker_abandon_run(struct mst_agent *agent, struct run *run,
    int64_t since_us, enum mst_reason reason);

/* capacity.c */
/* Returns true if the free resources suffice for a task. */
bool mst_worker_has_capacity(
    const struct mst_agent *agent, const struct mst_resources *needs);
/* Returns how many tasks of average size fit into the worker's resources. */
uint32_t mst_worker_slots(const struct mst_agent *agent);
/* Returns how many tasks of average size fit into the resources that running
 * and queued tasks leave. */
uint32_t mst_worker_free_slots(const struct mst_agent *agent);

/* speed.c */
/* Returns the ratio of observed to expected service times in thousandths, or 0
 * if it is not known yet. */
uint32_t mst_worker_slowness_milli(const struct mst_agent *agent);

/* warm_up.c */
/* Returns the time in milliseconds until the worker is warm, or 0 if it is. */
uint32_t mst_worker_cold_ms(const struct mst_agent *agent);

/* completions.c */
void mst_completions_init(struct worker *worker);
void mst_completions_clear(struct worker *worker);
/* Releases the completion of a result that an entry has acknowledged. */
void mst_completions_acknowledge(
    struct mst_agent *agent, uint64_t session, uint64_t seq);
/* Handles the answer to a store operation of a record update, if it is one. */
void mst_completions_handle_store_answer(
    struct mst_agent *agent, const struct mst_store_answer *answer);

/* identity.c */
void mst_identity_init(struct worker *worker);
void mst_identity_clear(struct worker *worker);

/* unknown.c */
void mst_unknown_init(struct worker *worker);
void mst_unknown_clear(struct worker *worker);
/* Handles the answer to the lookup of a record, if it is one. */
void mst_unknown_handle_store_answer(
    struct mst_agent *agent, const struct mst_store_answer *answer);

#endif
