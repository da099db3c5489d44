#ifndef MST_WORKER_INTERNAL_H
#define MST_WORKER_INTERNAL_H

/* Functions shared by the parts of a leased agent that control its worker. */

#include "core/agent/agent_internal.h"

/* Consecutive failures after which the worker is considered lost. */
#define WORKER_RENEW_FAILURES_MAX 4

/* state.c */
/* Emits an effect that reports the state of the worker. */
void mst_worker_emit_state(struct mst_agent *agent, const char *state);
/* Emits an effect that reports a restart of the worker. */
void mst_worker_emit_restart(
    struct mst_agent *agent, enum mst_restart_cause cause);
/* Returns the estimated present time of the worker's clock. */
int64_t mst_worker_clock_ms(const struct mst_agent *agent);
/* Returns the least time that the worker's clock can have shown at a time of
 * this agent's clock. */
int64_t mst_worker_least_clock_ms(const struct mst_agent *agent, int64_t at_us);
/* Updates the estimate of the worker's clock from an answer. */
void mst_worker_update_clock(struct mst_agent *agent, int64_t clock_ms);
/* Adds the time that the worker took to answer an order that does not wait. */
void mst_worker_add_answer_time(struct mst_agent *agent, int64_t time_us);
/* Returns the time within which nearly all orders that do not wait are
 * answered. */
int64_t mst_worker_expected_answer_us(const struct mst_agent *agent);
/* Raises the fence above those that this agent and its earlier incarnations
 * have used for an incarnation of the worker. */
void mst_worker_raise_fence(struct mst_agent *agent, uint64_t incarnation);
/* Raises the fence after an order was rejected, unless that was done since the
 * order was sent. */
void mst_worker_handle_fenced(
    struct mst_agent *agent, int64_t sent_us, uint64_t incarnation);
/* Emits an order, whose other fields the caller sets. The id is returned in the
 * answer. */
struct mst_order *mst_worker_emit_order(
    struct mst_agent *agent, enum mst_order_kind kind, uint64_t id);
/* Returns the time by which a lease that is renewed now has certainly
 * expired. */
int64_t mst_worker_lease_end_us(const struct mst_agent *agent);
/* Returns true if a run that is started now gets a lease of at least half the
 * usual duration, and not a longer one. */
bool mst_worker_has_lease_for_start(const struct mst_agent *agent);
/* Allows for a lease of the worker's new incarnation that is longer than asked
 * for: nothing is started until it ends no later than a usual one. */
void mst_worker_expect_long_lease(struct mst_agent *agent);
/* Takes that back: no order that may be held up gives the worker a lease. */
void mst_worker_exclude_long_lease(struct mst_agent *agent);
/* Counts with such a lease of a worker that may have been restarted while no
 * agent was there to see it. What is started then is given up later. */
void mst_worker_allow_long_lease(struct mst_agent *agent);
/* Sets the new end of the lease in an order. */
void mst_worker_order_set_lease(
    struct mst_agent *agent, struct mst_order *order);
/* Returns true if the worker has recently left an order unanswered. */
bool mst_worker_is_unreliable(const struct mst_agent *agent);

/* incarnation.c */
/* Returns true if an earlier incarnation of the worker may have sent an answer:
 * its order is older than the present one, which it does not show. */
bool mst_worker_answer_is_late(
    const struct mst_agent *agent, const struct mst_order_answer *answer);
/* Records the incarnation and the clock that an answer shows. Returns false if
 * it may be late and of an earlier incarnation, so that it must be ignored. */
bool mst_worker_accept_answer(
    struct mst_agent *agent, const struct mst_order_answer *answer);
/* Records the id of the worker that has executed an order, if the answer told
 * no incarnation. */
void mst_worker_take_id(
    struct mst_agent *agent, struct mst_bytes id, uint64_t incarnation);

/* identity.c */
/* Sets the id of the present incarnation; empty: not known. */
void mst_identity_set(struct mst_agent *agent, struct mst_bytes id);
/* Forgets the worker's id if an order that named it was refused for it. */
void mst_identity_handle_refusal(
    struct mst_agent *agent, const struct mst_order_answer *answer);
