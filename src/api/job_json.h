#ifndef MST_JOB_JSON_H
#define MST_JOB_JSON_H

/* Jobs as JSON: requests in, answers out. */

#include <glib.h>
#include <masticstall/entry.h>

#define MST_JOB_JSON_ERROR mst_job_json_error_quark()

enum mst_job_json_error {
	MST_JOB_JSON_ERROR_SYNTAX,
	MST_JOB_JSON_ERROR_INVALID
};

GQuark mst_job_json_error_quark(void);

/* A parsed request; owns what its spec refers to. */
struct mst_job_request;

/* Parses a job; faults are named by their JSON pointers, one per line. */
int mst_job_request_parse(
    struct mst_job_request **out, struct mst_bytes text, GError **error);

/* Makes a job of one task out of a plain request. */
struct mst_job_request *mst_job_request_from_http(const char *team,
    struct mst_bytes method, struct mst_bytes path,
    struct mst_bytes content_type, struct mst_bytes body, uint32_t timeout_ms);

void mst_job_request_free(struct mst_job_request *request);

struct mst_job_spec *mst_job_request_spec(struct mst_job_request *request);

/* Writes a job and, unless it is open, its tasks; free with g_free(). */
char *mst_job_answer_json(const struct mst_entry *entry, uint64_t job);

#endif
