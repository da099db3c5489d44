/* Drained failure domains of an entry: passes on the store's set, and logs. */

#include <inttypes.h>

#include "base/log.h"
#include "runtime/entry_runtime.h"

static void
pass_to_reducer(struct entry_runtime *rt)
{
	struct mst_entry_event event = drain_set_event(&rt->drain_set);

	runtime_step(rt, &event);
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
