/*
 * Load that an entry sheds because it is short of processor. Input that arrives
 * while the loop handles earlier input waits unread, for as long as the present
 * iteration of the loop takes. While iterations take longer than a target, the
 * share of the new jobs that are refused rises; otherwise it falls. A refusal
 * costs far less than a job, so that iterations get shorter.
 */

#include "core/entry/entry_internal.h"

/* Age of unread input that is aimed at. Short jobs have some 100 ms to spare,
 * and each waits several times: as a submission, as a result, for its slot. */
#define SHED_TARGET_US (15 * 1000)
/* Change a second of the lasting share, for an age of twice the target. It
 * falls no faster than it rises: a job that is accepted costs most when its
 * results come. */
#define SHED_LASTING_RATE 6.0
/* Time for which iterations may take longer before anything is shed. */
#define SHED_PATIENCE_US (100 * 1000)
/* Share that is added at once for an age of twice the target. */
#define SHED_PROMPT 0.6
#define SHED_MAX    0.98
/* Excess over the target, as a share of it, that counts at most. */
#define SHED_EXCESS_MAX 4.0
/* Time of one iteration that counts at most. A longer one is a pause. */
#define SHED_STEP_MAX_S 0.05

void
mst_entry_note_iteration(struct mst_entry *entry, int64_t busy_us)
{
	double elapsed_s =
	    (double)(entry->now_us - entry->shed_updated_us) / G_USEC_PER_SEC;
	double excess =
	    MIN((double)busy_us / SHED_TARGET_US - 1, SHED_EXCESS_MAX);
	/* One long iteration alone is a pause or a rare event. */
	double lasting_excess = MIN(excess, entry->last_excess);

	entry->shed_updated_us = entry->now_us;
	entry->last_excess = excess;
	/* After a start, iterations are long because agents join. */
	if ((lasting_excess <= 0 && entry->shed_lasting <= 0) ||
	    entry->now_us - entry->started_us < ENTRY_WARM_UP_US)
		entry->in_time_us = entry->now_us;
	if (entry->now_us - entry->in_time_us < SHED_PATIENCE_US) {
		entry->shed_share = 0;
		return;
	}
	if (excess > 0)
		elapsed_s = MIN(elapsed_s, SHED_STEP_MAX_S);
	entry->shed_lasting =
	    CLAMP(entry->shed_lasting + SHED_LASTING_RATE * excess * elapsed_s,
		0, SHED_MAX);
	entry->shed_share =
	    MIN(entry->shed_lasting + SHED_PROMPT * MAX(lasting_excess, 0),
		SHED_MAX);
}

bool
mst_entry_sheds(struct mst_entry *entry)
{
	bool sheds = entry->shed_share > 0 &&
	    g_rand_double(entry->rand) < entry->shed_share;

	entry->counters.jobs_shed += sheds;
	return sheds;
}
