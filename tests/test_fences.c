/*
 * Fences of a leased agent over incarnations of its worker. The agent's reducer
 * is driven under a simulated clock; its worker is played by the test.
 */

#include <masticstall.h>

#define MS           INT64_C(1000)
#define TICK_MS      10
#define BORN_MS      UINT64_C(1700000000000)
#define UPTIME_MS    60000
#define SYNC_MS      500
#define CLAIM_MAX_MS (UINT64_C(1) << 53) /* of a kept report */
#define INCARNATION  101

/* The worker keeps the highest fence, and tells its start in lists only. */
struct worker {
	uint64_t fence;
	uint64_t born_ms;
	int64_t clock_ms;
};

struct fixture {
	struct mst_agent *agent;
	struct worker worker;
	GArray *orders; /* struct mst_order */
	int64_t now_us;
};

static void
step(struct fixture *f, struct mst_agent_event *event)
{
	const GArray *effects;
	guint i;

	event->now_us = f->now_us;
	effects = mst_agent_step(f->agent, event);
	for (i = 0; i < effects->len; i++) {
		const struct mst_agent_effect *effect =
		    &g_array_index(effects, struct mst_agent_effect, i);

		if (effect->type == MST_AGENT_FX_ORDER)
			g_array_append_val(f->orders, effect->order);
	}
}

/* The worker answers the oldest order. */
static void
answer_order(struct fixture *f)
{
	struct mst_order order = g_array_index(f->orders, struct mst_order, 0);
	bool is_fenced = order.fence < f->worker.fence;
	struct mst_order_answer answer = {.kind = order.kind,
	    .id = order.id,
	    .status = is_fenced ? MST_ORDER_FENCED : MST_ORDER_DONE,
	    .sent_us = f->now_us,
	    .clock_ms = f->worker.clock_ms,
	    .incarnation = is_fenced ? 0 : f->worker.born_ms};
	struct mst_agent_event event = {
	    .type = MST_AGENT_EV_ORDER_ANSWER, .answer = &answer};

	f->worker.fence = MAX(f->worker.fence, order.fence);
	g_array_remove_index(f->orders, 0);
	step(f, &event);
}

static void
report(struct fixture *f, enum mst_agent_event_type type, uint64_t incarnation)
{
	const struct mst_worker_report ready = {.id = mst_bytes_from_str("w"),
	    .service = mst_bytes_from_str("service"),
	    .incarnation = incarnation,
	    .seq = 1,
	    .capacity = {.millicores = 16000, .memory_mb = 32768}};
	struct mst_agent_event event = {.type = type, .report = &ready};

	step(f, &event);
}

static void
start_agent(struct fixture *f, uint64_t incarnation)
{
	struct mst_agent_options options = MST_AGENT_OPTIONS_INIT;
	struct mst_lease_times times;

	mst_agent_free(f->agent);
	mst_lease_times(&times, 1300, 1000);
	mst_agent_options_set_leases(&options, &times);
	options.incarnation = incarnation;
	options.name = "a";
	mst_agent_new(&f->agent, &options);
	g_array_set_size(f->orders, 0);
}

/* Lets time pass; the worker answers an order in each tick. */
static void
run_ms(struct fixture *f, int64_t duration_ms)
{
	int64_t ms;

	for (ms = 0; ms < duration_ms; ms += TICK_MS) {
		struct mst_agent_event tick = {.type = MST_AGENT_EV_TICK};

		f->now_us += TICK_MS * MS;
		f->worker.clock_ms += TICK_MS;
		step(f, &tick);
		if (f->orders->len > 0)
			answer_order(f);
	}
}

/* The worker has taken the fence of an earlier incarnation of the agent. */
static struct fixture *
fixture_new(void)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->now_us = G_USEC_PER_SEC;
	f->orders = g_array_new(FALSE, FALSE, sizeof(struct mst_order));
	f->worker = (struct worker){.fence = BORN_MS + UPTIME_MS,
	    .born_ms = BORN_MS,
	    .clock_ms = UPTIME_MS};
	return f;
}

static void
fixture_free(struct fixture *f)
{
	mst_agent_free(f->agent);
	g_array_unref(f->orders);
	g_free(f);
}

static void
restart_worker(struct fixture *f)
{
	f->worker = (struct worker){
	    .born_ms = BORN_MS + 2 * (uint64_t)UPTIME_MS, .clock_ms = 100};
}

/* Lets the agent take its worker into use. */
static void
use_worker(struct fixture *f)
{
	run_ms(f, SYNC_MS);
	report(f, MST_AGENT_EV_REPORT, f->worker.born_ms);
	run_ms(f, SYNC_MS);
}

/* Guards against late orders that a fence does not shut out, because a kept
 * report has claimed a start as late as can be. */
static void
fences__rise_after_a_claimed_start(void)
{
	struct fixture *f = fixture_new();
	uint64_t before;

	start_agent(f, INCARNATION);
	run_ms(f, TICK_MS);
	report(f, MST_AGENT_EV_KEPT_REPORT, CLAIM_MAX_MS);
	use_worker(f);
	before = f->worker.fence;
	restart_worker(f);
	run_ms(f, SYNC_MS);
	g_assert_cmpuint(f->worker.fence, >, before);
	fixture_free(f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/fences/claimed-start", fences__rise_after_a_claimed_start);
	return g_test_run();
}
