#ifndef MST_AGENT_H
#define MST_AGENT_H

/**
 * Reducer of an agent: a state machine that takes events and returns the
 * effects that the caller must execute. It does no I/O and reads no clock.
 * Every task on one upstream is started through its agent.
 */

#include <glib.h>
#include <masticstall/lease.h>
#include <masticstall/message.h>
#include <masticstall/record.h>
#include <masticstall/tuning.h>
#include <masticstall/version.h>
#include <masticstall/worker.h>

struct mst_agent;

#define MST_AGENT_OPTIONS_VERSION 1

struct mst_agent_options {
	unsigned version;
	uint64_t incarnation;
	const char *name;
	const char *failure_domain;
	const char *rack;
	uint32_t slots;
	uint32_t connections;
	struct mst_resources resources;
	uint32_t queue_max;       /* most tasks that wait for a slot */
	int64_t prefetch_rtt_us;  /* round trip time bridged by queued tasks */
	int64_t heartbeat_us;     /* interval between announcements */
	int64_t fence_silence_us; /* silence after which fencing is granted */
	int64_t retention_us;     /* time to keep acknowledged results */
	uint64_t retained_bytes_max; /* limit for acknowledged results */
	/*
	 * The upstream is a worker that runs tasks under leases. The runs of
	 * an entry are stopped when the entry is silent for too long.
	 */
	bool leased;
	struct mst_lease_times leases;
	bool stored_jobs; /* leased only: the worker also runs stored jobs */
	struct mst_tuning tuning;
};

#define MST_AGENT_OPTIONS_INIT                                                 \
	{                                                                      \
		.version = MST_AGENT_OPTIONS_VERSION, .name = "agent",         \
		.failure_domain = "", .rack = "", .slots = 8,                  \
		.connections = 64, .queue_max = 256, .prefetch_rtt_us = 500,   \
		.heartbeat_us = G_USEC_PER_SEC,                                \
		.fence_silence_us = 3 * G_USEC_PER_SEC,                        \
		.retention_us = 120 * G_USEC_PER_SEC,                          \
		.retained_bytes_max = 16u << 20, .tuning = MST_TUNING_INIT,    \
	}

enum mst_agent_event_type {
	MST_AGENT_EV_TICK = 1,  /* time has passed */
	MST_AGENT_EV_MESSAGE,   /* a message has arrived */
	MST_AGENT_EV_FINISHED,  /* the upstream call of a run has finished */
	MST_AGENT_EV_ENTRIES,   /* addresses of known entries have changed */
	MST_AGENT_EV_CONNECTED, /* a connection to an entry was made */
	/* Whether an entry may send tasks; by default it may. */
	MST_AGENT_EV_ENTRY_WANTED,
	MST_AGENT_EV_DRAIN,  /* accept no new tasks, stop when idle */
	MST_AGENT_EV_FLUSH,  /* send the collected results */
	MST_AGENT_EV_REPORT, /* the worker has reported its status */
	/* A report that an earlier incarnation of this agent has kept. */
	MST_AGENT_EV_KEPT_REPORT,
	/* Crashes that an earlier incarnation of this agent has kept. */
	MST_AGENT_EV_KEPT_CRASHES,
	MST_AGENT_EV_ORDER_ANSWER, /* an order to the worker was answered */
	MST_AGENT_EV_STORE_ANSWER  /* a store operation was answered */
};

struct mst_agent_event {
	enum mst_agent_event_type type;
	int64_t now_us;
	const struct mst_msg *msg;     /* MESSAGE */
	uint64_t run;                  /* FINISHED */
	struct mst_result_item result; /* FINISHED; seq is ignored */
	const char *entries;           /* ENTRIES: addresses, comma-separated */
	uint64_t entry;                /* ENTRY_WANTED: incarnation */
	bool wanted;                   /* ENTRY_WANTED */
	const struct mst_worker_report *report;      /* REPORT, KEPT_REPORT */
	const struct mst_crashes *crashes;           /* KEPT_CRASHES */
	const struct mst_order_answer *answer;       /* ORDER_ANSWER */
	const struct mst_store_answer *store_answer; /* STORE_ANSWER */
};

enum mst_agent_effect_type {
	MST_AGENT_FX_SEND = 1,   /* send msg to msg.to; 0 means every entry */
	MST_AGENT_FX_START,      /* call the upstream */
	MST_AGENT_FX_CONFIG,     /* a newer configuration is in force */
	MST_AGENT_FX_PEERS,      /* addresses of entries were received */
	MST_AGENT_FX_STOPPED,    /* drained; the process may exit */
	MST_AGENT_FX_ORDER,      /* send an order to the worker */
	MST_AGENT_FX_WORKER,     /* the state of the worker has changed */
	MST_AGENT_FX_RUN_FAILED, /* a run ended without success */
	/* The worker runs a task that this agent has not started or has given
	 * up; the run is stopped. */
	MST_AGENT_FX_UNKNOWN_RUN,
	MST_AGENT_FX_LEASE_EXPIRED, /* the lease of an entry has expired */
	MST_AGENT_FX_STORE,         /* execute a store operation */
	/* No work is left of an entry that is not wanted. */
	MST_AGENT_FX_ENTRY_UNUSED,
	MST_AGENT_FX_LOAD_REPORT, /* read the kept report and crashes */
	MST_AGENT_FX_DRAINS,      /* the set of drained domains has changed */
	MST_AGENT_FX_CRASH,       /* the worker has crashed with active runs */
	MST_AGENT_FX_BUILD, /* an entry of another version was met or is gone */
	MST_AGENT_FX_KEEP_REPORT, /* keep a report for a later incarnation */
	/* A report was ignored: it is not of the worker's present incarnation.
	 */
	MST_AGENT_FX_REPORT_REFUSED
};

