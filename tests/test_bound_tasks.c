/*
 * Tasks that are bound to the member at which a start of them may still be
 * executed. One leased entry is driven under a simulated clock; its members are
 * played by the test.
 */

#include <masticstall.h>

#include "support/leased_entry.h"

#define MS            INT64_C(1000)
#define ENTRY         7
#define SLOTS         4
#define STEP_MS       10
#define SILENCE_MS    1000 /* less than the time after which one is lost */
#define LOST_MS       1500 /* more than that time */
#define KEEP_MS       14000
#define LONG_MS       2000 /* of a task that is not overdue meanwhile */
#define JOB_TIMEOUT_S 30
#define PEER          9   /* another entry */
#define MANY_JOBS     600 /* more than a message holds */

struct fixture {
	struct mst_entry *entry;
	int64_t now_us;
	uint64_t dispatched_to; /* of the last dispatch; 0: none */
	uint64_t seq;
	uint32_t run;
	uint32_t flags;
	unsigned told;        /* starts, to another entry */
	uint64_t features;    /* of the members */
	bool is_delayed;      /* announcements answer no heartbeat */
	uint32_t declared_us; /* duration of the task */
};

static void
note_message(void *ctx, const struct mst_msg *msg)
{
	struct fixture *f = ctx;

	if (msg->type == MST_MSG_UNCERTAIN_STARTS && msg->to == PEER)
		f->told += msg->uncertain_starts.count;
	if (msg->type != MST_MSG_DISPATCH)
		return;
	f->dispatched_to = msg->to;
	f->seq = msg->dispatch.items[0].seq;
	f->run = msg->dispatch.items[0].run;
	f->flags = msg->dispatch.items[0].flags;
}

static void
step(struct fixture *f, struct mst_entry_event *event)
{
	event->now_us = f->now_us;
	leased_entry_step(f->entry, event, note_message, f);
}

static void
deliver(struct fixture *f, uint64_t from, struct mst_msg *msg)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_MESSAGE, .msg = msg};

	msg->from = from;
	msg->to = ENTRY;
	step(f, &event);
}

static void
announce(struct fixture *f, uint64_t member, const char *name, uint32_t grant)
{
	struct mst_msg msg = {.type = MST_MSG_ANNOUNCE,
	    .announce = {.name = mst_bytes_from_str(name),
		.failure_domain = mst_bytes_from_str("domain"),
		.service = mst_bytes_from_str("service"),
		.description_version = 1,
		.clock_us = (uint64_t)f->now_us,
		.slots = SLOTS,
		.resources = {.millicores = SLOTS * 1000, .memory_mb = 1024},
		.grant = grant,
		.free_slots = grant,
		.build = {.version = mst_bytes_from_str("9.9.9"),
		    .features = f->features},
		.roster_version = f->is_delayed ? 0 : G_MAXUINT32}};

	deliver(f, member, &msg);
}

/* Makes another entry known. */
static void
greet(struct fixture *f)
{
	struct mst_msg msg = {.type = MST_MSG_PEER,
	    .peer = {.address = mst_bytes_from_str("peer:1"),
		.build = {.version = mst_bytes_from_str("9.9.9"),
		    .features = MST_FEATURES}}};

	deliver(f, PEER, &msg);
}

/* A member announces that it has not received what was sent to it. */
static void
announce_nothing_received(struct fixture *f, uint64_t member, const char *name)
{
	struct mst_msg msg = {.type = MST_MSG_ANNOUNCE,
	    .announce = {.name = mst_bytes_from_str(name),
		.failure_domain = mst_bytes_from_str("domain"),
		.service = mst_bytes_from_str("service"),
		.description_version = 1,
		.clock_us = (uint64_t)f->now_us,
		.slots = SLOTS,
		.resources = {.millicores = SLOTS * 1000, .memory_mb = 1024},
		.grant = SLOTS,
		.free_slots = SLOTS,
		.sent_through = f->seq,
		.build = {.version = mst_bytes_from_str("9.9.9"),
		    .features = f->features}}};

	deliver(f, member, &msg);
}

/* Another process tells of a start of a job's task. */
static void
tell_run(
    struct fixture *f, uint64_t from, const struct mst_uncertain_item *item)
{
	struct mst_msg msg = {.type = MST_MSG_UNCERTAIN_STARTS,
	    .uncertain_starts = {.count = 1, .items = item}};

	deliver(f, from, &msg);
}

/* Another entry tells of a start of a job's task. */
static void
tell_start_of(
    struct fixture *f, const char *key, const char *host, uint32_t age_ms)
{
	tell_run(f, PEER,
	    &(struct mst_uncertain_item){.agent = 99,
		.host = mst_bytes_from_str(host),
		.job = mst_bytes_from_str(key),
		.run = 1,
		.age_ms = age_ms});
}

