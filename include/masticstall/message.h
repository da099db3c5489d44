#ifndef MST_MESSAGE_H
#define MST_MESSAGE_H

/**
 * Messages between the daemons. Pointers in a message are borrowed: in a sent
 * message they point into the sender's state and are valid until its effects
 * have been executed; in a received one they point into the decoder's arena
 * and are valid until the handler returns.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <masticstall/seqset.h>

/**
 * Version of the message format; messages of other versions are dropped. It
 * stays as it is while fields and types are only added: receivers skip fields
 * and types that they don't know, see docs/design/upgrades.md.
 */
#define MST_MSG_VERSION 6
/** Largest encoded message in bytes. */
#define MST_MSG_MAX_BYTES (64u << 20)
/** Most tasks in one job. */
#define MST_JOB_TASKS_MAX 4096
/** Largest body of one task or one result in bytes. */
#define MST_BODY_MAX_BYTES (8u << 20)
/** Most peers, agents or ranges listed in one message. */
#define MST_LIST_MAX 16384

/** Borrowed array of bytes. */
struct mst_bytes {
	const char *data;
	size_t len;
};

/** Identity of a job. */
struct mst_job_id {
	uint64_t issuer;  /* entry incarnation that issued the ticket */
	uint64_t counter; /* number of the job at its issuer */
};

/** Outcome of a task. */
enum mst_outcome {
	MST_OUTCOME_NONE = 0,
	MST_OUTCOME_DONE,    /* the upstream answered */
	MST_OUTCOME_NOT_RUN, /* known not to have started */
	MST_OUTCOME_UNKNOWN  /* no answer, but may have started */
};

/** Why a task or a job has no answer. */
enum mst_reason {
	MST_REASON_NONE = 0,
	MST_REASON_WITHDRAWN,         /* withdrawn before its start */
	MST_REASON_DRAINING,          /* the agent accepts no new tasks */
	MST_REASON_BUSY,              /* no capacity at the agent */
	MST_REASON_DEADLINE,          /* the deadline passed or cannot be met */
	MST_REASON_UPSTREAM_DOWN,     /* no connection to the upstream */
	MST_REASON_UPSTREAM_RESET,    /* the connection closed without answer */
	MST_REASON_UPSTREAM_TIMEOUT,  /* no answer in time */
	MST_REASON_UPSTREAM_OVERSIZE, /* the answer exceeds the limit */
	MST_REASON_AGENT_LOST,        /* the agent is lost */
	MST_REASON_FENCED,            /* another entry has adopted the job */
	MST_REASON_QUOTA,       /* the team is unknown or over its quota */
	MST_REASON_OVERLOAD,    /* too many jobs or tasks are waiting */
	MST_REASON_NO_FIT,      /* no member can run the task */
	MST_REASON_CANCELLED,   /* cancelled by its caller */
	MST_REASON_STOPPING,    /* the entry is shutting down */
	MST_REASON_NO_CONFIG,   /* no configuration is in force yet */
	MST_REASON_NO_MEMBERS,  /* no agent is known yet */
	MST_REASON_TASK_FAILED, /* another task of the job failed */
	MST_REASON_OWNER_UNREACHABLE, /* the job's owner is not reachable */
	MST_REASON_HISTORY_LOST,      /* the records of runs are incomplete */
	MST_REASON_RUN_FAILED,        /* the run failed */
	MST_REASON_RUN_LOST,          /* the run ended without a result */
	MST_REASON_LEASE_LAPSED,      /* the lease of the entry expired */
	MST_REASON_STALE,             /* the dispatch arrived too late */
	MST_REASON_CALLER_GONE,       /* the caller has disconnected */
	MST_REASON_NO_QUEUE,          /* no queue matches host and path */
	MST_REASON_NOT_SERVED,        /* this kind of job is not supported */
	MST_REASON_WORKER_CRASHED,    /* the worker crashed during the run */
	/* The worker has already ended a run with this number. */
	MST_REASON_RUN_USED,
	/* One that a newer build has added; received, but never sent. */
	MST_REASON_OTHER,
	MST_REASON_MAX
};

