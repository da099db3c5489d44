/* The agent's reducer on its own: what it must refuse or drop. */

#include <glib.h>
#include <masticstall.h>
#include <string.h>

#define SELF  UINT64_C(0xa1)
#define ENTRY UINT64_C(0xe1)
#define OTHER UINT64_C(0xe2)

struct fixture {
	struct mst_agent *agent;
	int64_t now_us;
	struct mst_agent_options options;
};

static void
setup(struct fixture *f)
{
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;

	options.incarnation = SELF;
	options.slots = 2;
	options.queue_max = 2;
	f->options = options;
	f->now_us = G_USEC_PER_SEC;
	g_assert_cmpint(mst_agent_new(&f->agent, &options), ==, 0);
}

static const GArray *
deliver(struct fixture *f, const struct mst_msg *msg)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_MESSAGE, .now_us = f->now_us, .msg = msg};

	return mst_agent_step(f->agent, &event);
}

static const GArray *
event(struct fixture *f, enum mst_agent_event_type type)
{
	struct mst_agent_event e = {.type = type, .now_us = f->now_us};

	return mst_agent_step(f->agent, &e);
}

static const GArray *
heartbeat(struct fixture *f, uint64_t from, uint64_t sent_upto)
{
	static const uint64_t roster[] = {SELF};
	struct mst_msg msg = {
	    .type = MST_MSG_HEARTBEAT, .from = from, .to = SELF};

	msg.heartbeat.roster_version = 1;
	msg.heartbeat.agents = roster;
	msg.heartbeat.agent_count = 1;
	msg.heartbeat.sent_through = sent_upto;
	return deliver(f, &msg);
}

static const GArray *
dispatch(struct fixture *f, uint64_t from, uint64_t to, uint64_t seq)
{
	struct mst_dispatch_item item = {.seq = seq,
	    .job = {.issuer = from, .counter = 1},
	    .index = (uint32_t)seq,
	    .timeout_ms = 1000,
	    .method = mst_bytes_from_str("POST"),
	    .path = mst_bytes_from_str("/")};
	struct mst_msg msg = {.type = MST_MSG_DISPATCH, .from = from, .to = to};

	msg.dispatch.count = 1;
	msg.dispatch.items = &item;
	return deliver(f, &msg);
}

static unsigned
count(const GArray *effects, enum mst_agent_effect_type type)
{
	unsigned found = 0;
	guint i;

	for (i = 0; i < effects->len; i++)
		found +=
		    g_array_index(effects, struct mst_agent_effect, i).type ==
		    type;
	return found;
}

/* The reason of the only result that a flush reports, or -1. */
static int
flushed_reason(struct fixture *f)
{
	const GArray *effects = event(f, MST_AGENT_EV_FLUSH);
	const struct mst_msg *msg;
	guint i;

	for (i = 0; i < effects->len; i++) {
		msg = &g_array_index(effects, struct mst_agent_effect, i).msg;
		if (msg->type == MST_MSG_RESULT && msg->results.count == 1 &&
		    msg->results.items[0].outcome == MST_OUTCOME_NOT_RUN)
			return msg->results.items[0].reason;
	}
	return -1;
}

static void
agent__drops_what_is_for_another_incarnation(void)
{
	struct fixture f;

	setup(&f);
	heartbeat(&f, ENTRY, 0);
	g_assert_cmpuint(
	    count(dispatch(&f, ENTRY, SELF + 2, 1), MST_AGENT_FX_START), ==, 0);
	g_assert_cmpuint(
	    count(dispatch(&f, ENTRY, 0, 1), MST_AGENT_FX_START), ==, 0);
	g_assert_cmpuint(
	    count(dispatch(&f, ENTRY, SELF, 1), MST_AGENT_FX_START), ==, 1);
	mst_agent_free(f.agent);
}

static void
agent__starts_nothing_without_a_roster(void)
{
	struct fixture f;

	setup(&f);
	g_assert_cmpuint(
	    count(dispatch(&f, ENTRY, SELF, 1), MST_AGENT_FX_START), ==, 0);
	g_assert_cmpuint(mst_agent_counters(f.agent)->sessions_refused, ==, 1);
	mst_agent_free(f.agent);
}

static void
agent__disowns_an_entry_that_it_has_forgotten(void)
{
	struct fixture f;
	const GArray *effects;

	setup(&f);
	effects = heartbeat(&f, ENTRY, 7);
	g_assert_cmpuint(effects->len, ==, 1);
	g_assert_true(g_array_index(effects, struct mst_agent_effect, 0)
			  .msg.announce.fenced);
	g_assert_cmpuint(
	    count(dispatch(&f, ENTRY, SELF, 8), MST_AGENT_FX_START), ==, 0);
	mst_agent_free(f.agent);
}

static void
agent__refuses_when_draining(void)
{
	struct fixture f;

	setup(&f);
	heartbeat(&f, ENTRY, 0);
	event(&f, MST_AGENT_EV_DRAIN);
	g_assert_cmpuint(
	    count(dispatch(&f, ENTRY, SELF, 1), MST_AGENT_FX_START), ==, 0);
	g_assert_cmpint(flushed_reason(&f), ==, MST_REASON_DRAINING);
	mst_agent_free(f.agent);
}

