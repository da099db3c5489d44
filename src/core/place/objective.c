/*
 * Objectives of restartable jobs. A job meets its objective if it completes
 * within a multiple of its critical path plus a constant. The order of jobs in
 * the queue and the latest time at which a job can start and still meet its
 * objective are derived from it.
 */

#include "core/entry/entry_internal.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/fit.h"
#include "core/place/place.h"
#include "core/place/quarantine.h"

#define PRIORITY_MAX 10 /* levels that are told apart; 0 is served first */

/* Limits of a job, in microseconds after its submission. */
struct objective {
	int64_t limit_us;         /* the objective */
	int64_t expiry_offset_us; /* later answers are useless */
	int64_t order_offset_us;  /* virtual deadline, which orders the queue */
};

static struct objective
compute_objective(const struct mst_entry *entry, double service_us,
    double stretch, int64_t target_us, int64_t timeout_us, uint32_t priority)
{
	const struct mst_tuning *tuning = &entry->options.tuning;
	int64_t objective_us = (int64_t)(stretch * service_us) + target_us;
	struct objective objective;

	if (objective_us <= 0)
		objective_us = timeout_us;
	objective.limit_us = MIN(objective_us, timeout_us);
	objective.expiry_offset_us =
	    MIN((int64_t)((double)objective_us * tuning->expiry_factor),
		timeout_us);
	objective.order_offset_us = objective.limit_us -
	    (int64_t)(service_us * entry->min_slowness) +
	    MIN(priority, PRIORITY_MAX) * tuning->priority_step_us;
	return objective;
}

void
mst_job_set_objective(struct mst_entry *entry, struct job *job)
{
	int64_t timeout_us = job->deadline_us - job->submitted_us;
	double service_us = mst_job_critical_path_us(job);
	struct objective objective = compute_objective(entry, service_us,
	    job->stretch, job->target_us, timeout_us, job->priority);

	if (!job->restartable)
		objective =
		    (struct objective){timeout_us, timeout_us, timeout_us};
	job->soft_deadline_us = job->submitted_us + objective.limit_us;
	job->expiry_us = job->submitted_us + objective.expiry_offset_us;
	job->virtual_deadline_us =
	    job->submitted_us + objective.order_offset_us;
	job->latest_start_us =
	    job->soft_deadline_us - (int64_t)(service_us * entry->min_slowness);
}

/* Returns the load of a job's waiting tasks that any member outside the
 * quarantine could run, in microseconds. The others use none of the slots that
 * later jobs wait for: the tasks of quarantined jobs have members of their own,
 * and a bound task waits for one host, which is often lost. */
static double
movable_load_us(const struct mst_entry *entry, const struct job *job)
{
	double load_us = 0;
	guint i;

	if (mst_job_is_quarantined(job))
		return 0;
	if (!job->was_bound)
		return job->waiting_load_us;
	for (i = 0; i < job->waiting_tasks->len; i++) {
		const struct task *task =
		    &job->tasks[g_array_index(job->waiting_tasks, uint16_t, i)];

		if (!mst_task_is_bound(entry, task))
			load_us += mst_task_expected_us(job, task);
	}
	return load_us;
}

/* Returns the movable load of a team's jobs up to a virtual deadline, in
 * microseconds. */
static double
movable_load_before_us(const struct mst_entry *entry, const struct team *team,
    int64_t virtual_deadline_us)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(team->jobs);
	double load_us = 0;

	while (!g_sequence_iter_is_end(iter)) {
		const struct job *job = g_sequence_get(iter);

		if (job->virtual_deadline_us > virtual_deadline_us)
			break;
		load_us += movable_load_us(entry, job);
		iter = g_sequence_iter_next(iter);
	}
	return load_us;
}

/* Returns the number of entries that share the members of this entry. */
static uint32_t
count_sharing_entries(const struct mst_entry *entry)
{
	uint32_t live = mst_entry_count_live_entries(entry);
	uint32_t max = entry->options.entries_max;

	return max > 0 ? MIN(live, max) : live;
}

