#ifndef MST_ENTRY_H
#define MST_ENTRY_H

/**
 * The entry's reducer: jobs, team queues, placement and the view of the
 * members. It does no I/O and reads no clock; events go in, effects out.
 */

#include <glib.h>
#include <masticstall/config.h>
#include <masticstall/lease.h>
#include <masticstall/message.h>
#include <masticstall/record.h>

struct mst_entry;

#define MST_ENTRY_OPTIONS_VERSION 1

struct mst_entry_options {
	unsigned version;
	uint64_t incarnation;
	uint32_t seed;
	const char *address; /* where members reach this entry */
	int64_t heartbeat_us;
	int64_t suspect_us;          /* silence before new work stops */
	int64_t remove_us;           /* silence before a member is lost */
	int64_t pause_us;            /* own pause that ends the incarnation */
	int64_t answer_retention_us; /* how long a closed job is kept */
	uint32_t jobs_max;
	uint64_t bytes_max;       /* of all jobs, closed ones included */
	int64_t adopt_timeout_us; /* time to take over a job */
	/*
	 * Leased: agents end what this entry has started when it is silent, so
	 * no roster is kept and only restartable jobs are taken.
	 */
	bool leased;
	int64_t dispatch_valid_us; /* time within which a task must start */
	double
	    remote_factor; /* work away from its data, in times of it there */
	bool stored_jobs;  /* leased only: takes stored jobs */
	int64_t owner_lease_us; /* without a renewal, its jobs are given up */
	int64_t takeover_delay_us; /* and taken by others after this time */
	int64_t
	    record_retention_us; /* how long a closed job's record is kept */
};

#define MST_ENTRY_OPTIONS_INIT                                                 \
	{                                                                      \
		.version = MST_ENTRY_OPTIONS_VERSION, .seed = 1,               \
		.address = "", .heartbeat_us = G_USEC_PER_SEC,                 \
		.suspect_us = 2500 * 1000, .remove_us = 8 * G_USEC_PER_SEC,    \
		.pause_us = 60 * G_USEC_PER_SEC,                               \
		.answer_retention_us = 60 * G_USEC_PER_SEC,                    \
		.jobs_max = 100000, .bytes_max = 1u << 30,                     \
		.adopt_timeout_us = 10 * G_USEC_PER_SEC,                       \
		.dispatch_valid_us = 400 * 1000, .remote_factor = 1,           \
		.owner_lease_us = 2 * G_USEC_PER_SEC,                          \
		.takeover_delay_us = 4 * G_USEC_PER_SEC,                       \
		.record_retention_us = 180 * G_USEC_PER_SEC,                   \
	}

/** A job's ticket: its identity and an agent that arbitrates it. */
struct mst_ticket {
	struct mst_job_id job;
	uint64_t arbiter;
};

struct mst_task_spec {
	struct mst_bytes method;
	struct mst_bytes path;
	struct mst_bytes content_type;
	struct mst_bytes body;
	uint32_t declared_us;
	uint32_t flags; /* MST_TASK_IDEMPOTENT */
	struct mst_resources needs;
};

/** Most steps in one job. */
#define MST_STEPS_MAX 64

/** Some tasks of a job in a row, and when and where they may run. */
struct mst_step_spec {
	uint32_t first;
	uint32_t count;
	uint64_t
	    dependencies; /* bit N: all tasks of step N must have ended well */
	struct mst_bytes requires; /* label of the worker; empty: any */
	struct mst_bytes rack;     /* where its data is; empty: anywhere */
	uint32_t per_member_max;   /* tasks at one member at once; 0: any */
};

