/*
 * Workers whose capacity shrinks and grows while tasks run. The worker does not
 * guard its capacity, so the agent alone must keep within it. A leased agent
 * and a leased entry are driven under a simulated clock.
 */

#include <masticstall.h>
#include <string.h>

#define MS            INT64_C(1000)
#define STEP_US       (5 * MS)
#define ENTRY         7
#define AGENT         100
#define SEEDS         20
#define ROUNDS        600 /* steps of one random run */
#define TASKS_MAX     4000
#define CAPACITY      16000 /* millicores of the worker at first */
#define MEMORY_MB     4096
#define TASK_MIN      500 /* millicores */
#define TASK_MAX      6000
#define TASK_MEMORY   512
#define LATENCY_STEPS 1 /* until an order is answered */

/* A task as the worker sees it. */
struct worker_task {
	char name[24];
	struct mst_resources needs;
	bool running;
};

/* An agent and its worker, which is played by the test. */
struct fixture {
	struct mst_agent *agent;
	GRand *rand;
	int64_t now_us;
	struct mst_resources capacity; /* as reported */
	struct mst_resources used; /* of started tasks that have not ended */
	struct worker_task tasks[TASKS_MAX];
	uint32_t sent; /* tasks sent to the agent */
	uint64_t report_seq;
	uint64_t completions;
	GArray *orders; /* struct mst_order, not answered yet */
	unsigned starts;
	unsigned refused;
	unsigned announcements;
};

static bool
is_within(const struct mst_resources *used, const struct mst_resources *total)
{
	return used->millicores <= total->millicores &&
	    used->memory_mb <= total->memory_mb;
}

static void
start_task(struct fixture *fixture, const struct mst_order *order)
{
	struct worker_task *task =
	    &fixture->tasks[g_ascii_strtoull(order->task.data, NULL, 16)];

	if (task->running)
		return;
	task->running = true;
	fixture->starts++;
	fixture->used.millicores += task->needs.millicores;
	fixture->used.memory_mb += task->needs.memory_mb;
	g_assert_true(is_within(&fixture->used, &fixture->capacity));
}

static void
execute_effects(struct fixture *fixture, const GArray *effects)
{
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_agent_effect *effect =
		    &g_array_index(effects, struct mst_agent_effect, i);

		if (effect->type == MST_AGENT_FX_SEND &&
		    effect->msg.type == MST_MSG_ANNOUNCE)
			fixture->announcements++;
		else if (effect->type == MST_AGENT_FX_RUN_FAILED)
			fixture->refused +=
			    effect->result.outcome == MST_OUTCOME_NOT_RUN;
		else if (effect->type == MST_AGENT_FX_ORDER)
			g_array_append_val(fixture->orders, effect->order);
		if (effect->type == MST_AGENT_FX_ORDER &&
		    effect->order.kind == MST_ORDER_START)
			start_task(fixture, &effect->order);
	}
}

static void
step(struct fixture *fixture, struct mst_agent_event *event)
{
	struct mst_agent_event flush = {.type = MST_AGENT_EV_FLUSH};

	event->now_us = flush.now_us = fixture->now_us;
	execute_effects(fixture, mst_agent_step(fixture->agent, event));
	execute_effects(fixture, mst_agent_step(fixture->agent, &flush));
}

static void
report(struct fixture *fixture)
{
	const struct mst_worker_report report = {.id = mst_bytes_from_str("w"),
	    .service = mst_bytes_from_str("service"),
	    .incarnation = 5,
	    .seq = ++fixture->report_seq,
	    .capacity = fixture->capacity};
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_REPORT, .report = &report};

	step(fixture, &event);
}

static void
heartbeat(struct fixture *fixture)
{
	struct mst_msg msg = {.type = MST_MSG_HEARTBEAT,
	    .from = ENTRY,
	    .heartbeat = {.echo_us = (uint64_t)fixture->now_us,
		.sent_through = fixture->sent}};
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_MESSAGE, .msg = &msg};

	step(fixture, &event);
}

static void
dispatch(struct fixture *fixture, uint32_t millicores)
{
	struct worker_task *task = &fixture->tasks[fixture->sent];
	struct mst_dispatch_item item = {.seq = ++fixture->sent,
	    .timeout_ms = 1500,
	    .run = 1,
	    .expected_service_us = 100 * MS,
	    .needs = {.millicores = millicores, .memory_mb = TASK_MEMORY}};
	struct mst_msg msg = {.type = MST_MSG_DISPATCH,
	    .from = ENTRY,
	    .to = AGENT,
	    .dispatch = {.echo_us = (uint64_t)fixture->now_us,
		.expires_us = (uint64_t)(fixture->now_us + 400 * MS),
		.count = 1,
		.items = &item}};
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_MESSAGE, .msg = &msg};

	g_snprintf(
	    task->name, sizeof(task->name), "%x.0.0.0", fixture->sent - 1);
	task->needs = item.needs;
	item.path = mst_bytes_from_str(task->name);
	step(fixture, &event);
}

