#ifndef MST_WORLD_STORE_H
#define MST_WORLD_STORE_H

/*
 * A store of records and owners' rows. Changes are done one after the other;
 * answers may get lost, and a change without an answer may be done seconds
 * later, if its condition holds then.
 */

#include "world/agenda.h"

struct sim_store;

struct sim_store *sim_store_new(void);
void sim_store_free(struct sim_store *store);

/* An operation, and its answer once it is done. */
struct store_work;

struct store_work *store_work_new(const struct mst_store_op *op);
void store_work_free(struct store_work *work);
const struct mst_store_op *store_work_op(const struct store_work *work);
/* Carries an operation out. */
void sim_store_perform(struct sim_store *store, struct store_work *work);
/* Its answer, or that there is none. */
struct mst_store_answer store_work_answer(
    const struct store_work *work, bool away);

/* State of a job's record; 0 when there is none. */
int sim_store_state(const struct sim_store *store, const char *key);

#endif
