#ifndef MST_AGENT_INTERNAL_H
#define MST_AGENT_INTERNAL_H

#include <masticstall/agent.h>

#include "core/slowness.h"

#define AGENT_SESSIONS_MAX     1024
#define AGENT_CLAIMS_MAX       65536
#define AGENT_PREFETCH_MAX     64
#define AGENT_LEASED_QUEUE     2 /* tasks that wait for the next slot */
#define AGENT_SESSION_KEEP_US  (INT64_C(21600) * G_USEC_PER_SEC)
#define AGENT_LEASED_KEEP_US   (INT64_C(70) * G_USEC_PER_SEC)
#define AGENT_PAUSE_US         (500 * 1000)
#define AGENT_STOP_LINGER_US   (10 * G_USEC_PER_SEC)
#define AGENT_SILENT_US        (5 * G_USEC_PER_SEC)
#define AGENT_ABANDONED_US     (60 * G_USEC_PER_SEC)
#define AGENT_BYTES_PER_RESULT 256
#define AGENT_FENCED_BYTES_MAX (32u << 20)

/* How far a leased run's orders have come. */
enum order_state {
	ORDER_NONE = 0,
	ORDER_STARTING, /* no answer yet */
	ORDER_STARTED,
	ORDER_STOPPING, /* no answer yet */
	ORDER_STOP_DUE, /* to be sent once the worker is there */
	ORDER_STOPPED   /* its end is not listed yet */
};

#define WORKER_RENEWS_MAX                                                      \
	2 /* at once; the second only while answers get lost */

/* The worker of a leased agent. */
struct worker {
	bool known;  /* has reported about itself */
	bool synced; /* its list was read in this life, and it answers */
	bool draining;
	char *id;
	char *service;
	char *labels;
	uint64_t incarnation;
	uint64_t report_seq;
	uint64_t fence;
	uint64_t completions_read;  /* read from its lists; told are those that
				     * needn't be kept */
	GQueue unacked_completions; /* see agent_completions.c */
	GPtrArray *pending_acks;
	bool lease_expiring; /* its lease is let lapse */
	int64_t clock_ms;    /* as of clock_us */
	int64_t clock_us;
	int64_t lease_end_us; /* by then all has lapsed unless renewed */
	uint64_t renew_ids[WORKER_RENEWS_MAX]; /* ids of those without an
						  answer; 0: none */
	int64_t next_renew_us;
	int64_t unreliable_until_us; /* it left an order unanswered lately */
	unsigned renew_failures;     /* in a row */
	struct mst_resources used;
	struct mst_slowness speed; /* observed over expected times */
};

enum run_state { RUN_QUEUED = 1, RUN_RUNNING, RUN_FINISHED };

/* One sequence of one session, from its arrival until its eviction. */
struct run {
	uint64_t handle;
	struct session *session;
	enum run_state state;
	bool acked;
	bool in_outbox;
	int64_t arrived_us;
	int64_t started_us;
	int64_t sent_us;
	struct mst_dispatch_item task; /* strings owned until finished */
	struct mst_result_item result; /* strings owned */
	uint32_t number;               /* leased: the run's number */
	uint8_t order_state;           /* leased: enum order_state */
	uint8_t order_tries;
	bool unanswered; /* an order to start it may still be on its way */
	enum mst_reason stop_reason;
	int64_t order_us;
	int64_t confirmed_us; /* the worker must list it from then on */
	GList link;           /* in the queue, then unacked, then retained */
	struct run *next_in_job;
};

/* What this agent knows of one entry incarnation. */
struct session {
	uint64_t entry;
	struct mst_seqset seqs_received;
	uint64_t sent_through;
	int64_t last_heard_us;
	int64_t heartbeat_us;   /* arrival of the last heartbeat */
	int64_t echo_us;        /* own clock that the entry has seen */
	int64_t lapsed_echo_us; /* with which its lease lapsed last */
	int64_t announced_us;
	uint32_t
	    description_version; /* of the agent's descriptions, as it knows */
	uint64_t roster_version;
	GArray *roster; /* uint64_t */
	bool fenced;
	uint32_t demand;
	uint32_t open; /* queued and running */
	uint64_t config_version;
	uint64_t evicted_counter; /* greatest own job with evicted runs */
	bool evicted_adopted;     /* runs of adopted jobs were evicted */
	GHashTable *runs;         /* seq -> struct run */
	GHashTable *jobs;         /* struct mst_job_id -> struct run */
	GPtrArray *outbox;        /* finished runs to report */
	GQueue unacked;           /* finished runs, oldest first */
};

