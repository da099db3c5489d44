#ifndef MST_TRACE_H
#define MST_TRACE_H

/* Spans of sampled jobs: a bounded number is kept and exported as OTLP/JSON. */

#include <glib.h>
#include <masticstall/entry.h>
#include <masticstall/settings.h>

#include "net/http_client.h"

struct trace_store;

/* service is the service.name of exported spans; it is copied. */
struct trace_store *trace_store_new(struct mst_http_client *http_client,
    const struct mst_trace_settings *settings, const char *service);
void trace_store_free(struct trace_store *store);

/*
 * Returns the traceparent of a job (W3C Trace Context): a new span of the
 * caller's trace or, if the caller's traceparent is missing or malformed, of a
 * new trace. Free with g_free().
 */
char *trace_make_traceparent(
    struct trace_store *store, struct mst_bytes traceparent);

/* Records the spans of a task that has its final outcome. */
void trace_record_task(struct trace_store *store,
    const struct mst_job_view *job, const struct mst_task_view *task,
    uint32_t index, uint64_t agent);

/* Records the span of a closed job. */
void trace_record_job(
    struct trace_store *store, const struct mst_job_view *job);

/* Exports the spans recorded since the last call; failures are ignored. */
void trace_export(struct trace_store *store);

/*
 * Formats a trace as OTLP/JSON. Returns NULL if the trace is unknown. Free with
 * g_free().
 */
char *trace_json(const struct trace_store *store, const char *trace_id);

#endif
