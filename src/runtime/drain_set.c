#include "runtime/drain_set.h"

#include "base/log.h"
#include "core/drains.h"

void
drain_set_init(struct drain_set *set)
{
	*set = (struct drain_set){
	    .domains = g_ptr_array_new_with_free_func(g_free)};
}

void
drain_set_clear(struct drain_set *set)
{
	g_ptr_array_unref(set->domains);
	*set = (struct drain_set){0};
}

static bool
find_domain(const struct drain_set *set, const char *name, guint *index)
{
	return g_ptr_array_find_with_equal_func(
	    set->domains, name, g_str_equal, index);
}

bool
drain_set_update(struct drain_set *set, const struct store_update *update)
{
	guint i, index;

	if (update->revision <= set->revision)
		return false;
	set->revision = update->revision;
	if (update->is_snapshot)
		g_ptr_array_set_size(set->domains, 0);
	for (i = 0; i < update->restored->len; i++) {
		if (find_domain(set, update->restored->pdata[i], &index))
			g_ptr_array_remove_index(set->domains, index);
	}
	for (i = 0; i < update->drained->len; i++) {
		const char *name = update->drained->pdata[i];

		if (!find_domain(set, name, NULL))
			g_ptr_array_add(set->domains, g_strdup(name));
	}
	if (set->domains->len > MST_DRAINS_MAX)
		mst_log(MST_LOG_ERROR, "drains-ignored", "count=%u max=%d",
		    set->domains->len, MST_DRAINS_MAX);
	set->was_drained |= set->domains->len > 0;
	return set->was_drained;
}

struct mst_entry_event
drain_set_event(const struct drain_set *set)
{
	return (struct mst_entry_event){.type = MST_ENTRY_EV_DRAINS,
	    .drains_revision = set->revision,
	    .drained_domains = (const char *const *)set->domains->pdata,
	    .drained_count = set->domains->len};
}
