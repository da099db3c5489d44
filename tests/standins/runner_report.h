#ifndef RUNNER_REPORT_H
#define RUNNER_REPORT_H

/* Reports of a stand-in for a runner. */

#include <stdint.h>

#include "net/http_client.h"

#define TASK_MC 1000 /* capacity of a slot, in thousandths of a core */
#define TASK_MB 1024

/* What a runner reports of itself. */
struct runner_report {
	const char *to;      /* address that reports are sent to */
	const char *address; /* that the runner listens at */
	const char *id;
	unsigned slots;
	int64_t born_ms; /* wall-clock time of its start */
	int64_t clock_ms;
	uint64_t seq;
};

/* Sends a report. */
void runner_report_send(
    struct mst_http_client *client, const struct runner_report *report);

/* Sends a report of another writer that is odd in one way: "id" (of another
 * runner), "future" or "endless" (when it was born), "seq" (as high as can be),
 * "fields" (of other types, or missing), "service" (that nobody knows) or
 * "delete" (the end of this runner). */
void runner_report_send_odd(struct mst_http_client *client,
    const struct runner_report *report, const char *kind);

#endif