/* Another entry tells of a start of the task. */
static void
tell_start(struct fixture *f, const char *host, uint32_t age_ms)
{
	tell_start_of(f, LEASED_ENTRY_KEY, host, age_ms);
}

/* Delivers a result of the member that the last task was dispatched to. */
static void
give_result(struct fixture *f, const struct mst_result_item *item)
{
	struct mst_msg msg = {
	    .type = MST_MSG_RESULT, .results = {.count = 1, .items = item}};
	uint64_t member = f->dispatched_to;

	f->dispatched_to = 0;
	deliver(f, member, &msg);
}

/* Sends the result of a member that has given the last dispatched task up while
 * a start of it may still be executed. */
static void
lose_task(struct fixture *f, uint64_t member)
{
	const struct mst_result_item item = {.seq = f->seq,
	    .outcome = MST_OUTCOME_UNKNOWN,
	    .reason = MST_REASON_RUN_LOST,
	    .start_uncertain = true};

	g_assert_cmpuint(f->dispatched_to, ==, member);
	give_result(f, &item);
}

static void
run_ms(struct fixture *f, int64_t ms)
{
	int64_t i;

	for (i = 0; i < ms; i += STEP_MS) {
		struct mst_entry_event tick = {.type = MST_ENTRY_EV_TICK};
		struct mst_entry_event flush = {.type = MST_ENTRY_EV_FLUSH};

		f->now_us += STEP_MS * MS;
		step(f, &tick);
		step(f, &flush);
	}
}

static void
submit(struct fixture *f)
{
	struct leased_entry_job job;
	struct mst_entry_event event =
	    leased_entry_submission(&job, f->declared_us, JOB_TIMEOUT_S * 1000);

	step(f, &event);
}

static struct fixture *
fixture_new(void)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct mst_entry_event config = leased_entry_configuration();

	f->entry = leased_entry_new(ENTRY);
	f->now_us = G_USEC_PER_SEC;
	f->features = MST_FEATURES;
	f->declared_us = 50 * MS;
	step(f, &config);
	return f;
}

static void
fixture_free(struct fixture *f)
{
	mst_entry_free(f->entry);
	g_free(f);
}

static void
bound__waits_for_its_member(void)
{
	struct fixture *f = fixture_new();

	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	lose_task(f, 100);
	announce(f, 100, "a", 0);
	announce(f, 200, "b", SLOTS);
	run_ms(f, SILENCE_MS);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	fixture_free(f);
}

/* Guards against a run beside one whose start is executed by the worker's next
 * incarnation but one, of which the successor's fence knows nothing. */
static void
bound__beyond_the_next_agent(void)
{
	struct fixture *f = fixture_new();

	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	lose_task(f, 100);
	announce(f, 101, "a", 0);
	announce(f, 200, "b", SLOTS);
	run_ms(f, SILENCE_MS);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	announce(f, 101, "a", SLOTS);
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 101);
	fixture_free(f);
}

/* The start can no longer be executed. */
static void
bound__not_for_ever(void)
{
	struct fixture *f = fixture_new();

	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	lose_task(f, 100);
	run_ms(f, KEEP_MS);
	announce(f, 200, "b", SLOTS);
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 200);
	fixture_free(f);
}

/* Guards against a run beside one that a member has started, or may start,
 * which was lost before it told anything. */
static void
bound__to_a_lost_member(void)
{
	struct fixture *f = fixture_new();
	struct mst_entry_event gone = {
	    .type = MST_ENTRY_EV_DISCONNECT, .request = 1};

	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, LOST_MS);
	g_assert_cmpuint(f->dispatched_to, ==, 100);
	f->dispatched_to = 0;
	announce(f, 300, "c", SLOTS);
	run_ms(f, SILENCE_MS);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	step(f, &gone);
	announce(f, 300, "c", SLOTS);
	submit(f);
	run_ms(f, SILENCE_MS);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	fixture_free(f);
}

/* Confirms the start of the task that was dispatched last. */
static void
confirm_task(struct fixture *f)
{
	struct mst_msg msg = {.type = MST_MSG_RESULT,
	    .results = {.confirmed_count = 1, .confirmed_seqs = &f->seq}};

	deliver(f, f->dispatched_to, &msg);
	f->dispatched_to = 0;
}

/* An order that was answered can't be executed any more. */
static void
bound__not_if_confirmed(void)
{
	struct fixture *f = fixture_new();

	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	confirm_task(f);
	run_ms(f, LOST_MS);
	announce(f, 300, "c", SLOTS);
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 300);
	fixture_free(f);
}

