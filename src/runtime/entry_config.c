/* Configuration of an entry: polling the table, patches, history. */

#include <cjson/cJSON.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "api/problem.h"
#include "base/log.h"
#include "base/random.h"
#include "runtime/entry_runtime.h"
#include "settings/json_patch.h"

#define CONFIG_POLL_MS        2000
#define CONFIG_POLL_MAX_MS    4000
#define CONFIG_JITTER_MS      500
#define CONFIG_RETRY_MS       200
#define CONFIG_RETRY_MAX_MS   2000
#define CONFIG_PATCH_LIMIT_US (20 * G_USEC_PER_SEC)
#define CONFIG_HISTORY_LIMIT  50
#define CONFIG_DOCUMENT_MAX   (256 * 1024)

/* One operator's patch on its way into the table. */
struct patch {
	struct entry_runtime *rt;
	uv_timer_t timer;
	uint64_t request;
	uint64_t base;
	char *author;
	char *reason;
	char *patch;
	char *patch_id;
	char *document; /* the result, once computed */
	char at[32];
	int64_t started_us;
	uint32_t retry_ms;
	bool sent; /* a commit may have left */
};

void
runtime_config_apply(
    struct entry_runtime *rt, uint64_t version, const char *document)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_CONFIG, .document = document};
	GError *error = NULL;

	if (version <= mst_entry_gauges(rt->entry).config_version)
		return;
	if (mst_config_parse(&event.config, document, version, &error) < 0) {
		mst_log(MST_LOG_ERROR, "config-rejected",
		    "version=%" PRIu64 " reason=%s", version,
		    mst_log_quote(error->message));
		g_clear_error(&error);
		return;
	}
	mst_log(MST_LOG_INFO, "config", "version=%" PRIu64, version);
	rt->config_applied_us = runtime_now_us();
	runtime_step(rt, &event);
}

static void poll_again(struct entry_runtime *rt);

static void
on_polled(enum mst_table_result result, const GArray *versions, void *ctx)
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
	poll_again(rt);
}

static void
on_config_timer(uv_timer_t *timer)
{
	struct entry_runtime *rt = timer->data;

	mst_table_list_versions(rt->table, 0, 1, on_polled, rt);
}

static void
poll_again(struct entry_runtime *rt)
{
	uint64_t wait_ms =
	    MIN(CONFIG_POLL_MS + CONFIG_POLL_MS * (uint64_t)rt->config_failures,
		CONFIG_POLL_MAX_MS);

	uv_timer_start(&rt->config_timer, on_config_timer,
	    wait_ms - CONFIG_JITTER_MS / 2 +
		mst_random_u64() % CONFIG_JITTER_MS,
	    0);
}

void
runtime_config_start(struct entry_runtime *rt)
{
	uv_timer_init(&rt->loop.uv, &rt->config_timer);
	rt->config_timer.data = rt;
	uv_timer_start(&rt->config_timer, on_config_timer, 0, 0);
}

static void
on_patch_closed(uv_handle_t *handle)
{
	struct patch *patch = handle->data;

	g_free(patch->author);
	g_free(patch->reason);
	g_free(patch->patch);
	g_free(patch->patch_id);
	g_free(patch->document);
	g_free(patch);
}

static void
patch_answer(struct patch *patch, int status, const char *type,
    const char *text, uint32_t retry_after_s)
{
	struct entry_runtime *rt = patch->rt;
	struct pending_request *pending =
	    g_hash_table_lookup(rt->pending, (gpointer)patch->request);

	if (pending != NULL)
		runtime_respond(rt, pending, status, type, text, strlen(text),
		    retry_after_s);
	uv_close((uv_handle_t *)&patch->timer, on_patch_closed);
}

static void
patch_fail(struct patch *patch, int status, const char *type, const char *title,
    const char *detail, uint32_t retry_after_s)
{
	struct mst_problem problem = {.status = status,
	    .type = type,
	    .title = title,
	    .detail = detail,
	    .retry_after_s = retry_after_s};
	char *text = mst_problem_json(&problem);

	patch_answer(
	    patch, status, "application/problem+json", text, retry_after_s);
	g_free(text);
}

static void
patch_conflict(struct patch *patch, uint64_t current)
{
	char *detail =
	    g_strdup_printf("the patch was made against version "
			    "%" PRIu64 ", the current version is %" PRIu64,
		patch->base, current);

	patch_fail(patch, 412, "config-conflict",
	    "The configuration has changed since", detail, 0);
	g_free(detail);
}

