#ifndef MST_JOB_JSON_H
#define MST_JOB_JSON_H

/* Parses job requests from JSON and formats job responses as JSON. */

#include <glib.h>
#include <masticstall/entry.h>

#define MST_JOB_JSON_ERROR mst_job_json_error_quark()

enum mst_job_json_error {
	MST_JOB_JSON_ERROR_SYNTAX,
	MST_JOB_JSON_ERROR_INVALID
};

GQuark mst_job_json_error_quark(void);

/* A parsed request; owns the strings and arrays that its spec refers to. */
struct mst_job_request;

/*
 * Parses a job request. The request refers to no part of text afterwards.
 * Returns 0, or -1 with an error in MST_JOB_JSON_ERROR whose message holds one
 * line per fault, each starting with the JSON pointer of the value concerned.
 */
int mst_job_request_parse(
    struct mst_job_request **out, struct mst_bytes text, GError **error);

/*
 * Creates a job of one task from a plain HTTP request. The strings are not
 * copied and must outlive the request. timeout_ms is the timeout of the job.
 */
struct mst_job_request *mst_job_request_from_http(const char *team,
    struct mst_bytes method, struct mst_bytes path,
    struct mst_bytes content_type, struct mst_bytes body, uint32_t timeout_ms);

void mst_job_request_free(struct mst_job_request *request);

struct mst_job_spec *mst_job_request_spec(struct mst_job_request *request);

/*
 * Formats a job and, unless it is still open, its tasks. Returns an empty
 * object for an unknown job. Free with g_free().
 */
char *mst_job_format_json(const struct mst_entry *entry, uint64_t job);

#endif
