/* Parses and validates settings files. */

#include <masticstall/settings.h>

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "settings/resources.h"
#include "settings/schema.h"

G_DEFINE_QUARK(mst_settings_error, mst_settings_error)

#define STRING_LEN_MAX 255
#define CURVE_KEY_LEN  40 /* Z85 characters of a CURVE key */
#define SHA256_HEX_LEN 64 /* hexadecimal digits */
#define PORT_MAX       65535
#define RESEND_MIN_MS  400 /* leases must span several messages */
#define LEASE_MIN_MS   200 /* shorter leases expire between two renewals */

/* Initializers of a field: struct, member, JSON name, length bounds of a
 * string, and whether it is required. */
#define STRING_FIELD(type, field, json, low, high, is_required)                \
	{                                                                      \
		.name = (json), .kind = SCHEMA_STRING,                         \
		.offset = offsetof(type, field), .min = (low), .max = (high),  \
		.required = (is_required)                                      \
	}
#define ADDRESS_FIELD(type, field, json, is_required)                          \
	{                                                                      \
		.name = (json), .kind = SCHEMA_CUSTOM,                         \
		.offset = offsetof(type, field), .required = (is_required),    \
		.custom = read_address                                         \
	}

static void
read_address(void *out, const cJSON *value, const char *pointer,
    struct schema_errors *errors)
{
	if (!cJSON_IsString(value) || !address_parse(NULL, value->valuestring))
		schema_add_error(errors, pointer,
		    "is not an IPv4 address with a port (ip:port)");
	else
		*(const char **)out = value->valuestring;
}

static void
read_addresses(void *out, const cJSON *value, const char *pointer,
    struct schema_errors *errors)
{
	GPtrArray *list = *(GPtrArray **)out;
	const cJSON *item;
	const char *text;
	char *item_pointer;
	int i = 0;

	if (!cJSON_IsArray(value)) {
		schema_add_error(errors, pointer, "is not an array");
		return;
	}
	cJSON_ArrayForEach (item, value) {
		item_pointer = g_strdup_printf("%s/%d", pointer, i++);
		text = NULL;
		read_address(&text, item, item_pointer, errors);
		if (text != NULL)
			g_ptr_array_add(list, (gpointer)text);
		g_free(item_pointer);
	}
}

static void
read_hosts(void *out, const cJSON *value, const char *pointer,
    struct schema_errors *errors)
{
	GPtrArray *list = *(GPtrArray **)out;
	const cJSON *item;

	if (!cJSON_IsArray(value)) {
		schema_add_error(errors, pointer, "is not an array");
		return;
	}
	cJSON_ArrayForEach (item, value) {
		if (cJSON_IsString(item))
			g_ptr_array_add(list, item->valuestring);
		else
			schema_add_error(
			    errors, pointer, "has a host that is not a string");
	}
}

static const struct schema_field operator_fields[] = {
    STRING_FIELD(struct mst_operator_settings, name, "name", 1, 64, true),
    STRING_FIELD(struct mst_operator_settings, token_sha256, "token_sha256",
	SHA256_HEX_LEN, SHA256_HEX_LEN, true),
    {0}};

static void
read_operators(void *out, const cJSON *value, const char *pointer,
    struct schema_errors *errors)
{
	GArray *list = *(GArray **)out;
	struct mst_operator_settings settings;
	const cJSON *item;
	char *item_pointer;
	int i = 0;

	if (!cJSON_IsArray(value)) {
		schema_add_error(errors, pointer, "is not an array");
		return;
	}
	cJSON_ArrayForEach (item, value) {
		item_pointer = g_strdup_printf("%s/%d", pointer, i++);
		settings = (struct mst_operator_settings){0};
		schema_read_object(
		    &settings, item, operator_fields, item_pointer, errors);
		g_array_append_val(list, settings);
		g_free(item_pointer);
	}
}

static const char *const level_names[] = {
    "error", "warning", "info", "debug", NULL};

static const struct schema_field table_fields[] = {
    STRING_FIELD(struct mst_table_settings, endpoint, "endpoint", 8,
	STRING_LEN_MAX, true),
    STRING_FIELD(
	struct mst_table_settings, table, "table", 3, STRING_LEN_MAX, true),
    STRING_FIELD(struct mst_table_settings, region, "region", 1, 64, false),
    STRING_FIELD(struct mst_table_settings, access_key, "access_key", 1,
	STRING_LEN_MAX, false),
    STRING_FIELD(struct mst_table_settings, secret_key, "secret_key", 1,
	STRING_LEN_MAX, false),
    SCHEMA_UINT_FIELD(
	"timeout_ms", struct mst_table_settings, timeout_ms, 50, 60000),
    {0}};

