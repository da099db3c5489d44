/* Runs of an agent: queue, slots, results and their retention. */

#include "core/agent/agent_internal.h"
#include "core/id.h"

#include <string.h>

static void
copy_task(struct mst_dispatch_item *to, const struct mst_dispatch_item *from)
{
	*to = *from;
	to->method.data = mst_bytes_dup(from->method);
	to->path.data = mst_bytes_dup(from->path);
	to->content_type.data = mst_bytes_dup(from->content_type);
	to->body.data = mst_bytes_dup(from->body);
	to->traceparent.data = mst_bytes_dup(from->traceparent);
	to->record.data = mst_bytes_dup(from->record);
}

static void
release_task(struct mst_dispatch_item *task)
{
	g_free((char *)task->method.data);
	g_free((char *)task->path.data);
	g_free((char *)task->content_type.data);
	g_free((char *)task->body.data);
	g_free((char *)task->traceparent.data);
	g_free((char *)task->record.data);
	task->method = task->path = task->content_type = task->body =
	    task->traceparent = task->record = (struct mst_bytes){0};
}

void
mst_run_free(struct run *run)
{
	release_task(&run->task);
	g_free((char *)run->result.content_type.data);
	g_free((char *)run->result.body.data);
	g_free(run);
}

/* Frees what only the start of a task needs. */
static void
release_body(struct run *run)
{
	g_free((char *)run->task.body.data);
	run->task.body = (struct mst_bytes){0};
}

/* Returns the memory that an acknowledged run takes, in bytes. */
static uint64_t
run_size(const struct run *run)
{
	const struct mst_dispatch_item *task = &run->task;
	const struct mst_result_item *result = &run->result;

	return sizeof(*run) + task->method.len + task->path.len +
	    task->content_type.len + task->traceparent.len + task->record.len +
	    result->content_type.len + result->body.len;
}

static struct run *
create_run(struct mst_agent *agent, struct session *session,
    const struct mst_dispatch_item *item)
{
	struct run *run = g_new0(struct run, 1);

	run->handle = ++agent->next_handle;
	run->session = session;
	run->arrived_us = agent->now_us;
	run->link.data = run;
	copy_task(&run->task, item);
	g_hash_table_insert(session->runs, mst_u64_to_pointer(item->seq), run);
	agent->runs_kept++;
	return run;
}

static void
index_run_by_job(struct run *run)
{
	struct run *head =
	    g_hash_table_lookup(run->session->jobs, &run->task.job);

	if (run->task.job.issuer == 0)
		return;
	if (head == NULL) {
		g_hash_table_insert(run->session->jobs, &run->task.job, run);
		return;
	}
	run->previous_in_job = head;
	run->next_in_job = head->next_in_job;
	if (run->next_in_job != NULL)
		run->next_in_job->previous_in_job = run;
	head->next_in_job = run;
}

static void
unindex_run_by_job(struct run *run)
{
	GHashTable *jobs = run->session->jobs;
	struct run *next = run->next_in_job;

	if (run->task.job.issuer == 0)
		return;
	if (next != NULL)
		next->previous_in_job = run->previous_in_job;
	if (run->previous_in_job != NULL) {
		run->previous_in_job->next_in_job = next;
		return;
	}
	/* The key is part of the first run. */
	g_hash_table_remove(jobs, &run->task.job);
	if (next != NULL)
		g_hash_table_insert(jobs, &next->task.job, next);
}

static void
add_to_outbox(struct run *run)
{
	if (run->in_outbox)
		return;
	run->in_outbox = true;
	g_ptr_array_add(run->session->outbox, run);
}

/* Emits an effect for a leased run that ended without success. */
static void
report_unsuccessful_run(struct mst_agent *agent, const struct run *run)
{
	struct mst_agent_effect *effect;

	if (!agent->options.leased || run->task.path.len == 0 ||
	    (run->result.outcome == MST_OUTCOME_DONE &&
		run->result.reason == MST_REASON_NONE))
		return;
	effect = mst_agent_emit(agent, MST_AGENT_FX_RUN_FAILED);
	effect->task = &run->task;
	effect->entry = run->session->entry;
	effect->run_number = run->run_number;
	effect->result = run->result;
	effect->proof = run->proof;
}

void
mst_run_record_result(struct mst_agent *agent, struct run *run,
    const struct mst_result_item *result)
{
	run->state = RUN_FINISHED;
	run->sent_us = agent->now_us;
	g_queue_push_tail_link(&run->session->unacked, &run->link);
	run->result = *result;
	run->result.seq = run->task.seq;
	report_unsuccessful_run(agent, run);
	run->result.content_type.data = mst_bytes_dup(result->content_type);
	run->result.body.data = mst_bytes_dup(result->body);
	/* The effects of this step may contain orders that refer to a leased
	 * task. */
	if (!agent->options.leased)
		release_task(&run->task);
	else if (run->proof == MST_PROOF_UNSENT)
		release_body(run);
	if (result->outcome == MST_OUTCOME_NOT_RUN)
		agent->counters.refused[result->reason]++;
	if (run->result.start_uncertain)
		agent->counters.starts_uncertain++;
	if (agent->options.leased)
		agent->counters.runs_ended[run->proof]++;
	add_to_outbox(run);
}