/* Agents of 0.3.0 confirm nothing, and their tasks would wait for each. */
static void
bound__not_if_never_confirmed(void)
{
	struct fixture *f = fixture_new();

	f->features = MST_FEATURE_NEW_REASONS | MST_FEATURE_UNCERTAIN_STARTS;
	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, LOST_MS);
	announce(f, 300, "c", SLOTS);
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 300);
	fixture_free(f);
}

/* Guards against a run beside one whose start is executed late at another host
 * than the one that the task was bound to last. */
static void
bound__to_each_host_with_a_start(void)
{
	struct fixture *f = fixture_new();

	announce(f, 200, "b", SLOTS);
	submit(f);
	run_ms(f, 100);
	lose_task(f, 200);
	announce(f, 200, "b", 0);
	tell_start(f, "a", 0);
	announce(f, 101, "a", SLOTS);
	announce(f, 201, "b", SLOTS);
	announce(f, 300, "c", SLOTS);
	run_ms(f, SILENCE_MS);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	fixture_free(f);
}

/* Another entry has told of the start, some time ago. */
static void
bound__by_another_entry(void)
{
	struct fixture *f = fixture_new();

	tell_start(f, "a", KEEP_MS - SILENCE_MS);
	announce(f, 300, "c", SLOTS);
	submit(f);
	run_ms(f, SILENCE_MS - 100);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	announce(f, 300, "c", SLOTS);
	run_ms(f, 200);
	g_assert_cmpuint(f->dispatched_to, ==, 300);
	fixture_free(f);
}

/* Guards against two late starts with different numbers, both of which a
 * restarted worker would execute. */
static void
bound__runs_with_the_same_number(void)
{
	struct fixture *f = fixture_new();

	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	lose_task(f, 100);
	announce(f, 101, "a", SLOTS);
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 101);
	g_assert_cmpuint(f->run, ==, 1);
	g_assert_cmpuint(f->flags & MST_TASK_SAME_RUN, !=, 0);
	give_result(f,
	    &(struct mst_result_item){.seq = f->seq,
		.outcome = MST_OUTCOME_NOT_RUN,
		.reason = MST_REASON_RUN_USED});
	announce(f, 101, "a", SLOTS);
	announce(f, 300, "c", SLOTS);
	run_ms(f, SILENCE_MS);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	fixture_free(f);
}

/* The caller comes back at another entry, which must know of the start. */
static void
bound__other_entries_are_told_of_lost_members(void)
{
	struct fixture *f = fixture_new();

	greet(f);
	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, LOST_MS);
	g_assert_cmpuint(f->told, ==, 1);
	run_ms(f, SILENCE_MS);
	g_assert_cmpuint(f->told, ==, 1);
	fixture_free(f);
}

/* An agent tells the entries that it serves and hears, which need not be all:
 * the entry of the task tells them as well. */
static void
bound__other_entries_are_told_of_uncertain_results(void)
{
	struct fixture *f = fixture_new();

	greet(f);
	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	lose_task(f, 100);
	run_ms(f, 100);
	g_assert_cmpuint(f->told, ==, 1);
	run_ms(f, SILENCE_MS);
	g_assert_cmpuint(f->told, ==, 1);
	fixture_free(f);
}

/* The same for a task that has succeeded: its caller may have missed that. */
static void
bound__other_entries_are_told_after_success(void)
{
	struct fixture *f = fixture_new();

	greet(f);
	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	give_result(f,
	    &(struct mst_result_item){.seq = f->seq,
		.outcome = MST_OUTCOME_DONE,
		.status = 200,
		.start_uncertain = true});
	run_ms(f, 400);
	g_assert_cmpuint(f->told, ==, 1);
	fixture_free(f);
}

/* Guards against a run at an entry that was met after the others were told of a
 * start, while the job is still open here: its caller may go there next. */
static void
bound__new_entries_are_told_of_open_jobs(void)
{
	struct fixture *f = fixture_new();

	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	lose_task(f, 100);
	run_ms(f, SILENCE_MS);
	g_assert_cmpuint(f->told, ==, 0);
	greet(f);
	g_assert_cmpuint(f->told, ==, 1);
	run_ms(f, SILENCE_MS);
	g_assert_cmpuint(f->told, ==, 1);
	fixture_free(f);
}

/* Guards against a run at an entry that was started after the others were told
 * of a start. */
