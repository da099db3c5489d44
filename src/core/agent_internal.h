#ifndef MST_AGENT_INTERNAL_H
#define MST_AGENT_INTERNAL_H

#include <masticstall/agent.h>

#include "core/slowness.h"

#define AGENT_SESSIONS_MAX     1024
#define AGENT_CLAIMS_MAX       65536
#define AGENT_PREFETCH_MAX     64
#define AGENT_LEASED_QUEUE_MAX 2 /* tasks queued for the next free slot */
/* Silence of an entry after which its session is removed. */
#define AGENT_SESSION_KEEP_US (INT64_C(21600) * G_USEC_PER_SEC)
#define AGENT_LEASED_SESSION_KEEP_US                                           \
	(INT64_C(70) * G_USEC_PER_SEC) /* if leased */
/* Longer gaps between two ticks are not counted as silence of entries. */
#define AGENT_PAUSE_US (500 * 1000)
/* Longest wait for acknowledgements before a drained agent stops. */
#define AGENT_STOP_LINGER_US (10 * G_USEC_PER_SEC)
/* Silence after which an entry is no longer considered alive. */
#define AGENT_ENTRY_SILENT_US (5 * G_USEC_PER_SEC)
/* Silence after which results are retained as if acknowledged. */
#define AGENT_UNACKED_KEEP_US  (60 * G_USEC_PER_SEC)
#define AGENT_BYTES_PER_RESULT 256 /* unused */
/* Most bytes of results in the answer to a fence. */
#define AGENT_FENCED_BYTES_MAX (32u << 20)

/* Progress of the orders for a leased run. */
enum order_state {
	ORDER_NONE = 0,
	ORDER_STARTING, /* start sent, not answered yet */
	ORDER_STARTED,
	ORDER_STOPPING, /* stop sent, not answered yet */
	ORDER_STOP_DUE, /* stop to be sent once the worker answers */
	ORDER_STOPPED   /* stop confirmed, completion not listed yet */
};

/* Most concurrent renew orders. A second one is sent only while answers get
 * lost. */
#define WORKER_RENEWS_MAX 2

/* Worker of a leased agent. */
struct worker {
	bool has_reported; /* has sent a status report */
	bool synced; /* has answered, and its lists were read since its start */
	bool draining;
	char *id;
	char *service;
	char *labels;
	uint64_t incarnation;
	uint64_t report_seq;
	uint64_t fence;
	/* Number of the last completion read from the worker's lists. The last
	 * one that it may drop is given by mst_completions_last_acked(). */
	uint64_t completions_read;
	GQueue unacked_completions; /* struct unacked_completion */
	GPtrArray *record_updates;  /* struct record_update */
	bool lease_expiring;        /* the lease is no longer renewed */
	int64_t clock_ms;           /* clock of the worker at clock_us */
	int64_t clock_us;
	int64_t lease_end_us; /* its runs end by then unless renewed */
	/* Ids of the renew orders without an answer; 0: none. */
	uint64_t renew_ids[WORKER_RENEWS_MAX];
	int64_t next_renew_us;
	int64_t unreliable_until_us; /* set when an order gets no answer */
	unsigned renew_failures;     /* consecutive failures */
	struct mst_resources used_resources;
	struct mst_slowness slowness_avg; /* slowness as an average over runs */
};

enum run_state { RUN_QUEUED = 1, RUN_RUNNING, RUN_FINISHED };

/* Run of the task with one sequence number of a session, from its arrival until
 * its eviction. */
struct run {
	uint64_t handle;
	struct session *session;
	enum run_state state;
	bool acked;
	bool in_outbox;
	int64_t arrived_us;
	int64_t started_us;
	/* Time when its result was last sent or, if acked, acknowledged. */
	int64_t sent_us;
	/* Owns its strings; they are freed when the run finishes, or with the
	 * run if the agent is leased. */
	struct mst_dispatch_item task;
	struct mst_result_item result; /* owns its strings */
	uint32_t run_number;           /* leased: run number */
	uint8_t order_state;           /* leased: enum order_state */
	uint8_t order_tries;
	/* A start order that got no answer may still be executed. */
	bool start_unanswered;
	enum mst_reason stop_reason;
	int64_t order_us;     /* time of the last order */
	int64_t confirmed_us; /* time of the worker's last confirmation */
	GList link;           /* link in queue, unacked or retained */
	struct run *next_in_job;
};

