/*
 * Starts that an entry has its backup keep, for the case that the entry and the
 * agent are lost together. One leased entry is driven under a simulated clock,
 * as the one that sends tasks or as the backup; the other entries and the
 * agents are played by the test.
 */

#include <masticstall.h>
#include <string.h>

#include "support/leased_entry.h"

#define MS            INT64_C(1000)
#define ENTRY         7
#define SENDER        8 /* an entry, whose backup is ENTRY */
#define PEER          9
#define OTHER_PEER    10
#define AGENT         100
#define OTHER_AGENT   200
#define SLOTS         4
#define KEY           "00000000000000aa"
#define STEP_MS       10
#define GREET_MS      100
#define SUSPECT_MS    600  /* more than the silence that makes one suspect */
#define RETURN_MS     1300 /* from a loss until callers come back */
#define LOST_MS       1500
#define KEPT_MS       62000 /* more than the time for which a start is kept */
#define JOB_TIMEOUT_S 30
#define KEPT_MAX      32768

struct fixture {
	struct mst_entry *entry;
	int64_t now_us;
	uint64_t dispatched_to; /* of the last dispatch; 0: none */
	uint64_t seq;
	unsigned backups;   /* messages */
	uint64_t backup_to; /* of the last one with items; 0: none */
	unsigned backup_items;
	struct mst_backup_item item; /* the last one */
	char job[32];                /* its job */
	uint64_t number;             /* its number */
	unsigned settled;
	uint64_t last_settled;
	unsigned told; /* starts, to PEER */
	unsigned told_sender;
	/* Who is played: agents and peers. */
	bool has_agent;
	bool has_other_agent;
	bool has_sender;
	bool has_peer;
	bool has_other_peer;
	uint64_t agent_features;
	uint64_t peer_features;
	const char *peer_domain;
	const char *other_peer_domain;
};

static void
note_backup(struct fixture *f, uint64_t to, const struct mst_backup_starts *m)
{
	f->backups++;
	f->settled += m->settled_count;
	if (m->settled_count > 0)
		f->last_settled = m->settled[m->settled_count - 1];
	if (m->count == 0)
		return;
	f->backup_to = to;
	f->backup_items += m->count;
	f->number = m->first_number + m->count - 1;
	f->item = m->items[m->count - 1];
	g_assert_cmpuint(f->item.job.len, <, sizeof(f->job));
	memcpy(f->job, f->item.job.data, f->item.job.len);
	f->job[f->item.job.len] = '\0';
}

static void
note_dispatch(struct fixture *f, const struct mst_msg *msg)
{
	f->dispatched_to = msg->to;
	f->seq = msg->dispatch.items[0].seq;
}

static void
note_message(void *ctx, const struct mst_msg *msg)
{
	struct fixture *f = ctx;

	if (msg->type == MST_MSG_BACKUP_STARTS)
		note_backup(f, msg->to, &msg->backup_starts);
	else if (msg->type == MST_MSG_DISPATCH)
		note_dispatch(f, msg);
	else if (msg->type == MST_MSG_UNCERTAIN_STARTS && msg->to == PEER)
		f->told += msg->uncertain_starts.count;
	else if (msg->type == MST_MSG_UNCERTAIN_STARTS && msg->to == SENDER)
		f->told_sender += msg->uncertain_starts.count;
}

static void
step(struct fixture *f, struct mst_entry_event *event)
{
	event->now_us = f->now_us;
	leased_entry_step(f->entry, event, note_message, f);
}

static void
flush(struct fixture *f)
{
	struct mst_entry_event event = {.type = MST_ENTRY_EV_FLUSH};

	step(f, &event);
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
announce(struct fixture *f, uint64_t member, const char *name)
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
		.build = {.version = mst_bytes_from_str("9.9.9"),
		    .features = f->agent_features},
		.roster_version = G_MAXUINT32}};

	deliver(f, member, &msg);
}

static void
greet(struct fixture *f, uint64_t peer, const char *domain)
{
	char *address = g_strdup_printf("peer%u:1", (unsigned)peer);
	struct mst_msg msg = {.type = MST_MSG_PEER,
	    .peer = {.address = mst_bytes_from_str(address),
		.build = {.version = mst_bytes_from_str("9.9.9"),
		    .features = f->peer_features},
		.failure_domain = mst_bytes_from_str(domain)}};

	deliver(f, peer, &msg);
	g_free(address);
}