static const struct schema_field curve_fields[] = {
    STRING_FIELD(struct mst_curve_keys, public_key, "public_key", CURVE_KEY_LEN,
	CURVE_KEY_LEN, true),
    STRING_FIELD(struct mst_curve_keys, secret_key, "secret_key", CURVE_KEY_LEN,
	CURVE_KEY_LEN, true),
    {0}};

static const struct schema_field trace_fields[] = {
    {.name = "sample",
	.kind = SCHEMA_NUMBER,
	.offset = offsetof(struct mst_trace_settings, sample),
	.min = 0,
	.max = 1},
    STRING_FIELD(struct mst_trace_settings, otlp_endpoint, "otlp_endpoint", 8,
	STRING_LEN_MAX, false),
    {0}};

static const struct schema_field machine_fields[] = {
    SCHEMA_UINT_FIELD(
	"memory_mb", struct mst_machine_settings, memory_mb, 32, 1 << 24),
    SCHEMA_UINT_FIELD(
	"descriptors", struct mst_machine_settings, descriptors, 64, 1 << 24),
    {0}};

static const struct schema_field limits_fields[] = {
    SCHEMA_UINT_FIELD("body_max_bytes", struct mst_limit_settings,
	body_max_bytes, 1024, 1 << 30),
    SCHEMA_UINT_FIELD(
	"jobs_max", struct mst_limit_settings, jobs_max, 1, 10000000),
    SCHEMA_UINT_FIELD(
	"memory_max_mb", struct mst_limit_settings, memory_max_mb, 1, 65536),
    {0}};

static const struct schema_field upstream_fields[] = {
    {.name = "address",
	.kind = SCHEMA_CUSTOM,
	.offset = offsetof(struct mst_upstream_settings, address),
	.required = true,
	.custom = read_address},
    SCHEMA_UINT_FIELD("slots", struct mst_upstream_settings, slots, 1, 1024),
    SCHEMA_UINT_FIELD(
	"connections", struct mst_upstream_settings, connections, 1, 4096),
    SCHEMA_UINT_FIELD("result_max_bytes", struct mst_upstream_settings,
	result_max_bytes, 1, MST_BODY_MAX_BYTES),
    {0}};

static const struct schema_field worker_fields[] = {
    ADDRESS_FIELD(struct mst_worker_settings, address, "address", true),
    ADDRESS_FIELD(
	struct mst_worker_settings, report_listen, "report_listen", true),
    SCHEMA_UINT_FIELD("lease_max_ms", struct mst_worker_settings, lease_max_ms,
	LEASE_MIN_MS, 3600000),
    {0}};

static const struct schema_field frontend_fields[] = {
    ADDRESS_FIELD(struct mst_frontend_settings, listen, "listen", true),
    ADDRESS_FIELD(
	struct mst_frontend_settings, ready_listen, "ready_listen", true),
    SCHEMA_NUMBER_FIELD(
	"grace_s", struct mst_frontend_settings, grace_s, 0.1, 3600),
    SCHEMA_UINT_FIELD(
	"config_ms", struct mst_frontend_settings, config_ms, 100, 3600000),
    SCHEMA_UINT_FIELD("deadline_max_ms", struct mst_frontend_settings,
	deadline_max_ms, 1, 3600000),
    SCHEMA_NUMBER_FIELD(
	"keep_s", struct mst_frontend_settings, retention_s, 1, 86400),
    SCHEMA_NUMBER_FIELD(
	"far_factor", struct mst_frontend_settings, remote_factor, 1, 1000),
    {0}};

