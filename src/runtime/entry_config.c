/* Configuration of an entry: polling, patches and history. */

#include <cjson/cJSON.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "api/json_size.h"
#include "api/problem.h"
#include "base/log.h"
#include "base/random.h"
#include "base/retry_delay.h"
#include "runtime/entry_runtime.h"
#include "settings/drain_patch.h"
#include "settings/json_patch.h"

#define CONFIG_POLL_MS              2000
#define CONFIG_POLL_MAX_MS          4000
#define CONFIG_POLL_JITTER_MS       500
#define CONFIG_PATCH_TIMEOUT_US     (20 * G_USEC_PER_SEC)
#define CONFIG_HISTORY_MAX_VERSIONS 50
#define PATCH_VALUES_MAX            262144 /* in all operations of a patch */
#define CONFIG_DOCUMENT_MAX_BYTES   (256 * 1024)

static const struct mst_retry_bounds patch_bounds_ms = {
    .min = 200, .max = 2000};

/* An operator's patch, until the table has accepted or rejected it. */
struct pending_patch {
	struct entry_runtime *rt;
	uv_timer_t timer;
	uint64_t request_id;
	uint64_t base_version;
	char *author;
	char *reason;
	char *operations; /* JSON Patch (RFC 6902) */
	/*
	 * Name of a failure domain to drain or restore, or NULL. The
	 * operations are made from it for the newest version, and made again
	 * if another patch comes first.
	 */
	char *domain;
	bool drains; /* with domain: drains rather than restores it */
	char *patch_id;
	char *document;      /* resulting configuration; NULL until computed */
	char created_at[32]; /* UTC */
	int64_t started_us;
	unsigned failures; /* commits without a definite answer */
	bool commit_sent;  /* a commit may have reached the table */
};

void
runtime_config_apply(
    struct entry_runtime *rt, uint64_t version, const char *document)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_CONFIG, .document = document};
	GError *error = NULL;
	char *unknown;

	if (version <= mst_entry_gauges(rt->entry).config_version)
		return;
	if (mst_config_parse_known(
		&event.config, &unknown, document, version, &error) < 0) {
		mst_log(MST_LOG_ERROR, "config-rejected",
		    "version=%" PRIu64 " reason=%s", version,
		    mst_log_quote(error->message));
		g_clear_error(&error);
		g_free(unknown);
		return;
	}
	mst_log(MST_LOG_INFO, "config", "version=%" PRIu64, version);
	if (unknown != NULL)
		mst_log(MST_LOG_WARNING, "config-unknown",
		    "version=%" PRIu64 " names=%s", version,
		    mst_log_quote(unknown));
	g_free(unknown);
	rt->config_applied_us = runtime_now_us();
	rt->step(rt, &event);
}

static void schedule_poll(struct entry_runtime *rt);

static void
on_newest_version(
    enum mst_table_result result, const GArray *versions, void *ctx)
{
	struct entry_runtime *rt = ctx;
	const struct mst_table_config_version *newest;

	if (result != MST_TABLE_OK) {
		if (rt->config_failures++ == 0)
			mst_log(MST_LOG_WARNING, "table-away",
			    "operation=read-config");
	} else {
		if (rt->config_failures > 0)
			mst_log(MST_LOG_INFO, "table-back", "failures=%u",
			    rt->config_failures);
		rt->config_failures = 0;
		if (versions->len > 0) {
			newest = &g_array_index(
			    versions, struct mst_table_config_version, 0);
			runtime_config_apply(
			    rt, newest->version, newest->document);
		}
	}
	schedule_poll(rt);
}

static void
on_poll_timer(uv_timer_t *timer)
{
	struct entry_runtime *rt = timer->data;

	mst_table_list_versions(rt->table, 0, 1, on_newest_version, rt);
}

static void
schedule_poll(struct entry_runtime *rt)
{
	uint64_t wait_ms =
	    MIN(CONFIG_POLL_MS + CONFIG_POLL_MS * (uint64_t)rt->config_failures,
		CONFIG_POLL_MAX_MS);

	uv_timer_start(&rt->config_timer, on_poll_timer,
	    wait_ms - CONFIG_POLL_JITTER_MS / 2 +
		mst_random_u64() % CONFIG_POLL_JITTER_MS,
	    0);
}

void
runtime_config_start(struct entry_runtime *rt)
{
	uv_timer_init(&rt->loop.uv, &rt->config_timer);
	rt->config_timer.data = rt;
	uv_timer_start(&rt->config_timer, on_poll_timer, 0, 0);
}

static void
on_patch_timer_closed(uv_handle_t *handle)
{
	struct pending_patch *patch = handle->data;

	g_free(patch->author);
	g_free(patch->reason);
	g_free(patch->operations);
	g_free(patch->domain);
	g_free(patch->patch_id);
	g_free(patch->document);
	g_free(patch);
}