double
mst_entry_queue_delay_us(
    const struct mst_entry *entry, int64_t virtual_deadline_us)
{
	double fair_share = entry->capacity / count_sharing_entries(entry);
	double load_us = 0, rate = 0;
	GHashTableIter iter;
	gpointer value;
	guint i;

	for (i = 0; i < entry->active_teams->len; i++)
		load_us += movable_load_before_us(
		    entry, entry->active_teams->pdata[i], virtual_deadline_us);
	if (load_us == 0)
		return 0;
	g_hash_table_iter_init(&iter, entry->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		rate += ((const struct team *)value)->dispatch_rate;
	return load_us /
	    MAX(MAX(rate, fair_share * entry->options.tuning.rate_share_min),
		1e-3);
}

/* Returns the share of its slack that a job may be expected to wait at the
 * current load. It decreases with the load, because expected waits are rough
 * and only grow once no slot is free. */
static double
max_wait_share(const struct mst_entry *entry)
{
	const struct mst_tuning *tuning = &entry->options.tuning;
	double load_level = (mst_leased_utilization(entry) - tuning->low_load) /
	    (tuning->high_load - tuning->low_load);

	return tuning->wait_share_low_load -
	    CLAMP(load_level, 0, 1) *
	    (tuning->wait_share_low_load - tuning->wait_share_high_load);
}

/* Returns true if this entry's share of the free slots that could serve a new
 * job in time suffices for it. Tasks that wait nevertheless wait for a faster
 * member, not for a slot, and do not delay the job. */
static bool
has_free_slots_for(const struct mst_entry *entry,
    const struct mst_job_spec *spec, double max_slowness)
{
	GQuark service = spec->service ? g_quark_from_string(spec->service) : 0;

	return entry->options.tuning.admit_to_free &&
	    mst_leased_free_slots(entry, service, max_slowness) >=
	    (double)(spec->count + mst_entry_count_untried(entry)) *
		count_sharing_entries(entry);
}

/* Returns the expected service time of a new job at the fastest member, in
 * microseconds, and stores its objective. */
static double
compute_spec_objective(struct objective *objective,
    const struct mst_entry *entry, const struct mst_job_spec *spec,
    const struct team *team)
{
	double service_us = mst_spec_critical_path_us(spec, team);

	*objective = compute_objective(entry, service_us, spec->stretch,
	    (int64_t)spec->target_ms * 1000, (int64_t)spec->timeout_ms * 1000,
	    spec->priority);
	return service_us * entry->min_slowness;
}

bool
mst_spec_is_too_long(const struct mst_entry *entry,
    const struct mst_job_spec *spec, const struct team *team)
{
	struct objective objective;
	double service_us;

	/* The fastest member is not known yet. */
	if (entry->capacity <= 0)
		return false;
	service_us = compute_spec_objective(&objective, entry, spec, team);
	return service_us > (double)objective.limit_us;
}

bool
mst_spec_outlasts_entry(const struct mst_entry *entry,
    const struct mst_job_spec *spec, const struct team *team)
{
	double overrun = mst_estimate_overrun(
	    &team->estimate, entry->options.tuning.overrun_deviations);
	struct objective objective;
	double service_us, wait_us;

	if (entry->stop_us == 0)
		return false;
	service_us = compute_spec_objective(&objective, entry, spec, team);
	wait_us = mst_entry_queue_delay_us(
	    entry, entry->now_us + objective.order_offset_us);
	return (double)entry->now_us + wait_us + service_us * overrun >
	    (double)entry->stop_us;
}

bool
mst_spec_would_be_late(const struct mst_entry *entry,
    const struct mst_job_spec *spec, const struct team *team, double *wait_us)
{
	struct objective objective;
	double service_us, slack_us, max_slowness;

	*wait_us = 0;
	if (!entry->options.tuning.refuse_late)
		return false;
	if (entry->capacity <= 0 &&
	    entry->now_us - entry->started_us <= ENTRY_WARM_UP_US)
		return false;
	service_us = compute_spec_objective(&objective, entry, spec, team);
	slack_us = (double)objective.limit_us - service_us;
	if (team->quarantine != QUARANTINE_NONE)
		return mst_quarantine_would_be_late(
		    entry, team, spec->count, service_us, slack_us, wait_us);
	max_slowness = (double)objective.limit_us *
	    entry->options.tuning.planned_share * entry->min_slowness /
	    MAX(service_us, 1);
	if (!has_free_slots_for(entry, spec, max_slowness))
		*wait_us = mst_entry_queue_delay_us(
		    entry, entry->now_us + objective.order_offset_us);
	return *wait_us > slack_us * max_wait_share(entry);
}

void
mst_job_demote(struct mst_entry *entry, struct job *job)
{
	job->demoted = true;
	job->virtual_deadline_us = job->expiry_us +
	    PRIORITY_MAX * entry->options.tuning.priority_step_us;
	mst_team_reorder(entry, job);
}

bool
mst_job_demote_late(struct mst_entry *entry, struct job *job)
{
	const struct mst_tuning *tuning = &entry->options.tuning;

	if (!tuning->demote_late || !job->restartable || job->stored != NULL ||
	    job->demoted || job->started > 0 ||
	    entry->now_us <= job->latest_start_us)
		return true;
	mst_job_demote(entry, job);
	return entry->now_us +
	    (int64_t)mst_entry_queue_delay_us(
		entry, job->virtual_deadline_us) <=
	    job->expiry_us;
}
