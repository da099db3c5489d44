#ifndef MST_DYNAMODB_TABLE_H
#define MST_DYNAMODB_TABLE_H

/*
 * Client of the platform's table, over the DynamoDB JSON API. It holds the
 * versions of the configuration (pk "config", sk the version padded with zeros)
 * and the addresses of the entries (pk "entry", sk the address).
 */

#include <glib.h>
#include <masticstall/settings.h>

#include "net/http_client.h"

struct mst_table;

enum mst_table_result {
	MST_TABLE_OK = 0,
	MST_TABLE_CONFLICT, /* a condition of the write was not met */
	MST_TABLE_UNKNOWN   /* no valid response; a write may have been made */
};

/* One version of the configuration. */
struct mst_table_config_version {
	uint64_t version; /* from 1; 0: no version */
	const char *document;
	const char *author;
	const char *reason;
	const char *patch;
	const char *patch_id;
	const char *created_at; /* time in UTC */
};

/* versions is an array of struct mst_table_config_version, newest first, valid
 * during the callback; NULL unless the result is MST_TABLE_OK. */
typedef void (*mst_table_versions_cb)(
    enum mst_table_result result, const GArray *versions, void *ctx);
typedef void (*mst_table_write_cb)(enum mst_table_result result, void *ctx);
/* addresses is an array of strings, valid during the callback; empty unless the
 * result is MST_TABLE_OK. */
typedef void (*mst_table_entries_cb)(
    enum mst_table_result result, const GPtrArray *addresses, void *ctx);

struct mst_table_counters {
	uint64_t reads;
	uint64_t writes;
	uint64_t failures; /* calls with result MST_TABLE_UNKNOWN */
};

/* Creates a client of the table. The HTTP client and the settings must outlive
 * it. */
struct mst_table *mst_table_new(struct mst_http_client *http_client,
    const struct mst_table_settings *settings);
/* Frees the client; NULL is allowed. No call may be in flight. */
void mst_table_free(struct mst_table *table);

/**
 * Reads versions of the configuration, newest first.
 *
 * @param from the first version to read; 0: the newest
 * @param limit maximum number of versions
 * @param cb called once with the result
 */
void mst_table_list_versions(struct mst_table *table, uint64_t from,
    uint32_t limit, mst_table_versions_cb cb, void *ctx);

/**
 * Writes a new version of the configuration.
 *
 * @param version copied; version 1 needs no predecessor
 * @param cb called once with the result: MST_TABLE_CONFLICT if the version
 *     exists already or its predecessor doesn't
 */
void mst_table_put_version(struct mst_table *table,
    const struct mst_table_config_version *version, mst_table_write_cb cb,
    void *ctx);

/* Writes the row of an entry; it expires at the given Unix time in seconds. */
void mst_table_put_entry(struct mst_table *table, const char *address,
    int64_t expires_s, mst_table_write_cb cb, void *ctx);

/* Lists the entries whose rows have not expired at now_s (Unix time). */
void mst_table_list_entries(
    struct mst_table *table, int64_t now_s, mst_table_entries_cb cb, void *ctx);

/* Returns the counters since the client was created; owned by the client. */
const struct mst_table_counters *mst_table_counters(
    const struct mst_table *table);

#endif