/* Lets all who are played be heard. */
static void
be_heard(struct fixture *f)
{
	if (f->has_agent)
		announce(f, AGENT, "a");
	if (f->has_other_agent)
		announce(f, OTHER_AGENT, "b");
	if (f->has_sender)
		greet(f, SENDER, "");
	if (f->has_peer)
		greet(f, PEER, f->peer_domain);
	if (f->has_other_peer)
		greet(f, OTHER_PEER, f->other_peer_domain);
}

static void
run_ms(struct fixture *f, int64_t ms)
{
	int64_t i;

	for (i = 0; i < ms; i += STEP_MS) {
		struct mst_entry_event tick = {.type = MST_ENTRY_EV_TICK};

		if (i % GREET_MS == 0)
			be_heard(f);
		f->now_us += STEP_MS * MS;
		step(f, &tick);
		flush(f);
	}
}

static void
submit(struct fixture *f, uint64_t request, const char *key)
{
	char *name = g_strdup_printf("%s.0.0.0", key);
	const struct mst_task_spec task = {.path = mst_bytes_from_str(name),
	    .flags = MST_TASK_RESTARTABLE,
	    .declared_us = 50 * MS,
	    .needs = {.millicores = 1000}};
	const struct mst_job_spec spec = {.key = key,
	    .team = "queue",
	    .service = "service",
	    .timeout_ms = JOB_TIMEOUT_S * 1000,
	    .caller_deadline_ms = JOB_TIMEOUT_S * 1000,
	    .restartable = true,
	    .attempts = 2,
	    .stretch = 100,
	    .count = 1,
	    .tasks = &task};
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_SUBMIT, .request = request, .spec = &spec};

	step(f, &event);
	g_free(name);
}

static struct fixture *
fixture_new(void)
{
	struct fixture *f = g_new0(struct fixture, 1);
	struct mst_entry_options options = MST_ENTRY_OPTIONS_INIT;
	struct mst_entry_event config = leased_entry_configuration();
	struct mst_lease_times times;

	mst_lease_times(&times, RETURN_MS, 1000);
	mst_entry_options_set_leases(&options, &times);
	options.incarnation = ENTRY;
	options.address = "entry:1";
	options.failure_domain = "east";
	mst_entry_new(&f->entry, &options);
	f->now_us = G_USEC_PER_SEC;
	f->agent_features = f->peer_features = MST_FEATURES;
	f->peer_domain = f->other_peer_domain = "";
	step(f, &config);
	return f;
}

static void
fixture_free(struct fixture *f)
{
	mst_entry_free(f->entry);
	g_free(f);
}

/* The sending entry has a start kept, or settles an earlier one. */
static void
keep(struct fixture *f, uint64_t number, const uint64_t *settled)
{
	const struct mst_backup_item item = {.agent = AGENT,
	    .host = mst_bytes_from_str("a"),
	    .job = mst_bytes_from_str(KEY),
	    .run = 1};
	struct mst_msg msg = {.type = MST_MSG_BACKUP_STARTS,
	    .backup_starts = {.first_number = number,
		.count = number > 0 ? 1 : 0,
		.items = &item,
		.settled_count = settled != NULL ? 1 : 0,
		.settled = settled}};

	deliver(f, SENDER, &msg);
}

/* The backup of an entry that has sent a task to the first agent just now. */
static struct fixture *
fixture_with_start(void)
{
	struct fixture *f = fixture_new();

	f->has_agent = f->has_other_agent = true;
	f->has_sender = f->has_peer = true;
	run_ms(f, 300);
	keep(f, 1, NULL);
	return f;
}

/* The caller comes back. Returns true if the task runs at the other agent. */
static bool
runs_elsewhere(struct fixture *f)
{
	submit(f, 1, KEY);
	run_ms(f, 200);
	return f->dispatched_to != 0;
}

static const struct mst_entry_counters *
counters(const struct fixture *f)
{
	return mst_entry_counters(f->entry);
}

