/* Time and checks of the lease search. */

#include "search/model_internal.h"

#include <stdarg.h>

#define MODEL_START_US (100 * G_USEC_PER_SEC)
#define WORKER_AGE_US  (60 * G_USEC_PER_SEC) /* at the start */
#define MEET_US        (400 * 1000) /* until all processes know others */

void
model_log(struct model *m, const char *format, ...)
{
	va_list args;

	if (m->log == NULL)
		return;
	g_string_append_printf(
	    m->log, "%8.1f ", (double)(m->now_us - MODEL_START_US) / 1000);
	va_start(args, format);
	g_string_append_vprintf(m->log, format, args);
	va_end(args);
	g_string_append_c(m->log, '\n');
}

void
model_fail(struct model *m, const char *violation)
{
	model_log(m, "VIOLATION: %s", violation);
	if (m->violation == NULL)
		m->violation = violation;
}

bool
model_is_running(const struct model *m, int node)
{
	return m->nodes[node].is_alive && !m->nodes[node].is_frozen;
}

unsigned
model_count_runs(const struct model *m)
{
	unsigned count = 0;
	int i;

	for (i = 0; i < MODEL_AGENTS; i++)
		count += m->workers[i].run_count;
	return count;
}

void
model_tick(struct model *m)
{
	int i;

	m->now_us += MODEL_TICK_US;
	for (i = 0; i < MODEL_AGENTS; i++)
		search_worker_check_lease(&m->workers[i], m->now_us);
	while (m->next_traffic.length > 0)
		model_route(m, g_queue_pop_head(&m->next_traffic));
	model_end_polls(m);
	model_end_waits(m);
	model_settle(m);
	for (i = 0; i < MODEL_NODES; i++) {
		if (model_is_running(m, i))
			model_step_tick(m, i);
	}
	for (i = 0; i < MODEL_AGENTS; i++)
		model_send_report(m, i);
	model_settle(m);
	model_advance_caller(m);
	model_settle(m);
}

static void
init_links(struct model *m)
{
	int from, to;

	for (from = 0; from < MODEL_NODES; from++) {
		for (to = 0; to < MODEL_NODES; to++)
			m->stalled[from][to] =
			    g_ptr_array_new_with_free_func(model_event_free);
	}
}

void
model_init(struct model *m, const struct model_options *options, GString *log)
{
	int i;

	*m = (struct model){
	    .options = *options,
	    .now_us = MODEL_START_US,
	    .pending = g_ptr_array_new_with_free_func(model_event_free),
	    .waits = g_array_new(FALSE, FALSE, sizeof(struct model_wait)),
	    .polls = g_array_new(FALSE, FALSE, sizeof(struct model_poll)),
	};
	init_links(m);
	for (i = 0; i < MODEL_AGENTS; i++) {
		m->workers[i].clock_rate = options->clock_rate;
		search_worker_restart(
		    &m->workers[i], MODEL_START_US - WORKER_AGE_US, false);
	}
	for (i = 0; i < MODEL_NODES; i++) {
		m->nodes[i].backlog =
		    g_ptr_array_new_with_free_func(model_event_free);
		model_start(m, i);
	}
	while (m->now_us < MODEL_START_US + MEET_US)
		model_tick(m);
	m->log = log;
	model_submit(m, 0);
	model_settle(m);
	m->has_new_pending = false;
}

void
model_clear(struct model *m)
{
	int from, to;

	g_queue_clear_full(&m->traffic, model_event_free);
	g_queue_clear_full(&m->next_traffic, model_event_free);
	g_ptr_array_unref(m->pending);
	g_array_unref(m->waits);
	g_array_unref(m->polls);
	for (from = 0; from < MODEL_NODES; from++) {
		mst_entry_free(m->nodes[from].entry);
		mst_agent_free(m->nodes[from].agent);
		g_ptr_array_unref(m->nodes[from].backlog);
		for (to = 0; to < MODEL_NODES; to++)
			g_ptr_array_unref(m->stalled[from][to]);
	}
}
