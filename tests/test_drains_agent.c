/*
 * Messages and orders of an agent when the set of drained failure domains
 * changes. The simulation hides faults here that a repeated heartbeat or
 * announcement repairs later.
 */

#include <inttypes.h>
#include <masticstall.h>

#define MS              INT64_C(1000)
#define ENTRY           7
#define OTHER_ENTRY     8
#define AGENT           100  /* incarnation of the first agent */
#define TASK_MILLICORES 4000 /* of a task at an agent, and of its worker */
#define STEP_MS         5    /* between two ticks of an agent */

/* An agent and what it has emitted. */
struct fixture {
	int64_t now_us;
	struct mst_agent *agent;
	unsigned start_orders;
	unsigned stop_orders;
	uint64_t last_order;  /* id of the last start or stop */
	uint64_t renew_order; /* id of the open one; 0: none */
	struct mst_result_item last_result;
	unsigned announcements;       /* to all entries */
	unsigned entry_announcements; /* to ENTRY */
	unsigned other_announcements; /* to OTHER_ENTRY */
	struct mst_announce last_announce;
	unsigned drains_effects;
};

static struct mst_drains_msg
drains_msg(uint64_t revision, const char *names)
{
	return (struct mst_drains_msg){
	    .revision = revision, .domains = mst_bytes_from_str(names)};
}

static void
record_announcement(struct fixture *fixture, const struct mst_msg *msg)
{
	fixture->last_announce = msg->announce;
	if (msg->to == 0)
		fixture->announcements++;
	else if (msg->to == ENTRY)
		fixture->entry_announcements++;
	else if (msg->to == OTHER_ENTRY)
		fixture->other_announcements++;
}

static void
record_order(struct fixture *fixture, const struct mst_order *order)
{
	if (order->kind == MST_ORDER_RENEW) {
		fixture->renew_order = order->id;
		return;
	}
	fixture->start_orders += order->kind == MST_ORDER_START;
	fixture->stop_orders += order->kind == MST_ORDER_STOP;
	fixture->last_order = order->id;
}

static void
record_effects(struct fixture *fixture, const GArray *effects)
{
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_agent_effect *effect =
		    &g_array_index(effects, struct mst_agent_effect, i);

		if (effect->type == MST_AGENT_FX_DRAINS)
			fixture->drains_effects++;
		else if (effect->type == MST_AGENT_FX_ORDER)
			record_order(fixture, &effect->order);
		else if (effect->type != MST_AGENT_FX_SEND)
			continue;
		else if (effect->msg.type == MST_MSG_ANNOUNCE)
			record_announcement(fixture, &effect->msg);
		else if (effect->msg.type == MST_MSG_RESULT)
			fixture->last_result = effect->msg.results.items[0];
	}
}

/* Applies an event and a flush to the agent. */
static void
step_agent(struct fixture *fixture, struct mst_agent_event *event)
{
	struct mst_agent_event flush_event = {
	    .type = MST_AGENT_EV_FLUSH, .now_us = fixture->now_us};

	event->now_us = fixture->now_us;
	record_effects(fixture, mst_agent_step(fixture->agent, event));
	record_effects(fixture, mst_agent_step(fixture->agent, &flush_event));
}

static void
answer_order(struct fixture *fixture, enum mst_order_kind kind, uint64_t id,
    enum mst_order_status status)
{
	const struct mst_order_answer answer = {.kind = kind,
	    .id = id,
	    .status = status,
	    .sent_us = fixture->now_us - STEP_MS * MS,
	    .clock_ms = fixture->now_us / MS,
	    .incarnation = kind == MST_ORDER_RENEW ? 1 : 0};
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_ORDER_ANSWER, .answer = &answer};

	step_agent(fixture, &event);
}

/* Answers renew orders; the other ones are left open. */
static void
run_agent_ms(struct fixture *fixture, int64_t ms)
{
	struct mst_agent_event tick = {.type = MST_AGENT_EV_TICK};
	uint64_t renew_order;

	for (; ms > 0; ms -= STEP_MS) {
		fixture->now_us += STEP_MS * MS;
		step_agent(fixture, &tick);
		renew_order = fixture->renew_order;
		fixture->renew_order = 0;
		if (renew_order != 0)
			answer_order(fixture, MST_ORDER_RENEW, renew_order,
			    MST_ORDER_DONE);
	}
}

static void
deliver_to_agent(struct fixture *fixture, struct mst_msg *msg)
{
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_MESSAGE, .msg = msg};

	msg->to = AGENT;
	step_agent(fixture, &event);
}

/* Sends a heartbeat that echoes the present time of the agent. */
static void
send_heartbeat(struct fixture *fixture, uint64_t entry, uint64_t revision,
    const char *names)
{
	struct mst_msg msg = {.type = MST_MSG_HEARTBEAT,
	    .from = entry,
	    .heartbeat = {.echo_us = (uint64_t)fixture->now_us,
		.description_version = 1,
		.drains = drains_msg(revision, names)}};

	deliver_to_agent(fixture, &msg);
}

