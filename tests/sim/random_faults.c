/*
 * Random faults of a scenario. Each kind can be injected alone or with others,
 * to see which of them a failure needs.
 */

#include <string.h>

#include "sim/scenario.h"
#include "sim/worker.h"

#define MS                 INT64_C(1000)
#define FAULT_MIN_MS       50
#define FAULT_MAX_MS       4000
#define CUT_MIN_MS         200
#define CUT_MAX_MS         3000
#define DOWN_MAX_MS        1000 /* of a worker that is restarted */
#define SHORT_DOWN_MAX_MS  50   /* the same, for half of the restarts */
#define POWER_MIN_MS       200
#define POWER_GAP_MIN_MS   100 /* between the starts of worker and agent */
#define POWER_GAP_MAX_MS   1000
#define ITERATION_MIN_MS   200 /* of a slow loop */
#define ITERATION_MAX_MS   600
#define CLOCK_STEP_MAX_MS  10000
#define STOP_TIME_MAX_US   (50 * MS)
#define NEW_ID_PROBABILITY 0.5
#define SLOW_ANSWERS       0.1  /* probability of an answer to be slow */
#define LATE_ORDERS        0.15 /* probability of an order to be held up */
#define WORKER_FIRST       0.75 /* probability that it is up before its agent */
/* From an agent's start until its links are cut: it has connected, but not
 * announced itself. */
#define REPLACED_CUT_MS  6
#define RESET_LOSSES_MAX 3 /* messages lost on each link by a reset */

static const char *const fault_names[] = {[FAULT_KILL] = "kill",
    [FAULT_PAUSE] = "pause",
    [FAULT_CUT] = "cut",
    [FAULT_LATE_ORDERS] = "late-orders",
    [FAULT_RESTART] = "restart",
    [FAULT_POWER] = "power",
    [FAULT_UNAVAILABLE] = "unavailable",
    [FAULT_REFUSING] = "refusing",
    [FAULT_REPORTS] = "reports",
    [FAULT_ANSWERS] = "answers",
    [FAULT_CLOCK] = "clock",
    [FAULT_SLOW_ENTRY] = "slow-entry",
    [FAULT_SLOW_AGENT] = "slow-agent",
    [FAULT_RESET] = "reset",
    [FAULT_REPLACED] = "replaced"};

static unsigned
fault_from_name(const char *name)
{
	unsigned i;

	for (i = 0; i < SCENARIO_FAULTS; i++) {
		if (strcmp(fault_names[i], name) == 0)
			return i;
	}
	g_error("unknown fault: %s", name);
}

unsigned
random_faults_from_environment(void)
{
	const char *text = g_getenv("MST_TEST_FAULTS");
	unsigned faults = 0;
	char **names;
	guint i;

	if (text == NULL)
		return SCENARIO_ALL_FAULTS;
	names = g_strsplit(text, ",", -1);
	for (i = 0; names[i] != NULL; i++)
		faults |= 1U << fault_from_name(names[i]);
	g_strfreev(names);
	return faults;
}

static struct sim_worker *
get_worker(const struct scenario *scenario, int index)
{
	return sim_get_worker(scenario->sim, scenario->cluster.agents[index]);
}

static bool
has_fault(const struct scenario *scenario, enum scenario_fault fault)
{
	return (scenario->faults & (1U << fault)) != 0;
}

void
random_faults_begin(struct scenario *scenario)
{
	int i;

	for (i = 0; i < SCENARIO_WORKERS; i++) {
		struct sim_worker *worker = get_worker(scenario, i);

		sim_worker_set_new_id_probability(worker, NEW_ID_PROBABILITY);
		sim_worker_set_stop_time(worker, STOP_TIME_MAX_US);
		if (has_fault(scenario, FAULT_ANSWERS))
			sim_worker_set_slow_answers(worker, SLOW_ANSWERS);
	}
}

static int64_t
draw_until_ms(struct scenario *scenario)
{
	return scenario->now_ms +
	    g_rand_int_range(scenario->rand, FAULT_MIN_MS, FAULT_MAX_MS);
}

static void
kill_member(struct scenario *scenario, int member)
{
	if (!scenario_member_is_calm(scenario, member))
		return;
	sim_kill(scenario->sim, cluster_node(&scenario->cluster, member));
	scenario->restart_ms[member] = draw_until_ms(scenario);
}

static void
pause_member(struct scenario *scenario, int member)
{
	if (!scenario_member_is_calm(scenario, member))
		return;
	sim_pause(scenario->sim, cluster_node(&scenario->cluster, member));
	scenario->resume_ms[member] = draw_until_ms(scenario);
}

