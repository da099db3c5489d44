#ifndef MST_ENTRY_H
#define MST_ENTRY_H

/**
 * Reducer of an entry: a state machine that takes events and returns the
 * effects that the caller must execute. It does no I/O and reads no clock.
 * It keeps the jobs, the queues of the teams and the state of the members, and
 * places the tasks.
 */

#include <glib.h>
#include <masticstall/config.h>
#include <masticstall/lease.h>
#include <masticstall/message.h>
#include <masticstall/record.h>
#include <masticstall/tuning.h>
#include <masticstall/version.h>

struct mst_entry;

#define MST_ENTRY_OPTIONS_VERSION 1

struct mst_entry_options {
	unsigned version;
	uint64_t incarnation;
	uint32_t seed;
	const char *address;        /* address at which members reach it */
	const char *failure_domain; /* NULL: not known */
	int64_t heartbeat_us;
	int64_t suspect_us; /* silence after which a member gets no tasks */
	int64_t remove_us;  /* silence after which a member is lost */
	/* Pause of the process after which it changes its incarnation. */
	int64_t pause_us;
	int64_t answer_retention_us; /* time to keep a closed job */
	uint32_t jobs_max;
	uint64_t bytes_max;       /* limit for all jobs, closed ones included */
	int64_t adopt_timeout_us; /* longest time to adopt a job */
	uint32_t deadline_max_ms; /* longest deadline that a caller may set */
	/*
	 * Agents stop the runs of this entry when it stays silent for too
	 * long, so it keeps no roster and accepts restartable jobs only.
	 */
	bool leased;
	int64_t dispatch_valid_us; /* time within which a task must start */
	double remote_factor;      /* slowdown in racks without the data */
	uint32_t entries_max;      /* entries that an agent serves; 0: all */
	struct mst_tuning tuning;
	bool stored_jobs; /* leased only: accepts stored jobs */
	/* Time without a renewal after which an owner relinquishes its jobs. */
	int64_t owner_lease_us;
	/* Time without a renewal after which other entries take them over. */
	int64_t takeover_delay_us;
	int64_t record_retention_us; /* time to keep records of closed jobs */
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
		.deadline_max_ms = 60000, .dispatch_valid_us = 400 * 1000,     \
		.remote_factor = 1, .owner_lease_us = 2 * G_USEC_PER_SEC,      \
		.takeover_delay_us = 4 * G_USEC_PER_SEC,                       \
		.record_retention_us = 180 * G_USEC_PER_SEC,                   \
		.tuning = MST_TUNING_INIT,                                     \
	}

/** Ticket of a job, by which its caller refers to it. */
struct mst_ticket {
	struct mst_job_id job;
	uint64_t arbiter; /* agent that decides which entry owns the job */
};

struct mst_task_spec {
	struct mst_bytes method;
	struct mst_bytes path;
	struct mst_bytes content_type;
	struct mst_bytes body;
	uint32_t declared_us; /* expected service time, from the caller */
	uint32_t flags;       /* MST_TASK_IDEMPOTENT */
	struct mst_resources needs;
};

/** Most steps in one job. */
#define MST_STEPS_MAX 64

/** Step of a job: consecutive tasks with the same constraints. */
struct mst_step_spec {
	uint32_t first; /* index of its first task */
	uint32_t count; /* number of its tasks */
	/* Bit N: all tasks of step N must have succeeded. */
	uint64_t dependencies;
	struct mst_bytes required_label; /* label of the worker; empty: any */
	struct mst_bytes rack;   /* rack that holds its data; empty: any */
	uint32_t per_member_max; /* concurrent tasks per member; 0: any */
};

struct mst_job_spec {
	struct mst_ticket ticket; /* issuer 0: a new one is issued */
	uint64_t fingerprint;     /* hash of the request */
	const char *team;
	uint32_t timeout_ms; /* 0: default of the policy */
	/*
	 * Time that the caller waits for the answer. It replaces timeout_ms;
	 * 0: the caller does not say.
	 */
	uint32_t caller_deadline_ms;
	uint32_t count;
	const struct mst_task_spec *tasks;
	uint32_t step_count;               /* 0: one step without constraints */
	const struct mst_step_spec *steps; /* cover all tasks in order */
	struct mst_bytes traceparent;
	/*
	 * The caller waits for the answer and sends the job again under its
	 * key if it gets none. The job is closed as failed when all callers
	 * that wait for it have disconnected.
	 */
	bool restartable;
	const char *key;     /* name of the job, given by the caller */
	const char *service; /* service of the upstreams; NULL: any */
	uint32_t priority;   /* 0 is the highest */
	uint32_t attempts;   /* failed runs after which a task has failed */
	/*
	 * The job should complete within stretch times the service time of its
	 * critical path (without steps: of its longest task), plus target_ms.
	 */
	double stretch;
	uint32_t target_ms;
	/*
	 * The submission is answered once the job is recorded. The job is then
	 * run to completion by the entry that owns its record.
	 */
	bool stored;
	const char *serialized_job; /* stored form of the job */
};

