/* Parses and validates documents of the versioned configuration. */

#include <masticstall/config.h>

#include <stddef.h>
#include <string.h>

#include "settings/schema.h"

G_DEFINE_QUARK(mst_config_error, mst_config_error)

#define TEAM_NAME_LEN_MAX    64
#define TEAMS_MAX            4096
#define QUEUES_MAX           16384
#define QUEUE_STRING_LEN_MAX 255
#define DOMAIN_NAME_LEN_MAX  64

static const char *const placement_names[] = {[MST_PLACEMENT_FINISH] = "finish",
    [MST_PLACEMENT_RANDOM] = "random",
    [MST_PLACEMENT_ROUND_ROBIN] = "round-robin",
    [MST_PLACEMENT_LEAST_OUTSTANDING] = "least-outstanding",
    NULL};

static const struct schema_field policy_fields[] = {
    {.name = "placement",
	.kind = SCHEMA_ENUM,
	.offset = offsetof(struct mst_policy, placement),
	.names = placement_names},
    SCHEMA_UINT_FIELD("default_timeout_ms", struct mst_policy,
	default_timeout_ms, 1, 3600000),
    SCHEMA_UINT_FIELD(
	"queue_tasks_max", struct mst_policy, queue_tasks_max, 1, 10000000),
    SCHEMA_NUMBER_FIELD("queue_share", struct mst_policy, queue_share, 0.01, 1),
    SCHEMA_NUMBER_FIELD("retry_budget", struct mst_policy, retry_budget, 0, 1),
    SCHEMA_UINT_FIELD(
	"eject_failures", struct mst_policy, eject_failures, 1, 1000),
    SCHEMA_NUMBER_FIELD(
	"eject_share_max", struct mst_policy, eject_share_max, 0, 1),
    SCHEMA_UINT_FIELD("eject_ms", struct mst_policy, eject_ms, 1, 600000),
    SCHEMA_UINT_FIELD("settle_ms", struct mst_policy, settle_ms, 0, 600000),
    SCHEMA_BOOL_FIELD(
	"withdraw_stragglers", struct mst_policy, withdraw_stragglers),
    SCHEMA_NUMBER_FIELD("wait_bias", struct mst_policy, wait_bias, 0.1, 1000),
    SCHEMA_BOOL_FIELD("unknown_teams", struct mst_policy, unknown_teams), {0}};

static const struct schema_field team_fields[] = {
    SCHEMA_NUMBER_FIELD(
	"weight", struct mst_team_config, weight, 0.001, 1000000),
    SCHEMA_UINT_FIELD(
	"quota_tasks", struct mst_team_config, quota_tasks, 0, 1000000000),
    {0}};

static const struct mst_policy policy_defaults = {
    .placement = MST_PLACEMENT_FINISH,
    .default_timeout_ms = 30000,
    .queue_tasks_max = 100000,
    .queue_share = 0.5,
    .retry_budget = 0.1,
    .eject_failures = 5,
    .eject_share_max = 0.5,
    .eject_ms = 1000,
    .settle_ms = 5000,
    .withdraw_stragglers = true,
    .wait_bias = 1,
    .unknown_teams = true};

static const struct mst_team_config team_defaults = {
    .weight = 1, .quota_tasks = 100000};

static void
read_teams(void *out, const cJSON *value, const char *pointer,
    struct schema_errors *errors)
{
	struct mst_config *config = out;
	struct mst_team_config *team;
	const cJSON *item;
	char *item_pointer;

	if (!cJSON_IsObject(value)) {
		schema_add_error(errors, pointer, "is not an object");
		return;
	}
	if (cJSON_GetArraySize(value) > TEAMS_MAX) {
		schema_add_error(
		    errors, pointer, "has more than %d teams", TEAMS_MAX);
		return;
	}
	cJSON_ArrayForEach (item, value) {
		item_pointer = schema_pointer_append(pointer, item->string);
		if (*item->string == '\0' ||
		    strlen(item->string) > TEAM_NAME_LEN_MAX)
			schema_add_error(
			    errors, item_pointer, "is not a team's name");
		team = g_new(struct mst_team_config, 1);
		*team = team_defaults;
		schema_read_object(
		    team, item, team_fields, item_pointer, errors);
		g_hash_table_replace(
		    config->teams, g_strdup(item->string), team);
		g_free(item_pointer);
	}
}