/* Lets a member take long for each iteration of its loop. */
static void
slow_member(struct scenario *scenario, int member)
{
	if (!scenario_member_is_calm(scenario, member))
		return;
	sim_pause(scenario->sim, cluster_node(&scenario->cluster, member));
	scenario->slow_until_ms[member] = draw_until_ms(scenario);
	scenario->iterate_ms[member] = scenario->now_ms +
	    g_rand_int_range(
		scenario->rand, ITERATION_MIN_MS, ITERATION_MAX_MS);
}

static void
cut_links(struct scenario *scenario)
{
	bool holds = g_rand_boolean(scenario->rand);
	int from, to;

	if (scenario->restore_links_ms != 0)
		return;
	cluster_cut_random_links(&scenario->cluster, scenario->rand);
	for (from = 0; from < SCENARIO_MEMBERS; from++) {
		for (to = 0; to < SCENARIO_MEMBERS; to++) {
			struct sim_link *link = sim_get_link(scenario->sim,
			    cluster_node(&scenario->cluster, from),
			    cluster_node(&scenario->cluster, to));

			link->holds = holds;
			link->cut_us = sim_now(scenario->sim);
		}
	}
	scenario->restore_links_ms = scenario->now_ms +
	    g_rand_int_range(scenario->rand, CUT_MIN_MS, CUT_MAX_MS);
}

static void
restart_worker(struct scenario *scenario, int index)
{
	struct sim_worker *worker = get_worker(scenario, index);
	int max_ms =
	    g_rand_boolean(scenario->rand) ? DOWN_MAX_MS : SHORT_DOWN_MAX_MS;

	if (!sim_worker_is_down(worker))
		sim_worker_go_down(worker,
		    sim_now(scenario->sim) + 1 +
			MS * g_rand_int_range(scenario->rand, 0, max_ms));
}

/* Takes the power from a host. The agent starts later than its worker, as a
 * rule. */
static void
cut_power(struct scenario *scenario, int index)
{
	int member = SCENARIO_ENTRIES + index;
	struct sim_worker *worker = get_worker(scenario, index);
	int64_t worker_ms = scenario->now_ms +
	    g_rand_int_range(scenario->rand, POWER_MIN_MS, FAULT_MAX_MS);
	int64_t gap_ms = g_rand_int_range(
	    scenario->rand, POWER_GAP_MIN_MS, POWER_GAP_MAX_MS);

	if (!scenario_member_is_calm(scenario, member) ||
	    sim_worker_is_down(worker))
		return;
	if (g_rand_double(scenario->rand) >= WORKER_FIRST)
		gap_ms = -MIN(gap_ms, worker_ms - scenario->now_ms - 1);
	sim_kill(scenario->sim, scenario->cluster.agents[index]);
	scenario->restart_ms[member] = worker_ms + gap_ms;
	sim_worker_go_down(worker, G_USEC_PER_SEC + worker_ms * MS);
}

static void
refuse_orders(struct scenario *scenario, int index)
{
	static const enum mst_order_status statuses[] = {
	    MST_ORDER_DONE, MST_ORDER_UNHEALTHY, MST_ORDER_NO_ANSWER};

	sim_worker_set_order_fault(get_worker(scenario, index),
	    statuses[g_rand_int_range(
		scenario->rand, 0, G_N_ELEMENTS(statuses))]);
}

/* Breaks all connections of an entry. What is on its way to and from the
 * members is lost. */
static void
reset_entry(struct scenario *scenario, int index)
{
	int member;
	guint i;

	for (member = 0; member < SCENARIO_MEMBERS; member++) {
		int other = cluster_node(&scenario->cluster, member);
		int entry = scenario->cluster.entries[index];

		sim_get_link(scenario->sim, entry, other)->drop_next =
		    (unsigned)g_rand_int_range(
			scenario->rand, 0, RESET_LOSSES_MAX);
		sim_get_link(scenario->sim, other, entry)->drop_next =
		    (unsigned)g_rand_int_range(
			scenario->rand, 0, RESET_LOSSES_MAX);
	}
	for (i = 0; i < scenario->callers->len; i++) {
		struct caller *caller = scenario->callers->pdata[i];

		if (!caller->finished && caller->entry == index &&
		    (caller->request != 0 || caller->waits_for_entry) &&
		    (caller->request == 0 ||
			sim_get_request(scenario->sim, caller->request)
				->answered_us == 0))
			scenario_disconnect(scenario, caller);
	}
}

