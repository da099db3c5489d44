#ifndef SIM_WORKER_INTERNAL_H
#define SIM_WORKER_INTERNAL_H

/* State of a simulated worker, for the files that implement it. */

#include "sim/worker.h"

#define WORKER_CLOCK_RATE 0.985 /* relative to the simulation's clock */

struct sim_run {
	char *task;
	uint32_t run_number; /* counts the task's runs */
	int64_t end_us;      /* G_MAXINT64: the task never finishes */
	/* Status at the end, unless it is stopped or its lease lapses. */
	enum mst_run_status status;
	bool crashes;  /* the worker crashes at end_us */
	bool stopping; /* it ends at end_us at the latest */
	struct mst_resources needs;
};

/* Completion of a run that the agent has not acknowledged. */
struct sim_completion {
	uint64_t seq;
	char *task;
	uint32_t run_number;
	enum mst_run_status status;
	int64_t ended_us;
	bool lease_lapsed; /* the lease lapsed after the run ended */
};

/* An order in transit, or a RENEW that waits for a completion. */
struct sim_order {
	struct mst_order order; /* strings owned */
	int64_t sent_us;
	int64_t arrival_us;
	int64_t wait_end_us;  /* RENEW: when the wait ends; 0: not waiting */
	int64_t send_by_us;   /* while it waits for a connection */
	uint64_t incarnation; /* of the worker when the order was sent */
	uint64_t number;      /* of the order, unique */
	bool answer_lost;
};

/* An order that the agent waits to be answered. */
struct sim_wait {
	uint64_t number;
	enum mst_order_kind kind;
	uint64_t id;
	int64_t sent_us;
	int64_t end_us; /* when the agent gives up */
};

struct sim_worker {
	struct sim_worker_callbacks callbacks;
	struct mst_resources capacity;
	char *id;
	unsigned id_count; /* ids that it has had */
	double new_id_probability;
	double slow_answer_probability;
	int64_t stop_max_us;
	int64_t wall_offset_ms; /* from the simulation's clock to the date */
	uint64_t incarnation;
	int64_t started_us;
	uint64_t fence;       /* highest fence received */
	int64_t lease_end_ms; /* on the worker's clock */
	uint64_t last_completion_seq;
	bool unavailable; /* orders and answers are lost */
	/* Answer to all orders, none of which is carried out; MST_ORDER_DONE:
	 * none. */
	enum mst_order_status order_fault;
	int64_t down_until_us; /* after a crash; 0: it is up */
	unsigned crash_count;
	int64_t cold_us;         /* reported at cold_from_us; 0: warm */
	int64_t cold_from_us;    /* 0: the reported time does not decrease */
	double late_probability; /* probability that an order is late */
	unsigned connections;    /* 0: any number */
	GPtrArray *unsent;       /* struct sim_order, without a connection */
	GPtrArray *runs;         /* struct sim_run */
	GPtrArray *completions;  /* struct sim_completion */
	GPtrArray *orders;       /* struct sim_order */
	GArray *waits;           /* struct sim_wait */
	uint64_t last_order_number;
	GHashTable *last_run_numbers; /* task name -> highest run number ended
					 or stopped */
};

/* worker.c */
/* Returns the time of the simulation, in microseconds. */
int64_t sim_worker_now_us(const struct sim_worker *worker);
/* Returns the time of the worker's clock, in milliseconds. */
int64_t sim_worker_clock_ms(const struct sim_worker *worker);
/* Returns true with a probability. */
bool sim_worker_draw(struct sim_worker *worker, double probability);
/* Returns a random part of a time. */
int64_t sim_worker_draw_time_us(struct sim_worker *worker, int64_t max_us);

/* worker_execute.c */
/* Ends a run and lists its completion. */
void sim_worker_end_run(
    struct sim_worker *worker, guint run_index, enum mst_run_status status);
/* Carries out an order that has arrived. Returns false if it is a RENEW that
 * waits for a completion, else answers it and returns true. */
bool sim_worker_execute_order(
    struct sim_worker *worker, struct sim_order *pending);

/* worker_link.c */
/* Sends the answer to an order, with the lists if it is a RENEW that was
 * carried out. */
void sim_worker_send_answer(struct sim_worker *worker,
    const struct sim_order *pending, enum mst_order_status status);
/* Gives up the orders that have waited too long for a connection, and sends the
 * first of the others on free ones. */
void sim_worker_send_held_orders(struct sim_worker *worker);
/* Reports the orders that have timed out to the agent. */
void sim_worker_end_expired_waits(struct sim_worker *worker);

#endif