static void
patch_respond(struct pending_patch *patch, int status, const char *type,
    const char *text, uint32_t retry_after_s)
{
	struct entry_runtime *rt = patch->rt;
	struct pending_request *pending = g_hash_table_lookup(
	    rt->pending_requests, (gpointer)patch->request_id);

	if (pending != NULL)
		runtime_respond(rt, pending, status, type, text, strlen(text),
		    retry_after_s);
	uv_close((uv_handle_t *)&patch->timer, on_patch_timer_closed);
}

static void
patch_respond_problem(struct pending_patch *patch, int status, const char *type,
    const char *title, const char *detail, uint32_t retry_after_s)
{
	struct mst_problem problem = {.status = status,
	    .type = type,
	    .title = title,
	    .detail = detail,
	    .retry_after_s = retry_after_s};
	char *text = mst_problem_json(&problem);

	patch_respond(
	    patch, status, "application/problem+json", text, retry_after_s);
	g_free(text);
}

static void
patch_respond_conflict(struct pending_patch *patch, uint64_t current)
{
	char *detail =
	    g_strdup_printf("the patch was made against version "
			    "%" PRIu64 ", the current version is %" PRIu64,
		patch->base_version, current);

	patch_respond_problem(patch, 412, "config-conflict",
	    "The configuration has changed since", detail, 0);
	g_free(detail);
}

/* Responds that the newest version already says what the patch asks for. */
static void
patch_respond_unchanged(struct pending_patch *patch)
{
	char *text =
	    g_strdup_printf("{\"version\":%" PRIu64 "}\n", patch->base_version);

	patch_respond(patch, 200, "application/json", text, 0);
	g_free(text);
}

static void
patch_respond_accepted(struct pending_patch *patch)
{
	char *text =
	    g_strdup_printf("{\"version\":%" PRIu64 ",\"patch_id\":\"%s\"}\n",
		patch->base_version + 1, patch->patch_id);

	mst_log(MST_LOG_INFO, "config-patched",
	    "version=%" PRIu64 " author=%s patch_id=%s",
	    patch->base_version + 1, mst_log_quote(patch->author),
	    patch->patch_id);
	if (patch->document != NULL)
		runtime_config_apply(
		    patch->rt, patch->base_version + 1, patch->document);
	patch_respond(patch, 200, "application/json", text, 0);
	g_free(text);
}

static void patch_commit(struct pending_patch *patch);

static void
on_patch_retry_timer(uv_timer_t *timer)
{
	patch_commit(timer->data);
}

/*
 * Retries the commit until the table has accepted or rejected it or the timeout
 * has passed.
 */
static void
patch_retry(struct pending_patch *patch)
{
	char *detail;

	if (runtime_now_us() - patch->started_us > CONFIG_PATCH_TIMEOUT_US) {
		detail = g_strdup_printf(
		    "the table gives no answer; patch %s may come into force "
		    "later: send it again with the same id, or look for the "
		    "id in the history",
		    patch->patch_id);
		patch_respond_problem(patch, 504, "config-unknown",
		    "It is not known whether the patch was accepted", detail,
		    5);
		g_free(detail);
		return;
	}
	patch->failures++;
	uv_timer_start(&patch->timer, on_patch_retry_timer,
	    (uint64_t)mst_retry_delay(
		&patch_bounds_ms, patch->failures, mst_random_share()),
	    0);
}

static void on_base_version(
    enum mst_table_result result, const GArray *versions, void *ctx);

/* Handles that another patch has made the version after the base version. */
static void
patch_resolve_conflict(struct pending_patch *patch, uint64_t current)
{
	if (patch->domain == NULL ||
	    runtime_now_us() - patch->started_us > CONFIG_PATCH_TIMEOUT_US)
		patch_respond_conflict(patch, current);
	else
		mst_table_list_versions(
		    patch->rt->table, 0, 1, on_base_version, patch);
}

/*
 * Checks whether the version after the base version was made by this patch, an
 * earlier commit of which may have succeeded, or by another one.
 */
static void
on_successor_version(
    enum mst_table_result result, const GArray *versions, void *ctx)
{
	struct pending_patch *patch = ctx;
	const struct mst_table_config_version *version = NULL;

	if (result == MST_TABLE_OK && versions->len > 0)
		version = &g_array_index(
		    versions, struct mst_table_config_version, 0);
	if (version == NULL || version->version != patch->base_version + 1)
		patch_retry(patch);
	else if (strcmp(version->patch_id, patch->patch_id) == 0)
		patch_respond_accepted(patch);
	else
		patch_resolve_conflict(patch, version->version);
}