enum mst_msg_type {
	MST_MSG_ANNOUNCE = 1, /* agent to entry: description and load */
	MST_MSG_HEARTBEAT,    /* entry to agent: roster, acknowledgements */
	MST_MSG_DISPATCH,     /* entry to agent: tasks to start */
	MST_MSG_RESULT,       /* agent to entry: outcomes */
	MST_MSG_WITHDRAW,     /* entry to agent: tasks not to start */
	MST_MSG_FENCE,        /* entry to agent: fence another incarnation */
	MST_MSG_FENCED,       /* agent to entry: runs of the fenced entry */
	MST_MSG_PEER,         /* entry to entry: liveness, address, version */
	MST_MSG_CONFIG,       /* to any: the configuration of the sender */
	MST_MSG_FORWARD,      /* entry to entry: request for the job's owner */
	MST_MSG_FORWARDED,    /* entry to entry: HTTP answer of the owner */
	MST_MSG_CONFIG_REQUEST, /* to any: asks for a newer configuration */
	MST_MSG_CRASHES,        /* agent to entry: crashes of its worker */
	/* Agent to an entry without MST_FEATURE_CONFIRMED_STARTS: a start that
	 * may still be executed. */
	MST_MSG_UNCERTAIN_START,
	/* Agent or entry to entry: starts that may still be executed. */
	MST_MSG_UNCERTAIN_STARTS,
	/* Entry to its backup: starts that are sent, and that are settled. */
	MST_MSG_BACKUP_STARTS,
	MST_MSG_MAX
};

/**
 * What a build can receive beyond the first format of messages, as bits. A
 * process sends what needs a feature only to processes that have announced it.
 */
enum mst_feature {
	/* Results with reasons and outcomes that it doesn't know. */
	MST_FEATURE_NEW_REASONS = 1u << 0,
	/* Announcements, results and messages of their own tell uncertain
	 * starts. */
	MST_FEATURE_UNCERTAIN_STARTS = 1u << 1,
	/* Results list confirmed starts; uncertain ones are told with the name
	 * of their host, by entries as well. */
	MST_FEATURE_CONFIRMED_STARTS = 1u << 2,
	/* It keeps the starts of other entries, as their backup. */
	MST_FEATURE_BACKUP_STARTS = 1u << 3,
};

/** Features of this build. */
#define MST_FEATURES                                                           \
	(MST_FEATURE_NEW_REASONS | MST_FEATURE_UNCERTAIN_STARTS |              \
	    MST_FEATURE_CONFIRMED_STARTS | MST_FEATURE_BACKUP_STARTS)

/** Build of the sender; the version is empty where it is not announced. */
struct mst_build_msg {
	struct mst_bytes version; /* of the program */
	uint64_t features;        /* bits of enum mst_feature */
};

/** Resources of a worker, or the resources that a task needs. */
struct mst_resources {
	uint32_t millicores;
	uint32_t memory_mb;
	uint32_t accelerators;
};

/**
 * Failure domains that operators have drained, as far as the sender knows. Both
 * fields are empty while no domain was ever drained.
 */
struct mst_drains_msg {
	uint64_t revision;        /* as of which the domains are known */
	struct mst_bytes domains; /* names, comma-separated */
};

