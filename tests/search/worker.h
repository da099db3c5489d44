#ifndef SEARCH_WORKER_H
#define SEARCH_WORKER_H

/*
 * Worker of the lease search. It runs one task under one lease on its own
 * clock, rejects orders with a lower fence, and forgets everything but its id
 * when it is restarted. It neither keeps orders nor sends answers itself; the
 * model does.
 */

#include <masticstall.h>

#define SEARCH_RUNS_MAX        4
#define SEARCH_COMPLETIONS_MAX 16
#define SEARCH_TASK            "0123456789abcdef.0.0.0"
#define SEARCH_IDS_MAX         4  /* that a worker has in turn */
#define SEARCH_NO_ID           -1 /* order to a worker of any id */
#define SEARCH_OTHER_ID        -2 /* order to another worker */

/* Order to a worker without its strings: there is only one task. */
struct search_order {
	enum mst_order_kind kind;
	uint64_t id;
	uint64_t number; /* unique within the model */
	int worker_id;   /* index of the id that it names */
	uint32_t run;
	int64_t lease_end_ms;
	uint64_t fence;
	uint64_t completions_acked;
	uint32_t wait_ms;
	int64_t sent_us;
};

struct search_worker {
	bool is_down;
	uint64_t incarnation;
	int id;             /* index of its id */
	unsigned starts;    /* of the worker */
	int64_t started_us; /* when its clock was 0 */
	double clock_rate;  /* relative to the model's clock */
	uint64_t fence;     /* highest one received */
	int64_t lease_end_ms;
	uint32_t last_run; /* highest number that ended or was stopped */
	uint32_t run_count;
	uint32_t runs[SEARCH_RUNS_MAX]; /* numbers of the runs in progress */
	uint64_t last_seq;              /* of a completion */
	uint32_t completion_count;
	struct mst_worker_completion completions[SEARCH_COMPLETIONS_MAX];
	unsigned runs_started; /* in all incarnations */
	unsigned runs_done;    /* the same */
};

/* Starts a new incarnation, whose runs, fence and lease are empty. It keeps the
 * id or has the next one. */
void search_worker_restart(
    struct search_worker *worker, int64_t now_us, bool new_id);

/* Returns the text of an id, by its index. */
const char *search_worker_id(int index);

/* Returns the index of an id, or why it has none. */
int search_worker_find_id(struct mst_bytes id);

/* Returns the worker's clock, in milliseconds since its start. */
int64_t search_worker_clock_ms(
    const struct search_worker *worker, int64_t now_us);

/* Ends all runs if the lease has expired. */
void search_worker_check_lease(struct search_worker *worker, int64_t now_us);

/* Executes an order. A RENEW is answered at once if there are completions or
 * it doesn't wait; the caller answers it later otherwise. */
enum mst_order_status search_worker_execute(struct search_worker *worker,
    const struct search_order *order, int64_t now_us);

/* Ends the oldest run as successful. */
void search_worker_finish_run(struct search_worker *worker);

/* Answer to an order, with the lists that it refers to. */
struct search_answer {
	struct mst_order_answer answer;
	struct mst_worker_run runs[SEARCH_RUNS_MAX];
	struct mst_worker_completion completions[SEARCH_COMPLETIONS_MAX];
};

/* Creates the answer to an order, to be freed with g_free(). Without an answer
 * of the worker, only its kind and status are set. */
struct search_answer *search_answer_new(const struct search_worker *worker,
    const struct search_order *order, enum mst_order_status status,
    int64_t now_us);

#endif