static void
send_task(struct fixture *fixture, uint64_t seq)
{
	char *name = g_strdup_printf("job.%" PRIu64, seq);
	const struct mst_dispatch_item item = {.seq = seq,
	    .job = {.issuer = ENTRY, .counter = seq},
	    .timeout_ms = 10000,
	    .path = mst_bytes_from_str(name),
	    .needs = {.millicores = TASK_MILLICORES}};
	struct mst_msg msg = {.type = MST_MSG_DISPATCH,
	    .from = ENTRY,
	    .dispatch = {.echo_us = (uint64_t)fixture->now_us,
		.expires_us = (uint64_t)fixture->now_us + 100 * MS,
		.count = 1,
		.items = &item}};

	deliver_to_agent(fixture, &msg);
	g_free(name);
}

/* A leased agent of domain "a" with one slot, whose worker is ready and which
 * has sessions with two entries. */
static struct fixture *
agent_fixture_new(void)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	const struct mst_worker_report report = {
	    .id = mst_bytes_from_str("worker"),
	    .service = mst_bytes_from_str("service"),
	    .incarnation = 1,
	    .seq = 1,
	    .capacity = {.millicores = TASK_MILLICORES, .memory_mb = 1024}};
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_REPORT, .report = &report};
	struct mst_lease_times times;

	mst_lease_times(&times, 1300, 1000);
	mst_agent_options_set_leases(&options, &times);
	options.incarnation = AGENT;
	options.name = "m0";
	options.failure_domain = "a";
	mst_agent_new(&fixture->agent, &options);
	fixture->now_us = G_USEC_PER_SEC;
	step_agent(fixture, &event);
	run_agent_ms(fixture, 100);
	send_heartbeat(fixture, ENTRY, 0, NULL);
	send_heartbeat(fixture, OTHER_ENTRY, 0, NULL);
	g_assert_cmpuint(fixture->other_announcements, >, 0);
	g_assert_cmpuint(fixture->last_announce.grant, >, 0);
	g_assert_cmpuint(fixture->last_announce.free_slots, >, 0);
	fixture->announcements = 0;
	fixture->entry_announcements = 0;
	fixture->other_announcements = 0;
	return fixture;
}

static void
agent_fixture_free(struct fixture *fixture)
{
	mst_agent_free(fixture->agent);
	g_free(fixture);
}

static void
assert_result(
    const struct fixture *fixture, uint64_t seq, enum mst_outcome outcome)
{
	g_assert_cmpuint(fixture->last_result.seq, ==, seq);
	g_assert_cmpint(fixture->last_result.outcome, ==, outcome);
	g_assert_cmpint(fixture->last_result.reason, ==, MST_REASON_DRAINING);
}

/* Every entry must be told at once that the domain is drained, also those that
 * do not know of the drain, and likewise of the restore. */
static void
agent__tells_all_entries(void)
{
	struct fixture *fixture = agent_fixture_new();

	send_heartbeat(fixture, ENTRY, 2, "a");
	g_assert_true(mst_agent_gauges(fixture->agent).drained);
	g_assert_cmpuint(fixture->announcements, ==, 1);
	g_assert_cmpuint(fixture->entry_announcements, >=, 1);
	g_assert_cmpuint(fixture->other_announcements, ==, 1);
	g_assert_cmpuint(fixture->drains_effects, ==, 1);
	g_assert_true(fixture->last_announce.draining);
	g_assert_cmpuint(fixture->last_announce.grant, ==, 0);
	g_assert_cmpuint(fixture->last_announce.free_slots, ==, 0);
	g_assert_cmpuint(fixture->last_announce.drains.revision, ==, 2);
	send_heartbeat(fixture, ENTRY, 3, "");
	g_assert_false(mst_agent_gauges(fixture->agent).drained);
	g_assert_cmpuint(fixture->announcements, ==, 2);
	g_assert_cmpuint(fixture->other_announcements, ==, 2);
	g_assert_false(fixture->last_announce.draining);
	g_assert_cmpuint(fixture->last_announce.grant, >, 0);
	/* Another domain concerns only the entry that is answered. */
	send_heartbeat(fixture, ENTRY, 4, "b");
	g_assert_cmpuint(fixture->announcements, ==, 2);
	g_assert_cmpuint(fixture->other_announcements, ==, 2);
	g_assert_cmpuint(fixture->drains_effects, ==, 3);
	agent_fixture_free(fixture);
}

/* An entry that is out of date must learn the set from the answer to its
 * heartbeat, and must not change the agent's set. */
static void
agent__answers_outdated_entry(void)
{
	struct fixture *fixture = agent_fixture_new();

	send_heartbeat(fixture, ENTRY, 4, "a");
	fixture->other_announcements = 0;
	send_heartbeat(fixture, OTHER_ENTRY, 3, "b");
	g_assert_true(mst_agent_gauges(fixture->agent).drained);
	g_assert_cmpuint(fixture->other_announcements, ==, 1);
	g_assert_cmpuint(fixture->last_announce.drains.revision, ==, 4);
	agent_fixture_free(fixture);
}