#define COMMON_FIELDS                                                          \
	ADDRESS_FIELD(struct mst_settings, store, "store", false),             \
	    {.name = "entry_hosts",                                            \
		.kind = SCHEMA_CUSTOM,                                         \
		.offset = offsetof(struct mst_settings, entry_hosts),          \
		.custom = read_hosts},                                         \
	    SCHEMA_UINT_FIELD("members_port", struct mst_settings,             \
		members_port, 1, PORT_MAX),                                    \
	    SCHEMA_UINT_FIELD(                                                 \
		"entries_max", struct mst_settings, entries_max, 1, 1024),     \
	    SCHEMA_UINT_FIELD("resend_ms", struct mst_settings, resend_ms,     \
		RESEND_MIN_MS, 3600000),                                       \
	    SCHEMA_BOOL_FIELD(                                                 \
		"trusted_network", struct mst_settings, trusted_network),      \
	    STRING_FIELD(struct mst_settings, name, "name", 1, 64, true),      \
	    STRING_FIELD(struct mst_settings, failure_domain,                  \
		"failure_domain", 1, 64, true),                                \
	    STRING_FIELD(struct mst_settings, rack, "rack", 1, 64, false),     \
	    {.name = "http_listen",                                            \
		.kind = SCHEMA_CUSTOM,                                         \
		.offset = offsetof(struct mst_settings, http_listen),          \
		.required = true,                                              \
		.custom = read_address},                                       \
	    {.name = "entries",                                                \
		.kind = SCHEMA_CUSTOM,                                         \
		.offset = offsetof(struct mst_settings, entries),              \
		.custom = read_addresses},                                     \
	    {.name = "machine",                                                \
		.kind = SCHEMA_OBJECT,                                         \
		.offset = offsetof(struct mst_settings, machine),              \
		.fields = machine_fields},                                     \
	    {.name = "operators",                                              \
		.kind = SCHEMA_CUSTOM,                                         \
		.offset = offsetof(struct mst_settings, operators),            \
		.custom = read_operators},                                     \
	    {.name = "curve",                                                  \
		.kind = SCHEMA_OBJECT,                                         \
		.offset = offsetof(struct mst_settings, curve),                \
		.fields = curve_fields},                                       \
	{                                                                      \
		.name = "log_level", .kind = SCHEMA_ENUM,                      \
		.offset = offsetof(struct mst_settings, log_level),            \
		.names = level_names                                           \
	}

static const struct schema_field entry_fields[] = {COMMON_FIELDS,
    {.name = "members_listen",
	.kind = SCHEMA_CUSTOM,
	.offset = offsetof(struct mst_settings, members_listen),
	.required = true,
	.custom = read_address},
    {.name = "advertise",
	.kind = SCHEMA_CUSTOM,
	.offset = offsetof(struct mst_settings, advertise),
	.custom = read_address},
    {.name = "table",
	.kind = SCHEMA_OBJECT,
	.offset = offsetof(struct mst_settings, table),
	.fields = table_fields},
    {.name = "front",
	.kind = SCHEMA_OBJECT,
	.offset = offsetof(struct mst_settings, frontend),
	.fields = frontend_fields},
    {.name = "trace",
	.kind = SCHEMA_OBJECT,
	.offset = offsetof(struct mst_settings, trace),
	.fields = trace_fields},
    {.name = "limits",
	.kind = SCHEMA_OBJECT,
	.offset = offsetof(struct mst_settings, limits),
	.fields = limits_fields},
    {0}};

static const struct schema_field agent_fields[] = {COMMON_FIELDS,
    {.name = "upstream",
	.kind = SCHEMA_OBJECT,
	.offset = offsetof(struct mst_settings, upstream),
	.fields = upstream_fields},
    {.name = "worker",
	.kind = SCHEMA_OBJECT,
	.offset = offsetof(struct mst_settings, worker),
	.fields = worker_fields},
    {.name = "resources",
	.kind = SCHEMA_OBJECT,
	.offset = offsetof(struct mst_settings, resources),
	.fields = schema_resource_fields},
    {0}};

/* Creates settings with the default values. */
static struct mst_settings *
settings_new(void)
{
	struct mst_settings *settings = g_new0(struct mst_settings, 1);

	settings->rack = "";
	settings->entries = g_ptr_array_new();
	settings->entry_hosts = g_ptr_array_new();
	settings->worker.lease_max_ms = 1000;
	settings->frontend.grace_s = 6;
	settings->frontend.deadline_max_ms = 60000;
	settings->frontend.config_ms = 2000;
	settings->frontend.remote_factor = 1;
	settings->frontend.retention_s = 120;
	settings->entries_max = 16;
	settings->resend_ms = 1300;
	settings->operators =
	    g_array_new(FALSE, TRUE, sizeof(struct mst_operator_settings));
	settings->log_level = 2; /* "info", an index of level_names */
	settings->table.region = "local";
	settings->table.access_key = "masticstall";
	settings->table.secret_key = "masticstall";
	settings->table.timeout_ms = 2000;
	settings->machine.memory_mb = 1024;
	settings->limits =
	    (struct mst_limit_settings){.body_max_bytes = 64u << 20,
		.jobs_max = 100000,
		.memory_max_mb = 1024};
	settings->upstream = (struct mst_upstream_settings){
	    .slots = 8, .connections = 64, .result_max_bytes = 1u << 20};
	return settings;
}

static bool
is_loopback(const char *address)
{
	return address == NULL || g_str_has_prefix(address, "127.");
}