static void
on_patch_committed(enum mst_table_result result, void *ctx)
{
	struct pending_patch *patch = ctx;

	if (result == MST_TABLE_OK) {
		patch_respond_accepted(patch);
		return;
	}
	mst_table_list_versions(patch->rt->table, patch->base_version + 1, 1,
	    on_successor_version, patch);
}

static void
patch_commit(struct pending_patch *patch)
{
	struct mst_table_config_version version = {
	    .version = patch->base_version + 1,
	    .document = patch->document,
	    .author = patch->author,
	    .reason = patch->reason,
	    .patch = patch->operations,
	    .patch_id = patch->patch_id,
	    .created_at = patch->created_at};

	patch->commit_sent = true;
	mst_table_put_version(
	    patch->rt->table, &version, on_patch_committed, patch);
}

/*
 * Applies the patch to the base document and validates the result. On failure,
 * responds with a problem and returns false.
 */
static bool
patch_compute(struct pending_patch *patch, const char *base_document)
{
	cJSON *document = cJSON_Parse(base_document);
	cJSON *operation_list = cJSON_Parse(patch->operations);
	struct mst_config *config = NULL;
	GError *error = NULL;
	char *text;
	bool ok = false;

	if (json_patch_apply(&document, operation_list, &error) < 0) {
		patch_respond_problem(patch, 422, "bad-patch",
		    "The patch can't be applied (RFC 6902)", error->message, 0);
		goto cleanup;
	}
	text = cJSON_PrintUnformatted(document);
	g_free(patch->document);
	patch->document = g_strdup(text);
	cJSON_free(text);
	if (strlen(patch->document) > CONFIG_DOCUMENT_MAX_BYTES) {
		patch_respond_problem(patch, 422, "config-too-long",
		    "The configuration would be too long", NULL, 0);
		goto cleanup;
	}
	if (mst_config_parse(&config, patch->document, patch->base_version + 1,
		&error) < 0) {
		patch_respond_problem(patch, 422, "config-invalid",
		    "The configuration would be invalid", error->message, 0);
		goto cleanup;
	}
	ok = true;
cleanup:
	g_clear_error(&error);
	mst_config_free(config);
	cJSON_Delete(operation_list);
	cJSON_Delete(document);
	return ok;
}

/*
 * Makes the operations that drain or restore the patch's domain in the newest
 * document. Returns false if there is nothing to change.
 */
static bool
patch_make_operations(
    struct pending_patch *patch, uint64_t current, const char *document)
{
	patch->base_version = current;
	g_free(patch->operations);
	patch->operations =
	    drain_patch_new(document, patch->domain, patch->drains);
	return patch->operations != NULL;
}

static void
on_base_version(enum mst_table_result result, const GArray *versions, void *ctx)
{
	struct pending_patch *patch = ctx;
	const struct mst_table_config_version *newest = NULL;
	const char *document;
	uint64_t current = 0;

	if (result != MST_TABLE_OK) {
		patch_respond_problem(patch, 503, "table-away",
		    "The table is away; nothing was changed", NULL, 2);
		return;
	}
	if (versions->len > 0) {
		newest = &g_array_index(
		    versions, struct mst_table_config_version, 0);
		current = newest->version;
	}
	document = newest != NULL ? newest->document : "{}";
	if (patch->domain != NULL &&
	    !patch_make_operations(patch, current, document)) {
		patch_respond_unchanged(patch);
		return;
	}
	if (current > patch->base_version) {
		/* The operator may have repeated a patch that was accepted. */
		mst_table_list_versions(patch->rt->table,
		    patch->base_version + 1, 1, on_successor_version, patch);
		return;
	}
	if (current < patch->base_version) {
		patch_respond_conflict(patch, current);
		return;
	}
	if (patch_compute(patch, document))
		patch_commit(patch);
}

/* Parses the version in an If-Match header, with or without quotes. */
static bool
parse_if_match(struct mst_bytes header, uint64_t *version)
{
	char *text = mst_bytes_to_str(header);
	char *digits = text;
	char *digits_end;
	bool ok;

	if (*digits == '"')
		digits++;
	*version = strtoull(digits, &digits_end, 10);
	ok = digits_end != digits &&
	    (*digits_end == '\0' || strcmp(digits_end, "\"") == 0);
	g_free(text);
	return ok;
}

static bool
is_valid_patch_id(const char *text)
{
	size_t len = strlen(text);

	return len > 0 && len <= 64 &&
	    strspn(text,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"0123456789-") == len;
}

