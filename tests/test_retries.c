/*
 * Repetition of orders to a worker that does not carry them out. A leased
 * agent with running and starting tasks is driven under a simulated clock
 * against a worker that refuses connections, resets them, answers that it is
 * unhealthy, or stays silent. The orders sent in ten seconds are counted, and
 * the agent must serve again soon after the worker does.
 */

#include <masticstall.h>

#include "base/retry_delay.h"

#define MS         INT64_C(1000)
#define STEP_US    (1 * MS)
#define TASKS      8
#define MILLICORES 1000
#define ENTRY      1
#define OUTAGE_MS  10000
#define LATENCY_US 200
#define BODY       "{}"

/* Most orders to a failing worker in the outage: 20 per second. */
#define ORDERS_MAX 200
/* Longest time from the end of the outage until the agent's worker is in use
 * again. */
#define RECOVERY_MAX_MS 250

struct worker_fault {
	enum mst_order_status status; /* answer to every order */
	bool is_silent; /* the answer comes when the order times out */
};

static const struct worker_fault refuses = {.status = MST_ORDER_DOWN};
static const struct worker_fault resets = {.status = MST_ORDER_NO_ANSWER};
static const struct worker_fault unhealthy = {.status = MST_ORDER_UNHEALTHY};
static const struct worker_fault silent = {
    .status = MST_ORDER_NO_ANSWER, .is_silent = true};

/* An order that will be answered. */
struct pending_order {
	struct mst_order order;
	char *task;
	int64_t sent_us;
	int64_t due_us;
};

struct scenario {
	struct mst_agent *agent;
	int64_t now_us;
	const struct worker_fault *fault; /* NULL: the worker is sound */
	GArray *pending;                  /* struct pending_order */
	GHashTable *running;              /* names of the worker's tasks */
	unsigned orders;
	bool worker_answers; /* reported by the agent */
	uint64_t next_seq;
};

static void scenario_step(
    struct scenario *scenario, const struct mst_agent_event *event);

static void
send_order(struct scenario *scenario, const struct mst_order *order)
{
	struct pending_order pending = {.order = *order,
	    .task = mst_bytes_to_str(order->task),
	    .sent_us = scenario->now_us,
	    .due_us = scenario->now_us + LATENCY_US};

	scenario->orders++;
	if (scenario->fault != NULL && scenario->fault->is_silent)
		pending.due_us =
		    scenario->now_us + (int64_t)order->timeout_ms * MS;
	else if (scenario->fault == NULL && order->kind == MST_ORDER_RENEW)
		pending.due_us += (int64_t)order->wait_ms * MS;
	g_array_append_val(scenario->pending, pending);
}

static void
execute_effects(struct scenario *scenario, const GArray *effects)
{
	guint i;

	for (i = 0; i < effects->len; i++) {
		const struct mst_agent_effect *effect =
		    &g_array_index(effects, struct mst_agent_effect, i);

		if (effect->type == MST_AGENT_FX_ORDER)
			send_order(scenario, &effect->order);
		else if (effect->type == MST_AGENT_FX_WORKER)
			scenario->worker_answers =
			    g_strcmp0(effect->state, "answers") == 0;
	}
}

static void
scenario_step(struct scenario *scenario, const struct mst_agent_event *event)
{
	struct mst_agent_event timed = *event;

	timed.now_us = scenario->now_us;
	execute_effects(scenario, mst_agent_step(scenario->agent, &timed));
}

/* Fills in the worker's lists; the caller frees the rows. */
static void
list_runs(const struct scenario *scenario, struct mst_order_answer *answer)
{
	struct mst_worker_run *rows = g_new0(
	    struct mst_worker_run, g_hash_table_size(scenario->running) + 1);
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, scenario->running);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		rows[answer->running_count].task = mst_bytes_from_str(key);
		rows[answer->running_count++].run = 1;
	}
	answer->running = rows;
}

/* Answers an order as the worker's present state demands. */
static void
answer_order(struct scenario *scenario, struct pending_order *pending)
{
	struct mst_order_answer answer = {.kind = pending->order.kind,
	    .id = pending->order.id,
	    .sent_us = pending->sent_us};
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_ORDER_ANSWER, .answer = &answer};

	if (scenario->fault != NULL) {
		answer.status = scenario->fault->status;
	} else {
		answer.status = MST_ORDER_DONE;
		answer.clock_ms = scenario->now_us / MS;
		answer.incarnation = 1;
		if (answer.kind == MST_ORDER_START)
			g_hash_table_add(
			    scenario->running, g_strdup(pending->task));
		else if (answer.kind == MST_ORDER_STOP)
			g_hash_table_remove(scenario->running, pending->task);
		else
			list_runs(scenario, &answer);
	}
	scenario_step(scenario, &event);
	g_free((void *)answer.running);
	g_free(pending->task);
}

static void
answer_due_orders(struct scenario *scenario)
{
	guint i = 0;

	while (i < scenario->pending->len) {
		struct pending_order pending =
		    g_array_index(scenario->pending, struct pending_order, i);

		if (pending.due_us > scenario->now_us) {
			i++;
			continue;
		}
		g_array_remove_index(scenario->pending, i);
		answer_order(scenario, &pending);
	}
}

/* Keeps the entry's lease. */
static void
send_heartbeat(struct scenario *scenario)
{
	struct mst_msg msg = {.type = MST_MSG_HEARTBEAT, .from = ENTRY};
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_MESSAGE, .msg = &msg};

	msg.heartbeat.echo_us = (uint64_t)scenario->now_us;
	msg.heartbeat.sent_through = scenario->next_seq;
	scenario_step(scenario, &event);
}