enum mst_entry_event_type {
	MST_ENTRY_EV_TICK = 1,
	MST_ENTRY_EV_MESSAGE,
	MST_ENTRY_EV_TICKET, /* a caller requests a ticket */
	MST_ENTRY_EV_SUBMIT, /* a caller submits a job */
	MST_ENTRY_EV_WAIT,   /* a caller waits for a job */
	MST_ENTRY_EV_CANCEL,
	MST_ENTRY_EV_DISCONNECT, /* a caller has disconnected */
	MST_ENTRY_EV_CONFIG,
	MST_ENTRY_EV_CONNECTED, /* a connection to a peer was made */
	MST_ENTRY_EV_DRAIN,
	/* The process ends at stop_us; jobs are accepted until DRAIN. */
	MST_ENTRY_EV_STOPPING,
	MST_ENTRY_EV_DRAINS, /* the drained failure domains, from the store */
	MST_ENTRY_EV_FLUSH,
	MST_ENTRY_EV_QUERY_STORED,  /* a caller requests a stored job's state */
	MST_ENTRY_EV_CANCEL_STORED, /* a caller cancels a stored job */
	MST_ENTRY_EV_STORE_ANSWER,  /* a store operation was answered */
	/* Another entry has cancelled a stored job. */
	MST_ENTRY_EV_STORED_CANCELLED,
	MST_ENTRY_EV_MAX
};

/** Returns the name of a type of event, in lower case with hyphens. */
const char *mst_entry_event_name(enum mst_entry_event_type type);

struct mst_entry_event {
	enum mst_entry_event_type type;
	int64_t now_us;
	uint64_t request;                /* id of the caller's request */
	const struct mst_msg *msg;       /* MESSAGE */
	const struct mst_job_spec *spec; /* SUBMIT */
	struct mst_job_id job;           /* WAIT, CANCEL */
	bool poll;                       /* WAIT: answer immediately */
	bool detach;                     /* SUBMIT: answer once accepted */
	struct mst_config *config;       /* CONFIG; freed by the entry */
	const char *document;            /* CONFIG: its JSON text */
	/*
	 * QUERY_STORED, CANCEL_STORED, STORED_CANCELLED: key of the job; NULL:
	 * any job.
	 */
	const char *key;
	int64_t stop_us; /* STOPPING */
	/* DRAINS: names of all drained failure domains as of a revision. */
	uint64_t drains_revision;
	const char *const *drained_domains;
	uint32_t drained_count;
	/* FLUSH: time for which the loop has handled events since it last
	 * waited for them. */
	int64_t busy_us;
	int64_t wall_ms;                       /* wall-clock time */
	const struct mst_store_answer *answer; /* STORE_ANSWER */
};

/** State of a stored job, as reported to callers. */
enum mst_stored_state {
	MST_STORED_UNKNOWN = 1, /* there is no such job */
	MST_STORED_QUEUED,
	MST_STORED_RUNNING,
	MST_STORED_COMPLETE,
	MST_STORED_FAILED,
	MST_STORED_CANCELLED,
	MST_STORED_ACCEPTED,   /* answer to a submission */
	MST_STORED_UNAVAILABLE /* unknown: the store does not answer */
};

enum mst_job_state { MST_JOB_OPEN = 1, MST_JOB_COMPLETE, MST_JOB_FAILED };

/** State of one task in the answer to a job. */
struct mst_task_view {
	enum mst_outcome outcome;
	enum mst_reason reason;
	uint16_t status;
	uint32_t attempts;
	uint32_t declared_us;
	uint64_t member; /* agent it was last sent to; 0: none */
	uint32_t queue_us;
	uint32_t service_us;
	int64_t sent_us;
	int64_t closed_us;
	struct mst_bytes content_type;
	struct mst_bytes body;
};

