#ifndef MST_RECORD_STORE_H
#define MST_RECORD_STORE_H

/*
 * The reducers' operations on records, as rows of the platform's store. Changes
 * of several records travel in one transaction; where one of them is refused,
 * the others are tried again without it.
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
	record_store_answer_cb on_answer; /* never from within a call */
	void *ctx;
};

struct record_store *record_store_new(
    const struct record_store_options *options);

/* Starts an operation; everything is copied. */
void record_store_submit(
    struct record_store *records, const struct mst_store_op *op);

#endif
