#ifndef MST_DYNAMODB_TABLE_H
#define MST_DYNAMODB_TABLE_H

/*
 * The platform's table, by the DynamoDB JSON API. Holds the configuration's
 * versions (pk "config", sk the padded number) and the entries' addresses
 * (pk "entry", sk the address).
 */

#include <glib.h>
#include <masticstall/settings.h>

#include "net/http_client.h"

struct mst_table;

enum mst_table_result {
	MST_TABLE_OK = 0,
	MST_TABLE_CONFLICT, /* the condition did not hold */
	MST_TABLE_UNKNOWN   /* no answer, or none that can be trusted */
};

/* One version of the configuration. */
struct mst_table_config_version {
	uint64_t version; /* 0: there is none */
	const char *document;
	const char *author;
	const char *reason;
	const char *patch;
	const char *patch_id;
	const char *created_at; /* UTC */
};

/* versions is an array of struct mst_table_config_version, newest first. */
typedef void (*mst_table_versions_cb)(
    enum mst_table_result result, const GArray *versions, void *ctx);
typedef void (*mst_table_write_cb)(enum mst_table_result result, void *ctx);
/* addresses holds strings. */
typedef void (*mst_table_entries_cb)(
    enum mst_table_result result, const GPtrArray *addresses, void *ctx);

struct mst_table_counters {
	uint64_t reads;
	uint64_t writes;
	uint64_t failures;
};

struct mst_table *mst_table_new(
    struct mst_http_client *caller, const struct mst_table_settings *settings);
void mst_table_free(struct mst_table *table);

/* Reads versions downwards from a given one (0: the newest). */
void mst_table_list_versions(struct mst_table *table, uint64_t from,
    uint32_t limit, mst_table_versions_cb cb, void *ctx);

/* Writes a version that must be the successor of an existing one. */
void mst_table_put_version(struct mst_table *table,
    const struct mst_table_config_version *version, mst_table_write_cb cb,
    void *ctx);

/* Writes this entry's row, with the second at which it expires. */
void mst_table_put_entry(struct mst_table *table, const char *address,
    int64_t expires_s, mst_table_write_cb cb, void *ctx);

/* Lists the entries whose rows have not expired. */
void mst_table_list_entries(
    struct mst_table *table, int64_t now_s, mst_table_entries_cb cb, void *ctx);

const struct mst_table_counters *mst_table_counters(
    const struct mst_table *table);

#endif
