#ifndef MST_AGENT_INTERNAL_H
#define MST_AGENT_INTERNAL_H

/* State of an agent, which its parts share. */

#include <masticstall/agent.h>

#include "core/build.h"
#include "core/config_pull.h"
#include "core/crash/crash.h"
#include "core/drains.h"
#include "core/worker/worker.h"

#define AGENT_SESSIONS_MAX 1024
#define AGENT_CLAIMS_MAX   65536
#define AGENT_PREFETCH_MAX 64
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
#define AGENT_UNACKED_KEEP_US (60 * G_USEC_PER_SEC)
/* Most bytes of results in the answer to a fence. */
#define AGENT_FENCED_BYTES_MAX (32u << 20)

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
	/* Owns its strings; they are freed when the run finishes. If the agent
	 * is leased, the body is freed once it is not needed any more, the
	 * others with the run. */
	struct mst_dispatch_item task;
	struct mst_result_item result; /* owns its strings */
	uint32_t run_number;           /* leased: run number */
	uint8_t order_state;           /* leased: enum order_state */
	uint8_t order_tries;           /* of the present start or stop */
	uint8_t starts_open; /* start orders that are not answered yet */
	/* A start order that got no answer may still be executed. */
	bool start_unanswered;
	/* Hash of the worker's id that its last start order named; 0: none. */
	uint64_t start_worker;
	bool start_workers_differ; /* its start orders named several ids */
	bool start_told;      /* all entries were told that it is uncertain */
	bool start_confirmed; /* its entry was told that it has started */
	bool crashed;         /* was in progress when the worker crashed */
	bool crash_counted;   /* since its last start order; see crash.c */
	/* Queued: enum mst_reason for which it is refused once no earlier run
	 * of its task is active; MST_REASON_NONE: it is started then. */
	uint8_t refusal;
	uint8_t proof; /* leased, finished: enum mst_run_proof */
	enum mst_reason stop_reason;
	/* Time from which its entry may have given it up, so that its task may
	 * run elsewhere a while later; 0: the entry waits for its result. */
	int64_t abandoned_us;
	int64_t order_us; /* time of the last order */
	/* ORDER_START_DUE, ORDER_STOP_DUE: not before; ORDER_STARTING: when the
	 * order is sent again without waiting for its timeout. */
	int64_t order_due_us;
	bool start_hedged;    /* it was sent again in this way */
	int64_t confirmed_us; /* time of the worker's last confirmation */
	int64_t seen_us; /* when an answer last showed that it was started */
	GList link;      /* link in queue, unacked or retained */
	struct run *previous_in_job; /* NULL: the first one */
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
	gsize entries_told; /* length of the agent's entries that it was sent */
	int64_t entries_told_us;
	int64_t entries_repeated_us; /* when it was last sent all of them */
	uint64_t roster_version;
	GArray *roster; /* uint64_t */
	bool fenced;
	bool unwanted;       /* to be left once none of its work is left */
	int64_t unwanted_us; /* since when */
	uint32_t demand;     /* tasks that wait at the entry */
	uint32_t open;       /* queued and running tasks */
	uint32_t offers;     /* free slots that are reserved for its tasks */
	int64_t offered_until_us;
	bool offer_due; /* the entry has not been told of an offer */
	uint64_t config_version;
	struct build build; /* of the entry */
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
	struct mst_drains drains;
	bool drained; /* its failure domain is drained */
	uint32_t running;
	double service_us;             /* moving average of service times */
	double task_millicores;        /* leased: moving average per task */
	double task_memory_mb;         /* leased: the same */
	struct worker worker;          /* leased */
	struct mst_crash_list crashes; /* of the worker */
	uint64_t next_handle;
	GHashTable *sessions;  /* entry incarnation -> struct session */
	GHashTable *active;    /* handle -> running struct run */
	GHashTable *task_runs; /* leased: the same as a set, by task */
	GHashTable *claims;    /* struct mst_job_id -> struct claim */
	GQueue queue;          /* runs that wait for a slot */
	GQueue retained;       /* acknowledged runs, oldest first */
	uint64_t retained_bytes;
	uint32_t runs_kept;
	uint64_t config_version;
	GBytes *config;
	struct mst_config_pull config_pull;
	struct mst_agent_counters counters;
	GRand *rand;
	GArray *effects;
	GArray *scratch_results;   /* struct mst_result_item */
	GArray *scratch_fenced;    /* struct mst_fenced_item */
	GPtrArray *scratch_starts; /* arrays referenced by effects */
	GArray *scratch_confirmed; /* uint64_t sequence numbers */
};

/* effect.c */
/* Adds an effect to this step. The pointer is valid until the next effect is
 * added. */
struct mst_agent_effect *mst_agent_emit(
    struct mst_agent *agent, enum mst_agent_effect_type type);
/* Adds an effect that sends a message; the caller fills in its fields. */
struct mst_msg *mst_agent_emit_msg(
    struct mst_agent *agent, uint64_t to, enum mst_msg_type type);

/* announce.c */
/* Returns true if this agent may announce itself to entries. */
bool mst_agent_is_available(const struct mst_agent *agent);
/* Announces this agent to the entry of a session, or without the fields of a
 * session to all entries if it is NULL. */
void mst_agent_announce(struct mst_agent *agent, struct session *session);
/* Announces this agent to all entries, and to each live one that has been sent
 * no announcement of its own since a given time. */