/* Answers the orders. Renewals list each task that has ended as completed. */
static void
answer_orders(struct fixture *fixture, const struct mst_worker_completion *ends,
    uint32_t end_count)
{
	GArray *orders = fixture->orders;
	struct mst_worker_run *running =
	    g_new0(struct mst_worker_run, fixture->sent + 1);
	uint32_t running_count = 0;
	uint32_t t;
	guint i;

	fixture->orders = g_array_new(FALSE, FALSE, sizeof(struct mst_order));
	for (t = 0; t < fixture->sent; t++) {
		if (fixture->tasks[t].running)
			running[running_count++] = (struct mst_worker_run){
			    .task = mst_bytes_from_str(fixture->tasks[t].name),
			    .run = 1};
	}
	for (i = 0; i < orders->len; i++) {
		const struct mst_order *order =
		    &g_array_index(orders, struct mst_order, i);
		const struct mst_order_answer answer = {.kind = order->kind,
		    .id = order->id,
		    .status = MST_ORDER_DONE,
		    .sent_us = fixture->now_us - 1,
		    .clock_ms = fixture->now_us / MS,
		    .incarnation = 5,
		    .running_count = running_count,
		    .running = running,
		    .completion_count = end_count,
		    .completions = ends};
		struct mst_agent_event event = {
		    .type = MST_AGENT_EV_ORDER_ANSWER, .answer = &answer};

		step(fixture, &event);
	}
	g_array_unref(orders);
	g_free(running);
}

/* Lets time pass; each running task ends with a probability. */
static void
advance(struct fixture *fixture, double end_probability)
{
	struct mst_agent_event tick = {.type = MST_AGENT_EV_TICK};
	GArray *ends =
	    g_array_new(FALSE, FALSE, sizeof(struct mst_worker_completion));
	uint32_t t;

	fixture->now_us += STEP_US;
	for (t = 0; t < fixture->sent; t++) {
		struct worker_task *task = &fixture->tasks[t];
		struct mst_worker_completion end = {.run = 1,
		    .task = mst_bytes_from_str(task->name),
		    .status = MST_RUN_DONE};

		if (!task->running ||
		    g_rand_double(fixture->rand) >= end_probability)
			continue;
		end.seq = ++fixture->completions;
		task->running = false;
		fixture->used.millicores -= task->needs.millicores;
		fixture->used.memory_mb -= task->needs.memory_mb;
		g_array_append_val(ends, end);
	}
	answer_orders(fixture, (const void *)ends->data, ends->len);
	g_array_unref(ends);
	heartbeat(fixture);
	step(fixture, &tick);
}

static struct fixture *
fixture_new(uint32_t seed)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	struct mst_lease_times times;

	mst_lease_times(&times, 1300, 1000);
	mst_agent_options_set_leases(&options, &times);
	options.incarnation = AGENT;
	mst_agent_new(&fixture->agent, &options);
	fixture->rand = g_rand_new_with_seed(seed);
	fixture->orders = g_array_new(FALSE, FALSE, sizeof(struct mst_order));
	fixture->now_us = 10 * G_USEC_PER_SEC;
	fixture->capacity = (struct mst_resources){
	    .millicores = CAPACITY, .memory_mb = MEMORY_MB};
	report(fixture);
	while (fixture->announcements == 0)
		advance(fixture, 0);
	advance(fixture, 0);
	return fixture;
}

static void
fixture_free(struct fixture *fixture)
{
	mst_agent_free(fixture->agent);
	g_array_unref(fixture->orders);
	g_rand_free(fixture->rand);
	g_free(fixture);
}

static void
set_capacity(struct fixture *fixture, uint32_t millicores, uint32_t memory_mb)
{
	fixture->capacity.millicores = millicores;
	fixture->capacity.memory_mb = memory_mb;
	report(fixture);
}

/* Guards against a start that brings a worker over the capacity that it has
 * last reported. start_task() checks each one. */
static void
capacity__starts_stay_within_reported_capacity(void)
{
	uint32_t seed, total = 0;
	int round;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct fixture *fixture = fixture_new(seed);

		for (round = 0; round < ROUNDS; round++) {
			if (round % 40 == 0)
				set_capacity(fixture,
				    (uint32_t)g_rand_int_range(
					fixture->rand, 0, CAPACITY),
				    (uint32_t)g_rand_int_range(
					fixture->rand, 0, MEMORY_MB));
			if (fixture->sent < TASKS_MAX - 2)
				dispatch(fixture,
				    (uint32_t)g_rand_int_range(
					fixture->rand, TASK_MIN, TASK_MAX));
			advance(fixture, 0.2);
		}
		total += fixture->starts;
		fixture_free(fixture);
	}
	g_assert_cmpuint(total, >, SEEDS * ROUNDS / 10);
}

/* Guards against a task that no longer fits holding up those behind it until
 * its deadline. */