static void
run_ms(struct scenario *scenario, int64_t ms)
{
	static const struct mst_agent_event tick = {.type = MST_AGENT_EV_TICK};
	int64_t end_us = scenario->now_us + ms * MS;

	while (scenario->now_us < end_us) {
		scenario->now_us += STEP_US;
		answer_due_orders(scenario);
		if (scenario->now_us % (10 * MS) == 0)
			scenario_step(scenario, &tick);
		if (scenario->now_us % (100 * MS) == 0)
			send_heartbeat(scenario);
	}
}

static void
dispatch_tasks(struct scenario *scenario, unsigned count)
{
	struct mst_dispatch_item items[TASKS] = {0};
	char names[TASKS][32];
	struct mst_msg msg = {.type = MST_MSG_DISPATCH, .from = ENTRY, .to = 1};
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_MESSAGE, .msg = &msg};
	unsigned i;

	for (i = 0; i < count; i++) {
		items[i].seq = ++scenario->next_seq;
		g_snprintf(names[i], sizeof(names[i]),
		    "%016" G_GINT64_MODIFIER "x.0.0.0", items[i].seq);
		items[i].path = mst_bytes_from_str(names[i]);
		items[i].body = mst_bytes_from_str(BODY);
		items[i].timeout_ms = 60000;
		items[i].needs.millicores = MILLICORES;
	}
	msg.dispatch.echo_us = (uint64_t)scenario->now_us;
	msg.dispatch.expires_us = (uint64_t)(scenario->now_us + 400 * MS);
	msg.dispatch.items = items;
	msg.dispatch.count = count;
	scenario_step(scenario, &event);
}

static void
report_worker(struct scenario *scenario)
{
	struct mst_worker_report report = {.id = mst_bytes_from_str("worker"),
	    .service = mst_bytes_from_str("service"),
	    .incarnation = 1,
	    .capacity = {.millicores = TASKS * MILLICORES, .memory_mb = 1024}};
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_REPORT, .report = &report};

	scenario_step(scenario, &event);
}

static void
scenario_init(struct scenario *scenario)
{
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	struct mst_lease_times times;

	*scenario = (struct scenario){.now_us = 1000 * MS};
	scenario->pending =
	    g_array_new(FALSE, FALSE, sizeof(struct pending_order));
	scenario->running =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	mst_lease_times(&times, 1300, 1000);
	mst_agent_options_set_leases(&options, &times);
	options.incarnation = 1;
	g_assert_cmpint(mst_agent_new(&scenario->agent, &options), ==, 0);
	report_worker(scenario);
	run_ms(scenario, 200);
	g_assert_true(scenario->worker_answers);
}

static void
scenario_clear(struct scenario *scenario)
{
	guint i;

	for (i = 0; i < scenario->pending->len; i++)
		g_free(g_array_index(scenario->pending, struct pending_order, i)
			   .task);
	g_array_unref(scenario->pending);
	g_hash_table_unref(scenario->running);
	mst_agent_free(scenario->agent);
}

/* Half of the worker's slots are in use when the outage begins, and tasks for
 * the other half arrive then. */
static void
test_failing_worker(gconstpointer data)
{
	struct scenario scenario;
	unsigned attempts;

	scenario_init(&scenario);
	dispatch_tasks(&scenario, TASKS / 2);
	run_ms(&scenario, 100);
	g_assert_cmpuint(g_hash_table_size(scenario.running), ==, TASKS / 2);
	scenario.fault = data;
	attempts = scenario.orders;
	dispatch_tasks(&scenario, TASKS / 2);
	run_ms(&scenario, OUTAGE_MS);
	attempts = scenario.orders - attempts;
	g_test_message("%u orders in %d ms", attempts, OUTAGE_MS);
	g_assert_cmpuint(attempts, <=, ORDERS_MAX);

	scenario.fault = NULL;
	g_hash_table_remove_all(scenario.running);
	scenario.worker_answers = false;
	run_ms(&scenario, RECOVERY_MAX_MS);
	g_assert_true(scenario.worker_answers);
	scenario_clear(&scenario);
}

static void
test_delay_grows(void)
{
	static const struct mst_retry_bounds bounds = {.min = 20, .max = 160};

	g_assert_cmpint(mst_retry_delay(&bounds, 0, 1), ==, 0);
	g_assert_cmpint(mst_retry_delay(&bounds, 1, 0), ==, 10);
	g_assert_cmpint(mst_retry_delay(&bounds, 1, 1), ==, 20);
	g_assert_cmpint(mst_retry_delay(&bounds, 3, 1), ==, 80);
	g_assert_cmpint(mst_retry_delay(&bounds, 4, 0), ==, 80);
	g_assert_cmpint(mst_retry_delay(&bounds, 1000000, 1), ==, 160);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retries/delay-grows", test_delay_grows);
	g_test_add_data_func(
	    "/retries/worker-refuses", &refuses, test_failing_worker);
	g_test_add_data_func(
	    "/retries/worker-resets", &resets, test_failing_worker);
	g_test_add_data_func(
	    "/retries/worker-unhealthy", &unhealthy, test_failing_worker);
	g_test_add_data_func(
	    "/retries/worker-silent", &silent, test_failing_worker);
	return g_test_run();
}
