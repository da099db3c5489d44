#ifndef SEARCH_MODEL_H
#define SEARCH_MODEL_H

/*
 * Small system for the lease search: two entries, two agents with a worker
 * each, one best-effort job of one task, and its caller. The entries and agents
 * are the real reducers; messages, orders, the worker, time and the caller are
 * modelled. Nothing is random: what happens beyond the usual course is decided
 * by moves, see moves.h.
 */

#include <masticstall.h>

#include "search/worker.h"

#define MODEL_ENTRIES     2
#define MODEL_AGENTS      2
#define MODEL_NODES       (MODEL_ENTRIES + MODEL_AGENTS)
#define MODEL_TICK_US     (20 * 1000)
#define MODEL_RESEND_US   (1300 * 1000) /* caller: until it sends again */
#define MODEL_CALLER_US   (4000 * 1000) /* caller: longest wait for an answer */
#define MODEL_TRAFFIC_MAX 20000         /* events at one time; more is a loop */
#define MODEL_PENDING_MAX 1000 /* the same, of those that moves explore */

enum model_event_type {
	MODEL_TICK,
	MODEL_MESSAGE,
	MODEL_ANSWER,      /* of the worker to its agent */
	MODEL_KEPT_REPORT, /* read by a restarted agent */
	MODEL_SUBMIT,
	MODEL_DISCONNECT,
	MODEL_ORDER /* of an agent to its worker */
};

/* Event on its way to a node, or an order to the worker of an agent. */
struct model_event {
	enum model_event_type type;
	int from; /* MESSAGE: node */
	int to;   /* node; ORDER: the agent's node */
	enum mst_msg_type msg_type;
	int64_t sent_us;              /* MESSAGE */
	GByteArray *bytes;            /* MESSAGE: encoded */
	struct search_answer *answer; /* ANSWER */
	unsigned agent_start;         /* ANSWER, ORDER: start of the agent */
	uint64_t request;             /* SUBMIT, DISCONNECT */
	struct search_order order;    /* ORDER */
	bool answer_lost;             /* ORDER */
	bool is_held;                 /* delivered by a move only */
};

enum model_link { MODEL_LINK_UP, MODEL_LINK_CUT, MODEL_LINK_STALLED };

struct model_node {
	struct mst_entry *entry;
	struct mst_agent *agent;
	uint64_t incarnation;
	unsigned starts;
	bool is_alive;
	bool is_frozen;
	bool has_told;      /* an entry of an uncertain start */
	bool was_used;      /* the job or its task was sent to it */
	GPtrArray *backlog; /* struct model_event; arrived while frozen */
};

/* Order whose answer an agent waits for. */
struct model_wait {
	int agent;
	struct search_order order;
	int64_t end_us;
};

/* RENEW that waits at a worker for a completion. */
struct model_poll {
	int agent;
	struct search_order order;
	int64_t end_us;
};

struct model_caller {
	int entry;        /* asked; -1: waits to send again */
	uint64_t request; /* of the present attempt */
	int64_t sent_us;
	int64_t resend_us;
	unsigned attempts;
	bool entry_failed;   /* the entry was frozen during the attempt */
	bool finished;       /* has an answer */
	bool is_turned_away; /* as not run, in every attempt */
};

/* What a search explores; set before model_init(). */
struct model_options {
	double clock_rate;     /* of the workers */
	bool explore_messages; /* dispatches, withdrawals and results */
	bool explore_orders;   /* starts and stops */
	/* Agents are killed only when they have told their entry that the
	 * start of a task is uncertain. */
	bool agents_tell_first;
	bool new_ids; /* workers may get another id when they are restarted */
};

struct model {
	struct model_options options;
	int64_t now_us;
	struct model_node nodes[MODEL_NODES];
	enum model_link links[MODEL_NODES][MODEL_NODES];
	GPtrArray *stalled[MODEL_NODES][MODEL_NODES]; /* struct model_event */
	struct search_worker workers[MODEL_AGENTS];
	bool worker_cut[MODEL_AGENTS];   /* orders are lost */
	bool worker_muted[MODEL_AGENTS]; /* answers are lost */
	bool hold_renew[MODEL_AGENTS];   /* the next one is held up */
	/* Kind of the orders of which the next answer is held up; 0: none. */
	enum mst_order_kind hold_answer[MODEL_AGENTS];
	/* Entry on the way to which the next announcement is held up, from 1;
	 * 0: none. */
	int hold_announce[MODEL_AGENTS];
	int64_t next_report_us[MODEL_AGENTS];
	uint64_t report_seq;
	/* Incarnation in the report that the agent has kept; 0: none. */
	uint64_t kept_incarnation[MODEL_AGENTS];
	int kept_id[MODEL_AGENTS]; /* index of the worker's id in it */
	GQueue traffic;            /* struct model_event; delivered at once */
	GQueue next_traffic;       /* the same, at the next tick */
	GPtrArray *pending;        /* struct model_event; delivered by moves */
	bool has_new_pending;      /* since the last move */
	GArray *waits;             /* struct model_wait */
	GArray *polls;             /* struct model_poll */
	uint64_t last_order_number;
	uint64_t last_request;
	struct model_caller caller;
	const char *violation; /* the check that failed, or NULL */
	GString *log;          /* NULL: not logged */
};

/* Creates the processes and lets them meet. The job is submitted, and what the
 * entry sent for it is pending. */
void model_init(
    struct model *m, const struct model_options *options, GString *log);
void model_clear(struct model *m);

/* Delivers all traffic that is not explored. */
void model_settle(struct model *m);

/* Lets one tick pass. */
void model_tick(struct model *m);

/* Delivers an event and frees it. */
void model_deliver(struct model *m, struct model_event *event);

/* Queues an event, or stores it if its node is frozen or its link stalled. */
void model_route(struct model *m, struct model_event *event);

void model_event_free(gpointer data);
struct model_event *model_event_copy(const struct model_event *event);

/* Returns true if a node is alive and not frozen. */
bool model_is_running(const struct model *m, int node);

void model_kill(struct model *m, int node);
void model_start(struct model *m, int node);

/* Breaks the connection of the caller, which sends again later. */
void model_break_caller(struct model *m);

/* Ends the waits for orders that a worker has received, or all of an agent's
 * if only_polls is false, without an answer. */
void model_break_worker(struct model *m, int agent, bool only_polls);

/* Ends the waits for orders that have timed out. */
void model_end_waits(struct model *m);

/* Ends the wait for an order. Returns false if its agent no longer waits. */
bool model_end_wait(struct model *m, uint64_t number);

/* Report of another writer: what is odd about it. */
enum model_odd_report {
	MODEL_ODD_ID,    /* another id */
	MODEL_ODD_LATER, /* a later incarnation */
	MODEL_ODD_END,   /* the worker's end */
	MODEL_ODD_REPORTS
};

/* Delivers a report of another writer to an agent. */
void model_send_odd_report(
    struct model *m, int agent, enum model_odd_report kind);

/* Takes an answer that is too late for a request as none. */
void model_drop_late_answers(GPtrArray *events, int64_t now_us);

void model_fail(struct model *m, const char *violation);
void model_log(struct model *m, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Returns the number of runs in progress at all workers. */
unsigned model_count_runs(const struct model *m);

/* Hashes what is known of the state; see state_hash.c. */
uint64_t model_hash(const struct model *m);

#endif