void mst_agent_announce_all(struct mst_agent *agent, int64_t since_us);
/* Refuses an unknown entry that has already sent tasks to this agent. */
void mst_agent_refuse_dropped_session(struct mst_agent *agent, uint64_t entry);
/* Sets the addresses of the known entries, comma-separated. */
void mst_agent_set_entries(struct mst_agent *agent, const char *entries);

/* run.c */
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
/* Refuses the queued runs that do not fit into the worker, even if idle. */
void mst_agent_refuse_unfit(struct mst_agent *agent);
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
void mst_run_free(struct run *run);

/* Records the result of a run, whose strings are copied, and reports it to the
 * entry. */
void mst_run_record_result(struct mst_agent *agent, struct run *run,
    const struct mst_result_item *result);
/* Records and reports the result of a run that has started, with its times. */
void mst_run_complete_started(struct mst_agent *agent, struct run *run,
    const struct mst_result_item *result);

/* task_runs.c */
/* Creates the set of active runs by task. */
GHashTable *mst_task_runs_new(void);
/* Adds an active run, or removes one; no effect unless the agent is leased. */
void mst_task_runs_add(struct mst_agent *agent, struct run *run);
void mst_task_runs_remove(struct mst_agent *agent, const struct run *run);
/* Returns true if an earlier run of the task of a queued run is active. */
bool mst_run_must_wait(const struct mst_agent *agent, const struct run *run);

/* isolation.c */
/* Returns true if isolated runs are queued or running, so that those of other
 * jobs wait. */
bool mst_agent_is_isolating(const struct mst_agent *agent);
/* Returns a running isolated run, or NULL. */
const struct run *mst_agent_find_isolated_run(const struct mst_agent *agent);

/* uncertain.c */
/* Tells all entries, once, that a start of a best-effort run may still be
 * executed. The caller of its job may come back at any of them. */
void mst_agent_tell_uncertain_start(struct mst_agent *agent, struct run *run);
/* Lists the tasks of a session of which a start may still be executed. */
void mst_session_list_uncertain_starts(struct mst_agent *agent,
    const struct session *session, struct mst_announce *announce);
/* Appends the numbers of a session's runs that have started for certain, and
 * of which its entry has not been told that. */
void mst_session_confirm_starts(
    struct mst_agent *agent, const struct session *session, GArray *seqs);

/* offer.c */
/* Offers the free slots to entries whose tasks wait. */
void mst_agent_offer_slots(struct mst_agent *agent);
/* Returns true if tasks wait at some entry, so that slots are offered. */
bool mst_agent_is_contended(const struct mst_agent *agent);
/* Returns the number of free slots, less those offered to other sessions. */
uint32_t mst_session_free_slots(
    const struct mst_agent *agent, const struct session *session);
/* Records that an entry has sent tasks, which use its offers. */
void mst_session_use_offers(struct session *session, uint32_t count);

/* crash.c */
/* Records a crash of the worker and tells all entries. The runs were in
 * progress. */
void mst_agent_record_crash(struct mst_agent *agent, const GPtrArray *runs);
/* Tells all entries that a suspect has completed. */
void mst_agent_clear_suspect(struct mst_agent *agent, const struct run *run);
/* Adds crashes that an earlier incarnation of this agent has kept. */
void mst_agent_add_kept_crashes(
    struct mst_agent *agent, const struct mst_crashes *crashes);
/* Sends the crashes that an entry has not received to it. */
void mst_session_send_crashes(
    struct mst_agent *agent, const struct session *session, uint64_t received);

/* report.c */
/* Emits the collected results of all sessions. */
void mst_agent_flush(struct mst_agent *agent);

/* lease.c */
/* Stops the runs of entries whose lease has expired. */
void mst_agent_check_leases(struct mst_agent *agent);

/* session_lease.c */
struct session *mst_session_find(const struct mst_agent *agent, uint64_t entry);
/* Records an entry's echo of this agent's clock, which extends its lease. */
void mst_session_update_echo(
    struct mst_agent *agent, struct session *session, uint64_t echo_us);
/* Returns true if the entry's lease at this agent has not expired. */
bool mst_session_has_lease(
    const struct mst_agent *agent, const struct session *session);

/* session.c */
/* Creates the session of an entry; returns NULL if there are too many. */
struct session *mst_session_open(struct mst_agent *agent, uint64_t entry);
void mst_session_free(struct session *session);
/* Records the build that an entry has announced, and reports one of another
 * version. */
void mst_session_update_build(struct mst_agent *agent, struct session *session,
    const struct mst_build_msg *msg);
/* Removes the sessions of entries that have been silent for too long, and
 * retains the unacknowledged results of silent ones. */
void mst_agent_prune_sessions(struct mst_agent *agent);
/* Stops or resumes the acceptance of tasks from an entry. */
void mst_session_set_wanted(
    struct mst_agent *agent, uint64_t entry, bool wanted);
/* Reports the unwanted entries of which no work is left. */
void mst_agent_leave_unwanted(struct mst_agent *agent);
/* Returns the number of tasks that an entry may have at this agent. */
uint32_t mst_session_grant(
    const struct mst_agent *agent, const struct session *session);
/* Handles a request to fence an entry and emits the answer, which lists the
 * runs of the job. */
void mst_agent_handle_fence(
    struct mst_agent *agent, uint64_t from, const struct mst_fence *fence);
void mst_claim_free(struct claim *claim);

#endif