/* Checks which sections must or must not be given together. */
static void
check_sections(const struct mst_settings *settings, enum mst_settings_role role,
    struct schema_errors *errors)
{
	bool is_entry = role == MST_SETTINGS_ENTRY;

	if (is_entry &&
	    (settings->table.endpoint == NULL) ==
		(settings->frontend.listen == NULL))
		schema_add_error(
		    errors, "", "requires either /table, or /front and /store");
	if (is_entry && settings->frontend.listen != NULL &&
	    settings->store == NULL)
		schema_add_error(errors, "/store", "is required with /front");
	if (!is_entry &&
	    (settings->upstream.address == NULL) ==
		(settings->worker.address == NULL))
		schema_add_error(
		    errors, "", "requires either /upstream or /worker");
	if (settings->entry_hosts->len > 0 && settings->members_port == 0)
		schema_add_error(
		    errors, "/members_port", "is required with /entry_hosts");
}

/* Performs the checks that involve several fields. */
static void
check_settings(const struct mst_settings *settings, enum mst_settings_role role,
    struct schema_errors *errors)
{
	bool only_loopback = is_loopback(settings->members_listen);
	guint i;

	check_sections(settings, role, errors);
	if (settings->upstream.slots > settings->upstream.connections)
		schema_add_error(errors, "/upstream/slots",
		    "is greater than /upstream/connections");
	for (i = 0; i < settings->entries->len; i++)
		only_loopback &= is_loopback(settings->entries->pdata[i]);
	for (i = 0; i < settings->entry_hosts->len; i++)
		only_loopback &= is_loopback(settings->entry_hosts->pdata[i]);
	if (!only_loopback && settings->curve.secret_key == NULL &&
	    !settings->trusted_network)
		schema_add_error(errors, "/curve",
		    "is required unless /members_listen, all /entries and all "
		    "/entry_hosts are on loopback or /trusted_network is true");
}

/* Loads a file. Unknown names are errors if unknown is NULL. */
static int
load(struct mst_settings **out, const char *path, enum mst_settings_role role,
    GString *unknown, GError **error)
{
	struct schema_errors errors = {
	    .text = g_string_new(NULL), .unknown = unknown};
	struct mst_settings *settings = settings_new();
	GError *cause = NULL;
	char *text = NULL;
	int rc = -1;

	*out = NULL;
	if (!g_file_get_contents(path, &text, NULL, &cause)) {
		g_set_error(error, MST_SETTINGS_ERROR, MST_SETTINGS_ERROR_READ,
		    "%s", cause->message);
		goto cleanup;
	}
	settings->json = schema_parse_json(text, &errors);
	if (settings->json != NULL) {
		if (role == 0)
			role =
			    cJSON_HasObjectItem(settings->json, "upstream") ||
				cJSON_HasObjectItem(settings->json, "worker")
			    ? MST_SETTINGS_AGENT
			    : MST_SETTINGS_ENTRY;
		schema_read_object(settings, settings->json,
		    role == MST_SETTINGS_ENTRY ? entry_fields : agent_fields,
		    "", &errors);
		check_settings(settings, role, &errors);
	}
	if (errors.count > 0) {
		g_set_error(error, MST_SETTINGS_ERROR,
		    MST_SETTINGS_ERROR_INVALID, "%s", errors.text->str);
		goto cleanup;
	}
	if (settings->advertise == NULL)
		settings->advertise = settings->members_listen;
	settings->path = g_strdup(path);
	settings->role = role;
	*out = settings;
	settings = NULL;
	rc = 0;
cleanup:
	mst_settings_free(settings);
	g_clear_error(&cause);
	g_free(text);
	g_string_free(errors.text, TRUE);
	return rc;
}

int
mst_settings_load(struct mst_settings **out, const char *path,
    enum mst_settings_role role, GError **error)
{
	return load(out, path, role, NULL, error);
}

int
mst_settings_load_known(struct mst_settings **out, char **unknown,
    const char *path, enum mst_settings_role role, GError **error)
{
	GString *names = g_string_new(NULL);
	int rc = load(out, path, role, names, error);

	*unknown = g_string_free(names, names->len == 0);
	return rc;
}

void
mst_settings_free(struct mst_settings *settings)
{
	if (settings == NULL)
		return;
	g_ptr_array_unref(settings->entries);
	g_ptr_array_unref(settings->entry_hosts);
	g_array_unref(settings->operators);
	g_free(settings->path);
	cJSON_Delete(settings->json);
	g_free(settings);
}

struct mst_lease_times
mst_settings_lease_times(const struct mst_settings *settings)
{
	struct mst_lease_times times;

	mst_lease_times(
	    &times, settings->resend_ms, settings->worker.lease_max_ms);
	return times;
}