static void
refuse_run(struct mst_agent *agent, struct run *run, enum mst_reason reason)
{
	struct mst_result_item result = {.outcome = MST_OUTCOME_NOT_RUN,
	    .reason = (uint8_t)reason,
	    .queue_us = (uint32_t)(agent->now_us - run->arrived_us)};

	run->proof = MST_PROOF_UNSENT;
	mst_run_record_result(agent, run, &result);
}

static void
dequeue_run(struct mst_agent *agent, struct run *run)
{
	g_queue_unlink(&agent->queue, &run->link);
	run->session->open--;
}

/* Runs of isolated jobs that wait at one agent. Entries send all tasks of such
 * a job to one agent. */
#define ISOLATED_QUEUE_MAX 128

/* Returns the maximum length of the queue. A leased agent keeps it short,
 * because the entry can choose a better agent for the tasks that it refuses. */
static uint32_t
queue_limit(const struct mst_agent *agent, const struct mst_dispatch_item *item)
{
	if (!agent->options.leased)
		return agent->options.queue_max;
	if (!mst_worker_is_ready(agent))
		return 0;
	if (item->flags & MST_TASK_ISOLATED)
		return ISOLATED_QUEUE_MAX;
	return mst_worker_free_slots(agent) + agent->options.tuning.queue_max +
	    1;
}

static int64_t
start_deadline_us(const struct run *run)
{
	return run->arrived_us + (int64_t)run->task.slack_us;
}

/* Queues a run. A leased agent orders the queue by the latest time at which a
 * run should start, regardless of its entry. */
static void
enqueue_run(struct mst_agent *agent, struct run *run)
{
	bool by_urgency =
	    agent->options.leased && agent->options.tuning.order_by_urgency;
	GList *after = agent->queue.tail;

	while (by_urgency && after != NULL &&
	    start_deadline_us(after->data) > start_deadline_us(run))
		after = after->prev;
	if (after == agent->queue.tail)
		g_queue_push_tail_link(&agent->queue, &run->link);
	else if (after == NULL)
		g_queue_push_head_link(&agent->queue, &run->link);
	else
		g_queue_insert_after_link(&agent->queue, after, &run->link);
}

/* Returns why a task is not accepted, or MST_REASON_NONE. */
static enum mst_reason
get_refusal(const struct mst_agent *agent, const struct session *session,
    const struct mst_dispatch_item *item, bool stale)
{
	if (session->fenced)
		return MST_REASON_FENCED;
	if (stale)
		return MST_REASON_STALE;
	if (agent->draining || agent->drained || agent->worker.draining)
		return MST_REASON_DRAINING;
	if (agent->queue.length >= queue_limit(agent, item))
		return MST_REASON_BUSY;
	return MST_REASON_NONE;
}

void
mst_agent_receive_task(struct mst_agent *agent, struct session *session,
    const struct mst_dispatch_item *item, bool stale)
{
	struct run *run;

	agent->counters.dispatches++;
	switch (mst_seqset_add(&session->seqs_received, item->seq)) {
	case MST_SEQSET_FULL:
		/* A task that was not recorded must not be answered. The entry
		 * repeats its dispatch. */
		agent->counters.tasks_not_recorded++;
		return;
	case MST_SEQSET_PRESENT:
		agent->counters.duplicates++;
		run = g_hash_table_lookup(
		    session->runs, mst_u64_to_pointer(item->seq));
		if (run != NULL && run->state == RUN_FINISHED)
			add_to_outbox(run);
		return;
	case MST_SEQSET_ADDED:
		break;
	}
	run = create_run(agent, session, item);
	index_run_by_job(run);
	run->refusal = (uint8_t)get_refusal(agent, session, item, stale);
	if (run->refusal != MST_REASON_NONE && !mst_run_must_wait(agent, run)) {
		refuse_run(agent, run, run->refusal);
		return;
	}
	run->state = RUN_QUEUED;
	session->open++;
	enqueue_run(agent, run);
}

void
mst_agent_withdraw_task(
    struct mst_agent *agent, struct session *session, uint64_t seq)
{
	struct mst_dispatch_item placeholder = {.seq = seq};
	struct run *run;

