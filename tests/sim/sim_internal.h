#ifndef MST_SIM_INTERNAL_H
#define MST_SIM_INTERNAL_H

#include "sim/event_queue.h"
#include "sim/store.h"
#include "sim/worker.h"

struct node {
	enum sim_node_kind kind;
	char *name;
	struct mst_entry *entry;
	struct mst_agent *agent;
	struct mst_agent_options agent_options;
	uint64_t incarnation;
	uint32_t restart_count;
	bool alive;
	bool paused;
	bool stopped;
	GQueue backlog;            /* struct sim_event, while paused */
	struct sim_worker *worker; /* beside a leased agent */
	struct mst_resources capacity;
	const char *rack;
	const char *labels;
	bool store_cut;
	GPtrArray *missed_cancels; /* char *, jobs cancelled meanwhile */
	int64_t next_report_us;    /* when it reports about itself next */
	uint64_t report_seq;
};

struct sim {
	struct sim_options options;
	GRand *rand;
	struct mst_lease_times leases;
	int64_t now_us;
	struct event_queue event_queue;
	struct node nodes[SIM_NODES_MAX];
	int node_count;
	struct sim_link links[SIM_NODES_MAX][SIM_NODES_MAX];
	struct mst_decoder *decoder;
	GHashTable *requests; /* id -> struct sim_request */
	uint64_t next_request;
	GHashTable *starts; /* "minter-counter-index" -> count */
	GHashTable *idempotent_tasks;
	GHashTable *running_counts; /* task's name -> runs at this moment */
	unsigned overlaps;          /* two runs of one task at once */
	struct sim_store *store;
	double store_loss_share;
	double store_late_share;
	GHashTable *task_histories; /* task -> see ends.c */
	char *violation;
	uint64_t starts_total;
	uint64_t messages[MST_MSG_MAX];
	uint64_t message_bytes;
};

/* sim.c */
struct sim_event *sim_schedule(
    struct sim *sim, int node, enum sim_event_type type, int64_t at_us);
void sim_step_agent(struct sim *sim, int at, struct mst_agent_event *event);
void sim_step_entry(struct sim *sim, int at, struct mst_entry_event *event);
int sim_node_by_incarnation(const struct sim *sim, uint64_t incarnation);

/* leased_agent.c */
/* Lets a node's worker report about itself, if it has one and it is time. */
void sim_send_worker_report(struct sim *sim, int at);

/* stored_jobs.c */
void sim_send_store_op(struct sim *sim, int at, const struct mst_store_op *op);
void sim_handle_store_op(struct sim *sim, struct sim_event *h);
void sim_handle_store_answer(struct sim *sim, struct sim_event *h);
/* Tells a node of the cancellations that it has missed. */
void sim_deliver_missed_cancels(struct sim *sim, int at);
void sim_request_set_state(
    struct sim *sim, const struct mst_entry_effect *effect);
void sim_task_started(struct sim *sim, const char *task);
void sim_completion_acked(
    struct sim *sim, const char *task, bool done, int64_t ended_us);

/* requests.c */
struct sim_request *sim_request_new(struct sim *sim, int entry);
void sim_request_free(struct sim_request *request);
void sim_request_finish(struct sim *sim, struct sim_request *request);
void sim_request_answer(
    struct sim *sim, int at, const struct mst_entry_effect *effect);
void sim_request_refuse(
    struct sim *sim, int at, const struct mst_entry_effect *effect);
void sim_request_forward(
    struct sim *sim, int at, const struct mst_entry_effect *effect);

/* logging.c */
void sim_log_message(
    struct sim *sim, int from, int to, const struct mst_msg *msg);

#endif
