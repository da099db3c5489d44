#ifndef MST_RECORD_STORE_H
#define MST_RECORD_STORE_H

/*
 * Executes the reducers' operations on records, which are rows of the
 * platform's store. Changes to several records are batched into one
 * transaction. If some of them conflict, those are answered as conflicts, and
 * the others are retried without them.
 */

#include <uv.h>

#include "runtime/drivers.h"

struct record_store;

typedef void (*record_store_answer_cb)(
    const struct mst_store_answer *answer, void *ctx);

struct record_store_options {
	uv_loop_t *loop;
	const struct mst_drivers *drivers;
	void *store;
	/* Never called from within record_store_submit(). */
	record_store_answer_cb on_answer;
	void *ctx;
};

/* Creates a record store; options are copied. There is no function to free it.
 */
struct record_store *record_store_new(
    const struct record_store_options *options);

/*
 * Starts an operation, which is copied with its strings. on_answer is called
 * once for it.
 */
void record_store_submit(
    struct record_store *store, const struct mst_store_op *op);

#endif
