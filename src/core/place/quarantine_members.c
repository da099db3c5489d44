/*
 * Choice of the quarantined members. All entries order the members alike, by
 * the hash of their names, and take the first ones, also while they are down.
 */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/fit.h"
#include "core/place/place.h"
#include "core/place/quarantine.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* A lost member stays chosen for this time. If another one took its place, the
 * crashes would reach one member after the other. */
#define LOST_KEEP_US (INT64_C(10) * G_USEC_PER_SEC)
/* Highest utilization of the other members at which more are quarantined. */
#define OTHERS_UTILIZATION 0.75
#define LOAD_WEIGHT        0.2 /* of a sample in the average load */
#define RESERVED_MEMBERS   1   /* never quarantined, for jobs of other teams */
#define GROWTH_INTERVAL_US (200 * 1000)

uint32_t
mst_quarantine_count_teams(const struct mst_entry *entry)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, entry->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count +=
		    ((const struct team *)value)->quarantine != QUARANTINE_NONE;
	return count;
}

/* Returns true if some open job must run at quarantined members. */
static bool
has_quarantined_jobs(const struct mst_entry *entry)
{
	guint i;

	if (mst_quarantine_count_teams(entry) > 0)
		return true;
	for (i = 0; i < entry->jobs->len && entry->has_suspects; i++) {
		const struct job *job = entry->jobs->pdata[i];

		if (job != NULL && job->state == MST_JOB_OPEN && job->suspect)
			return true;
	}
	return false;
}

/* Returns true if a lost member has been replaced by one of the same name. */
static bool
is_replaced(const struct mst_entry *entry, const struct member *lost)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member->state != MEMBER_GONE &&
		    g_strcmp0(member->name, lost->name) == 0)
			return true;
	}
	return false;
}

/* Returns true if a member counts in the choice, although it may be down now.
 */
static bool
is_eligible(const struct mst_entry *entry, const struct member *member)
{
	if (member->name == NULL || member->state == MEMBER_LEAVING ||
	    mst_drains_contains(&entry->drains, member->failure_domain))
		return false;
	if (member->state != MEMBER_GONE)
		return true;
	return entry->now_us - member->gone_us < LOST_KEEP_US &&
	    !is_replaced(entry, member);
}

static uint32_t
member_rank(const struct member *member)
{
	return XXH32(member->name, strlen(member->name), 0);
}

static gint
compare_ranks(gconstpointer a, gconstpointer b)
{
	uint32_t left = member_rank(*(const struct member *const *)a);
	uint32_t right = member_rank(*(const struct member *const *)b);

	return left < right ? -1 : left > right;
}

/* Members by their part in the quarantine, and what the others serve. */
struct fleet {
	uint32_t usable;
	uint32_t others_down; /* not quarantined, and not usable now */
	double capacity;      /* slots / slowness of the usable members */
	double others_busy;   /* the same, in use at members not quarantined */
};

static struct fleet
measure_fleet(const GPtrArray *eligible, const struct mst_entry *entry)
{
	struct fleet fleet = {0};
	guint i;

	for (i = 0; i < eligible->len; i++) {
		const struct member *member = eligible->pdata[i];
		double busy =
		    member->slots - MIN(member->free_slots, member->slots);

		if (!mst_member_is_usable(entry, member)) {
			fleet.others_down += !member->quarantined;
			continue;
		}
		fleet.usable++;
		fleet.capacity += member->slots / member->slowness;
		if (!member->quarantined)
			fleet.others_busy += busy / member->slowness;
	}
	return fleet;
}

/* Returns the number of members that the jobs of other teams leave. */
static double
spare_members(const struct mst_entry *entry, const GPtrArray *eligible,
    const struct fleet *fleet)
{
	double mean_capacity = fleet->capacity / MAX(fleet->usable, 1);

	if (mean_capacity <= 0)
		return 0;
	return eligible->len - fleet->others_down -
	    ceil(entry->others_busy / OTHERS_UTILIZATION / mean_capacity) -
	    RESERVED_MEMBERS;
}

/* Returns how many members to quarantine: a fixed share at least, and as many
 * as the jobs of other teams leave. It grows one by one. */
static uint32_t
update_size(struct mst_entry *entry, const GPtrArray *eligible)
{
	struct fleet fleet = measure_fleet(eligible, entry);
	double least =
	    ceil(eligible->len * entry->options.tuning.quarantine_share);
	double most = MAX(least, (double)eligible->len - RESERVED_MEMBERS);
	double size;

	entry->others_busy +=
	    LOAD_WEIGHT * (fleet.others_busy - entry->others_busy);
	size = CLAMP(spare_members(entry, eligible, &fleet), least, most);
	if (size <= entry->quarantined_members)
		return (uint32_t)size;
	if (entry->quarantined_members < least)
		return (uint32_t)least;
	if (entry->now_us < entry->next_quarantine_growth_us)
		return MIN(entry->quarantined_members, eligible->len);
	entry->next_quarantine_growth_us = entry->now_us + GROWTH_INTERVAL_US;
	return entry->quarantined_members + 1;
}

static void
quarantine_first(GPtrArray *eligible, uint32_t count)
{
	guint i;

	g_ptr_array_sort(eligible, compare_ranks);
	for (i = 0; i < eligible->len; i++)
		((struct member *)eligible->pdata[i])->quarantined = i < count;
}

static void
end_quarantine(struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->members->len; i++)
		((struct member *)entry->members->pdata[i])->quarantined =
		    false;
	entry->quarantined_members = 0;
	entry->has_suspects = false;
}

void
mst_quarantine_choose_members(struct mst_entry *entry)
{
	GPtrArray *eligible;
	guint i;

	if (!has_quarantined_jobs(entry)) {
		end_quarantine(entry);
		return;
	}
	eligible = g_ptr_array_new();
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];

		if (is_eligible(entry, member))
			g_ptr_array_add(eligible, member);
		else
			member->quarantined = false;
	}
	entry->quarantined_members = update_size(entry, eligible);
	quarantine_first(eligible, entry->quarantined_members);
	g_ptr_array_unref(eligible);
}
