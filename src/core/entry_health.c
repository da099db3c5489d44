/* How an entry judges its members by the outcomes of their tasks. */

#include "core/entry_internal.h"

#define EJECT_DOUBLINGS_MAX 5
#define MEMBER_DOWN_MIN_US  (50 * 1000)
#define MEMBER_DOWN_MAX_US  (1000 * 1000)

static uint32_t
members_out(const struct mst_entry *entry, uint32_t *total)
{
	uint32_t out = 0;
	guint i;

	*total = 0;
	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member->state != MEMBER_ACTIVE)
			continue;
		(*total)++;
		if (member->probing || entry->now_us < member->ejected_until_us)
			out++;
	}
	return out;
}

void
mst_member_update_health(
    struct mst_entry *entry, struct member *member, bool failed)
{
	const struct mst_policy *policy;
	uint32_t total, out, doublings;

	if (!failed) {
		member->failures = 0;
		member->down_backoff_us = 0;
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
	out = members_out(entry, &total);
	/* A fault that most members share is not theirs. */
	if (!member->probing && out + 1 > total * policy->eject_share_max)
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

/* Leaves a member alone for a while whose upstream takes no connections. */
void
mst_member_back_off(struct mst_entry *entry, struct member *member)
{
	if (entry->now_us < member->down_until_us)
		return;
	member->down_backoff_us = CLAMP(member->down_backoff_us * 2,
	    MEMBER_DOWN_MIN_US, MEMBER_DOWN_MAX_US);
	member->down_until_us = entry->now_us + member->down_backoff_us;
}