/* Session of this agent with one entry incarnation. */
struct session {
	uint64_t entry;
	struct mst_seqset seqs_received;
	uint64_t sent_through;
	int64_t last_heard_us;
	int64_t heartbeat_us;    /* arrival of the last heartbeat */
	int64_t echo_us;         /* latest clock of this agent that it echoed */
	int64_t expired_echo_us; /* echo at its last reported expiry */
	int64_t announced_us;
	/* Version of this agent's description that the entry knows. */
	uint32_t description_version;
	uint64_t roster_version;
	GArray *roster; /* uint64_t */
	bool fenced;
	uint32_t demand;
	uint32_t open; /* queued and running tasks */
	uint64_t config_version;
	/* No run of a job that the entry issued with a greater counter was
	 * evicted. The entry's adoption floor raises it as well. */
	uint64_t evicted_counter;
	bool evicted_adopted; /* runs of adopted jobs were evicted */
	GHashTable *runs;     /* sequence number -> struct run */
	GHashTable *jobs;     /* struct mst_job_id -> first struct run */
	GPtrArray *outbox;    /* finished runs to report */
	GQueue unacked;       /* finished runs, oldest first */
};

/* Ownership of a job that this agent arbitrates. */
struct claim {
	struct mst_job_id job;
	uint64_t adopter;
	GArray *past_owners; /* uint64_t, oldest first */
};

struct mst_agent {
	struct mst_agent_options options;
	char *name;
	char *failure_domain;
	char *rack;
	char *entries;
	int64_t now_us;
	int64_t tick_us; /* time of the last tick */
	int64_t next_heartbeat_us;
	int64_t next_prune_us;
	uint32_t description_version; /* increases with each change */
	bool draining;
	int64_t drain_us;
	bool stopped;
	uint32_t running;
	double service_us;      /* moving average of service times */
	double task_millicores; /* leased: moving average per task */
	struct worker worker;   /* leased */
	uint64_t next_handle;
	GHashTable *sessions; /* entry incarnation -> struct session */
	GHashTable *active;   /* handle -> running struct run */
	GHashTable *claims;   /* struct mst_job_id -> struct claim */
	GQueue queue;         /* runs that wait for a slot */
	GQueue retained;      /* acknowledged runs, oldest first */
	uint64_t retained_bytes;
	uint32_t runs_kept;
	uint64_t config_version;
	GBytes *config;
	struct mst_agent_counters counters;
	GArray *effects;
	GArray *scratch_results; /* struct mst_result_item */
	GArray *scratch_fenced;  /* struct mst_fenced_item */
};

/* agent.c */
/* Adds an effect to this step. The pointer is valid until the next effect is
 * added. */
struct mst_agent_effect *mst_agent_emit(
    struct mst_agent *agent, enum mst_agent_effect_type type);
/* Adds an effect that sends a message; the caller fills in its fields. */
struct mst_msg *mst_agent_emit_msg(
    struct mst_agent *agent, uint64_t to, enum mst_msg_type type);

/* agent_run.c */
/* Records a dispatched task and queues or refuses it. A repeated one is
 * answered with its result, if it has one. stale: the dispatch arrived too
 * late. */
void mst_agent_receive_task(struct mst_agent *agent, struct session *session,
    const struct mst_dispatch_item *item, bool stale);
/* Refuses a task that has not started. Stops its run if the agent is leased. */
void mst_agent_withdraw_task(
    struct mst_agent *agent, struct session *session, uint64_t seq);
/* Completes a run whose upstream call has finished. */
void mst_agent_handle_finished(struct mst_agent *agent, uint64_t handle,
    const struct mst_result_item *result);
/* Starts queued runs while there is capacity. */
void mst_agent_start_queued(struct mst_agent *agent);
/* Refuses the queued runs of a session, or all if it is NULL. */
void mst_agent_refuse_queued(struct mst_agent *agent,
    const struct session *session, enum mst_reason reason);
/* Moves the runs whose results an entry has received to the retained ones. */
void mst_agent_ack_results(struct mst_agent *agent, struct session *session,
    const struct mst_seqset *received);
/* Queues the unacknowledged results that were sent before the last heartbeat to
 * be sent again. */
