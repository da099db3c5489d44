/*
 * Objectives of restartable jobs: a job is in time when it ends within a
 * multiple of its longest chain of tasks and some more. Which job goes first,
 * and when a job can't be in time any more, follow from that.
 */

#include "core/entry_internal.h"

#define OBJECTIVE_LATE 3.0 /* in objectives: later answers are worth little */
#define PRIORITY_US    (INT64_C(100) * 1000) /* of slack for each level */
#define PRIORITY_MAX   10
#define RATE_SHARE_MIN 0.5 /* of an entry's share of the capacity */
/* Share of a job's slack that it may be expected to wait: waits are rough, and
 * where no slot is left they only grow. */
#define WAIT_SHARE_CALM    1.0
#define WAIT_SHARE_CROWDED 0.2
#define WAIT_CALM          0.6 /* share of the slots in use */
#define WAIT_CROWDED       0.9

/* Time for the objective and time of any use, from the start. */
struct terms {
	int64_t in_time_us;
	int64_t useful_us;
	int64_t urgent_us;
};

static struct terms
terms_of(const struct mst_entry *entry, double work_us, double stretch,
    int64_t target_us, int64_t given_us, uint32_t priority)
{
	int64_t objective_us = (int64_t)(stretch * work_us) + target_us;
	struct terms terms;

	if (objective_us <= 0)
		objective_us = given_us;
	terms.in_time_us = MIN(objective_us, given_us);
	terms.useful_us =
	    MIN((int64_t)((double)objective_us * OBJECTIVE_LATE), given_us);
	terms.urgent_us = terms.in_time_us -
	    (int64_t)(work_us * entry->min_slowness) +
	    MIN(priority, PRIORITY_MAX) * PRIORITY_US;
	return terms;
}

void
mst_job_set_objective(struct mst_entry *entry, struct job *job)
{
	int64_t given_us = job->deadline_us - job->submitted_us;
	double work_us = mst_job_critical_path_us(job);
	struct terms terms = terms_of(entry, work_us, job->stretch,
	    job->target_us, given_us, job->priority);

	if (!job->restartable)
		terms = (struct terms){given_us, given_us, given_us};
	job->soft_deadline_us = job->submitted_us + terms.in_time_us;
	job->expiry_us = job->submitted_us + terms.useful_us;
	job->virtual_deadline_us = job->submitted_us + terms.urgent_us;
	job->latest_start_us =
	    job->soft_deadline_us - (int64_t)(work_us * entry->min_slowness);
}

/* Work of a team's waiting jobs that go before some urgency. */
static double
work_ahead_us(const struct team *team, int64_t urgent_us)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(team->jobs);
	double ahead_us = 0;

	while (!g_sequence_iter_is_end(iter)) {
		const struct job *job = g_sequence_get(iter);

		if (job->virtual_deadline_us > urgent_us)
			break;
		ahead_us += job->waiting_load_us;
		iter = g_sequence_iter_next(iter);
	}
	return ahead_us;
}

double
mst_entry_queue_delay_us(const struct mst_entry *entry, int64_t urgent_us)
{
	double share = mst_entry_capacity(entry) / mst_entry_count_live(entry);
	double ahead_us = 0, rate = 0;
	GHashTableIter iter;
	gpointer value;
	guint i;

	for (i = 0; i < entry->active_teams->len; i++)
		ahead_us +=
		    work_ahead_us(entry->active_teams->pdata[i], urgent_us);
	if (ahead_us == 0)
		return 0;
	g_hash_table_iter_init(&iter, entry->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		rate += ((const struct team *)value)->dispatch_rate;
	return ahead_us / MAX(MAX(rate, share * RATE_SHARE_MIN), 1e-3);
}

static double
wait_share(const struct mst_entry *entry)
{
	double crowd = (mst_leased_utilization(entry) - WAIT_CALM) /
	    (WAIT_CROWDED - WAIT_CALM);

	return WAIT_SHARE_CALM -
	    CLAMP(crowd, 0, 1) * (WAIT_SHARE_CALM - WAIT_SHARE_CROWDED);
}

bool
mst_job_would_be_late(const struct mst_entry *entry,
    const struct mst_job_spec *spec, const struct team *team, double *wait_us)
{
	double work_us = mst_spec_critical_path_us(spec, team);
	double slack_us;
	struct terms terms;

	terms = terms_of(entry, work_us, spec->stretch,
	    (int64_t)spec->target_ms * 1000, (int64_t)spec->timeout_ms * 1000,
	    spec->priority);
	*wait_us = 0;
	if (mst_entry_capacity(entry) <= 0 &&
	    entry->now_us - entry->started_us <= ENTRY_WARM_UP_US)
		return false;
	*wait_us =
	    mst_entry_queue_delay_us(entry, entry->now_us + terms.urgent_us);
	slack_us = (double)terms.in_time_us - work_us * entry->min_slowness;
	return *wait_us > slack_us * wait_share(entry);
}

void
mst_job_demote_late(struct mst_entry *entry, struct job *job)
{
	if (!job->restartable || job->stored != NULL || job->demoted ||
	    job->started > 0 || entry->now_us <= job->latest_start_us)
		return;
	/* It goes behind those that can still be in time. */
	job->demoted = true;
	job->virtual_deadline_us = job->expiry_us + PRIORITY_MAX * PRIORITY_US;
	mst_team_reorder(entry, job);
	if (entry->now_us +
		(int64_t)mst_entry_queue_delay_us(
		    entry, job->virtual_deadline_us) >
	    job->expiry_us)
		mst_job_close(entry, job, MST_JOB_FAILED, MST_REASON_OVERLOAD);
}