/* Who owns a job that this agent arbitrates. */
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
	int64_t tick_us; /* last tick */
	int64_t next_heartbeat_us;
	int64_t next_scan_us;
	uint32_t description_version; /* rises when what it is changes */
	bool draining;
	int64_t drain_us;
	bool stopped;
	uint32_t running;
	double service_us;      /* moving average */
	double task_millicores; /* moving average */
	struct worker worker;   /* leased */
	uint64_t next_handle;
	GHashTable *sessions; /* entry incarnation -> struct session */
	GHashTable *active;   /* handle -> running struct run */
	GHashTable *claims;   /* struct mst_job_id -> struct claim */
	GQueue queue;         /* runs that wait for a slot */
	GQueue retained;      /* acknowledged runs, oldest first */
	uint64_t retained_bytes;
	uint32_t records;
	uint64_t config_version;
	GBytes *config;
	struct mst_agent_counters counters;
	GArray *effects;
	GArray *scratch_results; /* struct mst_result_item */
	GArray *scratch_fenced;  /* struct mst_fenced_item */
};

/* agent.c */
struct mst_agent_effect *mst_agent_emit(
    struct mst_agent *agent, enum mst_agent_effect_type type);
struct mst_msg *mst_agent_emit_msg(
    struct mst_agent *agent, uint64_t to, enum mst_msg_type type);

/* agent_run.c */
void mst_agent_dispatch(struct mst_agent *agent, struct session *session,
    const struct mst_dispatch_item *item, bool stale);
void mst_agent_withdraw(
    struct mst_agent *agent, struct session *session, uint64_t seq);
void mst_agent_finished(struct mst_agent *agent, uint64_t handle,
    const struct mst_result_item *result);
void mst_agent_start_queued(struct mst_agent *agent);
void mst_agent_refuse_queued(struct mst_agent *agent,
    const struct session *session, enum mst_reason reason);
void mst_agent_ack(struct mst_agent *agent, struct session *session,
    const struct mst_seqset *received);
void mst_agent_repeat_results(struct mst_agent *agent, struct session *session);
void mst_agent_retain_all(struct mst_agent *agent, struct session *session);
void mst_agent_evict(struct mst_agent *agent);
void mst_agent_flush(struct mst_agent *agent);
void mst_run_free(struct run *run);

/* Reports a run's end; the result's strings are copied. */
void mst_run_finish(struct mst_agent *agent, struct run *run,
    const struct mst_result_item *result);
/* Reports the end of a run that has started. */
void mst_run_complete(struct mst_agent *agent, struct run *run,
    const struct mst_result_item *result);

/* agent_worker.c */
void mst_worker_report(
    struct mst_agent *agent, const struct mst_worker_report *report);
void mst_worker_start(struct mst_agent *agent, struct run *run);
void mst_worker_stop(
    struct mst_agent *agent, struct run *run, enum mst_reason reason);
void mst_worker_answer(
    struct mst_agent *agent, const struct mst_order_answer *answer);
void mst_worker_tick(struct mst_agent *agent);
/* True when the worker may be given new tasks. */
bool mst_worker_ready(const struct mst_agent *agent);
/* True when a task fits beside those that run. */
bool mst_worker_has_capacity(
    const struct mst_agent *agent, const struct mst_resources *needs);
/* Tasks of the usual size that fit in, or still fit beside the others. */
uint32_t mst_worker_slots(const struct mst_agent *agent);
uint32_t mst_worker_free_slots(const struct mst_agent *agent);
/* Its times over the expected ones, in thousandths; 0: not known yet. */
uint32_t mst_worker_slowness_milli(const struct mst_agent *agent);

/* agent_completions.c */
/* An entry has recorded a result. */
void mst_completions_acknowledge(
    struct mst_agent *agent, uint64_t session, uint64_t seq);
void mst_completions_store_answer(
    struct mst_agent *agent, const struct mst_store_answer *answer);

/* agent_lease.c */
/* Takes note of the entry's echo of this agent's clock. */
void mst_session_echo(
    struct mst_agent *agent, struct session *session, uint64_t echo_us);
bool mst_session_is_leased(
    const struct mst_agent *agent, const struct session *session);
/* Ends the runs of entries whose lease has lapsed. */
void mst_agent_check_leases(struct mst_agent *agent);

/* agent_session.c */
struct session *mst_session_find(const struct mst_agent *agent, uint64_t entry);
struct session *mst_session_open(struct mst_agent *agent, uint64_t entry);
void mst_session_free(struct session *session);
void mst_session_prune(struct mst_agent *agent);
uint32_t mst_session_grant(
    const struct mst_agent *agent, const struct session *session);
void mst_agent_fence(
    struct mst_agent *agent, uint64_t from, const struct mst_fence *fence);
void mst_claim_free(struct claim *claim);

guint mst_job_id_hash(gconstpointer key);
gboolean mst_job_id_equal(gconstpointer a, gconstpointer b);

static inline gpointer
mst_key(uint64_t value)
{
	return (gpointer)(uintptr_t)value;
}

static inline char *
mst_bytes_dup(struct mst_bytes bytes)
{
	return bytes.len > 0 ? g_memdup2(bytes.data, bytes.len) : NULL;
}

#endif