/** State of a job, as reported to callers. */
struct mst_job_view {
	struct mst_ticket ticket;
	enum mst_job_state state;
	enum mst_reason reason;
	const char *team;
	const char *key;      /* name given by the caller, or NULL */
	int64_t objective_us; /* time within which it should complete */
	uint32_t count;
	uint32_t open;     /* tasks without a final outcome */
	uint32_t started;  /* tasks sent to an agent at least once */
	bool may_have_run; /* false: no task can have started */
	/* A task that has not completed may still start at its worker. */
	bool start_uncertain;
	uint32_t retry_after_ms; /* time to wait before a retry, if not run */
	int64_t submitted_us;
	int64_t closed_us;
	struct mst_bytes traceparent;
};

enum mst_entry_effect_type {
	MST_ENTRY_FX_SEND = 1, /* send msg to msg.to; 0 means every receiver */
	MST_ENTRY_FX_ANSWER,   /* answer a request with the job's state */
	MST_ENTRY_FX_REFUSE,   /* refuse a request */
	MST_ENTRY_FX_TICKET,   /* answer a request with a ticket */
	MST_ENTRY_FX_FORWARD,  /* forward a request to another entry */
	MST_ENTRY_FX_PEERS,    /* addresses of entries were received */
	MST_ENTRY_FX_CONFIG,   /* a newer configuration was received */
	MST_ENTRY_FX_TASK,     /* a task has reached its final outcome */
	MST_ENTRY_FX_MEMBER,   /* a member's state has changed */
	MST_ENTRY_FX_STOPPED,  /* drained; the process may exit */
	MST_ENTRY_FX_STORE,    /* execute a store operation */
	MST_ENTRY_FX_STATE,    /* answer with the state of a stored job */
	MST_ENTRY_FX_OWNER,    /* the ownership of stored jobs has changed */
	MST_ENTRY_FX_CLOSED,   /* a stored job is closed */
	MST_ENTRY_FX_DRAINS,   /* the set of drained domains has changed */
	MST_ENTRY_FX_CRASHED,  /* a worker crashed during a run of a task */
	/* Jobs of a team are restricted in where they run, or no longer. */
	MST_ENTRY_FX_QUARANTINE,
	MST_ENTRY_FX_BOUND, /* a task may run again at one host only */
	MST_ENTRY_FX_BUILD /* a process of another version was met or is gone */
};

/** Kind of refusal of a request. */
enum mst_refusal {
	/* For the reason in the effect; its may_have_run tells if tasks ran. */
	MST_REFUSAL_REASON = 0,
	MST_REFUSAL_MISMATCH, /* the ticket was used for another request */
	MST_REFUSAL_UNKNOWN_JOB,
	MST_REFUSAL_GONE /* the answer is no longer kept */
};

struct mst_entry_effect {
	enum mst_entry_effect_type type;
	struct mst_msg msg; /* SEND, CONFIG */
	uint64_t request;   /* ANSWER, REFUSE, TICKET, FORWARD, STATE */
	/* ANSWER, TASK, CLOSED, CRASHED, BOUND: handle for mst_entry_job() */
	uint64_t job;
	uint32_t index;           /* TASK, CRASHED, BOUND */
	struct mst_ticket ticket; /* TICKET */
	enum mst_refusal refusal; /* REFUSE */
	enum mst_reason reason;   /* REFUSE */
	bool may_have_run;        /* REFUSE */
	uint32_t retry_after_ms;  /* REFUSE */
	/* FORWARD: entry; TASK, MEMBER, CRASHED, BOUND: agent */
	uint64_t peer;
	struct mst_bytes peers; /* PEERS */
	/* MEMBER, OWNER, QUARANTINE; BOUND: the host, or NULL */
	const char *state;
	const char *team;             /* QUARANTINE */
	struct mst_store_op op;       /* STORE */
	enum mst_stored_state stored; /* STATE */
	uint64_t owner; /* OWNER: id of this entry's ownership, or 0 */
	/* OWNER: number of affected jobs; CRASHED: crashes during runs of the
	 * task; QUARANTINE: members for quarantined jobs */
	uint32_t count;
	/* DRAINS: the new set; state tells where it came from: "store",
	 * "config", "entry" or "agent". */
	struct mst_drains_msg drains;
	struct mst_build_change build; /* BUILD; peer is the process */
};