struct mst_job_spec {
	struct mst_ticket ticket; /* minter 0: mint one now */
	uint64_t fingerprint;     /* of the whole request */
	const char *team;
	uint32_t timeout_ms; /* 0: the policy's default */
	uint32_t count;
	const struct mst_task_spec *tasks;
	uint32_t step_count;               /* 0: one step without conditions */
	const struct mst_step_spec *steps; /* in order, of all tasks */
	struct mst_bytes traceparent;
	/*
	 * Restartable: the caller waits for the answer and sends the job again
	 * under its key when it gets none. It is given up when all that wait
	 * for it have left.
	 */
	bool restartable;
	const char *key;     /* the caller's name of the job */
	const char *service; /* the upstreams that may run it; NULL: any */
	uint32_t priority;   /* 0 is the most urgent */
	uint32_t attempts;   /* runs of a task that may end as failed */
	double stretch;      /* objective, in times of the longest task */
	uint32_t target_ms;  /* objective, added to that */
	/*
	 * Stored: answered once it is recorded, and run to its end by whoever
	 * owns it then.
	 */
	bool stored;
	const char *serialized; /* the job as it is stored, for its reader */
};

enum mst_entry_event_type {
	MST_ENTRY_EV_TICK = 1,
	MST_ENTRY_EV_MESSAGE,
	MST_ENTRY_EV_TICKET, /* a caller asks for a ticket */
	MST_ENTRY_EV_SUBMIT, /* a caller hands in a job and waits */
	MST_ENTRY_EV_WAIT,   /* a caller waits for a job */
	MST_ENTRY_EV_CANCEL,
	MST_ENTRY_EV_DISCONNECT, /* a caller has left */
	MST_ENTRY_EV_CONFIG,
	MST_ENTRY_EV_DRAIN,
	MST_ENTRY_EV_FLUSH,
	MST_ENTRY_EV_FIND_KEY,   /* a caller asks for a stored job's state */
	MST_ENTRY_EV_CANCEL_KEY, /* a caller cancels a stored job */
	MST_ENTRY_EV_STORE,      /* an operation has its answer */
	MST_ENTRY_EV_CANCELLED   /* another entry has cancelled a stored job */
};

struct mst_entry_event {
	enum mst_entry_event_type type;
	int64_t now_us;
	uint64_t request;                /* the caller's request */
	const struct mst_msg *msg;       /* MESSAGE */
	const struct mst_job_spec *spec; /* SUBMIT */
	struct mst_job_id job;           /* WAIT, CANCEL */
	bool poll;                       /* WAIT: answer at once */
	bool detach;                     /* SUBMIT: answer when accepted */
	struct mst_config *config;       /* CONFIG; ownership passes */
	const char *document;            /* CONFIG: its text */
	/* FIND, CANCEL_KEY, CANCELLED: of the job; NULL: of any */
	const char *key;
	int64_t wall_ms;                       /* time of day */
	const struct mst_store_answer *answer; /* STORE */
};

/** A stored job as its caller may see it. */
enum mst_stored_state {
	MST_STORED_UNKNOWN = 1, /* there is no such job */
	MST_STORED_QUEUED,
	MST_STORED_RUNNING,
	MST_STORED_COMPLETE,
	MST_STORED_FAILED,
	MST_STORED_CANCELLED,
	MST_STORED_ACCEPTED,   /* to its submission */
	MST_STORED_UNAVAILABLE /* the store doesn't tell */
};

enum mst_job_state { MST_JOB_OPEN = 1, MST_JOB_COMPLETE, MST_JOB_FAILED };

/** One task in a job's answer. */
struct mst_task_view {
	enum mst_outcome outcome;
	enum mst_reason reason;
	uint16_t status;
	uint32_t attempts;
	uint32_t declared_us;
	uint64_t member; /* where it was sent last; 0: nowhere */
	uint32_t queue_us;
	uint32_t service_us;
	int64_t sent_us;
	int64_t closed_us;
	struct mst_bytes content_type;
	struct mst_bytes body;
};

/** A job as its caller may see it. */
struct mst_job_view {
	struct mst_ticket ticket;
	enum mst_job_state state;
	enum mst_reason reason;
	const char *team;
	const char *key;      /* the caller's, or NULL */
	int64_t objective_us; /* time in which it should have ended */
	uint32_t count;
	uint32_t open;     /* tasks without a final outcome */
	uint32_t started;  /* tasks sent to an agent at least once */
	bool may_have_run; /* not every task is proved not to have started */
	uint32_t retry_after_ms; /* when to come back, if it was not run */
	int64_t submitted_us;
	int64_t closed_us;
	struct mst_bytes traceparent;
};

