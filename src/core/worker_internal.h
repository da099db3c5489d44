#ifndef MST_WORKER_INTERNAL_H
#define MST_WORKER_INTERNAL_H

/* Shared by the parts of a leased agent that deal with its worker. */

#include "core/agent_internal.h"

#define WORKER_RENEW_FAILURES_MAX 4 /* in a row: the worker is lost */

/* agent_worker.c */
void mst_worker_emit_state(struct mst_agent *agent, const char *state);
/* Nothing listens at the worker's address any more. */
void mst_worker_on_down(struct mst_agent *agent);

/* worker_capacity.c */
/* Counts resources as used, or as free again with a sign of -1. */
void mst_worker_adjust_used(
    struct mst_resources *used, const struct mst_resources *needs, int sign);
void mst_worker_learn_speed(struct mst_agent *agent, const struct run *run);

/* worker_order.c */
/* The worker's clock, as it should be now. */
int64_t mst_worker_clock_ms(const struct mst_agent *agent);
void mst_worker_learn_clock(struct mst_agent *agent, int64_t clock_ms);
void mst_worker_raise_fence(struct mst_agent *agent);
struct mst_order *mst_worker_emit_order(
    struct mst_agent *agent, enum mst_order_kind kind, uint64_t id);
/* When a lease that is renewed now has lapsed for certain. */
int64_t mst_worker_lease_end_us(const struct mst_agent *agent);
/* Names the lease's new end in an order. */
void mst_worker_order_set_lease(
    struct mst_agent *agent, struct mst_order *order);
void mst_worker_send_stop(struct mst_agent *agent, struct run *run);
/* Takes a run's end; its room is free again. */
void mst_worker_complete_run(struct mst_agent *agent, struct run *run,
    const struct mst_result_item *result);
/* Takes note of a run that ended without a result. */
void mst_worker_run_lost(
    struct mst_agent *agent, struct run *run, enum mst_reason reason);
/* The runs at this moment; the caller frees the list. */
GList *mst_worker_runs(const struct mst_agent *agent);
void mst_worker_fail_runs(struct mst_agent *agent);
void mst_worker_start_answer(struct mst_agent *agent, struct run *run,
    const struct mst_order_answer *answer);
void mst_worker_stop_answer(struct mst_agent *agent, struct run *run,
    const struct mst_order_answer *answer);

/* agent_completions.c */
void mst_completions_init(struct worker *worker);
void mst_completions_clear(struct worker *worker);
/* Forgets the ends of a worker that lists none of them any more. */
void mst_completions_drop(struct worker *worker);
/* Keeps the end of a stored job's run; false for others. */
bool mst_completions_add(struct mst_agent *agent, const struct run *run,
    uint64_t number, bool failed);
/* The greatest end that the worker may forget. */
uint64_t mst_completions_acked(const struct worker *worker);
/* The worker's lease has lapsed. */
void mst_completions_lapsed(struct mst_agent *agent);
/* The worker lists ends of an earlier life of this agent. */
void mst_completions_unknown(struct mst_agent *agent);
void mst_completions_tick(struct mst_agent *agent);

/* worker_renew.c */
/* True when it has left an order unanswered lately. */
bool mst_worker_is_unreliable(const struct mst_agent *agent);
/* The place of a HOLD that has no answer yet; NULL when there is none. */
uint64_t *mst_worker_renew_find(struct worker *worker, uint64_t id);
/* A place for one more HOLD, or NULL. */
uint64_t *mst_worker_renew_free_slot(struct mst_agent *agent);
void mst_worker_renew(struct mst_agent *agent, uint64_t *place);
void mst_worker_renew_answer(
    struct mst_agent *agent, const struct mst_order_answer *answer);

#endif