/* Describes a required string member of a queue; low is its least length. */
#define QUEUE_STRING_FIELD(field, json, low)                                   \
	{                                                                      \
		.name = (json), .kind = SCHEMA_STRING,                         \
		.offset = offsetof(struct mst_queue_config, field),            \
		.min = (low), .max = QUEUE_STRING_LEN_MAX, .required = true    \
	}

static const struct schema_field queue_fields[] = {
    QUEUE_STRING_FIELD(name, "name", 1), QUEUE_STRING_FIELD(host, "host", 1),
    QUEUE_STRING_FIELD(prefix, "prefix", 1),
    QUEUE_STRING_FIELD(service, "service", 1),
    SCHEMA_UINT_FIELD(
	"priority", struct mst_queue_config, priority, 0, 1000000),
    SCHEMA_UINT_FIELD("attempts", struct mst_queue_config, attempts, 1, 1000),
    SCHEMA_UINT_FIELD(
	"timeout_ms", struct mst_queue_config, timeout_ms, 1, 3600000),
    SCHEMA_NUMBER_FIELD("stretch", struct mst_queue_config, stretch, 0, 1000),
    SCHEMA_UINT_FIELD(
	"target_ms", struct mst_queue_config, target_ms, 0, 3600000),
    {0}};

static const struct mst_queue_config queue_defaults = {
    .attempts = 1, .timeout_ms = 30000, .stretch = 1};

static void
read_queues(void *out, const cJSON *value, const char *pointer,
    struct schema_errors *errors)
{
	struct mst_config *config = out;
	struct mst_queue_config queue;
	const cJSON *item;
	char *item_pointer;
	int i = 0;

	if (!cJSON_IsArray(value) || cJSON_GetArraySize(value) > QUEUES_MAX) {
		schema_add_error(errors, pointer,
		    "is not an array of at most %d queues", QUEUES_MAX);
		return;
	}
	cJSON_ArrayForEach (item, value) {
		item_pointer = g_strdup_printf("%s/%d", pointer, i++);
		queue = queue_defaults;
		schema_read_object(
		    &queue, item, queue_fields, item_pointer, errors);
		g_array_append_val(config->queues, queue);
		g_free(item_pointer);
	}
}

bool
mst_config_is_domain_name(const char *name)
{
	size_t len = strlen(name);
	size_t i;

	if (len == 0 || len > DOMAIN_NAME_LEN_MAX ||
	    !g_utf8_validate(name, (gssize)len, NULL))
		return false;
	for (i = 0; i < len; i++) {
		if (name[i] == ',' || g_ascii_iscntrl(name[i]))
			return false;
	}
	return true;
}

static void
read_drained_domain(GPtrArray *domains, const cJSON *value, const char *pointer,
    struct schema_errors *errors)
{
	const char *name = cJSON_GetStringValue(value);

	if (name == NULL || !mst_config_is_domain_name(name))
		schema_add_error(
		    errors, pointer, "is not a failure domain's name");
	else if (g_ptr_array_find_with_equal_func(
		     domains, name, g_str_equal, NULL))
		schema_add_error(errors, pointer, "is listed twice");
	else
		g_ptr_array_add(domains, (gpointer)name);
}

static void
read_drained_domains(void *out, const cJSON *value, const char *pointer,
    struct schema_errors *errors)
{
	struct mst_config *config = out;
	const cJSON *item;
	char *item_pointer;
	int i = 0;

	if (!cJSON_IsArray(value) ||
	    cJSON_GetArraySize(value) > MST_DRAINED_DOMAINS_MAX) {
		schema_add_error(errors, pointer,
		    "is not an array of at most %d names",
		    MST_DRAINED_DOMAINS_MAX);
		return;
	}
	if (config->drained_domains == NULL)
		config->drained_domains = g_ptr_array_new();
	cJSON_ArrayForEach (item, value) {
		item_pointer = g_strdup_printf("%s/%d", pointer, i++);
		read_drained_domain(
		    config->drained_domains, item, item_pointer, errors);
		g_free(item_pointer);
	}
}

static const struct schema_field client_fields[] = {
    SCHEMA_UINT_FIELD("body_bytes", struct mst_client_limits, body_bytes,
	MST_CLIENT_BODY_MIN_BYTES, MST_CLIENT_BODY_MAX_BYTES),
    SCHEMA_UINT_FIELD("header_ms", struct mst_client_limits, header_ms,
	MST_CLIENT_TIME_MIN_MS, MST_CLIENT_TIME_MAX_MS),
    SCHEMA_UINT_FIELD("idle_ms", struct mst_client_limits, idle_ms,
	MST_CLIENT_TIME_MIN_MS, MST_CLIENT_TIME_MAX_MS),
    {0}};