enum mst_entry_effect_type {
	MST_ENTRY_FX_SEND = 1, /* send msg to msg.to */
	MST_ENTRY_FX_ANSWER,   /* the job's state, for a request */
	MST_ENTRY_FX_REFUSE,   /* a refusal, for a request */
	MST_ENTRY_FX_TICKET,   /* a ticket, for a request */
	MST_ENTRY_FX_FORWARD,  /* the request belongs to the entry at peer */
	MST_ENTRY_FX_PEERS,    /* addresses of entries were named */
	MST_ENTRY_FX_CONFIG,   /* a member holds a greater configuration */
	MST_ENTRY_FX_TASK,     /* a task has got its final outcome */
	MST_ENTRY_FX_MEMBER,   /* a member's state has changed */
	MST_ENTRY_FX_STOPPED,  /* drained; the process may end */
	MST_ENTRY_FX_STORE,    /* something to be done by the store */
	MST_ENTRY_FX_STATE,    /* a stored job's state, for a request */
	MST_ENTRY_FX_OWNER,    /* this entry's ownership has changed */
	MST_ENTRY_FX_CLOSED    /* a stored job is closed */
};

/** Why a request is refused, beside the reasons of tasks. */
enum mst_refusal {
	MST_REFUSAL_REASON = 0, /* see the reason; nothing was run */
	MST_REFUSAL_MISMATCH,   /* the ticket was used for another request */
	MST_REFUSAL_UNKNOWN_JOB,
	MST_REFUSAL_GONE /* the answer is no longer kept */
};

struct mst_entry_effect {
	enum mst_entry_effect_type type;
	struct mst_msg msg; /* SEND, CONFIG */
	uint64_t request;   /* ANSWER, REFUSE, MINTED, FORWARD */
	uint64_t job;       /* ANSWER, TASK, CLOSED: for mst_entry_job() */
	uint32_t index;     /* TASK */
	struct mst_ticket ticket;     /* MINTED */
	enum mst_refusal refusal;     /* REFUSE */
	enum mst_reason reason;       /* REFUSE */
	bool may_have_run;            /* REFUSE */
	uint32_t retry_after_ms;      /* REFUSE */
	uint64_t peer;                /* FORWARD; TASK, MEMBER: the agent */
	struct mst_bytes peers;       /* PEERS */
	const char *state;            /* MEMBER, OWNER */
	struct mst_store_op op;       /* STORE */
	enum mst_stored_state stored; /* STATE */
	uint64_t owner; /* OWNER: of whom jobs were taken, or own */
	uint32_t count; /* OWNER: jobs that are concerned */
};

/** Counters of one entry, all since its start. */
struct mst_entry_counters {
	uint64_t jobs;
	uint64_t jobs_complete;
	uint64_t jobs_failed;
	uint64_t jobs_adopted;
	uint64_t jobs_stored;
	uint64_t jobs_taken_over; /* of owners that were lost */
	uint64_t jobs_dropped;    /* as this entry's ownership was lost */
	uint64_t store_ops;
	uint64_t store_conflicts;
	uint64_t store_failures; /* busy, or without an answer */
	uint64_t jobs_refused[MST_REASON_MAX];
	uint64_t tasks;
	uint64_t dispatches;
	uint64_t dispatches_repeated; /* sent again after a loss */
	uint64_t requeued[MST_REASON_MAX];
	uint64_t retries; /* of idempotent unknown outcomes */
	uint64_t withdrawals;
	uint64_t results;
	uint64_t results_late; /* for tasks closed before */
	uint64_t results_repeated;
	uint64_t outcomes[MST_OUTCOME_UNKNOWN + 1];
	uint64_t ejections;
	uint64_t members_lost;
	uint64_t incarnations;
};

