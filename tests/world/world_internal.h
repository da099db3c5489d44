#ifndef MST_WORLD_INTERNAL_H
#define MST_WORLD_INTERNAL_H

#include "world/agenda.h"
#include "world/store.h"
#include "world/worker.h"

struct node {
	enum world_kind kind;
	char *name;
	struct mst_entry *entry;
	struct mst_agent *agent;
	struct mst_agent_options agent_options;
	uint64_t incarnation;
	uint32_t life;
	bool alive;
	bool paused;
	bool stopped;
	GQueue backlog;            /* struct happening, while paused */
	struct sim_worker *worker; /* beside a leased agent */
	struct mst_resources capacity;
	const char *rack;
	const char *labels;
	bool store_cut;
	GPtrArray *missed; /* char *, jobs cancelled meanwhile */
	int64_t report_us; /* when it reports about itself next */
	uint64_t reports;
};

struct world {
	struct world_options options;
	GRand *rand;
	struct mst_lease_times leases;
	int64_t now_us;
	struct agenda agenda;
	struct node nodes[WORLD_NODES_MAX];
	int count;
	struct world_link links[WORLD_NODES_MAX][WORLD_NODES_MAX];
	struct mst_decoder *decoder;
	GHashTable *requests; /* id -> struct world_request */
	uint64_t next_request;
	GHashTable *starts; /* "minter-counter-index" -> count */
	GHashTable *idempotent;
	GHashTable *running; /* task's name -> runs at this moment */
	unsigned overlaps;   /* two runs of one task at once */
	struct sim_store *store;
	double store_lost;
	double store_late;
	GHashTable *histories; /* task -> see ends.c */
	char *violation;
	uint64_t starts_total;
	uint64_t messages[MST_MSG_MAX];
	uint64_t message_bytes;
};

/* world.c */
struct happening *world_happen(
    struct world *world, int node, enum happening_type type, int64_t at_us);
void world_step_agent(
    struct world *world, int at, struct mst_agent_event *event);
void world_step_entry(
    struct world *world, int at, struct mst_entry_event *event);
int world_node_by_incarnation(const struct world *world, uint64_t incarnation);

/* leased.c */
/* Lets a node's worker report about itself, if it has one and it is time. */
void world_worker_report(struct world *world, int at);

/* stored.c */
void world_store_do(struct world *world, int at, const struct mst_store_op *op);
void world_store_arrive(struct world *world, struct happening *h);
void world_store_answered(struct world *world, struct happening *h);
/* Tells a node of the cancellations that it has missed. */
void world_hear_missed(struct world *world, int at);
void world_request_state(
    struct world *world, const struct mst_entry_effect *effect);
void world_task_started(struct world *world, const char *task);
void world_end_noted(
    struct world *world, const char *task, bool done, int64_t ended_us);

/* requests.c */
struct world_request *world_request_new(struct world *world, int entry);
void world_request_free(struct world_request *request);
void world_request_finish(struct world *world, struct world_request *request);
void world_request_answer(
    struct world *world, int at, const struct mst_entry_effect *effect);
void world_request_refuse(
    struct world *world, int at, const struct mst_entry_effect *effect);
void world_request_forward(
    struct world *world, int at, const struct mst_entry_effect *effect);

/* logging.c */
void world_log_message(
    struct world *world, int from, int to, const struct mst_msg *msg);

#endif