/* Returns true if nothing is started until the id is confirmed. */
bool mst_identity_must_confirm(const struct worker *worker);
/* Records that an order with a lease is sent. */
void mst_identity_note_lease(
    struct mst_agent *agent, const struct mst_order *order);
/* Records the id that a start order of a run names. */
void mst_identity_note_start(struct run *run, const struct mst_order *order);

/* identity_confirm.c */
/* Records that the present incarnation has executed an order that names its id.
 * Orders that name another id can no longer be executed, so the runs that only
 * they could start end, and no long lease is expected. */
void mst_identity_confirm(struct mst_agent *agent);
/* Handles that an order was executed that names an id, by its hash. It confirms
 * the id only if that is the present one, whatever was learnt meanwhile. */
void mst_identity_handle_done(struct mst_agent *agent,
    const struct mst_order_answer *answer, uint64_t named_id);

/* report.c */
/* Applies a report of the worker's present incarnation. */
void mst_worker_apply_report(struct mst_agent *agent,
    const struct mst_worker_report *report, bool is_kept);
/* Applies the report by which the worker's present incarnation announces its
 * end. */
void mst_worker_apply_last_report(
    struct mst_agent *agent, const struct mst_worker_report *report);
/* Counts a report that is not of the worker's present incarnation. */
void mst_worker_refuse_report(
    struct mst_agent *agent, const struct mst_worker_report *report);

/* candidate.c */
/* Records a report that must be verified, in place of an earlier one. */
void mst_candidate_set(struct mst_agent *agent,
    const struct mst_worker_report *report, bool is_kept);
/* Has the worker's id verified again if the worker refused a start that named
 * it. */
void mst_candidate_handle_refusal(
    struct mst_agent *agent, const struct mst_order_answer *answer);
/* Applies the candidate if the answer to another order than the one that
 * verifies it shows its incarnation. */
void mst_candidate_compare(
    struct mst_agent *agent, const struct mst_order_answer *answer);
/* Sends the order that verifies the candidate, if it is due. */
void mst_candidate_tick(struct mst_agent *agent);
/* Handles the answer to the order that verifies the candidate. Returns what was
 * recorded of the order. */
struct renewal mst_candidate_handle_answer(
    struct mst_agent *agent, const struct mst_order_answer *answer);

/* resize.c */
/* Sets the capacity that the worker has reported, which may change while it
 * runs. Refuses the queued tasks that no longer fit and tells the entries. */
void mst_worker_set_capacity(
    struct mst_agent *agent, const struct mst_resources *capacity);

/* capacity.c */
/* Adds resources to the used ones, or subtracts them if the sign is -1. */
void mst_worker_adjust_used(
    struct mst_resources *used, const struct mst_resources *needs, int sign);

/* Notes that the worker had no room for a start that its resources allow, and
 * that a run has ended there since. */
void mst_worker_note_full(
    struct mst_agent *agent, const struct mst_resources *needs);
void mst_worker_note_end(struct mst_agent *agent);

/* speed.c */
/* Adds the service time of a completed run to the average slowness. */
void mst_worker_update_slowness(struct mst_agent *agent, const struct run *run);

/* start.c */
/* Records that the worker has shown that a run was started. */
void mst_worker_confirm_start(const struct mst_agent *agent, struct run *run);

/* order.c */
/* Handles a refused connection: the worker is down, and the runs have ended
 * that were confirmed before the order was sent. */
void mst_worker_handle_down(
    struct mst_agent *agent, const struct mst_order_answer *answer);
/* Sends the order to stop a run, also if one was sent before. */
void mst_worker_send_stop(struct mst_agent *agent, struct run *run);
/* Repeats the orders that got no answer and whose delay is over. */
void mst_worker_send_due_orders(struct mst_agent *agent);
/* Completes a run with a result and frees its resources. */
void mst_worker_complete_run(struct mst_agent *agent, struct run *run,
    const struct mst_result_item *result, enum mst_run_proof proof);
