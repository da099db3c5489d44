#ifndef MST_REPORT_STORE_H
#define MST_REPORT_STORE_H

/*
 * Keeps the last report of an agent's worker in the store. A worker reports
 * every second or two; an agent that is restarted in between reads the kept
 * report and need not wait for the next one.
 */

#include <masticstall/worker.h>

#include "runtime/drivers.h"

/* report is valid during the callback only. */
typedef void (*report_store_cb)(
    const struct mst_worker_report *report, void *ctx);

struct report_store_options {
	const struct mst_drivers *drivers;
	void *store;
	const char *name; /* of the host; partition of the row */
	report_store_cb on_report;
	void *ctx;
};

struct report_store;

/* Copies the options; their strings must outlive the result. */
struct report_store *report_store_new(
    const struct report_store_options *options);

/* Writes a report unless the last one that was written says the same. The row
 * is removed when the worker leaves. */
void report_store_save(
    struct report_store *store, const struct mst_worker_report *report);

/* Reads the kept report. on_report is called if there is one. */
void report_store_load(struct report_store *store);

#endif