	switch (mst_seqset_add(&session->seqs_received, seq)) {
	case MST_SEQSET_FULL:
		agent->counters.tasks_not_recorded++;
		return;
	case MST_SEQSET_ADDED:
		/* If the dispatch still arrives, this run makes it a
		 * duplicate. */
		run = create_run(agent, session, &placeholder);
		index_run_by_job(run);
		refuse_run(agent, run, MST_REASON_WITHDRAWN);
		agent->counters.withdrawn++;
		return;
	case MST_SEQSET_PRESENT:
		break;
	}
	run = g_hash_table_lookup(session->runs, mst_u64_to_pointer(seq));
	if (run == NULL)
		return;
	if (run->state == RUN_RUNNING) {
		if (agent->options.leased)
			mst_worker_abandon_run(
			    agent, run, agent->now_us, MST_REASON_WITHDRAWN);
		return;
	}
	if (run->state == RUN_FINISHED) {
		add_to_outbox(run);
		return;
	}
	agent->counters.withdrawn++;
	/* Its entry may send the task elsewhere once it is given back. */
	if (mst_run_must_wait(agent, run)) {
		run->refusal = MST_REASON_WITHDRAWN;
		return;
	}
	dequeue_run(agent, run);
	refuse_run(agent, run, MST_REASON_WITHDRAWN);
}

static void
start_run(struct mst_agent *agent, struct run *run)
{
	struct mst_agent_effect *effect;
	int64_t waited_us = agent->now_us - run->arrived_us;

	run->state = RUN_RUNNING;
	run->started_us = agent->now_us;
	run->session->open++;
	agent->running++;
	agent->counters.starts++;
	g_hash_table_insert(
	    agent->active, mst_u64_to_pointer(run->handle), run);
	mst_task_runs_add(agent, run);
	if (agent->options.leased) {
		mst_worker_start_run(agent, run);
		return;
	}
	effect = mst_agent_emit(agent, MST_AGENT_FX_START);
	effect->run = run->handle;
	effect->task = &run->task;
	effect->timeout_ms =
	    run->task.timeout_ms - (uint32_t)(waited_us / 1000);
}

static bool
has_capacity_for(const struct mst_agent *agent, const struct run *run)
{
	if (agent->options.leased)
		return mst_worker_is_ready(agent) &&
		    mst_worker_has_capacity(agent, &run->task.needs);
	return agent->running < agent->options.slots;
}

/* Returns the queued run that is to start next, or NULL. While an isolated run
 * is running, only runs of its job start. */
static struct run *
next_queued(const struct mst_agent *agent)
{
	const struct run *isolated = mst_agent_find_isolated_run(agent);
	GList *link;

	for (link = agent->queue.head; link != NULL; link = link->next) {
		struct run *run = link->data;

		if (!mst_run_must_wait(agent, run) &&
		    (isolated == NULL ||
			mst_job_id_equal(&run->task.job, &isolated->task.job)))
			return run;
	}
	return NULL;
}

static bool
is_past_start_limit(const struct mst_agent *agent, const struct run *run)
{
	int64_t limit_us = (int64_t)run->task.timeout_ms * 1000;

	return agent->now_us - run->arrived_us >= limit_us;
}

static void
refuse_queued_run(
    struct mst_agent *agent, struct run *run, enum mst_reason reason)
{
	dequeue_run(agent, run);
	refuse_run(agent, run, reason);
}

/* Refuses the queued runs for which a condition holds; one that must wait is
 * refused later. */
static void
refuse_queued_if(struct mst_agent *agent, enum mst_reason reason,
    bool (*condition)(
	const struct mst_agent *, const struct run *, const void *),
    const void *ctx)
{
	GList *link = agent->queue.head;
	GList *next;

	for (; link != NULL; link = next) {
		struct run *run = link->data;

		next = link->next;
		if (!condition(agent, run, ctx))
			continue;
		if (mst_run_must_wait(agent, run))
			run->refusal = (uint8_t)reason;
		else
			refuse_queued_run(agent, run, reason);
	}
}

/* Refuses runs that had to wait: those whose start limit is over, and those
 * that were to be refused and need not wait any more. */
static void
refuse_waiting(struct mst_agent *agent)
{
	GList *link = agent->queue.head;
	GList *next;

	for (; link != NULL; link = next) {
		struct run *run = link->data;
		bool must_wait = mst_run_must_wait(agent, run);

		next = link->next;
		if (must_wait && is_past_start_limit(agent, run))
			refuse_queued_run(agent, run, MST_REASON_DEADLINE);
		else if (!must_wait && run->refusal != MST_REASON_NONE)
			refuse_queued_run(agent, run, run->refusal);
	}
}

static bool
may_start(const struct mst_agent *agent, const struct run *run, const void *ctx)
{
	return !mst_run_must_wait(agent, run);
}

