#include "sim/load.h"

#include <string.h>

#include "sim/worker.h"

#define FAULTY_SHARE_PERCENT 12 /* of the workers */
#define SLOW_SHARE_PERCENT   18
#define SLOW_FACTOR          6.0
#define UNEVEN_LOAD          1.9  /* of the peak */
#define UNEVEN_SLOW_SHARE    0.33 /* of the workers, at the top of the peak */
#define UNEVEN_FAILING_SHARE 0.2
#define UNEVEN_SLOW_FACTOR   5.0
#define UNEVEN_DELAY_MS      1000 /* from the start of the peak */
#define LATE_PROBABILITY     0.05 /* of each order */
#define FLAP_PERIOD_MS       700
#define KILL_DOWN_MS         1000 /* from a kill until the restart */
#define LOST_PERIOD_MS       1000 /* between two replaced workers */
#define BURST_OF_ONE_FACTOR  1.8
#define POISONED_SHARE       0.05
#define RACK_PERIOD_MS       1000 /* between two lost racks */
#define RACK_WORKERS         2
#define CRASHING_SHARE       0.1 /* of the jobs of one kind */
#define OWN_CRASH_PERIOD_MS  170
#define OWN_CRASH_PERCENT    36 /* of the workers */
#define OWN_CRASH_DOWN_US    (70 * 1000)
#define OWN_CRASH_LATE       0.24 /* of the orders */
#define WRONG_SIGMA          1.0  /* of declared over true time */

static int
faulty_count(const struct load *load, int percent)
{
	return MAX(1, load->cluster.agent_count * percent / 100);
}

static struct sim_worker *
get_worker(const struct load *load, int index)
{
	return sim_get_worker(load->sim, load->cluster.agents[index]);
}

static void
set_slowdowns(struct load *load, double factor)
{
	int i;

	for (i = 0; i < faulty_count(load, SLOW_SHARE_PERCENT); i++)
		load->slowdowns[i] = factor;
}

static void
slow_begin(struct load *load)
{
	set_slowdowns(load, SLOW_FACTOR);
}

static void
slow_end(struct load *load)
{
	set_slowdowns(load, 1);
}

static void
failing_begin(struct load *load)
{
	int i;

	for (i = 0; i < faulty_count(load, FAULTY_SHARE_PERCENT); i++)
		load->fails[i] = true;
}

static void
failing_end(struct load *load)
{
	memset(load->fails, 0, sizeof(load->fails));
}

/* In the middle of a burst, some workers turn slow and others fail. */
static void
uneven_step(struct load *load, int64_t now_ms)
{
	int count = load->cluster.agent_count;
	int slow = (int)(count * UNEVEN_SLOW_SHARE);
	int failing = (int)(count * UNEVEN_FAILING_SHARE);
	int i;

	if (now_ms != LOAD_PEAK_START_MS + UNEVEN_DELAY_MS)
		return;
	for (i = 0; i < slow + failing; i++) {
		if (i < slow)
			load->slowdowns[i] = UNEVEN_SLOW_FACTOR;
		else
			load->fails[i] = true;
	}
}

static void
uneven_end(struct load *load)
{
	int i;

	for (i = 0; i < load->cluster.agent_count; i++)
		load->slowdowns[i] = 1;
	failing_end(load);
}

static void
hanging_begin(struct load *load)
{
	int i;

	for (i = 0; i < faulty_count(load, FAULTY_SHARE_PERCENT); i++)
		load->hangs[i] = true;
}

static void
hanging_end(struct load *load)
{
	memset(load->hangs, 0, sizeof(load->hangs));
}

static void
set_order_faults(const struct load *load, enum mst_order_status status)
{
	int i;

	for (i = 0; i < faulty_count(load, FAULTY_SHARE_PERCENT); i++)
		sim_worker_set_order_fault(get_worker(load, i), status);
}

static void
resetting_begin(struct load *load)
{
	set_order_faults(load, MST_ORDER_NO_ANSWER);
}

static void
unhealthy_begin(struct load *load)
{
	set_order_faults(load, MST_ORDER_UNHEALTHY);
}

static void
order_faults_end(struct load *load)
{
	set_order_faults(load, MST_ORDER_DONE);
}

static void
silent_begin(struct load *load)
{
	int i;

	for (i = 0; i < faulty_count(load, FAULTY_SHARE_PERCENT); i++)
		sim_worker_set_unavailable(get_worker(load, i), true);
}

static void
set_late_probability(const struct load *load, double probability)
{
	int i;

	for (i = 0; i < load->cluster.agent_count; i++)
		sim_worker_set_late_probability(
		    get_worker(load, i), probability);
}

static void
late_orders_begin(struct load *load)
{
	set_late_probability(load, LATE_PROBABILITY);
}

static void
clear_worker_faults(struct load *load)
{
	cluster_clear_worker_faults(&load->cluster);
}