struct mst_announce {
	struct mst_bytes name;
	struct mst_bytes failure_domain;
	struct mst_bytes rack;
	struct mst_bytes service; /* service of its upstream; may be empty */
	struct mst_bytes labels;  /* labels of its worker, comma-separated */
	/* Version of the description, which consists of the fields above and
	 * the build. They are empty if the receiver's last heartbeat named this
	 * version. */
	uint32_t description_version;
	uint64_t clock_us; /* clock of the sender, for leases */
	uint32_t slots;
	uint32_t connections;
	struct mst_resources resources; /* of its worker at present */
	/* Most that its worker has had since its start. */
	struct mst_resources resources_max;
	bool draining;
	bool fenced;         /* the receiver is fenced at this agent */
	uint32_t grant;      /* tasks that the receiver may have open here */
	uint32_t free_slots; /* leased: idle slots */
	/* Leased: service times relative to a typical worker, in thousandths;
	 * 0: unknown. */
	uint32_t slowness_milli;
	uint32_t cold_ms;        /* time until its worker is warm; 0: it is */
	uint32_t running;        /* running tasks of all entries */
	uint32_t queued;         /* queued tasks of all entries */
	uint64_t roster_version; /* last recorded roster of the receiver */
	uint64_t sent_through;   /* copied from the receiver's heartbeats */
	/* Numbers of the dispatches and withdrawals from the receiver. */
	struct mst_seqset seqs_received;
	uint64_t config_version;
	/* Addresses of entries that the receiver may not know,
	 * comma-separated. */
	struct mst_bytes entries;
	struct mst_drains_msg drains;
	struct mst_build_msg build;
	/* Leased: numbers of the receiver's tasks that have not been started
	 * for certain: they wait, or an order to start them has no answer. */
	uint32_t uncertain_count;
	const uint64_t *uncertain_seqs;
};

struct mst_heartbeat {
	uint64_t echo_us; /* clock of the receiver, as last announced */
	uint32_t description_version; /* last description received */
	uint64_t roster_version;
	uint32_t agent_count;
	const uint64_t *agents;  /* incarnations in the roster */
	uint64_t adoption_floor; /* no job up to this counter can be adopted */
	uint64_t sent_through;   /* highest number sent to the receiver */
	/* Sequence numbers of the results received from the receiver. */
	struct mst_seqset results_received;
	uint32_t demand;           /* tasks that wait at this entry */
	uint64_t crashes_received; /* last crash received from the receiver */
	uint64_t config_version;
	struct mst_bytes peers; /* addresses of entries, comma-separated */
	struct mst_drains_msg drains;
	struct mst_build_msg build; /* sent together with the addresses */
};

/** Flag of a task: it may run more than once. */
#define MST_TASK_IDEMPOTENT 1u
/**
 * Flag of a task: it may run again once its earlier run has ended, whatever the
 * outcome of that run.
 */
#define MST_TASK_RESTARTABLE 2u
/**
 * Flag of a task: no other job with such tasks may run at the worker at the
 * same time, and no other job may start there meanwhile.
 */
#define MST_TASK_ISOLATED 4u
/**
 * Flag of a task that was present at several crashes. If it completes, its
 * agent tells all entries that it was not the cause.
 */
#define MST_TASK_SUSPECT 8u
/**
 * Flag of a task: an earlier start with its run number may still be executed at
 * the worker. The worker executes one start of a number, so the number must not
 * be raised.
 */
#define MST_TASK_SAME_RUN 16u

struct mst_dispatch_item {
	uint64_t seq;
	struct mst_job_id job;
	uint32_t index;
	uint32_t flags;
	uint32_t timeout_ms;          /* time limit from arrival at the agent */
	uint32_t run;                 /* number of this attempt, from 1 */
	uint32_t expected_service_us; /* service time on a typical upstream */
	uint32_t slack_us; /* time from arrival to its latest start */
	uint32_t team;     /* hash of the name of the job's team */
	struct mst_resources needs;
	struct mst_bytes method;
	struct mst_bytes path;
	struct mst_bytes content_type;
	struct mst_bytes body;
	struct mst_bytes traceparent;
	/* Record key, owner and term of a stored job; empty otherwise. */
	struct mst_bytes record;
	uint64_t owner;
	uint32_t term;
};

struct mst_dispatch {
	uint64_t echo_us;    /* clock of the receiver, as last announced */
	uint64_t expires_us; /* time on the receiver's clock; 0: never */
	/* All results up to and including this number were received. */
	uint64_t received_frontier;
	uint32_t demand;
	uint32_t count;
	const struct mst_dispatch_item *items;
};

