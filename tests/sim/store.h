#ifndef MST_SIM_STORE_H
#define MST_SIM_STORE_H

/*
 * Simulated store of job records and owner rows. Writes are serialized, and
 * succeed only if the row still has the expected version. The simulation may
 * lose an answer, or carry out a write seconds after its request timed out; the
 * version is checked when the write is carried out.
 */

#include "sim/event_queue.h"

struct sim_store;

struct sim_store *sim_store_new(void);
void sim_store_free(struct sim_store *store);

/* A store operation and, once it is performed, its result. */
struct sim_store_request;

/* Creates a request with a copy of the operation. */
struct sim_store_request *sim_store_request_new(const struct mst_store_op *op);
void sim_store_request_free(struct sim_store_request *request);
const struct mst_store_op *sim_store_request_op(
    const struct sim_store_request *request);

/* Carries out the operation and keeps the result in the request. */
void sim_store_perform(
    struct sim_store *store, struct sim_store_request *request);

/*
 * Returns the answer to a request. It borrows the request's memory. If the
 * store is unavailable, the answer has only the status MST_STORE_UNAVAILABLE.
 */
struct mst_store_answer sim_store_request_answer(
    const struct sim_store_request *request, bool unavailable);

/* Returns the state of a job's record, or 0 if there is no record. */
int sim_store_state(const struct sim_store *store, const char *key);

#endif