static const struct schema_field document_fields[] = {
    {.name = "clients",
	.kind = SCHEMA_OBJECT,
	.offset = offsetof(struct mst_config, clients),
	.fields = client_fields},
    {.name = "policy",
	.kind = SCHEMA_OBJECT,
	.offset = offsetof(struct mst_config, policy),
	.fields = policy_fields},
    {.name = "default_team",
	.kind = SCHEMA_OBJECT,
	.offset = offsetof(struct mst_config, default_team),
	.fields = team_fields},
    {.name = "teams", .kind = SCHEMA_CUSTOM, .custom = read_teams},
    {.name = "queues", .kind = SCHEMA_CUSTOM, .custom = read_queues},
    {.name = "drained_domains",
	.kind = SCHEMA_CUSTOM,
	.custom = read_drained_domains},
    {0}};

/* Parses a document. Unknown names are errors if unknown is NULL. */
static int
parse(struct mst_config **out, const char *document, uint64_t version,
    GString *unknown, GError **error)
{
	struct schema_errors errors = {
	    .text = g_string_new(NULL), .unknown = unknown};
	struct mst_config *config = g_new0(struct mst_config, 1);
	cJSON *json = schema_parse_json(document, &errors);
	int rc = -1;

	*out = NULL;
	config->version = version;
	config->json = json;
	config->queues =
	    g_array_new(FALSE, TRUE, sizeof(struct mst_queue_config));
	config->policy = policy_defaults;
	config->default_team = team_defaults;
	config->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (json == NULL) {
		g_set_error(error, MST_CONFIG_ERROR, MST_CONFIG_ERROR_SYNTAX,
		    "%s", errors.text->str);
		goto cleanup;
	}
	schema_read_object(config, json, document_fields, "", &errors);
	if (errors.count > 0) {
		g_set_error(error, MST_CONFIG_ERROR, MST_CONFIG_ERROR_INVALID,
		    "%s", errors.text->str);
		goto cleanup;
	}
	*out = config;
	config = NULL;
	rc = 0;
cleanup:
	mst_config_free(config);
	g_string_free(errors.text, TRUE);
	return rc;
}

int
mst_config_parse(struct mst_config **out, const char *document,
    uint64_t version, GError **error)
{
	return parse(out, document, version, NULL, error);
}

int
mst_config_parse_known(struct mst_config **out, char **unknown,
    const char *document, uint64_t version, GError **error)
{
	GString *names = g_string_new(NULL);
	int rc = parse(out, document, version, names, error);

	*unknown = g_string_free(names, names->len == 0);
	return rc;
}

void
mst_config_free(struct mst_config *config)
{
	if (config == NULL)
		return;
	g_hash_table_unref(config->teams);
	g_array_unref(config->queues);
	if (config->drained_domains != NULL)
		g_ptr_array_unref(config->drained_domains);
	cJSON_Delete(config->json);
	g_free(config);
}

/* Returns whether a request is for a host; the request's port is ignored. */
static bool
is_same_host(const char *host, struct mst_bytes request_host)
{
	const char *port = memchr(request_host.data, ':', request_host.len);
	size_t len =
	    port ? (size_t)(port - request_host.data) : request_host.len;

	return strlen(host) == len &&
	    g_ascii_strncasecmp(host, request_host.data, len) == 0;
}

const struct mst_queue_config *
mst_config_queue_by_path(const struct mst_config *config, struct mst_bytes host,
    struct mst_bytes path)
{
	const struct mst_queue_config *best = NULL;
	size_t best_len = 0;
	guint i;

	if (host.data == NULL || path.data == NULL)
		return NULL;
	for (i = 0; i < config->queues->len; i++) {
		const struct mst_queue_config *queue =
		    &g_array_index(config->queues, struct mst_queue_config, i);
		size_t len = strlen(queue->prefix);

		if (len <= best_len || len > path.len ||
		    memcmp(queue->prefix, path.data, len) != 0 ||
		    !is_same_host(queue->host, host))
			continue;
		best = queue;
		best_len = len;
	}
	return best;
}

const struct mst_queue_config *
mst_config_queue_by_name(const struct mst_config *config, const char *name)
{
	guint i;

	for (i = 0; i < config->queues->len; i++) {
		const struct mst_queue_config *queue =
		    &g_array_index(config->queues, struct mst_queue_config, i);

		if (strcmp(queue->name, name) == 0)
			return queue;
	}
	return NULL;
}