static struct pending_patch *
patch_new(struct entry_runtime *rt, const struct mst_http_request *request,
    const char *operator_name)
{
	struct pending_patch *patch = g_new0(struct pending_patch, 1);
	GDateTime *now = g_date_time_new_now_utc();
	char *created_at = g_date_time_format(now, "%Y-%m-%dT%H:%M:%SZ");

	patch->rt = rt;
	patch->request_id = request->id;
	patch->author = g_strdup(operator_name);
	patch->reason =
	    mst_bytes_to_str(mst_http_header(request, "masticstall-reason"));
	patch->patch_id =
	    mst_bytes_to_str(mst_http_header(request, "masticstall-patch-id"));
	patch->operations = mst_bytes_to_str(request->body);
	patch->started_us = runtime_now_us();
	g_strlcpy(patch->created_at, created_at, sizeof(patch->created_at));
	g_free(created_at);
	g_date_time_unref(now);
	pending_request_new(rt, request->id);
	uv_timer_init(&rt->loop.uv, &patch->timer);
	patch->timer.data = patch;
	if (*patch->patch_id == '\0') {
		g_free(patch->patch_id);
		patch->patch_id =
		    g_strdup_printf("%016" PRIx64, mst_random_u64());
	}
	return patch;
}

/* Starts a patch, unless a part of it is missing or malformed. */
static void
patch_start(struct pending_patch *patch)
{
	if (*patch->reason == '\0')
		patch_respond_problem(patch, 400, "reason-needed",
		    "Masticstall-Reason must say why", NULL, 0);
	else if (!is_valid_patch_id(patch->patch_id) ||
	    !g_utf8_validate(patch->operations, -1, NULL) ||
	    !json_has_at_most(patch->operations, strlen(patch->operations),
		PATCH_VALUES_MAX) ||
	    !g_utf8_validate(patch->reason, -1, NULL))
		patch_respond_problem(patch, 400, "bad-request",
		    "The patch or its id is malformed", NULL, 0);
	else
		mst_table_list_versions(
		    patch->rt->table, 0, 1, on_base_version, patch);
}

void
runtime_config_patch(struct entry_runtime *rt,
    const struct mst_http_request *request, const char *operator_name)
{
	struct pending_patch *patch = patch_new(rt, request, operator_name);

	if (parse_if_match(
		mst_http_header(request, "if-match"), &patch->base_version))
		patch_start(patch);
	else
		patch_respond_problem(patch, 428, "version-needed",
		    "If-Match must name the version that was patched", NULL, 0);
}

void
runtime_config_set_drained(struct entry_runtime *rt,
    const struct mst_http_request *request, const char *operator_name,
    const char *domain, bool drained)
{
	struct pending_patch *patch = patch_new(rt, request, operator_name);

	patch->domain = g_strdup(domain);
	patch->drains = drained;
	patch_start(patch);
}

/* A request for the history, until the table has responded. */
struct history_request {
	struct entry_runtime *rt;
	uint64_t request_id;
};

static void
on_history_read(enum mst_table_result result, const GArray *versions, void *ctx)
{
	struct history_request *history = ctx;
	struct entry_runtime *rt = history->rt;
	struct pending_request *pending = g_hash_table_lookup(
	    rt->pending_requests, (gpointer)history->request_id);
	cJSON *out = cJSON_CreateObject();
	cJSON *version_list = cJSON_AddArrayToObject(out, "versions");
	static const char away[] =
	    "{\"title\":\"The table is away\",\"status\":503}";
	char *text;
	guint i;

	for (i = 0; versions != NULL && i < versions->len; i++) {
		const struct mst_table_config_version *version = &g_array_index(
		    versions, struct mst_table_config_version, i);
		cJSON *item = cJSON_CreateObject();

		cJSON_AddNumberToObject(
		    item, "version", (double)version->version);
		cJSON_AddStringToObject(item, "at", version->created_at);
		cJSON_AddStringToObject(item, "author", version->author);
		cJSON_AddStringToObject(item, "reason", version->reason);
		cJSON_AddStringToObject(item, "patch_id", version->patch_id);
		cJSON_AddRawToObject(
		    item, "patch", *version->patch ? version->patch : "[]");
		cJSON_AddRawToObject(item, "document",
		    *version->document ? version->document : "{}");
		cJSON_AddItemToArray(version_list, item);
	}
	text = cJSON_PrintUnformatted(out);
	if (pending != NULL && result == MST_TABLE_OK)
		runtime_respond(rt, pending, 200, "application/json", text,
		    strlen(text), 0);
	else if (pending != NULL)
		runtime_respond(rt, pending, 503, "application/problem+json",
		    away, strlen(away), 2);
	cJSON_free(text);
	cJSON_Delete(out);
	g_free(history);
}

void
runtime_config_history(
    struct entry_runtime *rt, const struct mst_http_request *request)
{
	struct history_request *history = g_new0(struct history_request, 1);

	history->rt = rt;
	history->request_id = request->id;
	pending_request_new(rt, request->id);
	mst_table_list_versions(rt->table, 0, CONFIG_HISTORY_MAX_VERSIONS,
	    on_history_read, history);
}