/** Counters of one entry since its start. */
struct mst_entry_counters {
	uint64_t jobs;
	uint64_t jobs_complete;
	uint64_t jobs_failed;
	uint64_t jobs_adopted;
	uint64_t jobs_stored;
	uint64_t jobs_taken_over; /* stored jobs taken over from lost owners */
	uint64_t jobs_dropped;    /* suspended when the ownership was lost */
	uint64_t store_ops;
	uint64_t store_conflicts;
	uint64_t store_failures; /* operations: store busy or unavailable */
	uint64_t jobs_refused[MST_REASON_MAX];
	uint64_t tasks;
	uint64_t dispatches;
	uint64_t dispatches_repeated; /* sent again after a loss */
	uint64_t requeued[MST_REASON_MAX];
	uint64_t retries; /* attempts after a failure or unknown outcome */
	uint64_t withdrawals;
	uint64_t crashed_runs; /* runs that ended with their worker */
	uint64_t suspect_jobs; /* jobs that were to run alone for crashes */
	uint64_t quarantines;  /* restrictions of teams */
	uint64_t results;
	uint64_t results_late;     /* for tasks that were already closed */
	uint64_t starts_confirmed; /* of sent tasks, by their members */
	/* Tasks that may run again at one host only, because a start there has
	 * no answer or is not confirmed; see core/job/uncertain.h. How their
	 * wait ended: sent to that host, sent anywhere once the start could no
	 * longer be executed, settled by a late result, or not at all. */
	uint64_t tasks_bound;
	uint64_t bound_tasks_returned;
	uint64_t bound_tasks_released;
	uint64_t bound_tasks_settled;
	uint64_t bound_tasks_unrun;
	/* Messages to other entries about such starts, and tasks whose starts
	 * they were not told of, because too many waited to be told. */
	uint64_t starts_told;
	uint64_t starts_untold;
	/* Starts that the backup of this entry was told of, and messages to
	 * it; see core/job/backup.h. */
	uint64_t starts_backed_up;
	uint64_t backups_sent;
	/* Starts that this entry did not keep as the backup of others, because
	 * it had too many, and that it has told after their entry was lost. */
	uint64_t starts_not_kept;
	uint64_t kept_starts_told;
	uint64_t results_repeated;
	uint64_t outcomes[MST_OUTCOME_UNKNOWN + 1];
	uint64_t ejections;
	uint64_t members_lost;
	/* Members that were first heard from while another one of the same name
	 * was. */
	uint64_t members_unproven;
	/* Jobs refused because the entry is short of processor. */
	uint64_t jobs_shed;
	/* Members looked at to place tasks. */
	uint64_t placement_checks;
	uint64_t incarnations;
};

/**
 * Preferences that may exclude a member that could take a task, the weakest
 * first.
 */
enum mst_preference {
	MST_PREFER_NONE = 0, /**< no preference excludes it */
	MST_PREFER_WARM,     /**< a cold member has as many tasks as it may */
	MST_PREFER_OTHER,    /**< the task's last run there had no success */
	/** the member is ejected, or it is probed or overdue and has a task */
	MST_PREFER_HEALTHY,
	MST_PREFER_APART, /**< one of job and member is quarantined */
	MST_PREFERENCE_MAX
};

struct mst_entry_gauges {
	uint64_t incarnation;
	uint32_t jobs_open;
	uint32_t jobs_kept; /* closed jobs that are still kept */
	uint32_t tasks_waiting;
	uint32_t tasks_sent;
	uint32_t members;
	uint32_t members_active;
	uint32_t members_cold; /* active ones that are still warming up */
	uint32_t free_slots;   /* of the active members, as they last told */
	uint32_t shed_percent; /* of the new jobs, for want of processor */
	uint32_t peers;
	uint32_t teams;
	uint32_t teams_quarantined;   /* whose jobs crash workers */
	uint32_t members_quarantined; /* for the jobs of such teams */
	uint64_t bytes;
	uint64_t config_version;
	bool draining;
	bool ready; /* has a configuration and a member, not draining */
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
	double slowness; /* ratio of observed to expected service times */
	uint64_t config_version;
	const char *version; /* of its build; static */
};

/**
 * Sets the options of an entry whose tasks run under leases.
 *
 * @param options options to change
 * @param times durations of the leases
 */
