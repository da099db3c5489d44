/* Events of the lease search, and where they go. */

#include "search/model_internal.h"

#include "codec/codec.h"

void
model_event_free(gpointer data)
{
	struct model_event *event = data;

	if (event->bytes != NULL)
		g_byte_array_unref(event->bytes);
	g_free(event->answer);
	g_free(event);
}

struct model_event *
model_event_copy(const struct model_event *event)
{
	struct model_event *copy = g_new(struct model_event, 1);

	*copy = *event;
	if (copy->bytes != NULL)
		g_byte_array_ref(copy->bytes);
	g_assert_null(copy->answer);
	return copy;
}

struct model_event *
model_event_new(enum model_event_type type, int to)
{
	struct model_event *event = g_new0(struct model_event, 1);

	event->type = type;
	event->to = to;
	return event;
}

static bool
is_explored(const struct model *m, const struct model_event *event)
{
	if (event->type == MODEL_ORDER)
		return m->options.explore_orders &&
		    event->order.kind != MST_ORDER_RENEW;
	return m->options.explore_messages && event->type == MODEL_MESSAGE &&
	    (event->msg_type == MST_MSG_DISPATCH ||
		event->msg_type == MST_MSG_WITHDRAW ||
		event->msg_type == MST_MSG_RESULT);
}

static void
add_pending(struct model *m, struct model_event *event)
{
	g_ptr_array_add(m->pending, event);
	if (!event->is_held)
		m->has_new_pending = true;
}

static bool
is_held_announcement(const struct model *m, const struct model_event *event)
{
	return event->msg_type == MST_MSG_ANNOUNCE &&
	    m->hold_announce[event->from - MODEL_ENTRIES] == event->to + 1;
}

static void
hold_announcement(struct model *m, struct model_event *event)
{
	m->hold_announce[event->from - MODEL_ENTRIES] = 0;
	event->is_held = true;
	add_pending(m, event);
}

static void
route_message(struct model *m, struct model_event *event)
{
	enum model_link link = m->links[event->from][event->to];

	if (link == MODEL_LINK_CUT || !m->nodes[event->to].is_alive)
		model_event_free(event);
	else if (is_held_announcement(m, event))
		hold_announcement(m, event);
	else if (link == MODEL_LINK_STALLED)
		g_ptr_array_add(m->stalled[event->from][event->to], event);
	else if (is_explored(m, event))
		add_pending(m, event);
	else
		g_queue_push_tail(&m->traffic, event);
}

static void
route_order(struct model *m, struct model_event *event)
{
	int agent = event->to - MODEL_ENTRIES;
	bool is_renewal = event->order.kind == MST_ORDER_RENEW &&
	    event->order.lease_end_ms > 0;

	if (is_renewal && m->hold_renew[agent]) {
		m->hold_renew[agent] = false;
		event->is_held = true;
		add_pending(m, event);
	} else if (m->worker_cut[agent]) {
		model_event_free(event);
	} else if (is_explored(m, event) && !m->workers[agent].is_down) {
		add_pending(m, event);
	} else {
		g_queue_push_tail(&m->traffic, event);
	}
}

void
model_route(struct model *m, struct model_event *event)
{
	if (event->type == MODEL_MESSAGE)
		route_message(m, event);
	else if (event->type == MODEL_ORDER)
		route_order(m, event);
	else
		g_queue_push_tail(&m->traffic, event);
}

static int
find_node(const struct model *m, uint64_t incarnation)
{
	int i;

	for (i = 0; i < MODEL_NODES; i++) {
		const struct model_node *node = &m->nodes[i];
		uint64_t current = node->incarnation;

		if (!node->is_alive)
			continue;
		if (node->entry != NULL)
			current = mst_entry_gauges(node->entry).incarnation;
		if (current == incarnation)
			return i;
	}
	return -1;
}

static void
send_to(struct model *m, int from, int to, const struct mst_msg *msg)
{
	struct model_event *event = model_event_new(MODEL_MESSAGE, to);

	event->from = from;
	event->msg_type = msg->type;
	event->sent_us = m->now_us;
	event->bytes = g_byte_array_new();
	mst_msg_encode(event->bytes, msg);
	if (msg->type == MST_MSG_DISPATCH)
		m->nodes[to].was_used = true;
	if (msg->type == MST_MSG_ANNOUNCE && msg->announce.uncertain_count > 0)
		m->nodes[from].has_told = true;
	if (msg->type == MST_MSG_DISPATCH || msg->type == MST_MSG_WITHDRAW ||
	    msg->type == MST_MSG_RESULT)
		model_log(m, "node %d -> %d: %s", from, to,
		    mst_msg_type_name(msg->type));
	model_route(m, event);
}

void
model_send_message(struct model *m, int from, const struct mst_msg *msg)
{
	int to;

	if (msg->to != 0) {
		to = find_node(m, msg->to);
		if (to >= 0)
			send_to(m, from, to, msg);
		return;
	}
	for (to = 0; to < MODEL_ENTRIES; to++) {
		if (to != from)
			send_to(m, from, to, msg);
	}
}
