/*
 * A member on probation after its ejection gets one task at a time. While its
 * agent grants nothing, because its worker may not be given work yet, every
 * task sent to it is refused. One leased entry is driven under a simulated
 * clock; the member's agent is played by the test.
 */

#include <masticstall.h>

#include "support/leased_entry.h"

#define MS            INT64_C(1000)
#define ENTRY         7
#define AGENT         100
#define SLOTS         4
#define STEP_MS       1   /* round trip between entry and agent */
#define NOT_READY_MS  400 /* for which the agent grants nothing */
#define JOB_TIMEOUT_S 20
#define ANNOUNCE_MS   200
/* Most dispatches to an agent that grants nothing: one for each of its
 * announcements. */
#define DISPATCHES_MAX (NOT_READY_MS / ANNOUNCE_MS + 1)

struct fixture {
	struct mst_entry *entry;
	int64_t now_us;
	uint32_t grant;                /* of the agent */
	struct mst_result_item answer; /* to each dispatched task */
	unsigned dispatches;
	uint64_t dispatched_seq; /* not answered yet; 0: none */
	bool ejected, probing;   /* reported for the member */
	bool answered;           /* the job's caller has an answer */
	uint64_t job;
};

static void
apply_effect(struct fixture *fixture, const struct mst_entry_effect *effect)
{
	const struct mst_msg *msg = &effect->msg;

	if (effect->type == MST_ENTRY_FX_SEND &&
	    msg->type == MST_MSG_DISPATCH) {
		g_assert_cmpuint(msg->dispatch.count, ==, 1);
		fixture->dispatches++;
		fixture->dispatched_seq = msg->dispatch.items[0].seq;
	} else if (effect->type == MST_ENTRY_FX_MEMBER) {
		fixture->ejected |= g_str_equal(effect->state, "ejected");
		fixture->probing |= g_str_equal(effect->state, "probing");
	} else if (effect->type == MST_ENTRY_FX_ANSWER) {
		fixture->answered = true;
		fixture->job = effect->job;
	}
}

static void
step(struct fixture *fixture, struct mst_entry_event *event)
{
	const GArray *effects;
	guint i;

	event->now_us = fixture->now_us;
	effects = mst_entry_step(fixture->entry, event);
	for (i = 0; i < effects->len; i++)
		apply_effect(fixture,
		    &g_array_index(effects, struct mst_entry_effect, i));
}

static void
deliver(struct fixture *fixture, struct mst_msg *msg)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_MESSAGE, .msg = msg};

	msg->from = AGENT;
	msg->to = ENTRY;
	step(fixture, &event);
}

static void
announce(struct fixture *fixture)
{
	struct mst_msg msg = {.type = MST_MSG_ANNOUNCE,
	    .announce = {.name = mst_bytes_from_str("agent"),
		.failure_domain = mst_bytes_from_str("domain"),
		.service = mst_bytes_from_str("service"),
		.description_version = 1,
		.clock_us = (uint64_t)fixture->now_us,
		.slots = SLOTS,
		.resources = {.millicores = SLOTS * 1000, .memory_mb = 1024},
		.grant = fixture->grant,
		.free_slots = fixture->grant}};

	deliver(fixture, &msg);
}

/* Sends the agent's answer to the last dispatch, if there is one. */
static void
answer_dispatch(struct fixture *fixture)
{
	struct mst_msg msg = {.type = MST_MSG_RESULT,
	    .results = {.grant = fixture->grant,
		.free_slots = fixture->grant,
		.count = 1,
		.items = &fixture->answer}};

	fixture->answer.seq = fixture->dispatched_seq;
	fixture->dispatched_seq = 0;
	if (fixture->answer.seq != 0)
		deliver(fixture, &msg);
}

static void
run_ms(struct fixture *fixture, int64_t ms)
{
	int64_t i;

	for (i = 0; i < ms; i += STEP_MS) {
		struct mst_entry_event tick = {.type = MST_ENTRY_EV_TICK};
		struct mst_entry_event flush = {.type = MST_ENTRY_EV_FLUSH};

		fixture->now_us += STEP_MS * MS;
		answer_dispatch(fixture);
		if (fixture->now_us / MS % ANNOUNCE_MS == 0)
			announce(fixture);
		step(fixture, &tick);
		step(fixture, &flush);
	}
}

static void
submit(struct fixture *fixture)
{
	struct leased_entry_job job;
	struct mst_entry_event event =
	    leased_entry_submission(&job, 50 * MS, JOB_TIMEOUT_S * 1000);

	step(fixture, &event);
}

static struct fixture *
fixture_new(void)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct mst_entry_event config = leased_entry_configuration();

	fixture->entry = leased_entry_new(ENTRY);
	fixture->now_us = G_USEC_PER_SEC;
	fixture->grant = SLOTS;
	step(fixture, &config);
	announce(fixture);
	return fixture;
}

static void
fixture_free(struct fixture *fixture)
{
	mst_entry_free(fixture->entry);
	g_free(fixture);
}

/* Guards against a job that is answered as failed because its task was refused
 * many times by a member that had granted nothing. */
static void
probation__refusals_fail_no_job(void)
{
	struct fixture *fixture = fixture_new();

	fixture->answer = (struct mst_result_item){
	    .outcome = MST_OUTCOME_UNKNOWN, .reason = MST_REASON_RUN_LOST};
	submit(fixture);
	while (!fixture->ejected)
		run_ms(fixture, STEP_MS);
	fixture->grant = 0;
	fixture->answer = (struct mst_result_item){
	    .outcome = MST_OUTCOME_NOT_RUN, .reason = MST_REASON_BUSY};
	while (!fixture->probing)
		run_ms(fixture, STEP_MS);
	fixture->dispatches = 0;
	run_ms(fixture, NOT_READY_MS);
	g_assert_false(fixture->answered);
	g_assert_cmpuint(fixture->dispatches, <=, DISPATCHES_MAX);
	fixture->grant = SLOTS;
	fixture->answer = (struct mst_result_item){
	    .outcome = MST_OUTCOME_DONE, .status = 200};
	run_ms(fixture, ANNOUNCE_MS + 10);
	g_assert_true(fixture->answered);
	fixture_free(fixture);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/probation/refusals-fail-no-job", probation__refusals_fail_no_job);
	return g_test_run();
}