void
mst_agent_start_queued(struct mst_agent *agent)
{
	struct run *run;

	refuse_waiting(agent);
	/* Other agents can run them sooner. */
	if (agent->options.leased && !mst_worker_is_ready(agent))
		refuse_queued_if(agent, MST_REASON_BUSY, may_start, NULL);
	while ((run = next_queued(agent)) != NULL &&
	    has_capacity_for(agent, run)) {
		if (is_past_start_limit(agent, run)) {
			refuse_queued_run(agent, run, MST_REASON_DEADLINE);
			continue;
		}
		dequeue_run(agent, run);
		start_run(agent, run);
	}
}

static bool
is_of_session(
    const struct mst_agent *agent, const struct run *run, const void *session)
{
	return session == NULL || run->session == session;
}

static bool
is_unfit(const struct mst_agent *agent, const struct run *run, const void *ctx)
{
	const struct mst_resources *total = &agent->options.resources;
	const struct mst_resources *needs = &run->task.needs;

	return needs->millicores > total->millicores ||
	    needs->memory_mb > total->memory_mb ||
	    needs->accelerators > total->accelerators;
}

void
mst_agent_refuse_unfit(struct mst_agent *agent)
{
	refuse_queued_if(agent, MST_REASON_BUSY, is_unfit, NULL);
}

void
mst_agent_refuse_queued(struct mst_agent *agent, const struct session *session,
    enum mst_reason reason)
{
	refuse_queued_if(agent, reason, is_of_session, session);
}

void
mst_agent_handle_finished(struct mst_agent *agent, uint64_t handle,
    const struct mst_result_item *result)
{
	struct run *run =
	    g_hash_table_lookup(agent->active, mst_u64_to_pointer(handle));

	if (run != NULL)
		mst_run_complete_started(agent, run, result);
}

void
mst_run_complete_started(struct mst_agent *agent, struct run *run,
    const struct mst_result_item *result)
{
	struct mst_result_item timed_result = *result;
	int64_t service_us;

	g_hash_table_remove(agent->active, mst_u64_to_pointer(run->handle));
	mst_task_runs_remove(agent, run);
	agent->running--;
	run->session->open--;
	agent->counters.finished++;
	service_us = agent->now_us - run->started_us;
	timed_result.service_us = (uint32_t)service_us;
	timed_result.queue_us = (uint32_t)(run->started_us - run->arrived_us);
	if (result->outcome == MST_OUTCOME_DONE)
		agent->service_us += (service_us - agent->service_us) / 16;
	mst_run_record_result(agent, run, &timed_result);
}

static void
retain_run(struct mst_agent *agent, struct run *run)
{
	g_queue_unlink(&run->session->unacked, &run->link);
	run->acked = true;
	run->sent_us = agent->now_us;
	release_body(run);
	agent->retained_bytes += run_size(run);
	g_queue_push_tail_link(&agent->retained, &run->link);
}

void
mst_agent_ack_results(struct mst_agent *agent, struct session *session,
    const struct mst_seqset *received)
{
	GList *link, *next;

	for (link = session->unacked.head; link != NULL; link = next) {
		struct run *run = link->data;

		next = link->next;
		if (!mst_seqset_contains(received, run->task.seq))
			continue;
		if (run->result.ack_after_record)
			mst_completions_acknowledge(
			    agent, session->entry, run->task.seq);
		retain_run(agent, run);
	}
}

void
mst_agent_retain_all(struct mst_agent *agent, struct session *session)
{
	while (session->unacked.head != NULL)
		retain_run(agent, session->unacked.head->data);
}

void
mst_agent_repeat_results(struct mst_agent *agent, struct session *session)
{
	GList *link;

	for (link = session->unacked.head; link != NULL; link = link->next) {
		struct run *run = link->data;

		if (run->in_outbox || run->sent_us >= session->heartbeat_us)
			continue;
		agent->counters.results_repeated++;
		add_to_outbox(run);
	}
}

static void
evict_run(struct mst_agent *agent, struct run *run)
{
	struct session *session = run->session;
	struct mst_job_id job = run->task.job;

	g_queue_unlink(&agent->retained, &run->link);
	agent->retained_bytes -= run_size(run);
	if (job.issuer == session->entry)
		session->evicted_counter =
		    MAX(session->evicted_counter, job.counter);
	else if (job.issuer != 0)
		session->evicted_adopted = true;
	unindex_run_by_job(run);
	g_hash_table_remove(session->runs, mst_u64_to_pointer(run->task.seq));
	agent->runs_kept--;
	agent->counters.runs_evicted++;
	mst_run_free(run);
}

void
mst_agent_evict_runs(struct mst_agent *agent)
{
	struct run *run;

	while ((run = g_queue_peek_head(&agent->retained)) != NULL &&
	    (agent->retained_bytes > agent->options.retained_bytes_max ||
		agent->now_us - run->sent_us > agent->options.retention_us)) {
		if (run->in_outbox)
			break;
		evict_run(agent, run);
	}
}