static void
bound__new_entries_are_told(void)
{
	struct fixture *f = fixture_new();

	tell_start(f, "a", 0);
	run_ms(f, SILENCE_MS);
	greet(f);
	g_assert_cmpuint(f->told, ==, 1);
	greet(f);
	g_assert_cmpuint(f->told, ==, 1);
	fixture_free(f);
}

/* A member that lives answers the withdrawal, or tells all entries itself. */
static void
bound__other_entries_are_told_of_silent_members(void)
{
	struct fixture *f = fixture_new();
	struct mst_entry_event gone = {
	    .type = MST_ENTRY_EV_DISCONNECT, .request = 1};

	greet(f);
	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	step(f, &gone);
	run_ms(f, 100);
	g_assert_cmpuint(f->told, ==, 0);
	run_ms(f, 400);
	g_assert_cmpuint(f->told, ==, 1);
	fixture_free(f);
}

static void
bound__a_late_result_settles_the_start(void)
{
	struct fixture *f = fixture_new();
	struct mst_entry_event gone = {
	    .type = MST_ENTRY_EV_DISCONNECT, .request = 1};
	uint64_t seq;

	greet(f);
	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	seq = f->seq;
	step(f, &gone);
	announce(f, 300, "c", SLOTS);
	announce(f, 100, "a", 0);
	f->dispatched_to = 0;
	submit(f);
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	f->dispatched_to = 100;
	give_result(f,
	    &(struct mst_result_item){.seq = seq,
		.outcome = MST_OUTCOME_UNKNOWN,
		.reason = MST_REASON_WITHDRAWN});
	run_ms(f, 400);
	g_assert_cmpuint(f->dispatched_to, ==, 300);
	g_assert_cmpuint(f->told, ==, 0);
	fixture_free(f);
}

/* Sends a task to the second incarnation of an agent, and has another member
 * ready. */
static void
send_to_successor(struct fixture *f)
{
	announce(f, 101, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 101);
	confirm_task(f);
	announce(f, 300, "c", SLOTS);
}

static void
announce_delayed(struct fixture *f, uint64_t member, const char *name)
{
	f->is_delayed = true;
	announce(f, member, name, SLOTS);
	f->is_delayed = false;
}

/* Guards against a second run of a task whose member counts as replaced by its
 * predecessor, of which an announcement arrives last. */
static void
bound__members_are_not_replaced_by_predecessors(void)
{
	struct fixture *f = fixture_new();

	send_to_successor(f);
	announce_delayed(f, 100, "a");
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	announce_delayed(f, 100, "a");
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	fixture_free(f);
}

/* The same for a predecessor that was known and has been replaced. */
static void
bound__members_are_not_replaced_by_known_predecessors(void)
{
	struct fixture *f = fixture_new();

	announce(f, 100, "a", SLOTS);
	send_to_successor(f);
	announce_delayed(f, 100, "a");
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	fixture_free(f);
}

/* Once it answers, the other one has ended. */
static void
bound__members_are_replaced_by_successors_that_answer(void)
{
	struct fixture *f = fixture_new();

	send_to_successor(f);
	announce_delayed(f, 102, "a");
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	announce(f, 102, "a", 0);
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 300);
	fixture_free(f);
}

static void
bound__silent_members_are_replaced(void)
{
	struct fixture *f = fixture_new();

	announce(f, 100, "a", SLOTS);
	run_ms(f, LOST_MS);
	announce_delayed(f, 101, "a");
	submit(f);
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 101);
	fixture_free(f);
}

/* Guards against a dispatch that is repeated with another run number, because a
 * start was told meanwhile: the member may have started the first one. */
static void
bound__repeated_dispatch_keeps_its_number(void)
{
	const struct mst_result_item busy = {.seq = 1,
	    .outcome = MST_OUTCOME_NOT_RUN,
	    .reason = MST_REASON_BUSY};
	struct fixture *f = fixture_new();
	uint64_t seq;

	f->declared_us = LONG_MS * MS;
	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	give_result(f, &busy);
	announce(f, 100, "a", SLOTS);
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 100);
	g_assert_cmpuint(f->run, ==, 2);
	seq = f->seq;
	tell_start(f, "a", 0);
	run_ms(f, SILENCE_MS);
	f->dispatched_to = 0;
	announce_nothing_received(f, 100, "a");
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 100);
	g_assert_cmpuint(f->seq, ==, seq);
	g_assert_cmpuint(f->run, ==, 2);
	fixture_free(f);
}

/* Guards against a third start beside two that have different run numbers, both
 * of which the worker's next incarnation would execute. */
