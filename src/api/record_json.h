#ifndef MST_RECORD_JSON_H
#define MST_RECORD_JSON_H

/* Rows of the store about stored jobs, as JSON texts. */

#include <cjson/cJSON.h>
#include <masticstall/config.h>
#include <masticstall/record.h>

/* Writes a record; freed with cJSON_free(). */
char *record_json_write(const struct mst_record *record);

/*
 * Reads a record. Its strings are the document's, which the caller deletes; a
 * text that is none gives NULL.
 */
cJSON *record_json_read(struct mst_record *out, const char *text);

/* Writes how long an owner's queues are; freed with cJSON_free(). */
char *owner_json_write(
    const struct mst_queue_length *lengths, uint32_t count, bool released);

/* Reads them into an array of struct mst_queue_length; the strings are the
 * document's. */
cJSON *owner_json_read(GArray *out, bool *released, const char *text);

/* Writes a job with the terms of its queue; freed with cJSON_free(). */
char *stored_job_json_write(
    const struct mst_queue_config *queue, struct mst_bytes body);

/* Reads a job's terms and body. */
cJSON *stored_job_json_read(
    struct mst_queue_config *queue, const char **body, const char *text);

#endif
