#ifndef MST_MESSAGE_H
#define MST_MESSAGE_H

/**
 * Messages between the daemons, as typed structs. Pointers in a message are
 * borrowed: from the sender's tables until its effects are executed, or from
 * the decoder's arena until the handler returns.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <masticstall/seqset.h>

/** Version of the message format; others are dropped. */
#define MST_MSG_VERSION 3
/** Largest encoded message, bytes. */
#define MST_MSG_MAX_BYTES (64u << 20)
/** Most tasks in one job. */
#define MST_JOB_TASKS_MAX 4096
/** Largest body of one task or one result, bytes. */
#define MST_BODY_MAX_BYTES (8u << 20)
/** Most peers, agents or ranges listed in one message. */
#define MST_LIST_MAX 16384

/** Borrowed bytes. */
struct mst_bytes {
	const char *data;
	size_t len;
};

/** Identity of a job: the entry incarnation that minted it and a counter. */
struct mst_job_id {
	uint64_t issuer;
	uint64_t counter;
};

/** What became of a task. */
enum mst_outcome {
	MST_OUTCOME_NONE = 0,
	MST_OUTCOME_DONE,    /* the upstream answered */
	MST_OUTCOME_NOT_RUN, /* proved not to have started */
	MST_OUTCOME_UNKNOWN  /* started, or may have started; no answer */
};

/** Why a task or a job has no answer. */
enum mst_reason {
	MST_REASON_NONE = 0,
	MST_REASON_WITHDRAWN,         /* withdrawn before its start */
	MST_REASON_DRAINING,          /* the agent takes no new work */
	MST_REASON_BUSY,              /* no room at the agent */
	MST_REASON_DEADLINE,          /* the deadline passed or cannot be met */
	MST_REASON_UPSTREAM_DOWN,     /* no connection to the upstream */
	MST_REASON_UPSTREAM_RESET,    /* the connection ended without answer */
	MST_REASON_UPSTREAM_TIMEOUT,  /* no answer in time */
	MST_REASON_UPSTREAM_OVERSIZE, /* the answer is past the limit */
	MST_REASON_AGENT_LOST,        /* the agent is gone */
	MST_REASON_FENCED,            /* another entry has taken the job */
	MST_REASON_QUOTA,             /* the team is past its quota */
	MST_REASON_OVERLOAD,          /* the queue is full */
	MST_REASON_NO_FIT,            /* no member can run the task */
	MST_REASON_CANCELLED,         /* cancelled by its caller */
	MST_REASON_STOPPING,          /* the entry leaves */
	MST_REASON_NO_CONFIG,         /* no configuration is in force yet */
	MST_REASON_NO_MEMBERS,        /* no agent is known yet */
	MST_REASON_TASK_FAILED,       /* another task of the job failed */
	MST_REASON_OWNER_UNREACHABLE, /* the job's entry lives elsewhere */
	MST_REASON_HISTORY_LOST,      /* what started is no longer known */
	MST_REASON_RUN_FAILED,        /* the run ended as failed */
	MST_REASON_RUN_LOST,          /* the run ended without a result */
	MST_REASON_LEASE_LAPSED,      /* the entry was silent for too long */
	MST_REASON_STALE,             /* the dispatch arrived too late */
	MST_REASON_CALLER_GONE,       /* its caller has left */
	MST_REASON_NO_QUEUE,          /* no queue has this address */
	MST_REASON_NOT_SERVED,        /* a kind of job that isn't served */
	MST_REASON_MAX
};

enum mst_msg_type {
	MST_MSG_ANNOUNCE = 1, /* agent to entry: what it is and its load */
	MST_MSG_HEARTBEAT,    /* entry to agent: roster, acknowledgements */
	MST_MSG_DISPATCH,     /* entry to agent: tasks to start */
	MST_MSG_RESULT,       /* agent to entry: outcomes */
	MST_MSG_WITHDRAW,     /* entry to agent: sequences not to start */
	MST_MSG_FENCE,        /* entry to agent: refuse another incarnation */
	MST_MSG_FENCED,       /* agent to entry: what that one has started */
	MST_MSG_PEER,         /* entry to entry: alive, address, version */
	MST_MSG_CONFIG,       /* entry to any: the configuration in force */
	MST_MSG_FORWARD,      /* entry to entry: submission for its owner */
	MST_MSG_FORWARDED,    /* entry to entry: the owner's HTTP answer */
	MST_MSG_MAX
};

/** Resources of a worker, or the part that a task needs. */
struct mst_resources {
	uint32_t millicores;
	uint32_t memory_mb;
	uint32_t accelerators;
};

struct mst_announce {
	struct mst_bytes name;
	struct mst_bytes failure_domain;
	struct mst_bytes rack;
	struct mst_bytes service; /* what its upstream serves; may be empty */
	struct mst_bytes labels;  /* of its worker, by commas */
	/* Of the texts above and entries, which are told when the receiver's
	 * last heartbeat names another one. */
	uint32_t description_version;
	uint64_t clock_us; /* the sender's clock, for leases */
	uint32_t slots;
	uint32_t connections;
	struct mst_resources resources;
	bool draining;
	bool fenced;         /* the receiver has been fenced here */
	uint32_t grant;      /* tasks the receiver may have here */
	uint32_t free_slots; /* leased: slots without work */
	uint32_t
	    slowness_milli; /* leased: against a usual worker; 0: unknown */
	uint32_t running;   /* over all entries */
	uint32_t queued;    /* over all entries */
	uint64_t roster_version; /* of the receiver's, as recorded */
	uint64_t sent_through;   /* from the receiver's last heartbeat */
	struct mst_seqset
	    seqs_received; /* the receiver's sequences seen here */
	uint64_t config_version;
	struct mst_bytes entries; /* addresses of entries, by commas */
};

