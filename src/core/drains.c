#include "core/drains.h"

#include <string.h>

void
mst_drains_init(struct mst_drains *drains)
{
	*drains = (struct mst_drains){
	    .domains = g_ptr_array_new_with_free_func(g_free)};
}

void
mst_drains_clear(struct mst_drains *drains)
{
	g_ptr_array_unref(drains->domains);
	g_free(drains->text);
	*drains = (struct mst_drains){0};
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Returns the valid names, sorted and without repetitions. */
static GPtrArray *
copy_names(const char *const *domains, size_t count)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	guint kept = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		if (domains[i][0] != '\0' && strchr(domains[i], ',') == NULL)
			g_ptr_array_add(names, g_strdup(domains[i]));
	}
	g_ptr_array_sort(names, compare_names);
	while (kept < names->len) {
		if (kept > 0 &&
		    strcmp(names->pdata[kept - 1], names->pdata[kept]) == 0)
			g_ptr_array_remove_index(names, kept);
		else
			kept++;
	}
	if (names->len > MST_DRAINS_MAX)
		g_ptr_array_set_size(names, MST_DRAINS_MAX);
	return names;
}

/* Joins the names of a set; returns NULL if it is empty. */
static char *
join_names(const GPtrArray *names)
{
	GString *text = g_string_new(NULL);
	guint i;

	for (i = 0; i < names->len; i++)
		g_string_append_printf(text, "%s%s", i > 0 ? "," : "",
		    (const char *)names->pdata[i]);
	return g_string_free(text, text->len == 0);
}

bool
mst_drains_update(struct mst_drains *drains, uint64_t revision,
    const char *const *domains, size_t count)
{
	GPtrArray *names;
	char *text;
	bool changed;

	if (revision <= drains->revision)
		return false;
	names = copy_names(domains, count);
	text = join_names(names);
	changed = g_strcmp0(text, drains->text) != 0;
	g_ptr_array_unref(drains->domains);
	g_free(drains->text);
	drains->domains = names;
	drains->text = text;
	drains->revision = revision;
	drains->published |= names->len > 0;
	return changed;
}

bool
mst_drains_merge(
    struct mst_drains *drains, const struct mst_drains_msg *msg, bool *outdated)
{
	const char *own = drains->text != NULL ? drains->text : "";
	char *text;
	char **names;
	bool changed;

	*outdated = false;
	if (msg->revision <= drains->revision) {
		*outdated = msg->revision > 0 &&
		    msg->revision < drains->revision &&
		    !mst_bytes_equal_str(msg->domains, own);
		/* The sender must be told of a set that this process has never
		 * sent, because it was empty. */
		drains->published |= *outdated;
		return false;
	}
	text = mst_bytes_to_str(msg->domains);
	names = g_strsplit(text, ",", -1);
	changed = mst_drains_update(drains, msg->revision,
	    (const char *const *)names, g_strv_length(names));
	drains->published = true;
	g_strfreev(names);
	g_free(text);
	return changed;
}

bool
mst_drains_contains(const struct mst_drains *drains, const char *domain)
{
	guint i;

	for (i = 0; i < drains->domains->len; i++) {
		if (g_strcmp0(drains->domains->pdata[i], domain) == 0)
			return true;
	}
	return false;
}

struct mst_drains_msg
mst_drains_to_msg(const struct mst_drains *drains)
{
	if (!drains->published)
		return (struct mst_drains_msg){0};
	return (struct mst_drains_msg){.revision = drains->revision,
	    .domains = mst_bytes_from_str(drains->text)};
}
