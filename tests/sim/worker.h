#ifndef MST_SIM_WORKER_H
#define MST_SIM_WORKER_H

/*
 * A worker beside a leased agent: it runs tasks under one lease, keeps fences
 * and lists, and may answer late, never, or start a new life. It outlives its
 * agent, and orders that are on their way reach it all the same.
 */

#include "sim/sim.h"

struct sim_worker;

/* What a worker needs of its sim. */
struct sim_worker_callbacks {
	int64_t (*now_us)(void *sim);
	/* Calls back at a time. */
	void (*call_at)(void *sim, int node, int64_t at_us);
	void (*answer)(void *sim, int node,
	    const struct mst_order_answer *answer, int64_t at_us);
	struct sim_service (*serve)(void *sim, int node, struct mst_bytes task);
	void (*started)(void *sim, int node, struct mst_bytes task);
	void (*ended)(void *sim, int node, struct mst_bytes task);
	/* An end counts: its list was told to have been seen. */
	void (*completion_acked)(void *sim, struct mst_bytes task,
	    enum mst_run_status how, int64_t ended_us);
	double (*random_double)(void *sim);
	void *ctx;
	int node;
};

struct sim_worker *sim_worker_new(const struct sim_worker_callbacks *host,
    const struct mst_resources *capacity);
void sim_worker_free(struct sim_worker *worker);

/* An order has left the agent. */
void sim_worker_send_order(
    struct sim_worker *worker, const struct mst_order *order);

/* A time that was asked for has come. */
void sim_worker_handle_timer(struct sim_worker *worker);

/* A new life: it runs nothing, has seen no fence, and its clock starts anew. */
void sim_worker_restart(struct sim_worker *worker);

/* Orders on their way to it are lost. */
void sim_worker_drop_orders(struct sim_worker *worker);

/* Stands still or is gone: no order arrives, runs go on until they lapse. */
void sim_worker_set_unavailable(struct sim_worker *worker, bool away);

/* Share of the orders that get no answer and are carried out seconds later. */
void sim_worker_set_late_share(struct sim_worker *worker, double share);

uint64_t sim_worker_incarnation(const struct sim_worker *worker);
/* Name of a task that runs, or "". */
const char *sim_worker_first_task(const struct sim_worker *worker);
unsigned sim_worker_running(const struct sim_worker *worker);

#endif
