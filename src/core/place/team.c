/* Teams of an entry: weighted fair queueing between teams, earliest virtual
 * deadline first within a team. */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/place.h"

#define TEAM_RATE_WINDOW_US 500000.0 /* of the average dispatch rate */

/* Orders by virtual deadline, then by submission. */
static gint
compare_jobs(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct job *left = a;
	const struct job *right = b;

	if (left->virtual_deadline_us != right->virtual_deadline_us)
		return left->virtual_deadline_us < right->virtual_deadline_us
		    ? -1
		    : 1;
	if (left->submitted_us != right->submitted_us)
		return left->submitted_us < right->submitted_us ? -1 : 1;
	return left->handle < right->handle ? -1 : left->handle > right->handle;
}

/* Returns the configuration of a team, or the default one. */
static struct mst_team_config
get_team_config(const struct mst_entry *entry, const char *name)
{
	const struct mst_team_config *config;

	if (entry->config == NULL)
		return (struct mst_team_config){
		    .weight = 1, .quota_tasks = UINT32_MAX};
	config = g_hash_table_lookup(entry->config->teams, name);
	return config != NULL ? *config : entry->config->default_team;
}

struct team *
mst_team_get(struct mst_entry *entry, const char *name)
{
	struct team *team = g_hash_table_lookup(entry->teams, name);

	if (team != NULL)
		return team;
	if (g_hash_table_size(entry->teams) >= ENTRY_TEAMS_MAX)
		return NULL;
	if (entry->config != NULL && !entry->config->policy.unknown_teams &&
	    !g_hash_table_contains(entry->config->teams, name))
		return NULL;
	team = g_new0(struct team, 1);
	team->name = g_strdup(name);
	team->hash = g_str_hash(name);
	team->config = get_team_config(entry, name);
	team->jobs = g_sequence_new(NULL);
	g_hash_table_insert(entry->teams, team->name, team);
	mst_quarantine_add_team(entry, team);
	return team;
}

void
mst_team_free(struct team *team)
{
	g_sequence_free(team->jobs);
	g_free(team->name);
	g_free(team);
}

void
mst_teams_reconfigure(struct mst_entry *entry)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct team *team = value;

		team->config = get_team_config(entry, team->name);
	}
}

uint32_t
mst_team_quota(const struct mst_entry *entry, const struct team *team)
{
	uint32_t entries = mst_entry_count_live_entries(entry);

	return MAX(1, team->config.quota_tasks / entries);
}

void
mst_team_enqueue(struct mst_entry *entry, struct job *job)
{
	struct team *team = job->team;

	if (job->queue_iter != NULL)
		return;
	job->queue_iter =
	    g_sequence_insert_sorted(team->jobs, job, compare_jobs, NULL);
	if (team->active)
		return;
	team->active = true;
	/* A team gets no credit for the time it was idle. */
	team->virtual_time = MAX(team->virtual_time, entry->virtual_time);
	g_ptr_array_add(entry->active_teams, team);
}

void
mst_team_reorder(struct mst_entry *entry, struct job *job)
{
	if (job->queue_iter != NULL)
		g_sequence_sort_changed(job->queue_iter, compare_jobs, NULL);
}

void
mst_team_dequeue(struct mst_entry *entry, struct job *job)
{
	struct team *team = job->team;

	if (job->queue_iter == NULL)
		return;
	g_sequence_remove(job->queue_iter);
	job->queue_iter = NULL;
	if (!g_sequence_is_empty(team->jobs))
		return;
	team->active = false;
	g_ptr_array_remove_fast(entry->active_teams, team);
}

void
mst_team_count_waiting(
    struct mst_entry *entry, struct job *job, int change, double load_us)
{
	job->team->tasks_waiting += change;
	entry->tasks_waiting += change;
	job->team->waiting_load_us += change * load_us;
	job->waiting_load_us = MAX(job->waiting_load_us + change * load_us, 0);
	if (job->team->tasks_waiting == 0)
		job->team->waiting_load_us = 0;
}

/* Returns true if a team is served before another one. Teams are ordered by
 * fair shares. In a leased entry, whose runners all have the same owner, they
 * are ordered by the virtual deadlines of their first jobs. */
static bool
is_team_before(const struct mst_entry *entry, const struct team *team,
    const struct team *other)
{
	const struct job *first, *other_first;

	if (!entry->options.leased)
		return team->virtual_time < other->virtual_time;
	first = g_sequence_get(g_sequence_get_begin_iter(team->jobs));
	other_first = g_sequence_get(g_sequence_get_begin_iter(other->jobs));
	return compare_jobs(first, other_first, NULL) < 0;
}

struct team *
mst_team_next(const struct mst_entry *entry)
{
	struct team *best = NULL;
	guint i;

	for (i = 0; i < entry->active_teams->len; i++) {
		struct team *team = entry->active_teams->pdata[i];

		if (team->skipped_round == entry->place_round)
			continue;
		if (best == NULL || is_team_before(entry, team, best))
			best = team;
	}
	return best;
}

void
mst_team_charge(struct mst_entry *entry, struct team *team, double load_us)
{
	entry->virtual_time = MAX(entry->virtual_time, team->virtual_time);
	team->sent_load_us += load_us;
	team->virtual_time += load_us / MAX(team->config.weight, 0.001);
}

void
mst_teams_update_rates(struct mst_entry *entry, int64_t elapsed_us)
{
	double weight = MIN((double)elapsed_us / TEAM_RATE_WINDOW_US, 1);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct team *team = value;

		team->dispatch_rate += weight *
		    (team->sent_load_us / (double)MAX(elapsed_us, 1) -
			team->dispatch_rate);
		team->sent_load_us = 0;
	}
}

double
mst_team_queue_delay_us(
    const struct mst_entry *entry, const struct team *team, double extra_us)
{
	double total_weight = team->active ? 0 : team->config.weight;
	double rate;
	guint i;

	for (i = 0; i < entry->active_teams->len; i++)
		total_weight +=
		    ((const struct team *)entry->active_teams->pdata[i])
			->config.weight;
	/* The team's fair share of the capacity, or its present rate if that is
	 * higher because other teams leave capacity unused. */
	rate = entry->capacity * team->config.weight / total_weight;
	rate = MAX(rate, team->dispatch_rate);
	return (team->waiting_load_us + extra_us) / MAX(rate, 1e-3);
}
