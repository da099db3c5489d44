/* Requests of callers to an entry: tickets, admission, waiting, cancellation
 * and disconnects. */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "core/place/fit.h"
#include "core/place/place.h"

#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 60000

static uint32_t
clamp_retry_after_ms(double wait_us)
{
	return (uint32_t)CLAMP(
	    wait_us / 1000, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

/* Returns the expected service time of all tasks of a job. */
static double
spec_load_us(const struct mst_job_spec *spec, const struct team *team)
{
	double load_us = 0;
	uint32_t i;

	for (i = 0; i < spec->count; i++)
		load_us += spec->tasks[i].declared_us
		    ? spec->tasks[i].declared_us
		    : ENTRY_DEFAULT_DECLARED_US;
	return load_us * mst_slowness_ratio(&team->service_time_ratio);
}

/* Returns the reason to refuse a new job now, or MST_REASON_NONE. Stores the
 * time after which the caller should retry. */
static enum mst_reason
check_admission(struct mst_entry *entry, const struct mst_job_spec *spec,
    const struct team *team, uint32_t *retry_ms)
{
	const struct mst_policy *policy = &entry->config->policy;
	uint32_t quota = mst_team_quota(entry, team);
	double wait_us = mst_team_queue_delay_us(entry, team, 0);
	double timeout_us;

	*retry_ms = clamp_retry_after_ms(wait_us);
	if (entry->jobs_open >= entry->options.jobs_max ||
	    !mst_entry_make_room(
		entry, mst_spec_bytes(spec), entry->options.bytes_max) ||
	    entry->tasks_waiting + spec->count > policy->queue_tasks_max)
		return MST_REASON_OVERLOAD;
	if (team->tasks_open + spec->count > quota)
		return MST_REASON_QUOTA;
	if (spec->restartable) {
		if (mst_spec_is_unplaceable(entry, spec))
			return MST_REASON_NO_FIT;
		/* Waiting does not help it. */
		*retry_ms = RETRY_AFTER_MAX_MS;
		if (mst_spec_outlasts_entry(entry, spec, team)) {
			/* Another entry can run it. */
			*retry_ms = RETRY_AFTER_MIN_MS;
			return MST_REASON_STOPPING;
		}
		if (mst_spec_is_too_long(entry, spec, team))
			return MST_REASON_DEADLINE;
		if (!mst_spec_would_be_late(entry, spec, team, &wait_us))
			return MST_REASON_NONE;
		*retry_ms = clamp_retry_after_ms(wait_us);
		return MST_REASON_OVERLOAD;
	}
	if (spec->timeout_ms == 0 || entry->capacity <= 0)
		return MST_REASON_NONE;
	/* Estimates are rough: a job expected to wait for most of its timeout
	 * would often run in vain, so the wait is limited to a share of it. */
	timeout_us = (double)spec->timeout_ms * 1000;
	if (wait_us > timeout_us * policy->queue_share ||
	    mst_team_queue_delay_us(entry, team, spec_load_us(spec, team)) >
		timeout_us)
		return MST_REASON_DEADLINE;
	return MST_REASON_NONE;
}

static bool
has_member_up(const struct mst_entry *entry)
{
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		if (mst_member_is_up(entry, entry->members->pdata[i]))
			return true;
	}
	return false;
}

/* Returns the reason why this entry accepts no jobs now, or MST_REASON_NONE. */
static enum mst_reason
check_readiness(const struct mst_entry *entry)
{
	if (entry->draining)
		return MST_REASON_STOPPING;
	if (entry->config == NULL)
		return MST_REASON_NO_CONFIG;
	/* A leased entry that has just started accepts jobs, because its agents
	 * announce themselves soon. It closes jobs that wait too long. */
	if (!has_member_up(entry) &&
	    (!entry->options.leased ||
		entry->now_us - entry->started_us > ENTRY_WARM_UP_US))
		return MST_REASON_NO_MEMBERS;
	return MST_REASON_NONE;
}

/* Returns a random one of the active members with the newest roster, or NULL if
 * there is none. */
static const struct member *
choose_arbiter(struct mst_entry *entry)
{
	const struct member *chosen = NULL;
	gint32 candidates = 0;
	guint i;

	for (i = 0; i < entry->members->len; i++) {
		const struct member *member = entry->members->pdata[i];

		if (member->state != MEMBER_ACTIVE)
			continue;
		/* The newest recorded roster lists the fewest lost members. */
		if (chosen != NULL &&
		    member->roster_version < chosen->roster_version)
			continue;
		if (chosen != NULL &&
		    member->roster_version > chosen->roster_version)
			candidates = 0;
		candidates++;
		if (g_rand_int_range(entry->rand, 0, candidates) == 0)
			chosen = member;
	}
	return chosen;
}

static void
issue_ticket(struct mst_entry *entry, struct mst_ticket *ticket)
{
	const struct member *arbiter = choose_arbiter(entry);

	ticket->job.issuer = entry->incarnation;
	ticket->job.counter = ++entry->next_counter;
	ticket->arbiter = arbiter ? arbiter->incarnation : 0;
}

static void
handle_ticket_request(struct mst_entry *entry, uint64_t request)
{
	enum mst_reason reason = check_readiness(entry);
	struct mst_entry_effect *effect;
	struct mst_ticket ticket;

	if (reason != MST_REASON_NONE) {
		mst_entry_refuse(entry, request, reason, 1000);
		return;
	}
	issue_ticket(entry, &ticket);
	effect = mst_entry_emit(entry, MST_ENTRY_FX_TICKET);
	effect->request = request;
	effect->ticket = ticket;
}

static void
answer_request(struct mst_entry *entry, struct job *job, uint64_t request)
{
	struct mst_entry_effect *effect =
	    mst_entry_emit(entry, MST_ENTRY_FX_ANSWER);

	effect->request = request;
	effect->job = job->handle;
}

static void
attach_or_answer_request(
    struct mst_entry *entry, struct job *job, uint64_t request, bool immediate)
{
	if (job->state != MST_JOB_OPEN || immediate)
		answer_request(entry, job, request);
	else
		mst_request_attach(entry, job, request);
}

static void
refuse_request(
    struct mst_entry *entry, uint64_t request, enum mst_refusal refusal)
{
	struct mst_entry_effect *effect =
	    mst_entry_emit(entry, MST_ENTRY_FX_REFUSE);

	effect->request = request;
	effect->refusal = refusal;
	effect->may_have_run = refusal == MST_REFUSAL_GONE;
}

/* Marks a ticket of this incarnation as used. Returns 1, 0 if it was used
 * before, or -1 if it was never issued. */
static int
mark_ticket_used(struct mst_entry *entry, const struct mst_ticket *ticket)
{
	if (ticket->job.counter == 0 ||
	    ticket->job.counter > entry->next_counter)
		return -1;
	return mst_seqset_add(&entry->used_counters, ticket->job.counter) ==
	    MST_SEQSET_ADDED;
}

static bool
is_own_ticket(const struct mst_entry *entry, const struct mst_ticket *ticket)
{
	return ticket->job.issuer == entry->incarnation;
}

static void
start_job(struct mst_entry *entry, const struct mst_entry_event *event,
    const struct mst_job_spec *spec, struct team *team)
{
	struct job *job = mst_job_new(entry, spec, team);

	entry->jobs_open++;
	entry->counters.jobs++;
	entry->counters.tasks += spec->count;
	team->tasks_open += spec->count;
	attach_or_answer_request(entry, job, event->request, event->detach);
	if (!is_own_ticket(entry, &spec->ticket)) {
		mst_entry_adopt_job(entry, job);
		return;
	}
	mst_uncertain_bind_job(entry, job);
	mst_job_recall_crashes(entry, job);
	if (job->state != MST_JOB_OPEN)
		return;
	mst_job_queue_all(entry, job);
	mst_entry_place_tasks(entry);
}

/* Handles a submission whose ticket belongs to a job of this entry or was
 * issued by a live peer. Returns true if the request has been handled. */
static bool
handle_known_ticket(
    struct mst_entry *entry, const struct mst_entry_event *event)
{
	const struct mst_job_spec *spec = event->spec;
	struct job *job =
	    g_hash_table_lookup(entry->jobs_by_id, &spec->ticket.job);
	struct mst_entry_effect *effect;

	if (job != NULL) {
		if (job->fingerprint != spec->fingerprint)
			refuse_request(
			    entry, event->request, MST_REFUSAL_MISMATCH);
		else
			attach_or_answer_request(
			    entry, job, event->request, event->detach);
		return true;
	}
	if (is_own_ticket(entry, &spec->ticket))
		return false;
	if (mst_entry_peer_is_alive(entry, spec->ticket.job.issuer)) {
		effect = mst_entry_emit(entry, MST_ENTRY_FX_FORWARD);
		effect->request = event->request;
		effect->peer = spec->ticket.job.issuer;
		return true;
	}
	return false;
}

/* Returns the timeout of a job: the time that its caller waits if it has said
 * so, up to the limit, else that of the job's queue. */
static uint32_t
choose_timeout_ms(
    const struct mst_entry *entry, const struct mst_job_spec *spec)
{
	if (spec->caller_deadline_ms == 0)
		return spec->timeout_ms;
	return MIN(spec->caller_deadline_ms, entry->options.deadline_max_ms);
}

void
mst_entry_submit(struct mst_entry *entry, const struct mst_entry_event *event)
{
	struct mst_job_spec spec;
	enum mst_reason reason;
	uint32_t retry_ms = 1000;
	struct team *team = NULL;
	struct job *existing;
	int ticket_status = 1;

	if (event->type == MST_ENTRY_EV_TICKET) {
		handle_ticket_request(entry, event->request);
		return;
	}
	spec = *event->spec;
	if (spec.stored) {
		mst_stored_submit(entry, event->request, &spec);
		return;
	}
	spec.timeout_ms = choose_timeout_ms(entry, &spec);
	if (spec.ticket.job.issuer != 0 && handle_known_ticket(entry, event))
		return;
	existing =
	    spec.key ? g_hash_table_lookup(entry->jobs_by_key, spec.key) : NULL;
	if (existing != NULL) {
		mst_request_attach(entry, existing, event->request);
		return;
	}
	reason = check_readiness(entry);
	if (reason == MST_REASON_NONE) {
		team = mst_team_get(entry, spec.team);
		/* A job that is given up needs no room, and it has run. */
		if (team == NULL)
			reason = MST_REASON_QUOTA;
		else if (!mst_spec_is_given_up(entry, &spec))
			reason = mst_entry_sheds(entry)
			    ? MST_REASON_OVERLOAD
			    : check_admission(entry, &spec, team, &retry_ms);
	}
	if (reason != MST_REASON_NONE) {
		mst_entry_refuse(entry, event->request, reason, retry_ms);
		return;
	}
	if (spec.ticket.job.issuer == 0)
		issue_ticket(entry, &spec.ticket);
	if (is_own_ticket(entry, &spec.ticket))
		ticket_status = mark_ticket_used(entry, &spec.ticket);
	if (ticket_status < 0)
		refuse_request(entry, event->request, MST_REFUSAL_UNKNOWN_JOB);
	else if (ticket_status == 0)
		refuse_request(entry, event->request, MST_REFUSAL_GONE);
	else
		start_job(entry, event, &spec, team);
}

void
mst_entry_wait(
    struct mst_entry *entry, uint64_t request, struct mst_job_id id, bool poll)
{
	struct job *job = g_hash_table_lookup(entry->jobs_by_id, &id);
	struct mst_entry_effect *effect;

	if (job != NULL) {
		attach_or_answer_request(entry, job, request, poll);
		return;
	}
	if (mst_entry_peer_is_alive(entry, id.issuer)) {
		effect = mst_entry_emit(entry, MST_ENTRY_FX_FORWARD);
		effect->request = request;
		effect->peer = id.issuer;
		return;
	}
	refuse_request(entry, request, MST_REFUSAL_UNKNOWN_JOB);
}

void
mst_entry_cancel(
    struct mst_entry *entry, uint64_t request, struct mst_job_id id)
{
	struct job *job = g_hash_table_lookup(entry->jobs_by_id, &id);

	if (job == NULL) {
		refuse_request(entry, request, MST_REFUSAL_UNKNOWN_JOB);
		return;
	}
	mst_job_close(entry, job, MST_JOB_FAILED, MST_REASON_CANCELLED);
	answer_request(entry, job, request);
}

void
mst_entry_disconnect(struct mst_entry *entry, uint64_t request)
{
	struct job *job =
	    g_hash_table_lookup(entry->requests, mst_u64_to_pointer(request));
	guint i;

	if (job == NULL)
		return;
	g_hash_table_remove(entry->requests, mst_u64_to_pointer(request));
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