struct mst_agent_effect {
	enum mst_agent_effect_type type;
	struct mst_msg msg;                   /* SEND, CONFIG */
	uint64_t run;                         /* START */
	const struct mst_dispatch_item *task; /* START */
	uint32_t timeout_ms;                  /* START */
	struct mst_bytes peers;               /* PEERS */
	struct mst_order order;               /* ORDER */
	const char *state;                    /* WORKER */
	enum mst_restart_cause restart_cause; /* WORKER: of a restart */
	/* RUN_FAILED, LEASE_EXPIRED, ENTRY_UNUSED, BUILD: its incarnation */
	uint64_t entry;
	struct mst_worker_run unknown_run; /* UNKNOWN_RUN */
	/* UNKNOWN_RUN, WORKER, REPORT_REFUSED: the present one; 0: unknown */
	uint64_t worker_incarnation;
	/* KEEP_REPORT, REPORT_REFUSED */
	const struct mst_worker_report *report;
	uint32_t run_number;           /* RUN_FAILED: run number of the task */
	struct mst_result_item result; /* RUN_FAILED */
	enum mst_run_proof proof;      /* RUN_FAILED: of its end */
	int64_t silent_us; /* LEASE_EXPIRED: age of the last clock echo */
	uint32_t open;     /* LEASE_EXPIRED: queued and running tasks */
	/* CRASH: all that are remembered; the new one is the last. */
	struct mst_crashes crashes;
	struct mst_store_op op;       /* STORE */
	struct mst_drains_msg drains; /* DRAINS: the new set */
	bool drained; /* DRAINS: it contains this agent's failure domain */
	struct mst_build_change build; /* BUILD */
};

/** Counters of one agent since its start. */
struct mst_agent_counters {
	uint64_t dispatches;
	uint64_t duplicates;
	uint64_t starts;
	uint64_t finished;
	uint64_t withdrawn;
	uint64_t refused[MST_REASON_MAX];
	/* Dispatched and withdrawn tasks dropped: the sequence set was full. */
	uint64_t tasks_not_recorded;
	uint64_t sessions_refused;
	uint64_t results_repeated;
	uint64_t fences;
	uint64_t runs_evicted; /* retained runs that were evicted */
	uint64_t runs_lost;    /* runs that ended without a result */
	uint64_t crashes;      /* of the worker, with runs in progress */
	uint64_t runs_unknown; /* runs stopped that this agent did not start */
	/* Runs that ended while a start of them had no answer. */
	uint64_t starts_uncertain;
	/* Leased: ended runs, by enum mst_run_proof. */
	uint64_t runs_ended[MST_PROOF_MAX];
	uint64_t reports_refused; /* not of the worker's present incarnation */
	/* Start orders that did not name the worker they were meant for. */
	uint64_t starts_unnamed;
	/* Starts whose entries were told that they are confirmed, and messages
	 * to other entries about starts that may still be executed. */
	uint64_t starts_confirmed;
	uint64_t starts_told;
	uint64_t leases_expired;
	/* Worker leases left to expire to invalidate unrecorded completions. */
	uint64_t forced_expiries;
	uint64_t orders[MST_ORDER_INVALID + 1]; /* by enum mst_order_status */
	uint64_t orders_repeated;               /* sent again after a failure */
	uint64_t offers; /* free slots reserved for entries that wait */
};

/** Present values of one agent. */
struct mst_agent_gauges {
	uint32_t running;
	uint32_t queued;
	uint32_t sessions;
	uint32_t runs_kept;      /* runs in memory, finished ones included */
	uint64_t retained_bytes; /* size of acknowledged results */
	uint64_t config_version;
	bool draining;
	bool drained; /* its failure domain is drained */
};

/**
 * Sets the options of an agent whose worker runs tasks under leases.
 *
 * @param options options to change
 * @param times durations of the leases
 */
void mst_agent_options_set_leases(
    struct mst_agent_options *options, const struct mst_lease_times *times);

/**
 * Creates an agent.
 *
 * @param out set to the agent, which mst_agent_free() releases; NULL on
 *     failure
 * @param options identity and limits of the agent; copied
 * @return 0, or -1 if the version of the options is unknown
 */
int mst_agent_new(
    struct mst_agent **out, const struct mst_agent_options *options);

/** Releases an agent; NULL is allowed. */
void mst_agent_free(struct mst_agent *agent);

/**
 * Applies one event.
 *
 * @param agent the agent
 * @param event the event
 * @return array of struct mst_agent_effect, in order of execution; it is
 *     valid until the next call, before which it must be executed
 */
const GArray *mst_agent_step(
    struct mst_agent *agent, const struct mst_agent_event *event);

/** Returns the counters, which are valid until the agent is released. */
const struct mst_agent_counters *mst_agent_counters(
    const struct mst_agent *agent);

/**
 * Counts the known entries by the version of their builds.
 *
 * @param agent the agent
 * @return array of struct mst_build_count, to be released by g_array_unref()
 */
GArray *mst_agent_builds(const struct mst_agent *agent);

/** Returns the present values of the gauges. */
struct mst_agent_gauges mst_agent_gauges(const struct mst_agent *agent);

#endif
