/*
 * Hash of the state of the lease search. Two states with the same hash are
 * explored once. Times count relative to now, in ticks, and only as far as they
 * still matter.
 *
 * Left out, so that the cut may miss what only they change: the state of random
 * generators (delays of retries, choice of a member), averages of service and
 * answer times, crash histories, quarantine and health of members, counters,
 * descriptions and addresses, jobs beside the one that is open, retained
 * results, the bytes of messages that are held up beyond their type and age,
 * and times that passed more than HORIZON_US ago.
 */

#include "core/agent/agent_internal.h"
#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/job.h"
#include "core/member/member.h"
#include "search/model.h"

#include <xxhash.h>

#define HORIZON_US (3 * G_USEC_PER_SEC)

struct hasher {
	const struct model *m;
	GArray *values; /* int64_t */
};

static void
put(const struct hasher *h, int64_t value)
{
	g_array_append_val(h->values, value);
}

static void
put_time(const struct hasher *h, int64_t us)
{
	int64_t age_us = CLAMP(us - h->m->now_us, -HORIZON_US, HORIZON_US);

	put(h, age_us / MODEL_TICK_US);
}

static void
put_bool4(const struct hasher *h, bool a, bool b, bool c, bool d)
{
	put(h, a | b << 1 | c << 2 | d << 3);
}

static void
put_order(const struct hasher *h, const struct search_order *order, int agent)
{
	const struct search_worker *worker = &h->m->workers[agent];
	int64_t clock_ms = search_worker_clock_ms(worker, h->m->now_us);

	put(h, order->kind);
	put(h, order->run);
	put(h, order->fence < worker->fence);
	put(h,
	    order->lease_end_ms == 0
		? -1
		: CLAMP(order->lease_end_ms - clock_ms, 0, 1100) / 10);
	put_time(h, order->sent_us);
}

static void
put_event(const struct hasher *h, const struct model_event *event)
{
	put(h, event->type);
	put(h, event->from << 8 | event->to);
	put_bool4(h, event->is_held, event->answer_lost,
	    event->agent_start == h->m->nodes[event->to].starts, false);
	if (event->type == MODEL_ORDER)
		put_order(h, &event->order, event->to - MODEL_ENTRIES);
	if (event->type == MODEL_ANSWER && event->is_held) {
		put_order(h, &event->order, event->to - MODEL_ENTRIES);
		put(h, event->answer->answer.status);
	}
	if (event->type == MODEL_MESSAGE) {
		put(h, event->msg_type);
		put_time(h, event->sent_us);
	}
}

static void
put_events(const struct hasher *h, const GPtrArray *events)
{
	guint i;

	put(h, events->len);
	for (i = 0; i < events->len; i++)
		put_event(h, events->pdata[i]);
}

static void
put_run(const struct hasher *h, const struct run *run)
{
	put(h, run->state);
	put(h, (int64_t)run->task.seq);
	put(h, (int64_t)run->session->entry);
	put(h, run->run_number);
	put(h,
	    run->order_state << 16 | run->order_tries << 8 | run->starts_open);
	put(h, run->stop_reason);
	put_bool4(h, run->start_unanswered, run->crashed, run->start_hedged,
	    run->acked);
	put_time(h, run->order_due_us);
	put_time(h, run->confirmed_us);
}

/* Adds the values of an unordered set: the sum of their hashes. */
static void
put_sum(const struct hasher *h, GHashTable *table,
    void (*put_value)(const struct hasher *, gconstpointer))
{
	GHashTableIter iter;
	gpointer value;
	uint64_t sum = 0;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct hasher part = {.m = h->m,
		    .values = g_array_new(FALSE, FALSE, sizeof(int64_t))};

		put_value(&part, value);
		sum += XXH3_64bits(
		    part.values->data, part.values->len * sizeof(int64_t));
		g_array_unref(part.values);
	}
	put(h, (int64_t)sum);
}

static void
put_session_run(const struct hasher *h, gconstpointer value)
{
	put_run(h, value);
}

