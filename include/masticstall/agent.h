#ifndef MST_AGENT_H
#define MST_AGENT_H

/**
 * The agent's reducer: the only way by which tasks start on one upstream.
 * It does no I/O and reads no clock; events go in, effects come out.
 */

#include <glib.h>
#include <masticstall/lease.h>
#include <masticstall/message.h>
#include <masticstall/record.h>
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
	uint32_t queue_max;       /* tasks that may wait for a slot */
	int64_t prefetch_rtt_us;  /* round trip that the prefetch hides */
	int64_t heartbeat_us;     /* time between announcements */
	int64_t fence_silence_us; /* silence before a fence is granted */
	int64_t retention_us;     /* age of acknowledged results kept */
	uint64_t retained_bytes_max;
	/*
	 * Leased: the upstream is a worker that runs tasks under leases, and
	 * what an entry has started ends when the entry is silent.
	 */
	bool leased;
	struct mst_lease_times leases;
	bool stored_jobs; /* leased only: its worker runs stored jobs, too */
};

#define MST_AGENT_OPTIONS_INIT                                                 \
	{                                                                      \
		.version = MST_AGENT_OPTIONS_VERSION, .name = "agent",         \
		.failure_domain = "", .rack = "", .slots = 8,                  \
		.connections = 64, .queue_max = 256, .prefetch_rtt_us = 500,   \
		.heartbeat_us = G_USEC_PER_SEC,                                \
		.fence_silence_us = 3 * G_USEC_PER_SEC,                        \
		.retention_us = 120 * G_USEC_PER_SEC,                          \
		.retained_bytes_max = 16u << 20,                               \
	}

enum mst_agent_event_type {
	MST_AGENT_EV_TICK = 1, /* time has passed */
	MST_AGENT_EV_MESSAGE,  /* a message has arrived */
	MST_AGENT_EV_FINISHED, /* the upstream call of a run has ended */
	MST_AGENT_EV_ENTRIES,  /* the known entries' addresses changed */
	MST_AGENT_EV_DRAIN,    /* take no new work, stop when idle */
	MST_AGENT_EV_FLUSH,    /* send what has been collected */
	MST_AGENT_EV_REPORT,   /* the worker has reported about itself */
	MST_AGENT_EV_ORDERED,  /* an order to the worker has an answer */
	MST_AGENT_EV_STORE     /* an operation of the store has its answer */
};

struct mst_agent_event {
	enum mst_agent_event_type type;
	int64_t now_us;
	const struct mst_msg *msg;              /* MESSAGE */
	uint64_t run;                           /* FINISHED */
	struct mst_result_item result;          /* FINISHED; seq is ignored */
	const char *entries;                    /* ENTRIES, by commas */
	const struct mst_worker_report *report; /* REPORT */
	const struct mst_order_answer *answer;  /* ORDERED */
	const struct mst_store_answer *store_answer; /* STORE */
};

enum mst_agent_effect_type {
	MST_AGENT_FX_SEND = 1, /* send msg to msg.to; 0 means every entry */
	MST_AGENT_FX_START,    /* call the upstream */
	MST_AGENT_FX_CONFIG,   /* a greater configuration is in force */
	MST_AGENT_FX_PEERS,    /* addresses of entries were named */
	MST_AGENT_FX_STOPPED,  /* drained; the process may end */
	MST_AGENT_FX_ORDER,    /* send an order to the worker */
	MST_AGENT_FX_WORKER,   /* the worker was lost, or is there again */
	MST_AGENT_FX_RUN,      /* a run has ended other than well */
	MST_AGENT_FX_LEASE,    /* an entry's lease has lapsed */
	MST_AGENT_FX_STORE     /* something to be done by the store */
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
	uint64_t entry;                       /* RUN, LEASE: incarnation */
	uint32_t number;                      /* RUN: of the task's runs */
	struct mst_result_item result;        /* RUN */
	int64_t silent_us;      /* LEASE: age of the entry's echo */
	uint32_t open;          /* LEASE: tasks that it had here */
	struct mst_store_op op; /* STORE */
};

/** Counters of one agent, all since its start. */
struct mst_agent_counters {
	uint64_t dispatches;
	uint64_t duplicates;
	uint64_t starts;
	uint64_t finished;
	uint64_t withdrawn;
	uint64_t refused[MST_REASON_MAX];
	uint64_t not_recorded; /* sequence set at its bound */
	uint64_t sessions_refused;
	uint64_t results_repeated;
	uint64_t fences;
	uint64_t evicted;
	uint64_t runs_lost;    /* ended without a result */
	uint64_t runs_unknown; /* found on the worker, and stopped */
	uint64_t leases_lapsed;
	uint64_t forced_lapses; /* of the worker, so that ends count no more */
	uint64_t orders[MST_ORDER_INVALID + 1]; /* by status */
};

/** Numbers that change both ways. */
struct mst_agent_gauges {
	uint32_t running;
	uint32_t queued;
	uint32_t sessions;
	uint32_t records;        /* runs kept, results included */
	uint64_t retained_bytes; /* of acknowledged results */
	uint64_t config_version;
	bool draining;
};

/**
 * Makes an agent a leased one.
 *
 * @param options changed
 * @param times of the leases
 */
void mst_agent_options_lease(
    struct mst_agent_options *options, const struct mst_lease_times *times);

/**
 * Creates an agent.
 *
 * @param out output
 * @param options its identity and limits; copied
 * @return 0, or -1 when the options' version is unknown
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
 * @return effects (struct mst_agent_effect), in order; they are valid until
 *     the next call and must be executed before it
 */
const GArray *mst_agent_step(
    struct mst_agent *agent, const struct mst_agent_event *event);

/** Gives the counters; valid for the agent's life. */
const struct mst_agent_counters *mst_agent_counters(
    const struct mst_agent *agent);

/** Gives the gauges of this moment. */
struct mst_agent_gauges mst_agent_gauges(const struct mst_agent *agent);

#endif
