/* Requests of callers to an entry: admission, tickets, waiting, leaving. */

#include "core/entry_internal.h"

#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 60000

static uint32_t
retry_after_ms(double us)
{
	return (uint32_t)CLAMP(
	    us / 1000, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

static double
spec_work_us(const struct mst_job_spec *spec, const struct team *team)
{
	double work = 0;
	uint32_t i;

	for (i = 0; i < spec->count; i++)
		work += spec->tasks[i].declared_us ? spec->tasks[i].declared_us
						   : ENTRY_DEFAULT_DECLARED_US;
	return work * mst_slowness_ratio(&team->bias);
}

/* Reason to refuse a new job now, or MST_REASON_NONE. */
static enum mst_reason
admission_reason(const struct mst_entry *entry, const struct mst_job_spec *spec,
    const struct team *team, uint32_t *retry_ms)
{
	const struct mst_policy *policy = &entry->config->policy;
	uint32_t quota = mst_team_quota(entry, team);
	double wait_us = mst_team_queue_delay_us(entry, team, 0);
	double allowed_us;

	*retry_ms = retry_after_ms(wait_us);
	if (entry->jobs_open >= entry->options.jobs_max ||
	    entry->bytes > entry->options.bytes_max ||
	    entry->waiting + spec->count > policy->queue_tasks_max)
		return MST_REASON_OVERLOAD;
	if (team->open + spec->count > quota)
		return MST_REASON_QUOTA;
	if (spec->restartable) {
		if (mst_spec_is_unplaceable(entry, spec))
			return MST_REASON_NO_FIT;
		if (!mst_job_would_be_late(entry, spec, team, &wait_us))
			return MST_REASON_NONE;
		*retry_ms = retry_after_ms(wait_us);
		return MST_REASON_OVERLOAD;
	}
	if (spec->timeout_ms == 0 || mst_entry_capacity(entry) <= 0)
		return MST_REASON_NONE;
	/* Estimates are rough: a job that waits for most of its time would
	 * often run in vain. */
	allowed_us = (double)spec->timeout_ms * 1000;
	if (wait_us > allowed_us * policy->queue_share ||
	    mst_team_queue_delay_us(entry, team, spec_work_us(spec, team)) >
		allowed_us)
		return MST_REASON_DEADLINE;
	return MST_REASON_NONE;
}

static bool
entry_has_members(const struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member->state == MEMBER_ACTIVE)
			return true;
	}
	return false;
}

static enum mst_reason
readiness_reason(const struct mst_entry *entry)
{
	if (entry->draining)
		return MST_REASON_STOPPING;
	if (entry->config == NULL)
		return MST_REASON_NO_CONFIG;
	/* A leased entry that has just started hears of its agents soon, and
	 * closes what has waited for too long by itself. */
	if (!entry_has_members(entry) &&
	    (!entry->options.leased ||
		entry->now_us - entry->started_us > ENTRY_WARM_UP_US))
		return MST_REASON_NO_MEMBERS;
	return MST_REASON_NONE;
}

static const struct member *
choose_witness(struct mst_entry *entry)
{
	const struct member *chosen = NULL;
	gint32 seen = 0;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member->state != MEMBER_ACTIVE)
			continue;
		/* Whoever records the newest roster names fewer dead. */
		if (chosen != NULL &&
		    member->roster_version < chosen->roster_version)
			continue;
		if (chosen != NULL &&
		    member->roster_version > chosen->roster_version)
			seen = 0;
		seen++;
		if (g_rand_int_range(entry->rand, 0, seen) == 0)
			chosen = member;
	}
	return chosen;
}

static void
ticket_mint(struct mst_entry *entry, struct mst_ticket *ticket)
{
	const struct member *witness = choose_witness(entry);

	ticket->job.issuer = entry->incarnation;
	ticket->job.counter = ++entry->next_counter;
	ticket->arbiter = witness ? witness->incarnation : 0;
}

static void
entry_mint(struct mst_entry *entry, uint64_t request)
{
	enum mst_reason reason = readiness_reason(entry);
	struct mst_entry_effect *effect;
	struct mst_ticket ticket;

	if (reason != MST_REASON_NONE) {
		mst_entry_refuse(entry, request, reason, 1000);
		return;
	}
	ticket_mint(entry, &ticket);
	effect = mst_entry_emit(entry, MST_ENTRY_FX_TICKET);
	effect->request = request;
	effect->ticket = ticket;
}

void
mst_request_attach(struct mst_entry *entry, struct job *job, uint64_t request)
{
	g_array_append_val(job->requests, request);
	g_hash_table_insert(entry->requests, mst_key(request), job);
}

static void
answer_now(struct mst_entry *entry, struct job *job, uint64_t request)
{
	struct mst_entry_effect *effect =
	    mst_entry_emit(entry, MST_ENTRY_FX_ANSWER);

	effect->request = request;
	effect->job = job->handle;
}

static void
job_attach_or_answer(
    struct mst_entry *entry, struct job *job, uint64_t request, bool now)
{
	if (job->state != MST_JOB_OPEN || now)
		answer_now(entry, job, request);
	else
		mst_request_attach(entry, job, request);
}

static void
refuse_as(struct mst_entry *entry, uint64_t request, enum mst_refusal refusal)
{
	struct mst_entry_effect *effect =
	    mst_entry_emit(entry, MST_ENTRY_FX_REFUSE);

	effect->request = request;
	effect->refusal = refusal;
	effect->may_have_run = refusal == MST_REFUSAL_GONE;
}

/* Marks an own ticket as used: 1, 0 when it was used before, -1 when it was
 * never minted. */
