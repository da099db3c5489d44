#ifndef MST_WORKER_H
#define MST_WORKER_H

/**
 * Interface to a worker that runs tasks under leases: orders and their
 * answers, lists of runs, and status reports. Bytes are borrowed and valid
 * until the function that receives them returns.
 */

#include <masticstall/message.h>

enum mst_order_kind {
	MST_ORDER_START = 1, /* start a run */
	MST_ORDER_STOP,      /* stop a run; a later start of it is refused */
	MST_ORDER_RENEW      /* renew the lease and list the runs */
};

/** Order to a worker. */
struct mst_order {
	enum mst_order_kind kind;
	uint64_t id;           /* returned in the answer */
	struct mst_bytes task; /* START, STOP: name of the task */
	uint32_t run;          /* START, STOP: run number */
	struct mst_bytes spec; /* START: specification of the task */
	/* id of the incarnation that it is for; empty: any */
	struct mst_bytes worker_id;
	int64_t lease_end_ms; /* time on the worker's clock; 0: unchanged */
	uint64_t fence;       /* the worker rejects orders with a lower one */
	uint64_t completions_acked; /* RENEW: last acknowledged completion */
	uint32_t wait_ms;           /* RENEW: longest wait for a completion */
	uint32_t timeout_ms;        /* longest wait for the answer */
};

enum mst_order_status {
	MST_ORDER_DONE = 1,
	MST_ORDER_NO_ANSWER, /* may have been executed, or still be executed */
	MST_ORDER_NOT_SENT,  /* no connection in time: it was not executed */
	MST_ORDER_DOWN,      /* connection refused: the worker is down */
	MST_ORDER_FENCED,    /* the worker has seen a higher fence */
	MST_ORDER_OLD_RUN,   /* the run number is not above the last one */
	MST_ORDER_LAPSED,    /* the end of the lease has already passed */
	MST_ORDER_NO_ROOM,   /* too few free resources for the task */
	MST_ORDER_UNHEALTHY, /* the worker temporarily refuses tasks */
	MST_ORDER_OTHER_INCARNATION, /* the worker has been restarted */
	MST_ORDER_INVALID /* the worker rejected the order as invalid */
};

enum mst_run_status {
	MST_RUN_DONE = 1,
	MST_RUN_FAILED,
	MST_RUN_STOPPED,
	MST_RUN_LAPSED,     /* its lease expired */
	MST_RUN_GANG_FAILED /* another run of its gang ended or never started */
};

/** What showed that a worker was restarted. */
enum mst_restart_cause {
	MST_RESTART_UNKNOWN = 0,
	MST_RESTART_REPORT, /* a report */
	MST_RESTART_LIST,   /* the incarnation in an answer */
	MST_RESTART_CLOCK   /* the worker's clock went back */
};

/** What proved that a run had ended or would not start. */
enum mst_run_proof {
	MST_PROOF_NONE = 0,
	MST_PROOF_UNSENT,   /* no start order was sent */
	MST_PROOF_LISTED,   /* the worker listed it as completed */
	MST_PROOF_UNLISTED, /* it had been confirmed and is not listed */
	MST_PROOF_REFUSED,  /* all its start orders were refused */
	MST_PROOF_DOWN,     /* the worker refused a connection */
	MST_PROOF_LAPSED,   /* the worker's lease has expired */
	MST_PROOF_OTHER_ID, /* the worker goes by another id than its starts */
	MST_PROOF_MAX
};

/** Run in a worker's list of running ones. */
struct mst_worker_run {
	struct mst_bytes task;
	uint32_t run;
};

/** Run in a worker's list of completed ones. */
struct mst_worker_completion {
	uint64_t seq; /* starts at 1 in each incarnation of the worker */
	struct mst_bytes task;
	uint32_t run;
	enum mst_run_status status;
};

/** Answer to an order. */
struct mst_order_answer {
	enum mst_order_kind kind;
	uint64_t id;
	enum mst_order_status status;
	int64_t sent_us;      /* time of the order, on the agent's clock */
	int64_t clock_ms;     /* clock of the worker; 0: unknown */
	uint64_t incarnation; /* incarnation of the worker; 0: unknown */
	uint32_t running_count;
	const struct mst_worker_run *running;
	uint32_t completion_count;
	const struct mst_worker_completion *completions;
	bool has_more_completions; /* than it lists */
};

/** Status report of a worker. */
struct mst_worker_report {
	struct mst_bytes id;
	struct mst_bytes service;
	struct mst_bytes rack;
	struct mst_bytes labels; /* comma-separated */
	uint64_t incarnation;    /* 0: unknown */
	uint64_t seq;            /* increases within an incarnation */
	struct mst_resources capacity;
	uint32_t cold_ms; /* time until it has its usual speed; 0: it has */
	bool draining;
	bool shutting_down; /* last report; only id is set besides this */
};

/**
 * Returns the name of an order's status, as used in logs and metrics.
 *
 * @param status an enum mst_order_status
 * @return a static string
 */
const char *mst_order_status_name(int status);

/**
 * Returns the name of what showed a restart, as used in logs.
 *
 * @param cause an enum mst_restart_cause
 * @return a static string
 */
const char *mst_restart_cause_name(int cause);

/**
 * Returns the name of a proof, as used in logs and metrics.
 *
 * @param proof an enum mst_run_proof
 * @return a static string
 */
const char *mst_run_proof_name(int proof);

#endif
