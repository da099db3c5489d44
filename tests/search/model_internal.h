#ifndef SEARCH_MODEL_INTERNAL_H
#define SEARCH_MODEL_INTERNAL_H

/* Functions shared by the parts of the model of the lease search. */

#include "search/model.h"

/* event.c */
struct model_event *model_event_new(enum model_event_type type, int to);
/* Sends a message to its receiver, or to all other entries if it names none. */
void model_send_message(struct model *m, int from, const struct mst_msg *msg);

/* order.c */
void model_send_order(struct model *m, int node, const struct mst_order *order);
/* Lets the worker execute an order that has arrived. */
void model_execute_order(struct model *m, struct model_event *event);
/* Answers the renewals whose wait at a worker is over. */
void model_end_polls(struct model *m);

/* caller.c */
/* Checks an answer of an entry to the caller. */
void model_handle_answer(
    struct model *m, int node, const struct mst_entry_effect *effect);
void model_handle_refusal(
    struct model *m, int node, const struct mst_entry_effect *effect);
/* Submits the job at an entry. */
void model_submit(struct model *m, int entry);
/* Submits the job again when that is due, and ends a wait that is too long. */
void model_advance_caller(struct model *m);

/* node.c */
void model_step_tick(struct model *m, int node);
/* Delivers the report of a worker to its agent if it is due. */
void model_send_report(struct model *m, int agent);

#endif