struct mst_heartbeat {
	uint64_t echo_us; /* the receiver's clock, as last announced */
	uint32_t description_version; /* of the receiver's texts, as known */
	uint64_t roster_version;
	uint32_t agent_count;
	const uint64_t *agents; /* incarnations in the roster */
	uint64_t floor;         /* jobs up to here can't be adopted */
	uint64_t sent_through;  /* highest sequence sent to the receiver */
	struct mst_seqset
	    results_received; /* results received from the receiver */
	uint32_t demand;      /* tasks that wait at this entry */
	uint64_t config_version;
	struct mst_bytes peers; /* addresses of entries, by commas */
};

#define MST_TASK_IDEMPOTENT 1u
/* May run again once an earlier run has ended, whatever became of it. */
#define MST_TASK_RESTARTABLE 2u

struct mst_dispatch_item {
	uint64_t seq;
	struct mst_job_id job;
	uint32_t index;
	uint32_t flags;
	uint32_t timeout_ms;          /* from arrival at the agent */
	uint32_t run;                 /* number of this attempt, from 1 */
	uint32_t expected_service_us; /* expected time on a usual upstream */
	uint32_t slack_us;            /* within which it should start */
	struct mst_resources needs;
	struct mst_bytes method;
	struct mst_bytes path;
	struct mst_bytes content_type;
	struct mst_bytes body;
	struct mst_bytes traceparent;
	/* Of a stored job; record is empty for others. */
	struct mst_bytes record; /* its key */
	uint64_t owner;          /* of the record */
	uint32_t term;           /* of the record */
};

struct mst_dispatch {
	uint64_t echo_us;    /* the receiver's clock, as last announced */
	uint64_t expires_us; /* on the receiver's clock; 0: never */
	uint64_t received_frontier; /* results received, all up to here */
	uint32_t demand;
	uint32_t count;
	const struct mst_dispatch_item *items;
};

struct mst_result_item {
	uint64_t seq;
	uint8_t outcome; /* enum mst_outcome */
	uint8_t reason;  /* enum mst_reason */
	uint16_t status; /* HTTP status of the upstream */
	/* The end is kept at the worker until the receiver has it recorded. */
	bool ack_after_record;
	uint32_t queue_us;
	uint32_t service_us;
	struct mst_bytes content_type;
	struct mst_bytes body;
};

struct mst_results {
	uint32_t grant;
	uint32_t free_slots; /* leased: slots without work */
	uint32_t count;
	const struct mst_result_item *items;
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

/** One started or withdrawn task in a fence's answer. */
struct mst_fenced_item {
	uint32_t index;
	bool finished; /* the result below is final */
	struct mst_result_item result;
};

struct mst_fenced {
	uint64_t fenced_entry;
	struct mst_job_id job;
	bool known;              /* the victim has a session here */
	bool alive;              /* refused: the victim still heartbeats here */
	bool history_incomplete; /* records of the job may be gone */
	uint64_t adopter;        /* who owns the job, when claimed */
	uint32_t past_owner_count;
	const uint64_t *past_owners; /* earlier owners, oldest first */
	uint32_t agent_count;
	const uint64_t *agents; /* the victim's roster, as recorded */
	uint32_t count;
	const struct mst_fenced_item *items;
};

struct mst_peer {
	struct mst_bytes address;
	uint64_t config_version;
	bool leaving;
	bool reply; /* the receiver need not answer */
};

struct mst_config_msg {
	uint64_t version;
	struct mst_bytes document;
};

enum mst_forward_kind {
	MST_FORWARD_SUBMIT = 0,
	MST_FORWARD_WAIT, /* answer when the job is closed */
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
	uint64_t from; /* the sender's incarnation */
	uint64_t to;   /* the receiver's, 0 where it is not known yet */
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
		struct mst_forward forward;
		struct mst_forwarded forwarded;
	};
};

/**
 * Gives the name of an outcome.
 *
 * @param outcome an enum mst_outcome
 * @return a static string
 */
const char *mst_outcome_name(int outcome);

/**
 * Gives the name of a reason, as callers and logs see it.
 *
 * @param reason an enum mst_reason
 * @return a static string
 */
const char *mst_reason_name(int reason);

/**
 * Gives the name of a message type.
 *
 * @param type an enum mst_msg_type
 * @return a static string
 */
const char *mst_msg_type_name(int type);

/** Borrows the bytes of a string; NULL is empty. */
struct mst_bytes mst_bytes_from_str(const char *s);

/** Tells whether bytes are a string's; no bytes are the empty string's. */
bool mst_bytes_equal_str(struct mst_bytes bytes, const char *text);

/** Copies bytes into a string, "" when there are none; free with g_free(). */
char *mst_bytes_to_str(struct mst_bytes bytes);

#endif