static void
agent__refuses_past_its_queue(void)
{
	struct fixture f;
	uint64_t seq;

	setup(&f);
	heartbeat(&f, ENTRY, 0);
	for (seq = 1; seq <= 4; seq++)
		dispatch(&f, ENTRY, SELF, seq);
	g_assert_cmpuint(mst_agent_gauges(f.agent).queued, ==, 2);
	dispatch(&f, ENTRY, SELF, 5);
	g_assert_cmpint(flushed_reason(&f), ==, MST_REASON_BUSY);
	mst_agent_free(f.agent);
}

static void
agent__gives_back_what_waited_past_its_deadline(void)
{
	struct mst_agent_event done = {.type = MST_AGENT_EV_FINISHED, .run = 1};
	struct fixture f;

	setup(&f);
	heartbeat(&f, ENTRY, 0);
	dispatch(&f, ENTRY, SELF, 1);
	dispatch(&f, ENTRY, SELF, 2);
	dispatch(&f, ENTRY, SELF, 3);
	event(&f, MST_AGENT_EV_FLUSH);
	f.now_us += 2 * G_USEC_PER_SEC;
	done.now_us = f.now_us;
	done.result.outcome = MST_OUTCOME_DONE;
	g_assert_cmpuint(
	    count(mst_agent_step(f.agent, &done), MST_AGENT_FX_START), ==, 0);
	g_assert_cmpuint(
	    mst_agent_counters(f.agent)->refused[MST_REASON_DEADLINE], ==, 1);
	mst_agent_free(f.agent);
}

static void
fence(struct fixture *f, struct mst_fenced *out)
{
	struct mst_msg msg = {.type = MST_MSG_FENCE, .from = OTHER, .to = SELF};
	const GArray *effects;

	msg.fence.fenced_entry = ENTRY;
	msg.fence.job = (struct mst_job_id){.issuer = ENTRY, .counter = 1};
	msg.fence.claim = true;
	effects = deliver(f, &msg);
	*out = g_array_index(effects, struct mst_agent_effect, 0).msg.fenced;
}

static void
finish_and_ack(struct fixture *f)
{
	struct mst_agent_event done = {
	    .type = MST_AGENT_EV_FINISHED, .now_us = f->now_us, .run = 1};
	struct mst_msg msg = {
	    .type = MST_MSG_HEARTBEAT, .from = ENTRY, .to = SELF};

	done.result.outcome = MST_OUTCOME_DONE;
	mst_agent_step(f->agent, &done);
	event(f, MST_AGENT_EV_FLUSH);
	msg.heartbeat.roster_version = 1;
	msg.heartbeat.sent_through = 1;
	msg.heartbeat.results_received.frontier = 1;
	deliver(f, &msg);
}

static void
agent__keeps_acknowledged_results_for_an_adopter(void)
{
	struct mst_fenced fenced;
	struct fixture f;

	setup(&f);
	heartbeat(&f, ENTRY, 0);
	dispatch(&f, ENTRY, SELF, 1);
	finish_and_ack(&f);
	f.now_us += 10 * G_USEC_PER_SEC;
	fence(&f, &fenced);
	g_assert_false(fenced.history_incomplete);
	g_assert_cmpuint(fenced.count, ==, 1);
	g_assert_true(fenced.items[0].finished);
	mst_agent_free(f.agent);
}

static void
agent__tells_when_it_has_forgotten(void)
{
	struct mst_fenced fenced;
	struct fixture f;

	setup(&f);
	heartbeat(&f, ENTRY, 0);
	dispatch(&f, ENTRY, SELF, 1);
	finish_and_ack(&f);
	event(&f, MST_AGENT_EV_TICK);
	f.now_us += f.options.retention_us + G_USEC_PER_SEC;
	event(&f, MST_AGENT_EV_TICK);
	g_assert_cmpuint(mst_agent_gauges(f.agent).records, ==, 0);
	f.now_us += 10 * G_USEC_PER_SEC;
	fence(&f, &fenced);
	/* The tick after a pause counts the entry as just heard. */
	f.now_us += 10 * G_USEC_PER_SEC;
	fence(&f, &fenced);
	g_assert_true(fenced.history_incomplete);
	mst_agent_free(f.agent);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/agent/incarnation", agent__drops_what_is_for_another_incarnation);
	g_test_add_func(
	    "/agent/roster", agent__starts_nothing_without_a_roster);
	g_test_add_func(
	    "/agent/disown", agent__disowns_an_entry_that_it_has_forgotten);
	g_test_add_func("/agent/drain", agent__refuses_when_draining);
	g_test_add_func("/agent/queue", agent__refuses_past_its_queue);
	g_test_add_func(
	    "/agent/deadline", agent__gives_back_what_waited_past_its_deadline);
	g_test_add_func(
	    "/agent/kept", agent__keeps_acknowledged_results_for_an_adopter);
	g_test_add_func("/agent/forgotten", agent__tells_when_it_has_forgotten);
	return g_test_run();
}