/* Guards against a run beside one whose start is executed late. */
static void
backup__lost_together(void)
{
	struct fixture *f = fixture_with_start();

	f->has_sender = f->has_agent = false;
	run_ms(f, RETURN_MS);
	g_assert_cmpuint(f->told, ==, 1);
	g_assert_cmpuint(f->told_sender, ==, 0);
	g_assert_cmpuint(counters(f)->kept_starts_told, ==, 1);
	g_assert_false(runs_elsewhere(f));
	announce(f, AGENT + 1, "a");
	run_ms(f, 200);
	g_assert_cmpuint(f->dispatched_to, ==, AGENT + 1);
	fixture_free(f);
}

/* All entries know in time before the caller comes back. */
static void
backup__told_soon(void)
{
	struct fixture *f = fixture_with_start();

	f->has_sender = f->has_agent = false;
	run_ms(f, SUSPECT_MS + 100);
	g_assert_cmpuint(f->told, ==, 1);
	fixture_free(f);
}

/* The agent stops the run and tells what is uncertain. */
static void
backup__agent_lives(void)
{
	struct fixture *f = fixture_with_start();

	f->has_sender = false;
	run_ms(f, RETURN_MS);
	g_assert_cmpuint(f->told, ==, 0);
	g_assert_true(runs_elsewhere(f));
	f->has_agent = false;
	run_ms(f, 2 * LOST_MS);
	g_assert_cmpuint(f->told, ==, 0);
	fixture_free(f);
}

/* The agent has ordered a start after the entry was lost, and is lost before
 * the order is overdue. */
static void
backup__agent_lost_later(void)
{
	struct fixture *f = fixture_with_start();

	f->has_sender = false;
	run_ms(f, 400);
	f->has_agent = false;
	run_ms(f, RETURN_MS - 400);
	g_assert_cmpuint(f->told, ==, 1);
	g_assert_false(runs_elsewhere(f));
	fixture_free(f);
}

/* The agent was lost first, and its entry before it had given it up. */
static void
backup__entry_lost_later(void)
{
	struct fixture *f = fixture_with_start();

	f->has_agent = false;
	run_ms(f, 1200);
	g_assert_cmpuint(f->told, ==, 0);
	f->has_sender = false;
	run_ms(f, RETURN_MS);
	g_assert_cmpuint(f->told, ==, 1);
	g_assert_false(runs_elsewhere(f));
	fixture_free(f);
}

/* The entry tells the others itself. */
static void
backup__entry_lives(void)
{
	struct fixture *f = fixture_with_start();

	f->has_agent = false;
	run_ms(f, LOST_MS);
	g_assert_cmpuint(f->told, ==, 0);
	g_assert_true(runs_elsewhere(f));
	fixture_free(f);
}

static void
backup__settled_start_is_dropped(void)
{
	const uint64_t number = 1;
	struct fixture *f = fixture_with_start();

	keep(f, 0, &number);
	f->has_sender = f->has_agent = false;
	run_ms(f, RETURN_MS);
	g_assert_cmpuint(f->told, ==, 0);
	g_assert_true(runs_elsewhere(f));
	fixture_free(f);
}

/* Guards against a start that is told when its entry was silent for a while,
 * and not again when it is lost. */
static void
backup__entry_is_heard_again(void)
{
	struct fixture *f = fixture_with_start();

	f->has_sender = f->has_agent = false;
	run_ms(f, SUSPECT_MS + 100);
	g_assert_cmpuint(f->told, ==, 1);
	f->has_sender = true;
	run_ms(f, LOST_MS);
	f->has_sender = false;
	run_ms(f, RETURN_MS);
	g_assert_cmpuint(f->told, ==, 2);
	fixture_free(f);
}

/* The message that settles a start may be lost. */
static void
backup__kept_for_a_time(void)
{
	struct fixture *f = fixture_with_start();

	run_ms(f, KEPT_MS);
	f->has_sender = f->has_agent = false;
	run_ms(f, RETURN_MS);
	g_assert_cmpuint(f->told, ==, 0);
	fixture_free(f);
}

