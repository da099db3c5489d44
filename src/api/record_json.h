#ifndef MST_RECORD_JSON_H
#define MST_RECORD_JSON_H

/* JSON format of the store's rows for stored jobs, records and owners. */

#include <masticstall/config.h>
#include <masticstall/record.h>

#include "api/json_field.h"

/* Formats a record; free with cJSON_free(). */
char *record_json_write(const struct mst_record *record);

/*
 * Parses a record. Returns the JSON document, which owns the strings of out and
 * is freed with cJSON_Delete(), or NULL and the fault if text is not a valid
 * record.
 */
cJSON *record_json_read(
    struct mst_record *out, struct input_fault *fault, const char *text);

/* Parses the key of an owner's row: 16 hexadecimal digits, not all zero. */
bool owner_key_parse(uint64_t *out, const char *key);

/*
 * Formats an owner's queue lengths, and whether it has released its ownership;
 * free with cJSON_free().
 */
char *owner_json_write(
    const struct mst_queue_length *lengths, uint32_t count, bool released);

/*
 * Parses an owner's row and appends its queue lengths to out, an array of
 * struct mst_queue_length; a length with a fault is left out. Returns the JSON
 * document, which owns the strings of out and is freed with cJSON_Delete(), or
 * NULL and the fault if text is not a valid row.
 */
cJSON *owner_json_read(
    GArray *out, bool *released, struct input_fault *fault, const char *text);

/* Formats a job with its queue's configuration; free with cJSON_free(). */
char *stored_job_json_write(
    const struct mst_queue_config *queue, struct mst_bytes body);

/*
 * Parses a job's queue configuration and body. Returns the JSON document, which
 * owns their strings and is freed with cJSON_Delete(), or NULL and the fault if
 * text is not a valid job.
 */
cJSON *stored_job_json_read(struct mst_queue_config *queue, const char **body,
    struct input_fault *fault, const char *text);

#endif