static void
patch_succeed(struct patch *patch)
{
	char *text =
	    g_strdup_printf("{\"version\":%" PRIu64 ",\"patch_id\":\"%s\"}\n",
		patch->base + 1, patch->patch_id);

	mst_log(MST_LOG_INFO, "config-patched",
	    "version=%" PRIu64 " author=%s patch_id=%s", patch->base + 1,
	    mst_log_quote(patch->author), patch->patch_id);
	if (patch->document != NULL)
		runtime_config_apply(
		    patch->rt, patch->base + 1, patch->document);
	patch_answer(patch, 200, "application/json", text, 0);
	g_free(text);
}

static void patch_commit(struct patch *patch);

static void
on_patch_timer(uv_timer_t *timer)
{
	patch_commit(timer->data);
}

/* Tries again until there is a definite answer or the time is over. */
static void
patch_retry(struct patch *patch)
{
	char *detail;

	if (runtime_now_us() - patch->started_us > CONFIG_PATCH_LIMIT_US) {
		detail = g_strdup_printf(
		    "the table gives no answer; patch %s may come into force "
		    "later: send it again with the same id, or look for the "
		    "id in the history",
		    patch->patch_id);
		patch_fail(patch, 504, "config-unknown",
		    "It is not known whether the patch was accepted", detail,
		    5);
		g_free(detail);
		return;
	}
	patch->retry_ms =
	    MIN(MAX(patch->retry_ms * 2, CONFIG_RETRY_MS), CONFIG_RETRY_MAX_MS);
	uv_timer_start(&patch->timer, on_patch_timer, patch->retry_ms, 0);
}

/* Looks at who holds the version that this patch would have become. */
static void
on_patch_looked_up(
    enum mst_table_result result, const GArray *versions, void *ctx)
{
	struct patch *patch = ctx;
	const struct mst_table_config_version *version = NULL;

	if (result == MST_TABLE_OK && versions->len > 0)
		version = &g_array_index(
		    versions, struct mst_table_config_version, 0);
	if (version == NULL || version->version != patch->base + 1)
		patch_retry(patch);
	else if (strcmp(version->patch_id, patch->patch_id) == 0)
		patch_succeed(patch);
	else
		patch_conflict(patch, version->version);
}

static void
on_patch_committed(enum mst_table_result result, void *ctx)
{
	struct patch *patch = ctx;

	if (result == MST_TABLE_OK) {
		patch_succeed(patch);
		return;
	}
	mst_table_list_versions(
	    patch->rt->table, patch->base + 1, 1, on_patch_looked_up, patch);
}

static void
patch_commit(struct patch *patch)
{
	struct mst_table_config_version version = {.version = patch->base + 1,
	    .document = patch->document,
	    .author = patch->author,
	    .reason = patch->reason,
	    .patch = patch->patch,
	    .patch_id = patch->patch_id,
	    .created_at = patch->at};

	patch->sent = true;
	mst_table_put_version(
	    patch->rt->table, &version, on_patch_committed, patch);
}

/* Computes the new document; answers and returns false on a fault. */
static bool
patch_compute(struct patch *patch, const char *base_document)
{
	cJSON *document = cJSON_Parse(base_document);
	cJSON *operations = cJSON_Parse(patch->patch);
	struct mst_config *config = NULL;
	GError *error = NULL;
	char *text;
	bool ok = false;

	if (json_patch_apply(&document, operations, &error) < 0) {
		patch_fail(patch, 422, "bad-patch",
		    "The patch can't be applied (RFC 6902)", error->message, 0);
		goto cleanup;
	}
	text = cJSON_PrintUnformatted(document);
	patch->document = g_strdup(text);
	cJSON_free(text);
	if (strlen(patch->document) > CONFIG_DOCUMENT_MAX) {
		patch_fail(patch, 422, "config-too-long",
		    "The configuration would be too long", NULL, 0);
		goto cleanup;
	}
	if (mst_config_parse(
		&config, patch->document, patch->base + 1, &error) < 0) {
		patch_fail(patch, 422, "config-invalid",
		    "The configuration would be invalid", error->message, 0);
		goto cleanup;
	}
	ok = true;
cleanup:
	g_clear_error(&error);
	mst_config_free(config);
	cJSON_Delete(operations);
	cJSON_Delete(document);
	return ok;
}

