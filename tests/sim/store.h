#ifndef MST_SIM_STORE_H
#define MST_SIM_STORE_H

/*
 * A store of records and owners' rows. Changes are done one after the other;
 * answers may get lost, and a change without an answer may be done seconds
 * later, if its condition holds then.
 */

#include "sim/event_queue.h"

struct sim_store;

struct sim_store *sim_store_new(void);
void sim_store_free(struct sim_store *store);

/* An operation, and its answer once it is done. */
struct sim_store_request;

struct sim_store_request *sim_store_request_new(const struct mst_store_op *op);
void sim_store_request_free(struct sim_store_request *work);
const struct mst_store_op *sim_store_request_op(
    const struct sim_store_request *work);
/* Carries an operation out. */
void sim_store_perform(struct sim_store *store, struct sim_store_request *work);
/* Its answer, or that there is none. */
struct mst_store_answer sim_store_request_answer(
    const struct sim_store_request *work, bool away);

/* State of a job's record; 0 when there is none. */
int sim_store_state(const struct sim_store *store, const char *key);

#endif
