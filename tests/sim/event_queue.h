#ifndef MST_SIM_EVENT_QUEUE_H
#define MST_SIM_EVENT_QUEUE_H

/* What is due in a sim, by time and then by the order of scheduling. */

#include "sim/sim.h"

enum sim_event_type {
	SIM_EVENT_TICK = 1,
	SIM_EVENT_MESSAGE,
	SIM_EVENT_FINISHED,
	SIM_EVENT_WORKER_TIMER,  /* of a worker, whatever became of its agent */
	SIM_EVENT_WORKER_ANSWER, /* of a worker to its agent */
	SIM_EVENT_STORE_OP, /* an operation arrives, whatever became of its node
			     */
	SIM_EVENT_STORE_ANSWER /* its answer */
};

struct answer_copy;

/* Something due at a time. */
struct sim_event {
	int64_t at_us;
	uint64_t order;
	enum sim_event_type type;
	int node;
	uint32_t restart_count; /* of the node; stale ones are dropped */
	GByteArray *bytes;
	uint64_t run;
	struct sim_service service;
	struct answer_copy *answer;
	struct sim_store_request *store_request; /* STORE, STORED */
	bool answer_lost;      /* STORE, STORED: its answer is lost */
	bool caller_timed_out; /* STORE: nobody waits for the answer */
	char *body;
};

struct event_queue {
	GPtrArray *heap; /* struct sim_event */
	uint64_t order;
};

void event_queue_init(struct event_queue *agenda);
void event_queue_clear(struct event_queue *agenda);
void event_queue_push(struct event_queue *agenda, struct sim_event *h);

/* Takes what is due first, if it is due by a time; else NULL. */
struct sim_event *event_queue_pop(struct event_queue *agenda, int64_t until_us);

/* An answer with memory of its own. */
struct answer_copy *answer_copy_new(const struct mst_order_answer *answer);
const struct mst_order_answer *answer_copy_get(const struct answer_copy *copy);

void sim_event_free(struct sim_event *h);

#endif