static void
put_session(const struct hasher *h, gconstpointer value)
{
	const struct session *session = value;

	put(h, (int64_t)session->entry);
	put(h, session->open);
	put_time(h, session->last_heard_us);
	put_time(h, session->echo_us);
	put(h, session->unacked.length);
	put_sum(h, session->runs, put_session_run);
}

/* Counts an id by its index; NULL: none. */
static void
put_id(const struct hasher *h, const char *id)
{
	put(h, search_worker_find_id(mst_bytes_from_str(id)));
}

static void
put_agent_worker(const struct hasher *h, const struct mst_agent *agent,
    const struct search_worker *actual)
{
	const struct worker *worker = &agent->worker;
	int i;

	put_bool4(h, worker->has_reported, worker->report_is_kept,
	    worker->synced, worker->was_synced);
	put(h, worker->incarnation == actual->incarnation);
	put(h,
	    (worker->fence > actual->fence) - (worker->fence < actual->fence));
	put_bool4(h, worker->fence == 0,
	    worker->fence == worker->fence_in_force, worker->fence_is_guess,
	    worker->id != NULL);
	put_bool4(h, worker->candidate.is_set,
	    worker->candidate.renewal.id != 0, worker->candidate.is_kept,
	    worker->unknown_since_us > 0);
	put_id(h, worker->id);
	put_id(h, worker->candidate.report.id.data);
	put(h, worker->candidate.report.incarnation == actual->incarnation);
	put_time(h, worker->heard_us);
	put(h, (int64_t)(actual->last_seq - worker->completions_read));
	put(h, worker->clock_ms == 0);
	put_time(h, worker->lease_end_us);
	put_time(h, worker->start_after_us);
	put_time(h, worker->next_renew_us);
	put_time(h, worker->unreliable_until_us);
	put(h, worker->renew_failures);
	put(h, worker->is_restarted);
	for (i = 0; i < WORKER_RENEWS_MAX; i++) {
		put(h, worker->renewals[i].id != 0);
		put(h, worker->renewals[i].fence == worker->fence);
	}
}

static void
put_agent(const struct hasher *h, const struct mst_agent *agent,
    const struct search_worker *actual)
{
	put(h, agent->running);
	put(h, agent->queue.length);
	put_time(h, agent->next_heartbeat_us);
	put_sum(h, agent->sessions, put_session);
	put_agent_worker(h, agent, actual);
}

static void
put_member(const struct hasher *h, const struct member *member)
{
	put(h, (int64_t)member->incarnation);
	put(h, member->state);
	put(h, member->outstanding);
	put(h, member->grant);
	put(h, (int64_t)member->next_seq);
	put_time(h, member->last_heard_us);
	/* The clocks of the processes are the model's. */
	put_time(h, member->clock_us);
	put_time(h, member->down_until_us);
}

static void
put_starts(const struct hasher *h, const struct uncertain_start *start)
{
	for (; start != NULL; start = start->next) {
		put(h, (int64_t)start->agent);
		put(h, start->is_told);
		put_time(h, start->expires_us);
	}
}

static void
put_entry_job(const struct hasher *h, gconstpointer value)
{
	const struct job *job = value;

	put(h, job->state);
	put(h, job->open);
	put(h, job->requests->len);
	put(h, job->waiting_tasks->len);
	put(h, job->may_have_run);
	put(h, job->tasks[0].state);
	put(h, job->tasks[0].attempts);
	put(h, job->tasks[0].start_state);
	put_starts(h, job->tasks[0].starts);
	put_time(h, job->deadline_us);
	put_time(h, job->expiry_us);
}

static void
put_kept_starts(const struct hasher *h, gconstpointer value)
{
	const struct kept_starts *kept = value;
	const GList *link;

	put(h, (int64_t)kept->entry);
	put_time(h, kept->heard_us);
	put_time(h, kept->lost_us);
	for (link = kept->by_age.head; link != NULL; link = link->next) {
		const struct kept_start *start = link->data;

		put(h, (int64_t)start->number);
		put(h, (int64_t)start->agent);
		put(h, start->is_told);
	}
}