/* Completes a run that ended without a result. */
void mst_worker_fail_run(struct mst_agent *agent, struct run *run,
    enum mst_reason reason, enum mst_run_proof proof);
/* Returns the active runs; the caller frees the list. */
GList *mst_worker_list_runs(const struct mst_agent *agent);
/* Fails the active runs that were last confirmed before a time, because the
 * worker has gone down since or its lease has expired, except those that must
 * be stopped first. */
void mst_worker_fail_runs(struct mst_agent *agent, enum mst_run_proof proof,
    int64_t confirmed_before_us);
void mst_worker_handle_start_answer(struct mst_agent *agent, struct run *run,
    const struct mst_order_answer *answer);
void mst_worker_handle_stop_answer(struct mst_agent *agent, struct run *run,
    const struct mst_order_answer *answer);

/* crash.c */
/* Marks the runs in progress as ended by a crash of the worker: those that were
 * last confirmed, or sent if they have not been seen, before a time. Called
 * when the present incarnation of the worker is known to have ended, and before
 * the state is reset; has no effect if the end was announced. */
void mst_worker_record_crash(
    struct mst_agent *agent, int64_t confirmed_before_us);

/* forced_expiry.c */
/* Stops the renewal of the worker's lease, unless that was done already. */
void mst_worker_force_expiry(struct mst_agent *agent);
/* Lets the lease be renewed again after it has expired. */
void mst_worker_end_forced_expiry(struct mst_agent *agent);

/* completions.c */
/* Drops all completions, because the worker no longer lists them or they have
 * no effect any more. */
void mst_completions_drop(struct worker *worker);
/* Adds the completion of a stored job's run; returns false for other runs. */
bool mst_completions_add(struct mst_agent *agent, const struct run *run,
    uint64_t worker_seq, bool failed);
/* Returns the last completion that the worker may drop. */
uint64_t mst_completions_last_acked(const struct worker *worker);
/* Starts the record updates that are due. */
void mst_completions_tick(struct mst_agent *agent);

/* unknown.c */
/* Drops all lookups, because the worker no longer lists the completions or they
 * have no effect any more. */
void mst_unknown_drop(struct worker *worker);
/* Handles a listed completion whose run this agent does not know, because the
 * run was started by an earlier incarnation of the agent. */
void mst_unknown_completion_add(struct mst_agent *agent, struct mst_bytes task);
/* Returns true while it is not known whether unknown completions may be
 * acknowledged. */
bool mst_unknown_completions_are_pending(const struct worker *worker);

/* renew.c */
/* Returns the unanswered renew order with an id, or NULL; the id 0 finds a free
 * slot. */
struct renewal *mst_worker_find_renewal(struct worker *worker, uint64_t id);
/* Returns a free slot for one more renew order, or NULL. */
struct renewal *mst_worker_get_free_renewal(struct mst_agent *agent);
/* Sends a renew order and stores it in a slot. */
void mst_worker_send_renew(struct mst_agent *agent, struct renewal *renewal);
void mst_worker_handle_renew_answer(
    struct mst_agent *agent, const struct mst_order_answer *answer);
/* Forgets a renew order whose answer is ignored. */
void mst_worker_drop_renewal(struct mst_agent *agent, uint64_t id);

/* warm_up.c */
/* Records the time that a report states until the worker is warm. */
void mst_worker_set_cold(struct mst_agent *agent, uint32_t cold_ms);
/* Ends a warm-up, because the worker is warm or has been restarted. */
void mst_worker_reset_warm_up(struct mst_agent *agent);
/* Ends a warm-up whose time is over. */
void mst_worker_check_warm_up(struct mst_agent *agent);
/* Returns true if the duration of a run tells the present speed of the worker.
 * That of a run that started on a cold worker does not once it is warm. */
bool mst_worker_shows_speed(
    const struct mst_agent *agent, const struct run *run);

#endif
