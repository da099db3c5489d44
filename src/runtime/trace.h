#ifndef MST_TRACE_H
#define MST_TRACE_H

/* Spans of sampled jobs: kept for a while, exported as OTLP/JSON. */

#include <glib.h>
#include <masticstall/entry.h>
#include <masticstall/settings.h>

#include "net/http_client.h"

struct trace_store;

struct trace_store *trace_store_new(struct mst_http_client *caller,
    const struct mst_trace_settings *settings, const char *service);
void trace_store_free(struct trace_store *store);

/*
 * Makes the traceparent that a job goes on with (W3C Trace Context): the
 * caller's trace with a new span, or a new trace. Free with g_free().
 */
char *trace_make_traceparent(
    struct trace_store *store, struct mst_bytes traceparent);

/* Records the spans of a task that is done. */
void trace_task(struct trace_store *store, const struct mst_job_view *job,
    const struct mst_task_view *task, uint32_t index, uint64_t agent);

/* Records the span of a job that is closed. */
void trace_job(struct trace_store *store, const struct mst_job_view *job);

/* Sends what has been collected since the last call. */
void trace_export(struct trace_store *store);

/* Writes a trace as OTLP/JSON; NULL when unknown; free with g_free(). */
char *trace_json(const struct trace_store *store, const char *trace_id);

#endif
