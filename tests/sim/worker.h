#ifndef MST_SIM_WORKER_H
#define MST_SIM_WORKER_H

/*
 * Simulated worker of a leased agent. It runs tasks under one lease, rejects
 * orders with an outdated fence or for another instance, and lists its runs and
 * unacknowledged completions. Tests can make it carry out orders late, make it
 * unavailable, or restart it. When its agent is killed, the worker keeps
 * running, and orders in transit still reach it.
 */

#include "sim/sim.h"

struct sim_worker;

/* Callbacks from a worker into the simulation. */
struct sim_worker_callbacks {
	/* Returns the simulated time. */
	int64_t (*now_us)(void *sim);
	/* Schedules a call of sim_worker_handle_timer(). */
	void (*schedule_timer_at)(void *sim, int node_id, int64_t at_us);
	/* Schedules the delivery of an answer to the agent. */
	void (*deliver_answer)(void *sim, int node_id,
	    const struct mst_order_answer *answer, int64_t at_us);
	/* Returns the duration and result of a task that starts. */
	struct sim_task_result (*serve_run)(
	    void *sim, int node_id, struct mst_bytes task);
	/* Reports that a run of a task started, or ended for any reason. */
	void (*run_started)(void *sim, int node_id, struct mst_bytes task);
	void (*run_ended)(void *sim, int node_id, struct mst_bytes task);
	/*
	 * Reports that the agent acknowledged a completion whose lease had not
	 * lapsed since the run ended.
	 */
	void (*completion_acked)(void *sim, struct mst_bytes task,
	    enum mst_run_status status, int64_t ended_us);
	/* Reports that the worker is up as a new incarnation. */
	void (*restarted)(void *sim, int node_id);
	/* Returns a random number in [0, 1). */
	double (*random_double)(void *sim);
	void *ctx;         /* passed to the callbacks as sim */
	int agent_node_id; /* node id of the agent */
	const char *id;    /* of the first incarnation; borrowed */
};

struct sim_worker *sim_worker_new(const struct sim_worker_callbacks *callbacks,
    const struct mst_resources *capacity);
void sim_worker_free(struct sim_worker *worker);

/* Sends an order to the worker. */
void sim_worker_send_order(
    struct sim_worker *worker, const struct mst_order *order);

/*
 * Ends runs and processes orders that are due. The simulation calls it at the
 * times that the worker has scheduled.
 */
void sim_worker_handle_timer(struct sim_worker *worker);

/*
 * Restarts the worker as a new incarnation: no runs, no completions, no fence,
 * and a clock that starts again.
 */
void sim_worker_restart(struct sim_worker *worker);

/*
 * Sets the probability that the worker gets a new id when it restarts; else it
 * keeps the one that it has.
 */
void sim_worker_set_new_id_probability(
    struct sim_worker *worker, double probability);

/* Changes the time of day of the worker's host, which dates its incarnations.
 */
void sim_worker_step_wall_clock(struct sim_worker *worker, int64_t step_ms);

/*
 * Sets the probability that an answer takes up to 60 ms, so that the next ones
 * overtake it or the agent gives it up.
 */
void sim_worker_set_slow_answers(struct sim_worker *worker, double probability);

/* Sets the longest time that a stopped run takes to end; 0: it ends at once. */
void sim_worker_set_stop_time(struct sim_worker *worker, int64_t stop_max_us);

/* Drops the waits for answers of an agent that was killed. */
void sim_worker_forget_agent(struct sim_worker *worker);

/* Drops the orders in transit to the worker and those waiting at it. */
void sim_worker_drop_orders(struct sim_worker *worker);

/*
 * Makes the worker unavailable or available again. While it is unavailable,
 * orders and answers are lost; runs go on until they finish or the lease
 * lapses.
 */
/*
 * Sets the status with which all orders are answered at once and not carried
 * out; MST_ORDER_DONE: none.
 */
void sim_worker_set_order_fault(
    struct sim_worker *worker, enum mst_order_status status);

void sim_worker_set_unavailable(struct sim_worker *worker, bool unavailable);

/*
 * Sets the probability that an order is carried out 2 to 12 s late and without
 * an answer.
 */
void sim_worker_set_late_probability(
    struct sim_worker *worker, double late_probability);

/*
 * Sets the number of orders that the agent can send before it has to wait for
 * the end of one of them; 0: any number. An order whose turn does not come
 * within its timeout is not sent.
 */
void sim_worker_set_connections(
    struct sim_worker *worker, unsigned connections);

/*
 * Makes the worker report that it is cold for a time, as after a start. stuck:
 * the reported time never decreases.
 */
void sim_worker_set_cold(
    struct sim_worker *worker, int64_t cold_us, bool stuck);

/* Returns the time in milliseconds that the worker reports to be cold. */
uint32_t sim_worker_cold_ms(const struct sim_worker *worker);

uint64_t sim_worker_incarnation(const struct sim_worker *worker);

/* Returns the present id. */
const char *sim_worker_id(const struct sim_worker *worker);

/*
 * Takes the worker down: its runs are lost and its connections break. It starts
 * as a new incarnation at until_us. Orders that are held up reach that one.
 */
void sim_worker_go_down(struct sim_worker *worker, int64_t until_us);

/* Makes the worker crash: its runs are lost, its connections break, and it is
 * down until it starts as a new incarnation after three seconds. */
void sim_worker_crash(struct sim_worker *worker);

/* Returns true while the worker is down after a crash. */
bool sim_worker_is_down(const struct sim_worker *worker);

/* Returns the number of crashes that tasks have caused. */
unsigned sim_worker_crash_count(const struct sim_worker *worker);

/*
 * Returns the name of the task whose run has been in progress longest, or "" if
 * none is running.
 */
const char *sim_worker_first_task(const struct sim_worker *worker);

/* Returns the number of runs in progress. */
unsigned sim_worker_run_count(const struct sim_worker *worker);

#endif
