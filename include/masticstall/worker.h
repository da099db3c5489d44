#ifndef MST_WORKER_H
#define MST_WORKER_H

/**
 * A worker that runs tasks under leases: orders to it, its answers, its lists
 * of runs and its reports about itself. Bytes are borrowed until the call
 * that brings them returns.
 */

#include <masticstall/message.h>

enum mst_order_kind {
	MST_ORDER_START = 1, /* start a run */
	MST_ORDER_STOP, /* stop a run; forbids it when it isn't there yet */
	MST_ORDER_RENEW /* renew the lease and list the runs */
};

/** One order. */
struct mst_order {
	enum mst_order_kind kind;
	uint64_t id;                /* comes back with the answer */
	struct mst_bytes task;      /* START, STOP: the task's name */
	uint32_t run;               /* START, STOP: number of the task's run */
	struct mst_bytes spec;      /* START */
	struct mst_bytes worker_id; /* START: id of the life that is meant */
	int64_t lease_end_ms; /* lease, on the worker's clock; 0: no change */
	uint64_t fence;       /* orders with a lower one are ignored */
	uint64_t completions_acked; /* HOLD: ends up to here are forgotten */
	uint32_t wait_ms;           /* HOLD: time to wait for an end */
	uint32_t timeout_ms;
};

enum mst_order_status {
	MST_ORDER_DONE = 1,
	MST_ORDER_NO_ANSWER, /* may have been done, or may be done later */
	MST_ORDER_DOWN,      /* nothing listens there: the worker is gone */
	MST_ORDER_FENCED,    /* the worker has seen a higher fence */
	MST_ORDER_OLD_RUN,   /* the number is not above those used */
	MST_ORDER_LAPSED,    /* the lease's end had passed already */
	MST_ORDER_NO_ROOM,   /* the task doesn't fit beside the others */
	MST_ORDER_UNHEALTHY, /* the worker refuses work for now */
	MST_ORDER_OTHER_INCARNATION, /* the worker has been restarted */
	MST_ORDER_INVALID            /* the worker can't make sense of it */
};

enum mst_run_status {
	MST_RUN_DONE = 1,
	MST_RUN_FAILED,
	MST_RUN_STOPPED,
	MST_RUN_LAPSED,     /* its lease ended */
	MST_RUN_GANG_FAILED /* another member of its gang ended, or never came
			     */
};

/** A run that a worker lists as running. */
struct mst_worker_run {
	struct mst_bytes task;
	uint32_t run;
};

/** A run that a worker lists as ended. */
struct mst_worker_completion {
	uint64_t seq; /* from 1 in each life of the worker */
	struct mst_bytes task;
	uint32_t run;
	enum mst_run_status status;
};

/** Answer to an order. */
struct mst_order_answer {
	enum mst_order_kind kind;
	uint64_t id;
	enum mst_order_status status;
	int64_t sent_us;      /* when the order left, on the agent's clock */
	int64_t clock_ms;     /* the worker's clock; 0: not told */
	uint64_t incarnation; /* the worker's present life; 0: not told */
	uint32_t running_count;
	const struct mst_worker_run *running;
	uint32_t completion_count;
	const struct mst_worker_completion *completions;
};

/** What a worker reports about itself. */
struct mst_worker_report {
	struct mst_bytes id;
	struct mst_bytes service;
	struct mst_bytes rack;
	struct mst_bytes labels; /* by commas */
	uint64_t incarnation;    /* 0: not told */
	uint64_t seq;            /* rises within a life */
	struct mst_resources capacity;
	bool draining;
	bool gone; /* it leaves with this report */
};

/** Gives the name of an order's status. */
const char *mst_order_status_name(int status);

#endif