static void
capacity__queued_task_that_no_longer_fits_is_returned(void)
{
	struct fixture *fixture = fixture_new(1);

	dispatch(fixture, 12000);
	dispatch(fixture, 8000);
	g_assert_cmpuint(fixture->starts, ==, 1);
	set_capacity(fixture, 6000, MEMORY_MB);
	g_assert_cmpuint(fixture->refused, ==, 1);
	dispatch(fixture, 2000);
	advance(fixture, 1);
	advance(fixture, 0);
	g_assert_cmpuint(fixture->starts, ==, 2);
	fixture_free(fixture);
}

/* Guards against entries that go on sending what no longer fits. */
static void
capacity__entries_are_told_of_a_change(void)
{
	struct fixture *fixture = fixture_new(1);
	unsigned announcements = fixture->announcements;

	report(fixture);
	g_assert_cmpuint(fixture->announcements, ==, announcements);
	set_capacity(fixture, 6000, MEMORY_MB);
	g_assert_cmpuint(fixture->announcements, >, announcements);
	fixture_free(fixture);
}

/* What an entry answers to a job. */
struct verdict {
	bool refused;
	enum mst_reason reason;
};

static struct verdict
step_entry(struct mst_entry *entry, struct mst_entry_event *event, int64_t *now)
{
	struct verdict verdict = {0};
	const GArray *effects;
	guint i;

	event->now_us = *now;
	effects = mst_entry_step(entry, event);
	for (i = 0; i < effects->len; i++) {
		const struct mst_entry_effect *effect =
		    &g_array_index(effects, struct mst_entry_effect, i);

		if (effect->type != MST_ENTRY_FX_REFUSE)
			continue;
		verdict.refused = true;
		verdict.reason = effect->reason;
	}
	return verdict;
}

static void
announce(struct mst_entry *entry, int64_t *now, uint32_t millicores)
{
	struct mst_msg msg = {.type = MST_MSG_ANNOUNCE,
	    .from = AGENT,
	    .to = ENTRY,
	    .announce = {.name = mst_bytes_from_str("agent"),
		.failure_domain = mst_bytes_from_str("domain"),
		.service = mst_bytes_from_str("service"),
		.description_version = 1,
		.clock_us = (uint64_t)*now,
		.slots = MAX(millicores / 2000, 1),
		.resources = {.millicores = millicores, .memory_mb = MEMORY_MB},
		.resources_max = {.millicores = CAPACITY,
		    .memory_mb = MEMORY_MB},
		.grant = 4,
		.free_slots = 2}};
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_MESSAGE, .msg = &msg};

	step_entry(entry, &event, now);
}

static struct verdict
submit(
    struct mst_entry *entry, int64_t *now, const char *key, uint32_t millicores)
{
	const struct mst_task_spec task = {.path = mst_bytes_from_str(key),
	    .flags = MST_TASK_RESTARTABLE,
	    .declared_us = 50 * MS,
	    .needs = {.millicores = millicores}};
	const struct mst_job_spec spec = {.key = key,
	    .team = "queue",
	    .service = "service",
	    .timeout_ms = 1500,
	    .restartable = true,
	    .attempts = 2,
	    .stretch = 1.6,
	    .target_ms = 1000,
	    .count = 1,
	    .tasks = &task};
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_SUBMIT, .request = 1, .spec = &spec};

	return step_entry(entry, &event, now);
}

/* Guards against a job answered as one that can never run, because its worker
 * is smaller for a while. */
static void
capacity__shrunk_worker_makes_no_job_impossible(void)
{
	struct mst_entry_options options = MST_ENTRY_OPTIONS_INIT;
	struct mst_entry_event config = {
	    .type = MST_ENTRY_EV_CONFIG, .document = "{}"};
	struct mst_lease_times times;
	struct mst_entry *entry;
	struct verdict verdict;
	int64_t now = G_USEC_PER_SEC;

	mst_lease_times(&times, 1300, 1000);
	mst_entry_options_set_leases(&options, &times);
	options.incarnation = ENTRY;
	mst_entry_new(&entry, &options);
	mst_config_parse(&config.config, config.document, 1, NULL);
	step_entry(entry, &config, &now);
	announce(entry, &now, CAPACITY);
	/* Until all members have had the time to announce themselves. */
	now += 4 * G_USEC_PER_SEC;
	announce(entry, &now, TASK_MIN);
	verdict = submit(entry, &now, "00000000000000aa", CAPACITY / 2);
	g_assert_cmpint(verdict.reason, !=, MST_REASON_NO_FIT);
	verdict = submit(entry, &now, "00000000000000ab", CAPACITY * 2);
	g_assert_true(verdict.refused);
	g_assert_cmpint(verdict.reason, ==, MST_REASON_NO_FIT);
	mst_entry_free(entry);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/capacity/starts-stay-within-reported-capacity",
	    capacity__starts_stay_within_reported_capacity);
	g_test_add_func("/capacity/queued-task-that-no-longer-fits-is-returned",
	    capacity__queued_task_that_no_longer_fits_is_returned);
	g_test_add_func("/capacity/entries-are-told-of-a-change",
	    capacity__entries_are_told_of_a_change);
	g_test_add_func("/capacity/shrunk-worker-makes-no-job-impossible",
	    capacity__shrunk_worker_makes_no_job_impossible);
	return g_test_run();
}