/* What is not kept is counted, and room comes back as starts are settled. */
static void
backup__too_many(void)
{
	struct fixture *f = fixture_new();
	const uint64_t first = 1;
	uint64_t i;

	for (i = 1; i <= KEPT_MAX; i++)
		keep(f, i, NULL);
	g_assert_cmpuint(counters(f)->starts_not_kept, ==, 0);
	keep(f, KEPT_MAX + 1, NULL);
	g_assert_cmpuint(counters(f)->starts_not_kept, ==, 1);
	keep(f, KEPT_MAX + 2, &first);
	g_assert_cmpuint(counters(f)->starts_not_kept, ==, 1);
	fixture_free(f);
}

/* An entry that sends tasks, with one agent and the backup PEER. */
static struct fixture *
fixture_with_backup(void)
{
	struct fixture *f = fixture_new();

	f->has_agent = f->has_peer = true;
	run_ms(f, 300);
	return f;
}

static void
confirm(struct fixture *f)
{
	struct mst_msg msg = {.type = MST_MSG_RESULT,
	    .results = {.grant = SLOTS,
		.free_slots = SLOTS,
		.confirmed_count = 1,
		.confirmed_seqs = &f->seq}};

	deliver(f, AGENT, &msg);
}

static void
give_result(struct fixture *f, bool start_uncertain)
{
	const struct mst_result_item item = {.seq = f->seq,
	    .outcome = MST_OUTCOME_UNKNOWN,
	    .reason = MST_REASON_RUN_LOST,
	    .start_uncertain = start_uncertain};
	struct mst_msg msg = {.type = MST_MSG_RESULT,
	    .results = {.grant = SLOTS,
		.free_slots = SLOTS,
		.count = 1,
		.items = &item}};

	deliver(f, AGENT, &msg);
}

/* The backup is told in the step that sends the task, before it. */
static void
backup__told_with_the_dispatch(void)
{
	struct mst_entry_event event = {.type = MST_ENTRY_EV_FLUSH};
	struct fixture *f = fixture_with_backup();
	const GArray *effects;

	submit(f, 1, KEY);
	event.now_us = f->now_us;
	effects = mst_entry_step(f->entry, &event);
	g_assert_cmpuint(effects->len, ==, 2);
	note_message(
	    f, &g_array_index(effects, struct mst_entry_effect, 0).msg);
	g_assert_cmpuint(f->backup_to, ==, PEER);
	g_assert_cmpuint(f->backup_items, ==, 1);
	g_assert_cmpuint(f->item.agent, ==, AGENT);
	g_assert_true(mst_bytes_equal_str(f->item.host, "a"));
	g_assert_cmpstr(f->job, ==, KEY);
	g_assert_cmpuint(f->item.run, ==, 1);
	note_message(
	    f, &g_array_index(effects, struct mst_entry_effect, 1).msg);
	g_assert_cmpuint(f->dispatched_to, ==, AGENT);
	fixture_free(f);
}

/* A settled start goes out with the next dispatch, or soon alone, once. */
static void
backup__settled_starts_are_told(void)
{
	struct fixture *f = fixture_with_backup();

	submit(f, 1, KEY);
	flush(f);
	g_assert_cmpuint(f->backups, ==, 1);
	confirm(f);
	flush(f);
	g_assert_cmpuint(f->backups, ==, 1);
	run_ms(f, 200);
	g_assert_cmpuint(f->backups, ==, 2);
	g_assert_cmpuint(f->settled, ==, 1);
	g_assert_cmpuint(f->last_settled, ==, f->number);
	run_ms(f, 2000);
	g_assert_cmpuint(f->backups, ==, 2);
	submit(f, 2, "00000000000000bb");
	flush(f);
	confirm(f);
	submit(f, 3, "00000000000000cc");
	flush(f);
	g_assert_cmpuint(f->backups, ==, 4);
	g_assert_cmpuint(f->settled, ==, 2);
	g_assert_cmpuint(f->backup_items, ==, 3);
	fixture_free(f);
}

/* A result settles the start, also after the caller has left, unless the agent
 * says that it is uncertain. */
static void
backup__results_settle(void)
{
	struct mst_entry_event gone = {
	    .type = MST_ENTRY_EV_DISCONNECT, .request = 1};
	struct fixture *f = fixture_with_backup();

	submit(f, 1, KEY);
	flush(f);
	step(f, &gone);
	give_result(f, false);
	run_ms(f, 200);
	g_assert_cmpuint(f->settled, ==, 1);
	submit(f, 2, "00000000000000bb");
	flush(f);
	give_result(f, true);
	run_ms(f, 200);
	g_assert_cmpuint(f->settled, ==, 1);
	fixture_free(f);
}