/* Queued and new tasks must be returned at once, with the reason that does not
 * make the entry wait, and the running one must go on. */
static void
agent__refuses_queued_and_new_tasks(void)
{
	struct fixture *fixture = agent_fixture_new();

	send_task(fixture, 1);
	answer_order(
	    fixture, MST_ORDER_START, fixture->last_order, MST_ORDER_DONE);
	send_task(fixture, 2);
	g_assert_cmpuint(mst_agent_gauges(fixture->agent).queued, ==, 1);
	send_heartbeat(fixture, ENTRY, 2, "a");
	assert_result(fixture, 2, MST_OUTCOME_NOT_RUN);
	send_task(fixture, 3);
	assert_result(fixture, 3, MST_OUTCOME_NOT_RUN);
	g_assert_cmpuint(mst_agent_gauges(fixture->agent).running, ==, 1);
	g_assert_cmpuint(fixture->start_orders, ==, 1);
	g_assert_cmpuint(fixture->stop_orders, ==, 0);
	agent_fixture_free(fixture);
}

/* A start order without an answer must not be sent again, neither before nor
 * after its timeout. Its run is stopped and reported as possibly run. */
static void
agent__unanswered_start_is_stopped(void)
{
	struct fixture *fixture = agent_fixture_new();

	send_task(fixture, 1);
	g_assert_cmpuint(fixture->start_orders, ==, 1);
	send_heartbeat(fixture, ENTRY, 2, "a");
	run_agent_ms(fixture, 45);
	answer_order(
	    fixture, MST_ORDER_START, fixture->last_order, MST_ORDER_NO_ANSWER);
	g_assert_cmpuint(fixture->stop_orders, ==, 1);
	run_agent_ms(fixture, 10);
	answer_order(
	    fixture, MST_ORDER_STOP, fixture->last_order, MST_ORDER_DONE);
	run_agent_ms(fixture, 50);
	assert_result(fixture, 1, MST_OUTCOME_UNKNOWN);
	g_assert_cmpuint(fixture->start_orders, ==, 1);
	agent_fixture_free(fixture);
}

/* A start order that waits to be repeated must be given up at once. */
static void
agent__due_start_is_stopped(void)
{
	struct fixture *fixture = agent_fixture_new();

	send_task(fixture, 1);
	/* The first repetition is sent at once, and the second one later. */
	answer_order(
	    fixture, MST_ORDER_START, fixture->last_order, MST_ORDER_NO_ANSWER);
	answer_order(
	    fixture, MST_ORDER_START, fixture->last_order, MST_ORDER_NO_ANSWER);
	g_assert_cmpuint(fixture->start_orders, ==, 2);
	g_assert_cmpuint(fixture->stop_orders, ==, 0);
	send_heartbeat(fixture, ENTRY, 2, "a");
	g_assert_cmpuint(fixture->stop_orders, ==, 1);
	run_agent_ms(fixture, 200);
	g_assert_cmpuint(fixture->start_orders, ==, 2);
	agent_fixture_free(fixture);
}

/* The worker has rejected the start, so the task has certainly not run. */
static void
agent__rejected_start_is_not_run(void)
{
	struct fixture *fixture = agent_fixture_new();

	send_task(fixture, 1);
	send_heartbeat(fixture, ENTRY, 2, "a");
	answer_order(
	    fixture, MST_ORDER_START, fixture->last_order, MST_ORDER_LAPSED);
	assert_result(fixture, 1, MST_OUTCOME_NOT_RUN);
	run_agent_ms(fixture, 200);
	g_assert_cmpuint(fixture->start_orders, ==, 1);
	g_assert_cmpuint(fixture->stop_orders, ==, 0);
	agent_fixture_free(fixture);
}

/* An agent without leases must not grant tasks either. */
static void
agent__without_leases_grants_nothing(void)
{
	struct fixture fixture = {.now_us = G_USEC_PER_SEC};
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;

	options.incarnation = AGENT;
	options.name = "m0";
	options.failure_domain = "a";
	options.slots = 1;
	mst_agent_new(&fixture.agent, &options);
	send_heartbeat(&fixture, ENTRY, 0, NULL);
	g_assert_cmpuint(fixture.last_announce.grant, >, 0);
	send_heartbeat(&fixture, ENTRY, 2, "a");
	g_assert_true(fixture.last_announce.draining);
	g_assert_cmpuint(fixture.last_announce.grant, ==, 0);
	mst_agent_free(fixture.agent);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/drains-agent/tells-all", agent__tells_all_entries);
	g_test_add_func(
	    "/drains-agent/outdated", agent__answers_outdated_entry);
	g_test_add_func(
	    "/drains-agent/refuses", agent__refuses_queued_and_new_tasks);
	g_test_add_func(
	    "/drains-agent/unanswered", agent__unanswered_start_is_stopped);
	g_test_add_func("/drains-agent/due", agent__due_start_is_stopped);
	g_test_add_func(
	    "/drains-agent/rejected", agent__rejected_start_is_not_run);
	g_test_add_func(
	    "/drains-agent/no-leases", agent__without_leases_grants_nothing);
	return g_test_run();
}
