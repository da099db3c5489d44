#ifndef MST_WORLD_H
#define MST_WORLD_H

/*
 * Reducers of entries and agents in one process, with a paused clock. Their
 * effects are handed to each other as encoded messages over links that can
 * lose, repeat, delay and cut. Upstreams are a callback that gives each
 * task's time and outcome. Everything is decided by the seed.
 */

#include <masticstall.h>

#define WORLD_NODES_MAX 64

struct world;

enum world_kind { WORLD_ENTRY = 1, WORLD_AGENT };

/* What an upstream does with one task. */
struct world_service {
	int64_t us; /* negative: never answers */
	enum mst_outcome outcome;
	enum mst_reason reason;
	uint16_t status;
};

/* Faults of the messages from one node to another. */
struct world_link {
	bool cut;
	unsigned drop_next;
	unsigned repeat_next;
	int64_t delay_us; /* added to the latency */
};

/* A caller's request and what came of it. */
struct world_request {
	uint64_t id;
	int entry;
	int64_t due_us;
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
	bool mint;
	char *bodies;   /* of the tasks, in order, by spaces */
	char *outcomes; /* of the tasks: d done, n not run, u unknown */
	enum mst_stored_state stored; /* of a stored job */
	bool forwarded;
	int forwarded_to; /* the owner's node, or -1 */
};

struct world_options {
	uint32_t seed;
	int64_t latency_us;
	int64_t jitter_us; /* uniform; reorders messages */
	double drop;       /* share of messages lost */
	double repeat;     /* share of messages delivered twice */
	bool keep_bodies;
	uint32_t resend_ms; /* of the callers; 0: 1,300 */
	bool leased;        /* entries hold their work by leases */
	bool stores;        /* there is a store of records */
	unsigned attempts; /* of a stored task that may end as failed; 0: any */
	/* Gives a stored job by its key. */
	const struct mst_job_spec *(*load)(void *ctx, const char *key);
	double far_factor; /* work away from its data; 0: as near it */
	bool verbose;      /* the log tells of members and heartbeats, too */
	struct world_service (*service)(void *ctx, int agent,
	    const struct mst_dispatch_item *task, int64_t now_us);
	void (*on_answer)(void *ctx, const struct world_request *request);
	void (*on_log)(void *ctx, const char *line); /* or NULL */
	void *ctx;
};

struct world *world_new(const struct world_options *options);
void world_free(struct world *world);

int world_add_entry(struct world *world, const char *name);
int world_add_agent(struct world *world, const char *name,
    const struct mst_agent_options *options);

/* Adds a leased agent and its worker. */
int world_add_leased(struct world *world, const char *name,
    const struct mst_resources *capacity);

/* Says where a leased agent's worker stands; the strings are borrowed. */
void world_place_worker(
    struct world *world, int at, const char *rack, const char *labels);

struct sim_worker;
struct sim_worker *world_worker(const struct world *world, int node);

/* Times that a task was run twice at once. */
unsigned world_overlaps(const struct world *world);

/* A caller leaves without an answer. */
void world_gone(struct world *world, uint64_t request);

/* Puts a configuration into force at an entry. */
void world_configure(
    struct world *world, int entry, uint64_t version, const char *document);

/* Runs until a time; returns at once when nothing is left to do. */
void world_run(struct world *world, int64_t until_us);
int64_t world_now(const struct world *world);

/* Asks an entry; the answer comes to on_answer and world_request(). */
uint64_t world_submit(
    struct world *world, int entry, const struct mst_job_spec *spec);
uint64_t world_mint(struct world *world, int entry);
void world_cancel(struct world *world, int entry, struct mst_job_id job);
const struct world_request *world_request(
    const struct world *world, uint64_t id);

/* A process dies and loses everything, or is replaced by a new one. */
void world_kill(struct world *world, int node);
void world_restart(struct world *world, int node);

/* A process is frozen: messages and calls wait for it. */
void world_pause(struct world *world, int node);
void world_resume(struct world *world, int node);
void world_drain(struct world *world, int node);
bool world_stopped(const struct world *world, int node);

/* Asks an entry for a stored job's state, or cancels it. */
uint64_t world_find(struct world *world, int entry, const char *key);
uint64_t world_cancel_key(struct world *world, int entry, const char *key);

/* Faults of the store: shares of the changes that are done without an answer,
 * or done only seconds later. */
void world_store_faults(struct world *world, double lost, double late);
/* Cuts a node off from the store. */
void world_store_cut(struct world *world, int node, bool cut);
/* State of a job's record; 0 when there is none. */
int world_record_state(const struct world *world, const char *key);

/* Starts of stored tasks that came too late or too often, in words; NULL when
 * there are none. */
const char *world_violation(const struct world *world);

struct world_link *world_link(struct world *world, int from, int to);

/* Loses and repeats messages from now on as given. */
void world_set_noise(struct world *world, double drop, double repeat);

struct mst_entry *world_entry(const struct world *world, int node);
struct mst_agent *world_agent(const struct world *world, int node);

/* Starts of one task over all upstreams. */
unsigned world_starts(
    const struct world *world, struct mst_job_id job, uint32_t index);
uint64_t world_starts_total(const struct world *world);

/* Tasks that started more than once and are not idempotent. */
unsigned world_starts_repeated(const struct world *world);

/* Messages delivered between the nodes, by type. */
uint64_t world_messages(const struct world *world, enum mst_msg_type type);
uint64_t world_message_bytes(const struct world *world);

/* Writes a line for the log, with the time before it. */
void world_log(struct world *world, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

#endif