void mst_agent_repeat_results(struct mst_agent *agent, struct session *session);
/* Moves all unacknowledged runs of a session to the retained ones. */
void mst_agent_retain_all(struct mst_agent *agent, struct session *session);
/* Evicts the oldest retained runs beyond the limits of time and size. */
void mst_agent_evict_runs(struct mst_agent *agent);
/* Emits the collected results of all sessions. */
void mst_agent_flush(struct mst_agent *agent);
void mst_run_free(struct run *run);

/* Records the result of a run, whose strings are copied, and reports it to the
 * entry. */
void mst_run_record_result(struct mst_agent *agent, struct run *run,
    const struct mst_result_item *result);
/* Records and reports the result of a run that has started, with its times. */
void mst_run_complete_started(struct mst_agent *agent, struct run *run,
    const struct mst_result_item *result);

/* agent_worker.c */
/* Handles a status report of the worker. */
void mst_worker_handle_report(
    struct mst_agent *agent, const struct mst_worker_report *report);
/* Orders the worker to start a run. */
void mst_worker_start_run(struct mst_agent *agent, struct run *run);
/* Orders the worker to stop a run, unless that was done already. The reason is
 * reported if the run ends without a result. */
void mst_worker_stop_run(
    struct mst_agent *agent, struct run *run, enum mst_reason reason);
/* Handles the answer to an order. */
void mst_worker_handle_answer(
    struct mst_agent *agent, const struct mst_order_answer *answer);
/* Handles the expiry of the worker's lease and sends due renew orders. */
void mst_worker_tick(struct mst_agent *agent);
/* Returns true if the worker accepts new tasks. */
bool mst_worker_is_ready(const struct mst_agent *agent);
/* Returns true if the free resources suffice for a task. */
bool mst_worker_has_capacity(
    const struct mst_agent *agent, const struct mst_resources *needs);
/* Returns how many tasks of average size fit into the worker's resources. */
uint32_t mst_worker_slots(const struct mst_agent *agent);
/* Returns how many tasks of average size fit into the resources that running
 * and queued tasks leave. */
uint32_t mst_worker_free_slots(const struct mst_agent *agent);
/* Returns the ratio of observed to expected service times in thousandths, or 0
 * if it is not known yet. */
uint32_t mst_worker_slowness_milli(const struct mst_agent *agent);

/* agent_completions.c */
/* Releases the completion of a result that an entry has acknowledged. */
void mst_completions_acknowledge(
    struct mst_agent *agent, uint64_t session, uint64_t seq);
/* Handles the answer to a store operation of a record update. */
void mst_completions_handle_store_answer(
    struct mst_agent *agent, const struct mst_store_answer *answer);

/* agent_lease.c */
/* Records an entry's echo of this agent's clock, which extends its lease. */
void mst_session_update_echo(
    struct mst_agent *agent, struct session *session, uint64_t echo_us);
/* Returns true if the entry's lease at this agent has not expired. */
bool mst_session_has_lease(
    const struct mst_agent *agent, const struct session *session);
/* Stops the runs of entries whose lease has expired. */
void mst_agent_check_leases(struct mst_agent *agent);

/* agent_session.c */
struct session *mst_session_find(const struct mst_agent *agent, uint64_t entry);
/* Creates the session of an entry; returns NULL if there are too many. */
struct session *mst_session_open(struct mst_agent *agent, uint64_t entry);
void mst_session_free(struct session *session);
/* Removes the sessions of entries that have been silent for too long, and
 * retains the unacknowledged results of silent ones. */
void mst_agent_prune_sessions(struct mst_agent *agent);
/* Returns the number of tasks that an entry may have at this agent. */
uint32_t mst_session_grant(
    const struct mst_agent *agent, const struct session *session);
/* Handles a request to fence an entry and emits the answer, which lists the
 * runs of the job. */
void mst_agent_handle_fence(
    struct mst_agent *agent, uint64_t from, const struct mst_fence *fence);
void mst_claim_free(struct claim *claim);

guint mst_job_id_hash(gconstpointer key);
gboolean mst_job_id_equal(gconstpointer a, gconstpointer b);

static inline gpointer
mst_u64_to_pointer(uint64_t value)
{
	return (gpointer)(uintptr_t)value;
}

static inline char *
mst_bytes_dup(struct mst_bytes bytes)
{
	return bytes.len > 0 ? g_memdup2(bytes.data, bytes.len) : NULL;
}

#endif