/* Restarts an agent, cuts its links just afterwards and restarts it once more
 * meanwhile. */
static void
replace_agent(struct scenario *scenario, int index)
{
	int member = SCENARIO_ENTRIES + index;

	if (!scenario_member_is_calm(scenario, member) ||
	    scenario->replace_ms != 0)
		return;
	cluster_restart(&scenario->cluster, member);
	sim_run_until(
	    scenario->sim, sim_now(scenario->sim) + REPLACED_CUT_MS * MS);
	cut_links(scenario);
	scenario->replaced_member = member;
	scenario->replace_ms = scenario->now_ms +
	    g_rand_int_range(scenario->rand, FAULT_MIN_MS, CUT_MAX_MS);
}

static void
inject(struct scenario *scenario, enum scenario_fault fault)
{
	int member = g_rand_int_range(scenario->rand, 0, SCENARIO_MEMBERS);
	int entry = g_rand_int_range(scenario->rand, 0, SCENARIO_ENTRIES);
	int index = g_rand_int_range(scenario->rand, 0, SCENARIO_WORKERS);
	struct sim_worker *worker = get_worker(scenario, index);

	switch (fault) {
	case FAULT_KILL:
		kill_member(scenario, member);
		break;
	case FAULT_PAUSE:
		pause_member(scenario, member);
		break;
	case FAULT_CUT:
		cut_links(scenario);
		break;
	case FAULT_LATE_ORDERS:
		sim_worker_set_late_probability(worker, LATE_ORDERS);
		break;
	case FAULT_RESTART:
		restart_worker(scenario, index);
		break;
	case FAULT_POWER:
		cut_power(scenario, index);
		break;
	case FAULT_UNAVAILABLE:
		sim_worker_set_unavailable(
		    worker, g_rand_boolean(scenario->rand));
		break;
	case FAULT_REFUSING:
		refuse_orders(scenario, index);
		break;
	case FAULT_REPORTS:
		sim_send_odd_report(scenario->sim,
		    scenario->cluster.agents[index],
		    g_rand_int_range(scenario->rand, 0, SIM_ODD_REPORTS));
		break;
	case FAULT_CLOCK:
		sim_worker_step_wall_clock(worker,
		    g_rand_int_range(
			scenario->rand, -CLOCK_STEP_MAX_MS, CLOCK_STEP_MAX_MS));
		break;
	case FAULT_SLOW_ENTRY:
		slow_member(scenario, entry);
		break;
	case FAULT_SLOW_AGENT:
		slow_member(scenario, SCENARIO_ENTRIES + index);
		break;
	case FAULT_RESET:
		reset_entry(scenario, entry);
		break;
	case FAULT_REPLACED:
		replace_agent(scenario, index);
		break;
	case FAULT_ANSWERS: /* from the start */
	case SCENARIO_FAULTS:
		break;
	}
}

void
random_faults_inject(struct scenario *scenario)
{
	int fault;

	do {
		fault = g_rand_int_range(scenario->rand, 0, SCENARIO_FAULTS);
	} while (!has_fault(scenario, (enum scenario_fault)fault));
	inject(scenario, (enum scenario_fault)fault);
}

/* Lets a slow member go through its loop when it is due, or makes it fast. */
static void
advance_slow_member(struct scenario *scenario, int member, bool all)
{
	int node_id = cluster_node(&scenario->cluster, member);

	if (all || scenario->now_ms >= scenario->slow_until_ms[member]) {
		scenario->slow_until_ms[member] = 0;
		sim_resume(scenario->sim, node_id);
	} else if (scenario->now_ms > scenario->iterate_ms[member]) {
		scenario->iterate_ms[member] = scenario->now_ms +
		    g_rand_int_range(
			scenario->rand, ITERATION_MIN_MS, ITERATION_MAX_MS);
	} else if (scenario->now_ms == scenario->iterate_ms[member]) {
		sim_iterate(scenario->sim, node_id);
	}
}

void
random_faults_advance(struct scenario *scenario, bool all)
{
	int member;

	for (member = 0; member < SCENARIO_MEMBERS; member++) {
		if (scenario->slow_until_ms[member] != 0)
			advance_slow_member(scenario, member, all);
	}
	if (scenario->replace_ms != 0 &&
	    (all || scenario->now_ms >= scenario->replace_ms)) {
		scenario->replace_ms = 0;
		if (scenario_member_is_calm(
			scenario, scenario->replaced_member))
			cluster_restart(
			    &scenario->cluster, scenario->replaced_member);
	}
}