/* Workers go down, and come back as new incarnations. */
static void
flapping_step(struct load *load, int64_t now_ms)
{
	bool down = now_ms / FLAP_PERIOD_MS % 2 == 0;
	int i;

	if (now_ms % FLAP_PERIOD_MS != 0)
		return;
	set_order_faults(load, down ? MST_ORDER_DOWN : MST_ORDER_DONE);
	for (i = 0; down && i < faulty_count(load, FAULTY_SHARE_PERCENT); i++)
		sim_worker_restart(get_worker(load, i));
}

static void
replaced_step(struct load *load, int64_t now_ms)
{
	int index = (int)(now_ms / LOST_PERIOD_MS) % load->cluster.agent_count;

	if (now_ms % LOST_PERIOD_MS != 0)
		return;
	sim_worker_restart(get_worker(load, index));
	cluster_restart(&load->cluster, load->cluster.entry_count + index);
}

static void
entry_killed_begin(struct load *load)
{
	sim_kill(load->sim, load->cluster.entries[0]);
}

static void
entry_killed_step(struct load *load, int64_t now_ms)
{
	if (now_ms == LOAD_PEAK_START_MS + KILL_DOWN_MS)
		cluster_restart(&load->cluster, 0);
}

static void
all_killed_begin(struct load *load)
{
	int i;

	for (i = 0; i < cluster_size(&load->cluster); i++)
		cluster_restart(&load->cluster, i);
}

static void
poison_begin(struct load *load)
{
	load->poisoned_share = POISONED_SHARE;
}

static void
poison_end(struct load *load)
{
	load->poisoned_share = 0;
}

static void
crashing_begin(struct load *load)
{
	load->crashing_share = CRASHING_SHARE;
}

static void
crashing_end(struct load *load)
{
	load->crashing_share = 0;
}

/* All workers of a rack crash at the same time. */
static void
rack_lost_step(struct load *load, int64_t now_ms)
{
	int i;

	if (now_ms % RACK_PERIOD_MS != 0)
		return;
	for (i = 0; i < RACK_WORKERS; i++)
		sim_worker_crash(get_worker(load,
		    (int)(now_ms / RACK_PERIOD_MS * RACK_WORKERS + i) %
			load->cluster.agent_count));
}

/* Some workers crash for a moment, again and again. */
static void
own_crashes_step(struct load *load, int64_t now_ms)
{
	int i;

	if (now_ms % OWN_CRASH_PERIOD_MS != 0)
		return;
	for (i = 0; i < faulty_count(load, OWN_CRASH_PERCENT); i++)
		sim_worker_go_down(get_worker(load, i),
		    sim_now(load->sim) + OWN_CRASH_DOWN_US);
}

static void
own_crashes_begin(struct load *load)
{
	set_late_probability(load, OWN_CRASH_LATE);
}

static void
wrong_times_begin(struct load *load)
{
	load->declared_sigma = WRONG_SIGMA;
}

static void
wrong_times_end(struct load *load)
{
	load->declared_sigma = load->shape.declared_sigma;
}

static void
burst_of_one_begin(struct load *load)
{
	load->burst_kind = &load->shape.kinds[load->shape.kind_count / 2];
	load->burst_factor = BURST_OF_ONE_FACTOR;
}

static void
burst_of_one_end(struct load *load)
{
	load->burst_kind = NULL;
}

const struct load_fault load_faults[] = {{.name = "none"},
    {.name = "burst", .load_factor = 1.4},
    {.name = "burst-of-one",
	.begin = burst_of_one_begin,
	.end = burst_of_one_end},
    {.name = "burst-and-one",
	.load_factor = 1.4,
	.begin = burst_of_one_begin,
	.end = burst_of_one_end},
    {.name = "slow", .begin = slow_begin, .end = slow_end},
    {.name = "uneven",
	.load_factor = UNEVEN_LOAD,
	.step = uneven_step,
	.end = uneven_end},
    {.name = "failing", .begin = failing_begin, .end = failing_end},
    {.name = "hanging", .begin = hanging_begin, .end = hanging_end},
    {.name = "resetting", .begin = resetting_begin, .end = order_faults_end},
    {.name = "unhealthy", .begin = unhealthy_begin, .end = order_faults_end},
    {.name = "silent", .begin = silent_begin, .end = clear_worker_faults},
    {.name = "late-orders",
	.begin = late_orders_begin,
	.end = clear_worker_faults},
    {.name = "flapping", .step = flapping_step, .end = order_faults_end},
    {.name = "replaced", .step = replaced_step},
    {.name = "entry-killed",
	.begin = entry_killed_begin,
	.step = entry_killed_step},
    {.name = "all-killed", .begin = all_killed_begin},
    {.name = "poison", .begin = poison_begin, .end = poison_end},
    {.name = "crashing", .begin = crashing_begin, .end = crashing_end},
    {.name = "rack-lost", .step = rack_lost_step},
    {.name = "own-crashes",
	.begin = own_crashes_begin,
	.step = own_crashes_step,
	.end = clear_worker_faults},
    {.name = "wrong-times", .begin = wrong_times_begin, .end = wrong_times_end},
    {0}};

const struct load_fault *
load_fault_find(const char *name)
{
	const struct load_fault *fault;

	for (fault = load_faults; fault->name != NULL; fault++) {
		if (strcmp(fault->name, name) == 0)
			return fault;
	}
	return NULL;
}
