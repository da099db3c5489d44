/*
 * Drained failure domains of an entry: the store's set for the reducer, and the
 * operators' HTTP interface.
 */

#include <cjson/cJSON.h>
#include <inttypes.h>
#include <string.h>

#include "api/problem.h"
#include "base/log.h"
#include "runtime/entry_runtime.h"
#include "runtime/metrics.h"
#include "runtime/operators.h"

static void
pass_to_reducer(struct entry_runtime *rt)
{
	struct mst_entry_event event = drain_set_event(&rt->drain_set);

	rt->step(rt, &event);
}

void
runtime_drains_on_store_update(
    struct entry_runtime *rt, const struct store_update *update)
{
	if (drain_set_update(&rt->drain_set, update))
		pass_to_reducer(rt);
}

void
runtime_drains_on_change(struct entry_runtime *rt, uint64_t revision)
{
	if (revision < rt->drain_set.revision)
		pass_to_reducer(rt);
}

void
runtime_drains_log(const struct mst_entry_effect *effect)
{
	char *domains = mst_bytes_to_str(effect->drains.domains);

	mst_log(MST_LOG_INFO, "drains",
	    "revision=%" PRIu64 " domains=%s source=%s",
	    effect->drains.revision, mst_log_quote(domains), effect->state);
	g_free(domains);
}

static void
domain_clear(gpointer data)
{
	g_free(((struct domain_figures *)data)->name);
}

static gint
compare_domains(gconstpointer a, gconstpointer b)
{
	return strcmp(((const struct domain_figures *)a)->name,
	    ((const struct domain_figures *)b)->name);
}

/* Returns the domain of this name, which is added if the list lacks it. */
static struct domain_figures *
get_domain(GArray *domains, const char *name)
{
	struct domain_figures added = {0};
	guint i;

	for (i = 0; i < domains->len; i++) {
		struct domain_figures *domain =
		    &g_array_index(domains, struct domain_figures, i);

		if (strcmp(domain->name, name) == 0)
			return domain;
	}
	added.name = g_strdup(name);
	g_array_append_val(domains, added);
	return &g_array_index(domains, struct domain_figures, i);
}

/* Returns the names of the drained domains; free with g_strfreev(). */
static char **
drained_names(const struct entry_runtime *rt)
{
	char *text = mst_bytes_to_str(mst_entry_drains(rt->entry).domains);
	char **names = g_strsplit(text, ",", -1);

	g_free(text);
	return names;
}

GArray *
runtime_domains(const struct entry_runtime *rt)
{
	GArray *domains =
	    g_array_new(FALSE, FALSE, sizeof(struct domain_figures));
	GArray *members = mst_entry_members(rt->entry);
	char **drained = drained_names(rt);
	guint i;

	g_array_set_clear_func(domains, domain_clear);
	for (i = 0; i < members->len; i++) {
		const struct mst_member_view *view =
		    &g_array_index(members, struct mst_member_view, i);
		struct domain_figures *domain;

		/* A member is described with its first announcement. */
		if (view->failure_domain == NULL)
			continue;
		domain = get_domain(domains, view->failure_domain);
		if (strcmp(view->state, "gone") != 0)
			domain->members++;
		domain->running += view->outstanding;
		domain->drained =
		    g_strv_contains((const char *const *)drained, domain->name);
	}
	g_array_sort(domains, compare_domains);
	g_strfreev(drained);
	g_array_unref(members);
	return domains;
}

static void
respond_domains(struct entry_runtime *rt, uint64_t id)
{
	char **drained = drained_names(rt);
	GArray *domains = runtime_domains(rt);
	cJSON *out = cJSON_CreateObject();
	cJSON *list;
	char *text;
	guint i;

	cJSON_AddNumberToObject(
	    out, "revision", (double)mst_entry_drains(rt->entry).revision);
	cJSON_AddItemToObject(out, "drained_domains",
	    cJSON_CreateStringArray(
		(const char *const *)drained, (int)g_strv_length(drained)));
	list = cJSON_AddArrayToObject(out, "domains");
	for (i = 0; i < domains->len; i++) {
		const struct domain_figures *domain =
		    &g_array_index(domains, struct domain_figures, i);
		cJSON *item = cJSON_CreateObject();

		cJSON_AddStringToObject(item, "name", domain->name);
		cJSON_AddBoolToObject(item, "drained", domain->drained);
		cJSON_AddNumberToObject(item, "members", domain->members);
		cJSON_AddNumberToObject(item, "running", domain->running);
		cJSON_AddItemToArray(list, item);
	}
	text = cJSON_PrintUnformatted(out);
	runtime_respond_text(rt, id, 200, "application/json", text);
	cJSON_free(text);
	cJSON_Delete(out);
	g_array_unref(domains);
	g_strfreev(drained);
}

static const struct mst_problem problem_platform = {.status = 409,
    .type = "drains-by-platform",
    .title = "Drains are set by the platform's operator",
    .detail = "this deployment takes the drained failure domains from the "
	      "platform's store; nothing was changed"};
static const struct mst_problem problem_not_operator = {.status = 401,
    .type = "not-an-operator",
    .title = "An operator's token is needed"};
static const struct mst_problem problem_domain_name = {.status = 400,
    .type = "bad-domain",
    .title = "This is not a failure domain's name",
    .detail = "a name has 1 to 64 bytes, without commas and control "
	      "characters"};
static const struct mst_problem problem_method = {.status = 405,
    .type = "bad-method",
    .title = "This path has no such method"};

static void
set_drained(struct entry_runtime *rt, const struct mst_http_request *request,
    const char *domain, bool drained)
{
	const char *operator_name;

	if (rt->table == NULL) {
		runtime_respond_problem(rt, request->id, &problem_platform);
		return;
	}
	operator_name = mst_operator_authenticate(
	    rt->settings->operators, mst_http_header(request, "authorization"));
	if (operator_name == NULL)
		runtime_respond_problem(rt, request->id, &problem_not_operator);
	else if (domain == NULL || !mst_config_is_domain_name(domain))
		runtime_respond_problem(rt, request->id, &problem_domain_name);
	else
		runtime_config_set_drained(
		    rt, request, operator_name, domain, drained);
}

void
runtime_on_drains_request(struct entry_runtime *rt,
    const struct mst_http_request *request, struct mst_bytes path)
{
	bool is_put = mst_bytes_equal_str(request->method, "PUT");
	char *domain;

	if (path.len == 0 && mst_bytes_equal_str(request->method, "GET")) {
		respond_domains(rt, request->id);
		return;
	}
	if (path.len == 0 ||
	    (!is_put && !mst_bytes_equal_str(request->method, "DELETE"))) {
		runtime_respond_problem(rt, request->id, &problem_method);
		return;
	}
	/* The path begins with a slash; the rest is percent-encoded. */
	domain =
	    g_uri_unescape_segment(path.data + 1, path.data + path.len, NULL);
	set_drained(rt, request, domain, is_put);
	g_free(domain);
}
