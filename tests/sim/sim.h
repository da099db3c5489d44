#ifndef MST_SIM_H
#define MST_SIM_H

/*
 * Reducers of entries and agents in one process, with a paused clock. Their
 * effects are handed to each other as encoded messages over links that can
 * lose, repeat, delay and cut. Upstreams are a callback that gives each
 * task's time and outcome. Everything is decided by the seed.
 */

#include <masticstall.h>

#define SIM_NODES_MAX 64

struct sim;

enum sim_node_kind { SIM_ENTRY = 1, SIM_AGENT };

/* What an upstream does with one task. */
struct sim_service {
	int64_t duration_us; /* negative: never answers */
	enum mst_outcome outcome;
	enum mst_reason reason;
	uint16_t status;
};

/* Faults of the messages from one node to another. */
struct sim_link {
	bool cut;
	unsigned drop_next;
	unsigned repeat_next;
	int64_t delay_us; /* added to the latency */
};

/* A caller's request and what came of it. */
struct sim_request {
	uint64_t id;
	int entry;
	int64_t submitted_us;
	int64_t answered_us; /* 0: not yet */
	bool refused;
	enum mst_refusal refusal;
	enum mst_reason reason;
	bool may_have_run;
	uint32_t retry_after_ms;
	enum mst_job_state state;
	uint32_t count;
	uint32_t done;
	uint32_t not_run;
	uint32_t unknown;
	struct mst_ticket ticket;
	bool wants_ticket;
	char *bodies;   /* of the tasks, in order, by spaces */
	char *outcomes; /* of the tasks: d done, n not run, u unknown */
	enum mst_stored_state stored_state; /* of a stored job */
	bool forwarded;
	int forwarded_to; /* the owner's node, or -1 */
};

struct sim_options {
	uint32_t seed;
	int64_t latency_us;
	int64_t jitter_us; /* uniform; reorders messages */
	double drop;       /* share of messages lost */
	double repeat;     /* share of messages delivered twice */
	bool keep_bodies;
	uint32_t resend_ms; /* of the callers; 0: 1,300 */
	bool leased;        /* entries hold their work by leases */
	bool stored_jobs;   /* there is a store of records */
	unsigned
	    max_attempts; /* of a stored task that may end as failed; 0: any */
	/* Gives a stored job by its key. */
	const struct mst_job_spec *(*load)(void *ctx, const char *key);
	double remote_factor; /* work away from its data; 0: as near it */
	bool verbose;         /* the log tells of members and heartbeats, too */
	struct sim_service (*service)(void *ctx, int agent,
	    const struct mst_dispatch_item *task, int64_t now_us);
	void (*on_answer)(void *ctx, const struct sim_request *request);
	void (*on_log)(void *ctx, const char *line); /* or NULL */
	void *ctx;
};

struct sim *sim_new(const struct sim_options *options);
void sim_free(struct sim *sim);

int sim_add_entry(struct sim *sim, const char *name);
int sim_add_agent(
    struct sim *sim, const char *name, const struct mst_agent_options *options);

/* Adds a leased agent and its worker. */
int sim_add_leased_agent(
    struct sim *sim, const char *name, const struct mst_resources *capacity);

/* Says where a leased agent's worker stands; the strings are borrowed. */
void sim_set_worker_placement(
    struct sim *sim, int at, const char *rack, const char *labels);

struct sim_worker;
struct sim_worker *sim_get_worker(const struct sim *sim, int node);

/* Times that a task was run twice at once. */
unsigned sim_overlapping_runs(const struct sim *sim);

/* A caller leaves without an answer. */
void sim_disconnect(struct sim *sim, uint64_t request);

/* Puts a configuration into force at an entry. */
void sim_configure(
    struct sim *sim, int entry, uint64_t version, const char *document);

/* Runs until a time; returns at once when nothing is left to do. */
void sim_run_until(struct sim *sim, int64_t until_us);
int64_t sim_now(const struct sim *sim);

/* Asks an entry; the answer comes to on_answer and world_request(). */
uint64_t sim_submit(
    struct sim *sim, int entry, const struct mst_job_spec *spec);
uint64_t sim_request_ticket(struct sim *sim, int entry);
void sim_cancel(struct sim *sim, int entry, struct mst_job_id job);
const struct sim_request *world_request(const struct sim *sim, uint64_t id);

/* A process dies and loses everything, or is replaced by a new one. */
void sim_kill(struct sim *sim, int node);
void sim_restart(struct sim *sim, int node);

/* A process is frozen: messages and calls wait for it. */
void sim_pause(struct sim *sim, int node);
void sim_resume(struct sim *sim, int node);
void sim_drain(struct sim *sim, int node);
bool sim_is_stopped(const struct sim *sim, int node);

/* Asks an entry for a stored job's state, or cancels it. */
uint64_t sim_find_key(struct sim *sim, int entry, const char *key);
uint64_t sim_cancel_key(struct sim *sim, int entry, const char *key);

/* Faults of the store: shares of the changes that are done without an answer,
 * or done only seconds later. */
void sim_set_store_faults(struct sim *sim, double lost, double late);
/* Cuts a node off from the store. */
void sim_set_store_cut(struct sim *sim, int node, bool cut);
/* State of a job's record; 0 when there is none. */
int sim_record_state(const struct sim *sim, const char *key);

/* Starts of stored tasks that came too late or too often, in words; NULL when
 * there are none. */
const char *sim_violation(const struct sim *sim);

struct sim_link *world_link(struct sim *sim, int from, int to);

/* Loses and repeats messages from now on as given. */
void sim_set_message_faults(struct sim *sim, double drop, double repeat);

struct mst_entry *sim_get_entry(const struct sim *sim, int node);
struct mst_agent *sim_get_agent(const struct sim *sim, int node);

/* Starts of one task over all upstreams. */
unsigned sim_starts(
    const struct sim *sim, struct mst_job_id job, uint32_t index);
uint64_t sim_starts_total(const struct sim *sim);

/* Tasks that started more than once and are not idempotent. */
unsigned sim_starts_repeated(const struct sim *sim);

/* Messages delivered between the nodes, by type. */
uint64_t sim_messages(const struct sim *sim, enum mst_msg_type type);
uint64_t sim_message_bytes(const struct sim *sim);

/* Writes a line for the log, with the time before it. */
void sim_log(struct sim *sim, const char *format, ...) G_GNUC_PRINTF(2, 3);

#endif