static void
on_patch_base(enum mst_table_result result, const GArray *versions, void *ctx)
{
	struct patch *patch = ctx;
	const struct mst_table_config_version *newest = NULL;
	uint64_t current = 0;

	if (result != MST_TABLE_OK) {
		patch_fail(patch, 503, "table-away",
		    "The table is away; nothing was changed", NULL, 2);
		return;
	}
	if (versions->len > 0) {
		newest = &g_array_index(
		    versions, struct mst_table_config_version, 0);
		current = newest->version;
	}
	if (current > patch->base) {
		/* It may be this very patch, sent again. */
		mst_table_list_versions(patch->rt->table, patch->base + 1, 1,
		    on_patch_looked_up, patch);
		return;
	}
	if (current < patch->base) {
		patch_conflict(patch, current);
		return;
	}
	if (patch_compute(patch, newest ? newest->document : "{}"))
		patch_commit(patch);
}

static bool
base_version(struct mst_bytes header, uint64_t *out)
{
	char *text = mst_bytes_to_str(header);
	char *digits = text;
	char *end;
	bool ok;

	if (*digits == '"')
		digits++;
	*out = strtoull(digits, &end, 10);
	ok = end != digits && (*end == '\0' || strcmp(end, "\"") == 0);
	g_free(text);
	return ok;
}

static bool
is_patch_id(const char *text)
{
	size_t len = strlen(text);

	return len > 0 && len <= 64 &&
	    strspn(text,
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"0123456789-") == len;
}

void
runtime_config_patch(struct entry_runtime *rt,
    const struct mst_http_request *request, const char *operator_name)
{
	struct patch *patch = g_new0(struct patch, 1);
	GDateTime *now = g_date_time_new_now_utc();
	char *at = g_date_time_format(now, "%Y-%m-%dT%H:%M:%SZ");
	bool based =
	    base_version(mst_http_header(request, "if-match"), &patch->base);

	patch->rt = rt;
	patch->request = request->id;
	patch->author = g_strdup(operator_name);
	patch->reason =
	    mst_bytes_to_str(mst_http_header(request, "masticstall-reason"));
	patch->patch_id =
	    mst_bytes_to_str(mst_http_header(request, "masticstall-patch-id"));
	patch->patch = mst_bytes_to_str(request->body);
	patch->started_us = runtime_now_us();
	g_strlcpy(patch->at, at, sizeof(patch->at));
	g_free(at);
	g_date_time_unref(now);
	pending_request_new(rt, request->id);
	uv_timer_init(&rt->loop.uv, &patch->timer);
	patch->timer.data = patch;
	if (*patch->patch_id == '\0') {
		g_free(patch->patch_id);
		patch->patch_id =
		    g_strdup_printf("%016" PRIx64, mst_random_u64());
	}
	if (!based)
		patch_fail(patch, 428, "version-needed",
		    "If-Match must name the version that was patched", NULL, 0);
	else if (*patch->reason == '\0')
		patch_fail(patch, 400, "reason-needed",
		    "Masticstall-Reason must say why", NULL, 0);
	else if (!is_patch_id(patch->patch_id) ||
	    !g_utf8_validate(patch->patch, -1, NULL) ||
	    !g_utf8_validate(patch->reason, -1, NULL))
		patch_fail(patch, 400, "bad-request",
		    "The patch or its id is malformed", NULL, 0);
	else
		mst_table_list_versions(rt->table, 0, 1, on_patch_base, patch);
}

struct history {
	struct entry_runtime *rt;
	uint64_t request;
};

static void
on_history(enum mst_table_result result, const GArray *versions, void *ctx)
{
	struct history *history = ctx;
	struct entry_runtime *rt = history->rt;
	struct pending_request *pending =
	    g_hash_table_lookup(rt->pending, (gpointer)history->request);
	cJSON *out = cJSON_CreateObject();
	cJSON *list = cJSON_AddArrayToObject(out, "versions");
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
		cJSON_AddItemToArray(list, item);
	}
	text = cJSON_PrintUnformatted(out);
	if (pending != NULL && result == MST_TABLE_OK)
		runtime_respond(rt, pending, 200, "application/json", text,
		    strlen(text), 0);
	else if (pending != NULL)
		runtime_respond(rt, pending, 503, "application/problem+json",
		    "{\"title\":\"The table is away\",\"status\":503}", 43, 2);
	cJSON_free(text);
	cJSON_Delete(out);
	g_free(history);
}

void
runtime_config_history(
    struct entry_runtime *rt, const struct mst_http_request *request)
{
	struct history *history = g_new0(struct history, 1);

	history->rt = rt;
	history->request = request->id;
	pending_request_new(rt, request->id);
	mst_table_list_versions(
	    rt->table, 0, CONFIG_HISTORY_LIMIT, on_history, history);
}
