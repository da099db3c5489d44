/* Ejection of members whose tasks fail, and back-off from failed upstreams. */

#include "base/retry_delay.h"
#include "core/entry/entry_internal.h"
#include "core/member/member.h"
#include "core/place/fit.h"

#define EJECT_DOUBLINGS_MAX 5

/* Time for which a member whose upstream is down gets no tasks, in
 * microseconds. */
static const struct mst_retry_bounds down_bounds = {
    .min = 100 * 1000, .max = 1300 * 1000};

/* Returns the number of active members that are ejected or being probed, and
 * stores the number of all active members. */
static uint32_t
count_ejected_members(const struct mst_entry *entry, uint32_t *active)
{
	uint32_t ejected = 0;
	guint i;

	*active = 0;
	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (!mst_member_is_up(entry, member))
			continue;
		(*active)++;
		if (member->probing || entry->now_us < member->ejected_until_us)
			ejected++;
	}
	return ejected;
}

void
mst_member_update_health(
    struct mst_entry *entry, struct member *member, bool failed)
{
	const struct mst_policy *policy;
	uint32_t active, ejected, doublings;

	if (!failed) {
		member->failures = 0;
		member->down_failures = 0;
		if (member->probing) {
			member->probing = false;
			member->ejections = 0;
			mst_member_report(entry, member);
		}
		return;
	}
	if (entry->config == NULL)
		return;
	policy = &entry->config->policy;
	member->failures++;
	if (!member->probing && member->failures < policy->eject_failures)
		return;
	ejected = count_ejected_members(entry, &active);
	/* A failure that most members share is unlikely to be caused by the
	 * members, so no more than the configured share of them is ejected. */
	if (!member->probing && ejected + 1 > active * policy->eject_share_max)
		return;
	doublings = MIN(member->ejections, EJECT_DOUBLINGS_MAX);
	member->ejections++;
	member->failures = 0;
	member->probing = false;
	member->ejected_until_us =
	    entry->now_us + ((int64_t)policy->eject_ms * 1000 << doublings);
	entry->counters.ejections++;
	mst_member_report(entry, member);
}

/* Stops sending tasks to a member for a while, because its upstream accepts no
 * connections. The time doubles with each consecutive failure. */
void
mst_member_back_off(struct mst_entry *entry, struct member *member)
{
	if (entry->now_us < member->down_until_us)
		return;
	member->down_failures++;
	member->down_until_us = entry->now_us +
	    mst_retry_delay(&down_bounds, member->down_failures,
		g_rand_double(entry->rand));
}
