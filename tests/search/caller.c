/* Caller of the lease search: its attempts and their answers. */

#include "search/model_internal.h"

/* A caller waits a little longer than the entry that it has told. */
#define CALLER_MARGIN_US (200 * 1000)

static void
finish_caller(struct model *m, bool not_run)
{
	unsigned starts =
	    m->workers[0].runs_started + m->workers[1].runs_started;

	m->caller.finished = true;
	m->caller.is_turned_away = not_run && m->caller.attempts == 1;
	if (m->caller.is_turned_away && starts > 0)
		model_fail(m, "refused as not run after a start");
}

void
model_handle_answer(
    struct model *m, int node, const struct mst_entry_effect *effect)
{
	struct mst_job_view view;

	if (effect->request != m->caller.request || m->caller.entry != node)
		return;
	mst_entry_job(&view, m->nodes[node].entry, effect->job);
	model_log(m, "node %d answers: %s, %s", node,
	    view.state == MST_JOB_COMPLETE ? "complete" : "failed",
	    mst_reason_name(view.reason));
	/* It is told 504, and sends again. */
	if (view.state == MST_JOB_FAILED && view.start_uncertain) {
		model_break_caller(m);
		return;
	}
	finish_caller(m, view.state == MST_JOB_FAILED && !view.may_have_run);
	if (view.state == MST_JOB_COMPLETE &&
	    m->workers[0].runs_done + m->workers[1].runs_done == 0)
		model_fail(m, "complete without a run that succeeded");
}

void
model_handle_refusal(
    struct model *m, int node, const struct mst_entry_effect *effect)
{
	if (effect->request != m->caller.request || m->caller.entry != node)
		return;
	model_log(
	    m, "node %d refuses: %s", node, mst_reason_name(effect->reason));
	finish_caller(m, !effect->may_have_run);
}

void
model_submit(struct model *m, int entry)
{
	struct model_event *event = model_event_new(MODEL_SUBMIT, entry);

	event->request = ++m->last_request;
	m->caller.entry = entry;
	m->caller.request = event->request;
	m->caller.sent_us = m->now_us;
	m->caller.attempts++;
	m->caller.entry_failed = m->nodes[entry].is_frozen;
	m->nodes[entry].was_used = true;
	model_log(m, "the caller submits at node %d", entry);
	model_route(m, event);
}

void
model_break_caller(struct model *m)
{
	struct model_caller *caller = &m->caller;
	struct model_event *event =
	    model_event_new(MODEL_DISCONNECT, caller->entry);

	event->request = caller->request;
	model_route(m, event);
	caller->resend_us = m->now_us + MODEL_RESEND_US;
	caller->request = 0;
	caller->entry = -1 - caller->entry;
}

/* Returns the entry at which the caller submits again, or -1 if none is alive.
 * It tries the other one first. */
static int
choose_entry(const struct model *m)
{
	int last = -1 - m->caller.entry;

	if (m->nodes[1 - last].is_alive)
		return 1 - last;
	return m->nodes[last].is_alive ? last : -1;
}

void
model_advance_caller(struct model *m)
{
	struct model_caller *caller = &m->caller;
	int entry;

	if (caller->finished || caller->attempts == 0)
		return;
	if (caller->entry < 0) {
		entry = choose_entry(m);
		if (m->now_us >= caller->resend_us && entry >= 0)
			model_submit(m, entry);
		return;
	}
	caller->entry_failed |= m->nodes[caller->entry].is_frozen;
	if (m->now_us - caller->sent_us <= MODEL_CALLER_US + CALLER_MARGIN_US)
		return;
	if (!caller->entry_failed)
		model_fail(m, "no answer in time");
	model_break_caller(m);
}