struct mst_result_item {
	uint64_t seq;
	uint8_t outcome; /* enum mst_outcome */
	uint8_t reason;  /* enum mst_reason */
	uint16_t status; /* HTTP status of the upstream */
	/* The receiver must record the completion before it acknowledges the
	 * result. The worker lists the completion until then. */
	bool ack_after_record;
	/* The run ended while an order to start it had no answer. The worker
	 * may still execute that order, also after its next restart. */
	bool start_uncertain;
	uint32_t queue_us;
	uint32_t service_us;
	struct mst_bytes content_type;
	struct mst_bytes body;
};

struct mst_results {
	uint32_t grant;
	uint32_t free_slots; /* leased: idle slots */
	uint32_t count;
	const struct mst_result_item *items;
	/* Numbers of tasks that have started, none of whose start orders may
	 * still be executed. */
	uint32_t confirmed_count;
	const uint64_t *confirmed_seqs;
};

/** Start of a best-effort task that got no answer and was given up. */
struct mst_uncertain_start {
	uint64_t agent;        /* incarnation of the agent of the worker */
	struct mst_bytes task; /* name of the task, which carries the job's */
	uint32_t index;        /* of the task in its job */
};

/** Start of a best-effort task that may still be executed. */
struct mst_uncertain_item {
	uint64_t agent;        /* incarnation of the agent of the worker */
	struct mst_bytes host; /* name of that agent */
	struct mst_bytes job;  /* key of the job */
	uint32_t index;        /* of the task in its job */
	uint32_t run;          /* number of the run */
	uint32_t age_ms;       /* since the start may have been ordered last */
};

struct mst_uncertain_starts {
	uint32_t count;
	const struct mst_uncertain_item *items;
};

/** Start of a best-effort task that its entry sends to an agent. */
struct mst_backup_item {
	uint64_t agent;        /* incarnation of the agent */
	struct mst_bytes host; /* name of that agent */
	struct mst_bytes job;  /* key of the job */
	uint32_t index;        /* of the task in its job */
	uint32_t run;          /* number of the run */
};

/** Starts that an entry has its backup keep, and that it need not keep. */
struct mst_backup_starts {
	uint64_t first_number; /* of the first item; the next has the next */
	uint32_t count;
	const struct mst_backup_item *items;
	uint32_t settled_count;
	const uint64_t *settled; /* numbers of earlier items */
};

struct mst_withdraw {
	uint32_t count;
	const uint64_t *seqs;
};

struct mst_fence {
	uint64_t fenced_entry;
	struct mst_job_id job;
	bool claim; /* the receiver arbitrates the job */
};

/** Run of a task in the answer to a fence. */
struct mst_fenced_item {
	uint32_t index;
	bool finished; /* the result is final */
	struct mst_result_item result;
};

struct mst_fenced {
	uint64_t fenced_entry;
	struct mst_job_id job;
	bool has_session; /* the fenced entry has a session with a roster */
	/* Refused: the fenced entry is alive, or no session can be opened. */
	bool alive;
	bool history_incomplete; /* runs of the job may have been evicted */
	uint64_t adopter;        /* owner of the claimed job; 0: no claim */
	uint32_t past_owner_count;
	const uint64_t *past_owners; /* earlier owners, oldest first */
	uint32_t agent_count;
	const uint64_t *agents; /* last recorded roster of the fenced entry */
	uint32_t count;
	const struct mst_fenced_item *items;
};

/** Most runs that the record of one crash lists. */
#define MST_CRASH_RUNS_MAX 128
/** Most crashes in one message. */
#define MST_CRASHES_MAX 256

/** Time for which a run lasted that is not known. */
#define MST_LASTED_UNKNOWN UINT32_MAX