static void
put_backup(const struct hasher *h, const struct mst_entry *entry)
{
	put(h, (int64_t)entry->backup.peer);
	put(h, entry->backup.is_new);
	put(h, entry->backup.settled->len);
	put_time(h, entry->backup.settled_us);
	put_sum(h, entry->kept.by_entry, put_kept_starts);
}

static void
put_entry(const struct hasher *h, const struct mst_entry *entry)
{
	guint i;

	put(h, (int64_t)entry->incarnation);
	put(h, entry->tasks_sent);
	put_time(h, entry->next_heartbeat_us);
	put(h, entry->heartbeat_rounds % 2);
	put(h, entry->uncertain.by_expiry.length);
	put_backup(h, entry);
	put(h, entry->members->len);
	for (i = 0; i < entry->members->len; i++)
		put_member(h, entry->members->pdata[i]);
	put_sum(h, entry->jobs_by_key, put_entry_job);
	put(h, entry->retries->len);
	for (i = 0; i < entry->retries->len; i++)
		put_time(
		    h, g_array_index(entry->retries, struct retry, i).due_us);
}

static void
put_worker(const struct hasher *h, const struct search_worker *worker)
{
	int64_t left_ms =
	    worker->lease_end_ms - search_worker_clock_ms(worker, h->m->now_us);
	uint32_t i;

	put(h, worker->is_down);
	put(h, worker->starts);
	put(h, worker->id);
	put(h, worker->fence == 0);
	put(h, CLAMP(left_ms, 0, 1100) / 10);
	put(h, worker->last_run);
	put(h, worker->completion_count);
	for (i = 0; i < worker->run_count; i++)
		put(h, worker->runs[i]);
}

static void
put_node(const struct hasher *h, int index)
{
	const struct model_node *node = &h->m->nodes[index];

	put_bool4(
	    h, node->is_alive, node->is_frozen, node->was_used, node->has_told);
	put(h, node->starts);
	put_events(h, node->backlog);
	if (node->entry != NULL)
		put_entry(h, node->entry);
	if (node->agent != NULL)
		put_agent(
		    h, node->agent, &h->m->workers[index - MODEL_ENTRIES]);
}

static void
put_links(const struct hasher *h)
{
	int from, to;

	for (from = 0; from < MODEL_NODES; from++) {
		for (to = 0; to < MODEL_NODES; to++) {
			put(h, h->m->links[from][to]);
			put_events(h, h->m->stalled[from][to]);
		}
	}
}

static void
put_waits(const struct hasher *h)
{
	guint i;

	for (i = 0; i < h->m->waits->len; i++) {
		const struct model_wait *wait =
		    &g_array_index(h->m->waits, struct model_wait, i);

		put(h, wait->agent << 8 | (int)wait->order.kind);
		put_time(h, wait->end_us);
	}
	put(h, h->m->polls->len);
}

static void
put_caller(const struct hasher *h)
{
	const struct model_caller *caller = &h->m->caller;

	put(h, caller->entry);
	put_time(h, caller->sent_us);
	put_time(h, caller->resend_us);
	put(h, caller->attempts);
	put_bool4(h, caller->entry_failed, caller->finished,
	    caller->is_turned_away, false);
}

uint64_t
model_hash(const struct model *m)
{
	const struct hasher h = {
	    .m = m, .values = g_array_new(FALSE, FALSE, sizeof(int64_t))};
	uint64_t hash;
	int i;

	for (i = 0; i < MODEL_NODES; i++)
		put_node(&h, i);
	for (i = 0; i < MODEL_AGENTS; i++) {
		put_worker(&h, &m->workers[i]);
		put_bool4(&h, m->worker_cut[i], m->worker_muted[i],
		    m->hold_renew[i], false);
		put(&h, (int)m->hold_answer[i] << 8 | m->hold_announce[i]);
		put_time(&h, m->next_report_us[i]);
	}
	put_links(&h);
	put_events(&h, m->pending);
	put_waits(&h);
	put_caller(&h);
	hash = XXH3_64bits(h.values->data, h.values->len * sizeof(int64_t));
	g_array_unref(h.values);
	return hash;
}