void mst_entry_options_set_leases(
    struct mst_entry_options *options, const struct mst_lease_times *times);

/**
 * Creates an entry.
 *
 * @param out set to the entry, which mst_entry_free() releases
 * @param options identity and limits of the entry; copied
 * @return 0, or -1 if the version of the options is unknown
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
 * @return array of struct mst_entry_effect, in order of execution; it is
 *     valid until the next call, before which it must be executed
 */
const GArray *mst_entry_step(
    struct mst_entry *entry, const struct mst_entry_event *event);

/**
 * Returns the state of a job.
 *
 * @param out set to the state
 * @param entry the entry
 * @param handle handle of the job, from an effect
 * @return 0, or -1 if the job no longer exists
 */
int mst_entry_job(
    struct mst_job_view *out, const struct mst_entry *entry, uint64_t handle);

/**
 * Returns the state of one task of a job.
 *
 * @param out set to the state
 * @param entry the entry
 * @param handle handle of the job, from an effect
 * @param index index of the task, from 0
 * @return 0, or -1 if there is no such task
 */
int mst_entry_task(struct mst_task_view *out, const struct mst_entry *entry,
    uint64_t handle, uint32_t index);

/**
 * Returns the drained failure domains as this entry knows them.
 *
 * @param entry the entry
 * @return revision and names, valid until the next mst_entry_step()
 */
struct mst_drains_msg mst_entry_drains(const struct mst_entry *entry);

/**
 * Counts the live agents and other entries by the version of their builds.
 *
 * @param entry the entry
 * @return array of struct mst_build_count, to be released by g_array_unref()
 */
GArray *mst_entry_builds(const struct mst_entry *entry);

/**
 * Lists the members.
 *
 * @param entry the entry
 * @return array of struct mst_member_view, freed by the caller; its strings
 *     are valid until the next mst_entry_step()
 */
GArray *mst_entry_members(const struct mst_entry *entry);

/** Returns the counters, which are valid until the entry is released. */
const struct mst_entry_counters *mst_entry_counters(
    const struct mst_entry *entry);

/**
 * Counts the stored jobs of a queue that have not been started, over all
 * owners.
 *
 * @param entry the entry
 * @param queue name of the queue
 * @return number of jobs, as of the last renewal of the owners' rows
 */
uint32_t mst_entry_queue_length(
    const struct mst_entry *entry, const char *queue);

/** Returns the present values of the gauges. */
struct mst_entry_gauges mst_entry_gauges(const struct mst_entry *entry);

/**
 * Counts the waiting tasks by the preference that keeps them from every member
 * that could start them now. Only the first tasks of each team are counted.
 *
 * @param counts number of tasks for each enum mst_preference; MST_PREFER_NONE
 *     counts those that wait for a member or for room
 * @param entry the entry
 */
void mst_entry_count_withheld(
    uint32_t counts[MST_PREFERENCE_MAX], const struct mst_entry *entry);

/**
 * Returns the name of a preference, as used in metrics.
 *
 * @param preference less than MST_PREFERENCE_MAX
 * @return a static string
 */
const char *mst_preference_name(enum mst_preference preference);

/**
 * Checks whether another entry has been heard from recently.
 *
 * @param entry the entry
 * @param incarnation incarnation of the other entry
 * @return true if it is considered alive
 */
bool mst_entry_peer_is_alive(
    const struct mst_entry *entry, uint64_t incarnation);

/**
 * Returns the configuration in force, or NULL; it is valid until the next
 * mst_entry_step().
 */
const struct mst_config *mst_entry_config(const struct mst_entry *entry);

/** Returns the JSON text of the configuration in force, or NULL. */
const char *mst_entry_document(const struct mst_entry *entry);

/** Size of a buffer for the text of a ticket, terminating NUL included. */
#define MST_TICKET_TEXT 56

/**
 * Formats a ticket as text.
 *
 * @param out buffer of MST_TICKET_TEXT bytes
 * @param ticket the ticket
 */
void mst_ticket_format(char *out, const struct mst_ticket *ticket);

/**
 * Parses the text of a ticket.
 *
 * @param out set to the ticket
 * @param text text of the ticket
 * @return 0, or -1 if the text is not a ticket
 */
int mst_ticket_parse(struct mst_ticket *out, struct mst_bytes text);

#endif
