/* Warm-up of the members' workers, as announced by their agents. */

#include "core/entry/entry_internal.h"
#include "core/member/member_internal.h"

/* Longest warm-up that is believed. */
#define COLD_MAX_MS (30 * 1000)

static void
report_warm_up(struct mst_entry *entry, const struct member *member)
{
	struct mst_entry_effect *effect =
	    mst_entry_emit(entry, MST_ENTRY_FX_MEMBER);

	effect->peer = member->incarnation;
	effect->state = member->is_cold ? "cold" : "warm";
}

/* The present speed is that of the warm worker, so it is used again afterwards.
 */
static void
begin_warm_up(struct mst_entry *entry, struct member *member)
{
	member->is_cold = true;
	member->warm_slowness = member->reported_slowness;
	member->reported_slowness = 0;
	member->cold_shown = 0;
	report_warm_up(entry, member);
}

static void
end_warm_up(struct mst_entry *entry, struct member *member)
{
	member->is_cold = false;
	member->reported_slowness = member->warm_slowness;
	report_warm_up(entry, member);
}

void
mst_member_set_cold(
    struct mst_entry *entry, struct member *member, uint32_t cold_ms)
{
	if (cold_ms == 0 && !member->is_cold)
		return;
	member->cold_until_us =
	    entry->now_us + (int64_t)MIN(cold_ms, COLD_MAX_MS) * 1000;
	if (cold_ms == 0)
		end_warm_up(entry, member);
	else if (!member->is_cold)
		begin_warm_up(entry, member);
}

void
mst_member_check_warm_up(struct mst_entry *entry, struct member *member)
{
	if (member->is_cold && entry->now_us >= member->cold_until_us)
		end_warm_up(entry, member);
}