struct mst_entry_gauges {
	uint64_t incarnation;
	uint32_t jobs_open;
	uint32_t jobs_kept;
	uint32_t jobs_stored; /* open ones */
	uint32_t tasks_waiting;
	uint32_t tasks_sent;
	uint32_t members;
	uint32_t members_active;
	uint32_t peers;
	uint32_t teams;
	uint64_t bytes;
	uint64_t config_version;
	bool draining;
	bool ready; /* takes work: has a configuration and a member */
};

struct mst_member_view {
	uint64_t incarnation;
	const char *name;
	const char *failure_domain;
	const char *rack;
	const char *state;
	uint32_t slots;
	uint32_t grant;
	uint32_t outstanding;
	double slowness; /* service time over the fastest's */
	uint64_t config_version;
};

/**
 * Makes an entry a leased one.
 *
 * @param options changed
 * @param times of the leases
 */
void mst_entry_options_lease(
    struct mst_entry_options *options, const struct mst_lease_times *times);

/**
 * Creates an entry.
 *
 * @param out output
 * @param options its identity and limits; copied
 * @return 0, or -1 when the options' version is unknown
 */
int mst_entry_new(
    struct mst_entry **out, const struct mst_entry_options *options);

/** Releases an entry; NULL is allowed. */
void mst_entry_free(struct mst_entry *entry);

/**
 * Applies one event.
 *
 * @param entry the entry
 * @param event the event
 * @return effects (struct mst_entry_effect), in order; they are valid until
 *     the next call and must be executed before it
 */
const GArray *mst_entry_step(
    struct mst_entry *entry, const struct mst_entry_event *event);

/**
 * Reads a job.
 *
 * @param out output
 * @param entry the entry
 * @param job handle from an effect
 * @return 0, or -1 when the handle is stale
 */
int mst_entry_job(
    struct mst_job_view *out, const struct mst_entry *entry, uint64_t job);

/**
 * Reads one task of a job.
 *
 * @param out output
 * @param entry the entry
 * @param job handle from an effect
 * @param index the task, from 0
 * @return 0, or -1 when there is no such task
 */
int mst_entry_task(struct mst_task_view *out, const struct mst_entry *entry,
    uint64_t job, uint32_t index);

/**
 * Lists the members.
 *
 * @param entry the entry
 * @return array of struct mst_member_view, freed by the caller; its strings
 *     are valid until the next step
 */
GArray *mst_entry_members(const struct mst_entry *entry);

/** Gives the counters; valid for the entry's life. */
const struct mst_entry_counters *mst_entry_counters(
    const struct mst_entry *entry);

/**
 * Counts the stored jobs of a queue that nobody has started, over all owners.
 *
 * @param entry the entry
 * @param queue its name
 * @return jobs, as of a renewal ago
 */
uint32_t mst_entry_queue_length(
    const struct mst_entry *entry, const char *queue);

/** Gives the gauges of this moment. */
struct mst_entry_gauges mst_entry_gauges(const struct mst_entry *entry);

/** Tells whether another entry's incarnation has been heard lately. */
bool mst_entry_peer_is_alive(
    const struct mst_entry *entry, uint64_t incarnation);

/** Gives the configuration in force, or NULL; valid until the next step. */
const struct mst_config *mst_entry_config(const struct mst_entry *entry);

/** Gives the text of the configuration in force, or NULL. */
const char *mst_entry_document(const struct mst_entry *entry);

/** Room for a ticket's text, its end included. */
#define MST_TICKET_TEXT 56

/**
 * Writes a ticket as text.
 *
 * @param out output, MST_TICKET_TEXT bytes
 * @param ticket the ticket
 */
void mst_ticket_format(char *out, const struct mst_ticket *ticket);

/**
 * Reads a ticket's text.
 *
 * @param out output
 * @param text bytes
 * @return 0, or -1 when it is not a ticket
 */
int mst_ticket_parse(struct mst_ticket *out, struct mst_bytes text);

#endif