/** Run that was in progress when a worker crashed, or that was cleared. */
struct mst_crashed_run {
	struct mst_bytes task; /* its name */
	uint32_t team;         /* hash of the name of the job's team */
	/* Time from its start until the crash was noticed; or
	 * MST_LASTED_UNKNOWN, as from builds before 0.2.0. */
	uint32_t lasted_ms;
};

/** Crash of a worker, or that suspects of earlier crashes have completed. */
struct mst_crash {
	uint64_t number; /* of the crash at the sender, from 1 */
	uint64_t id;     /* the same wherever the crash is reported */
	uint32_t age_ms; /* time since the crash */
	bool cleared;    /* no crash: the runs have completed */
	uint32_t run_count;
	const struct mst_crashed_run *runs;
};

/** Crashes that an agent remembers. */
struct mst_crashes {
	uint64_t after; /* all with greater numbers are listed */
	uint32_t count;
	const struct mst_crash *items;
};

struct mst_peer {
	struct mst_bytes address;
	uint64_t config_version;
	bool leaving;
	bool is_reply;      /* encoded, but unused */
	uint32_t demand_ms; /* encoded, but unused */
	struct mst_drains_msg drains;
	struct mst_build_msg build;
	struct mst_bytes failure_domain; /* of the sender; may be empty */
};

struct mst_config_msg {
	uint64_t version;
	struct mst_bytes document;
};

struct mst_config_request {
	uint64_t version; /* of the sender's configuration; 0: none */
};

enum mst_forward_kind {
	MST_FORWARD_SUBMIT = 0,
	MST_FORWARD_WAIT, /* answer once the job is closed */
	MST_FORWARD_POLL  /* answer with the present state */
};

struct mst_forward {
	uint64_t id;
	uint32_t kind; /* enum mst_forward_kind */
	struct mst_bytes ticket;
	struct mst_bytes body;
	struct mst_bytes traceparent;
};

struct mst_forwarded {
	uint64_t id;
	uint32_t status;
	uint32_t retry_after_s;
	struct mst_bytes body;
};

struct mst_msg {
	enum mst_msg_type type;
	uint64_t from; /* incarnation of the sender */
	uint64_t to;   /* incarnation of the receiver; 0: all receivers */
	union {
		struct mst_announce announce;
		struct mst_heartbeat heartbeat;
		struct mst_dispatch dispatch;
		struct mst_results results;
		struct mst_withdraw withdraw;
		struct mst_fence fence;
		struct mst_fenced fenced;
		struct mst_peer peer;
		struct mst_config_msg config;
		struct mst_config_request config_request;
		struct mst_crashes crashes;
		struct mst_uncertain_start uncertain_start;
		struct mst_uncertain_starts uncertain_starts;
		struct mst_backup_starts backup_starts;
		struct mst_forward forward;
		struct mst_forwarded forwarded;
	};
};

/**
 * Returns the name of an outcome.
 *
 * @param outcome an enum mst_outcome
 * @return a static string
 */
const char *mst_outcome_name(int outcome);

/**
 * Returns the name of a reason, as used in answers and logs.
 *
 * @param reason an enum mst_reason
 * @return a static string
 */
const char *mst_reason_name(int reason);

/**
 * Returns the name of a message type.
 *
 * @param type an enum mst_msg_type
 * @return a static string
 */
const char *mst_msg_type_name(int type);

/**
 * Wraps a string without copying it.
 *
 * @param s the string, which must outlive the result; NULL gives no bytes
 * @return the bytes of the string, without its terminating NUL
 */
struct mst_bytes mst_bytes_from_str(const char *s);

/**
 * Compares bytes with a string.
 *
 * @param bytes the bytes; no bytes equal the empty string
 * @param text the string
 * @return true if they are equal
 */
bool mst_bytes_equal_str(struct mst_bytes bytes, const char *text);

/**
 * Copies bytes into a string.
 *
 * @param bytes the bytes
 * @return the string, "" if there are no bytes; free with g_free()
 */
char *mst_bytes_to_str(struct mst_bytes bytes);

#endif