/* The next backup is told of what is not confirmed, and nothing else. */
static void
backup__next_one_is_told(void)
{
	struct fixture *f = fixture_with_backup();
	uint64_t next;

	submit(f, 1, "00000000000000bb");
	flush(f);
	confirm(f);
	submit(f, 2, KEY);
	flush(f);
	g_assert_cmpuint(f->backup_items, ==, 2);
	f->has_peer = false;
	f->has_other_peer = true;
	run_ms(f, LOST_MS);
	g_assert_cmpuint(f->backup_to, ==, OTHER_PEER);
	g_assert_cmpuint(f->backup_items, ==, 3);
	g_assert_cmpstr(f->job, ==, KEY);
	next = f->number;
	f->settled = 0;
	confirm(f);
	run_ms(f, 200);
	g_assert_cmpuint(f->settled, ==, 1);
	g_assert_cmpuint(f->last_settled, ==, next);
	fixture_free(f);
}

/* An entry in another failure domain is not lost with this one. */
static void
backup__in_another_domain(void)
{
	struct fixture *f = fixture_new();

	f->has_agent = f->has_peer = true;
	f->peer_domain = "east";
	run_ms(f, 300);
	submit(f, 1, KEY);
	flush(f);
	g_assert_cmpuint(f->backup_to, ==, PEER);
	f->has_other_peer = true;
	f->other_peer_domain = "west";
	run_ms(f, 400);
	g_assert_cmpuint(f->backup_to, ==, OTHER_PEER);
	g_assert_cmpuint(f->backup_items, ==, 2);
	fixture_free(f);
}

/* Entries of an earlier build keep nothing. */
static void
backup__entries_of_an_earlier_build(void)
{
	struct fixture *f = fixture_new();

	f->has_agent = f->has_peer = true;
	f->peer_features = MST_FEATURES & ~(uint64_t)MST_FEATURE_BACKUP_STARTS;
	run_ms(f, 300);
	submit(f, 1, KEY);
	run_ms(f, 200);
	g_assert_cmpuint(f->dispatched_to, ==, AGENT);
	g_assert_cmpuint(f->backups, ==, 0);
	fixture_free(f);
}

/* Agents of 0.3.0 confirm nothing, so that no start would be settled. */
static void
backup__agents_of_an_earlier_build(void)
{
	struct fixture *f = fixture_new();

	f->agent_features = MST_FEATURE_NEW_REASONS;
	f->has_agent = f->has_peer = true;
	run_ms(f, 300);
	submit(f, 1, KEY);
	run_ms(f, 200);
	g_assert_cmpuint(f->dispatched_to, ==, AGENT);
	g_assert_cmpuint(f->backups, ==, 0);
	fixture_free(f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/backup/lost-together", backup__lost_together);
	g_test_add_func("/backup/told-soon", backup__told_soon);
	g_test_add_func("/backup/agent-lives", backup__agent_lives);
	g_test_add_func("/backup/agent-lost-later", backup__agent_lost_later);
	g_test_add_func("/backup/entry-lost-later", backup__entry_lost_later);
	g_test_add_func("/backup/entry-lives", backup__entry_lives);
	g_test_add_func("/backup/settled", backup__settled_start_is_dropped);
	g_test_add_func("/backup/heard-again", backup__entry_is_heard_again);
	g_test_add_func("/backup/kept-for-a-time", backup__kept_for_a_time);
	g_test_add_func("/backup/too-many", backup__too_many);
	g_test_add_func(
	    "/backup/with-the-dispatch", backup__told_with_the_dispatch);
	g_test_add_func(
	    "/backup/tells-settled", backup__settled_starts_are_told);
	g_test_add_func("/backup/results", backup__results_settle);
	g_test_add_func("/backup/next", backup__next_one_is_told);
	g_test_add_func("/backup/other-domain", backup__in_another_domain);
	g_test_add_func(
	    "/backup/earlier-entry", backup__entries_of_an_earlier_build);
	g_test_add_func(
	    "/backup/earlier-agent", backup__agents_of_an_earlier_build);
	return g_test_run();
}