static int
ticket_use(struct mst_entry *entry, const struct mst_ticket *ticket)
{
	if (ticket->job.counter == 0 ||
	    ticket->job.counter > entry->next_counter)
		return -1;
	return mst_seqset_add(&entry->used_counters, ticket->job.counter) ==
	    MST_SEQSET_ADDED;
}

static bool
ticket_is_own(const struct mst_entry *entry, const struct mst_ticket *ticket)
{
	return ticket->job.issuer == entry->incarnation;
}

static void
job_start(struct mst_entry *entry, const struct mst_entry_event *event,
    const struct mst_job_spec *spec, struct team *team)
{
	struct job *job = mst_job_new(entry, spec, team);

	entry->jobs_open++;
	entry->counters.jobs++;
	entry->counters.tasks += spec->count;
	team->open += spec->count;
	job_attach_or_answer(entry, job, event->request, event->detach);
	if (!ticket_is_own(entry, &spec->ticket)) {
		mst_entry_adopt(entry, job);
		return;
	}
	mst_job_queue_all(entry, job);
	mst_entry_place(entry);
}

/* Deals with a ticket that is in use or belongs elsewhere; true if the
 * request is settled by that. */
static bool
submit_known_ticket(
    struct mst_entry *entry, const struct mst_entry_event *event)
{
	const struct mst_job_spec *spec = event->spec;
	struct job *job = g_hash_table_lookup(entry->by_id, &spec->ticket.job);
	struct mst_entry_effect *effect;

	if (job != NULL) {
		if (job->fingerprint != spec->fingerprint)
			refuse_as(entry, event->request, MST_REFUSAL_MISMATCH);
		else
			job_attach_or_answer(
			    entry, job, event->request, event->detach);
		return true;
	}
	if (ticket_is_own(entry, &spec->ticket))
		return false;
	if (mst_entry_peer_is_alive(entry, spec->ticket.job.issuer)) {
		effect = mst_entry_emit(entry, MST_ENTRY_FX_FORWARD);
		effect->request = event->request;
		effect->peer = spec->ticket.job.issuer;
		return true;
	}
	return false;
}

void
mst_entry_submit(struct mst_entry *entry, const struct mst_entry_event *event)
{
	struct mst_job_spec spec;
	enum mst_reason reason;
	uint32_t retry_ms = 1000;
	struct team *team = NULL;
	struct job *known;
	int fresh = 1;

	if (event->type == MST_ENTRY_EV_TICKET) {
		entry_mint(entry, event->request);
		return;
	}
	spec = *event->spec;
	if (spec.stored) {
		mst_stored_submit(entry, event->request, &spec);
		return;
	}
	if (spec.ticket.job.issuer != 0 && submit_known_ticket(entry, event))
		return;
	known = spec.key ? g_hash_table_lookup(entry->by_key, spec.key) : NULL;
	if (known != NULL) {
		mst_request_attach(entry, known, event->request);
		return;
	}
	reason = readiness_reason(entry);
	if (reason == MST_REASON_NONE) {
		team = mst_team_get(entry, spec.team);
		reason = team == NULL
		    ? MST_REASON_QUOTA
		    : admission_reason(entry, &spec, team, &retry_ms);
	}
	if (reason != MST_REASON_NONE) {
		mst_entry_refuse(entry, event->request, reason, retry_ms);
		return;
	}
	if (spec.ticket.job.issuer == 0)
		ticket_mint(entry, &spec.ticket);
	if (ticket_is_own(entry, &spec.ticket))
		fresh = ticket_use(entry, &spec.ticket);
	if (fresh < 0)
		refuse_as(entry, event->request, MST_REFUSAL_UNKNOWN_JOB);
	else if (fresh == 0)
		refuse_as(entry, event->request, MST_REFUSAL_GONE);
	else
		job_start(entry, event, &spec, team);
}

void
mst_entry_wait(
    struct mst_entry *entry, uint64_t request, struct mst_job_id id, bool poll)
{
	struct job *job = g_hash_table_lookup(entry->by_id, &id);
	struct mst_entry_effect *effect;

	if (job != NULL) {
		job_attach_or_answer(entry, job, request, poll);
		return;
	}
	if (mst_entry_peer_is_alive(entry, id.issuer)) {
		effect = mst_entry_emit(entry, MST_ENTRY_FX_FORWARD);
		effect->request = request;
		effect->peer = id.issuer;
		return;
	}
	refuse_as(entry, request, MST_REFUSAL_UNKNOWN_JOB);
}

void
mst_entry_cancel(
    struct mst_entry *entry, uint64_t request, struct mst_job_id id)
{
	struct job *job = g_hash_table_lookup(entry->by_id, &id);

	if (job == NULL) {
		refuse_as(entry, request, MST_REFUSAL_UNKNOWN_JOB);
		return;
	}
	mst_job_close(entry, job, MST_JOB_FAILED, MST_REASON_CANCELLED);
	answer_now(entry, job, request);
}

void
mst_entry_disconnect(struct mst_entry *entry, uint64_t request)
{
	struct job *job =
	    g_hash_table_lookup(entry->requests, mst_key(request));
	guint i;

	if (job == NULL)
		return;
	g_hash_table_remove(entry->requests, mst_key(request));
	for (i = 0; i < job->requests->len; i++) {
		if (g_array_index(job->requests, uint64_t, i) != request)
			continue;
		g_array_remove_index_fast(job->requests, i);
		break;
	}
	if (job->restartable && job->stored == NULL && job->requests->len == 0)
		mst_job_close(
		    entry, job, MST_JOB_FAILED, MST_REASON_CALLER_GONE);
}