static void
bound__waits_for_starts_with_two_numbers(void)
{
	const struct mst_result_item busy = {.seq = 1,
	    .outcome = MST_OUTCOME_NOT_RUN,
	    .reason = MST_REASON_BUSY};
	struct fixture *f = fixture_new();

	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	give_result(f, &busy);
	announce(f, 100, "a", SLOTS);
	run_ms(f, 100);
	g_assert_cmpuint(f->run, ==, 2);
	lose_task(f, 100);
	tell_start(f, "a", 0);
	announce(f, 100, "a", SLOTS);
	run_ms(f, 400);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	fixture_free(f);
}

/* The same for two starts that one agent has told. */
static void
bound__waits_for_told_starts_with_two_numbers(void)
{
	struct fixture *f = fixture_new();
	struct mst_uncertain_item item = {.agent = 99,
	    .host = mst_bytes_from_str("a"),
	    .job = mst_bytes_from_str(LEASED_ENTRY_KEY)};

	for (item.run = 1; item.run <= 2; item.run++)
		tell_run(f, 99, &item);
	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 400);
	g_assert_cmpuint(f->dispatched_to, ==, 0);
	fixture_free(f);
}

/* A job that is submitted again begins with a number that the worker has used.
 */
static void
bound__next_number_after_a_used_one(void)
{
	struct fixture *f = fixture_new();

	announce(f, 100, "a", SLOTS);
	submit(f);
	run_ms(f, 100);
	g_assert_cmpuint(f->run, ==, 1);
	give_result(f,
	    &(struct mst_result_item){.seq = f->seq,
		.outcome = MST_OUTCOME_NOT_RUN,
		.reason = MST_REASON_RUN_USED});
	run_ms(f, 100);
	announce(f, 100, "a", SLOTS);
	run_ms(f, 100);
	g_assert_cmpuint(f->dispatched_to, ==, 100);
	g_assert_cmpuint(f->run, ==, 2);
	fixture_free(f);
}

/* Guards against a new entry that learns of the last starts only. */
static void
bound__new_entry_is_told_of_all_starts(void)
{
	struct fixture *f = fixture_new();
	unsigned i;

	for (i = 0; i < MANY_JOBS; i++) {
		char *key = g_strdup_printf("%016x", i);

		tell_start_of(f, key, "b", 0);
		g_free(key);
	}
	greet(f);
	run_ms(f, SILENCE_MS);
	g_assert_cmpuint(f->told, ==, MANY_JOBS);
	fixture_free(f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/bound/waits", bound__waits_for_its_member);
	g_test_add_func("/bound/successor", bound__beyond_the_next_agent);
	g_test_add_func("/bound/released", bound__not_for_ever);
	g_test_add_func("/bound/lost", bound__to_a_lost_member);
	g_test_add_func("/bound/confirmed", bound__not_if_confirmed);
	g_test_add_func("/bound/earlier-build", bound__not_if_never_confirmed);
	g_test_add_func("/bound/each", bound__to_each_host_with_a_start);
	g_test_add_func("/bound/told", bound__by_another_entry);
	g_test_add_func("/bound/same-run", bound__runs_with_the_same_number);
	g_test_add_func(
	    "/bound/tells-lost", bound__other_entries_are_told_of_lost_members);
	g_test_add_func("/bound/tells-new", bound__new_entries_are_told);
	g_test_add_func("/bound/tells-uncertain",
	    bound__other_entries_are_told_of_uncertain_results);
	g_test_add_func("/bound/tells-after-success",
	    bound__other_entries_are_told_after_success);
	g_test_add_func(
	    "/bound/tells-new-open", bound__new_entries_are_told_of_open_jobs);
	g_test_add_func("/bound/tells-silent",
	    bound__other_entries_are_told_of_silent_members);
	g_test_add_func(
	    "/bound/settled", bound__a_late_result_settles_the_start);
	g_test_add_func("/bound/predecessor",
	    bound__members_are_not_replaced_by_predecessors);
	g_test_add_func("/bound/known-predecessor",
	    bound__members_are_not_replaced_by_known_predecessors);
	g_test_add_func("/bound/proven-successor",
	    bound__members_are_replaced_by_successors_that_answer);
	g_test_add_func(
	    "/bound/silent-member", bound__silent_members_are_replaced);
	g_test_add_func(
	    "/bound/many-starts", bound__new_entry_is_told_of_all_starts);
	g_test_add_func("/bound/repeated-number",
	    bound__repeated_dispatch_keeps_its_number);
	g_test_add_func(
	    "/bound/two-numbers", bound__waits_for_starts_with_two_numbers);
	g_test_add_func("/bound/two-told-numbers",
	    bound__waits_for_told_starts_with_two_numbers);
	g_test_add_func(
	    "/bound/used-number", bound__next_number_after_a_used_one);
	return g_test_run();
}
