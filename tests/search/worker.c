/* Worker of the lease search. */

#include "search/worker.h"

#include <string.h>

#define LEASE_MAX_MS 1000 /* longest lease granted */

static const char *const ids[SEARCH_IDS_MAX] = {
    "worker", "worker-1", "worker-2", "worker-3"};

const char *
search_worker_id(int index)
{
	return ids[index];
}

int
search_worker_find_id(struct mst_bytes id)
{
	int i;

	if (id.len == 0)
		return SEARCH_NO_ID;
	for (i = 0; i < SEARCH_IDS_MAX; i++) {
		if (mst_bytes_equal_str(id, ids[i]))
			return i;
	}
	return SEARCH_OTHER_ID;
}

void
search_worker_restart(struct search_worker *worker, int64_t now_us, bool new_id)
{
	uint64_t started_ms = (uint64_t)(now_us / 1000);

	worker->is_down = false;
	worker->id += new_id;
	g_assert_cmpint(worker->id, <, SEARCH_IDS_MAX);
	worker->starts++;
	worker->incarnation = MAX(worker->incarnation + 1, started_ms);
	worker->started_us = now_us;
	worker->fence = 0;
	worker->lease_end_ms = 0;
	worker->last_run = 0;
	worker->run_count = 0;
	worker->last_seq = 0;
	worker->completion_count = 0;
}

int64_t
search_worker_clock_ms(const struct search_worker *worker, int64_t now_us)
{
	double elapsed_us = (double)(now_us - worker->started_us);

	return (int64_t)(elapsed_us * worker->clock_rate / 1000) + 1;
}

static void
end_run(
    struct search_worker *worker, uint32_t index, enum mst_run_status status)
{
	uint32_t run = worker->runs[index];

	g_assert_cmpuint(worker->completion_count, <, SEARCH_COMPLETIONS_MAX);
	worker->completions[worker->completion_count++] =
	    (struct mst_worker_completion){.seq = ++worker->last_seq,
		.task = mst_bytes_from_str(SEARCH_TASK),
		.run = run,
		.status = status};
	worker->last_run = MAX(worker->last_run, run);
	worker->runs[index] = worker->runs[--worker->run_count];
}

void
search_worker_check_lease(struct search_worker *worker, int64_t now_us)
{
	if (search_worker_clock_ms(worker, now_us) < worker->lease_end_ms)
		return;
	while (worker->run_count > 0)
		end_run(worker, 0, MST_RUN_LAPSED);
}

static int
find_run(const struct search_worker *worker, uint32_t run)
{
	uint32_t i;

	for (i = 0; i < worker->run_count; i++) {
		if (worker->runs[i] == run)
			return (int)i;
	}
	return -1;
}

static enum mst_order_status
start_run(struct search_worker *worker, const struct search_order *order,
    int64_t now_us)
{
	if (find_run(worker, order->run) >= 0)
		return MST_ORDER_DONE;
	if (order->run <= worker->last_run)
		return MST_ORDER_OLD_RUN;
	if (order->lease_end_ms <= search_worker_clock_ms(worker, now_us))
		return MST_ORDER_LAPSED;
	g_assert_cmpuint(worker->run_count, <, SEARCH_RUNS_MAX);
	worker->runs[worker->run_count++] = order->run;
	worker->runs_started++;
	return MST_ORDER_DONE;
}

static enum mst_order_status
stop_run(struct search_worker *worker, const struct search_order *order)
{
	int index = find_run(worker, order->run);

	if (index >= 0)
		end_run(worker, (uint32_t)index, MST_RUN_STOPPED);
	worker->last_run = MAX(worker->last_run, order->run);
	return MST_ORDER_DONE;
}

static void
drop_completions(struct search_worker *worker, uint64_t through_seq)
{
	uint32_t dropped = 0;

	while (dropped < worker->completion_count &&
	    worker->completions[dropped].seq <= through_seq)
		dropped++;
	worker->completion_count -= dropped;
	memmove(worker->completions, &worker->completions[dropped],
	    worker->completion_count * sizeof(worker->completions[0]));
}

enum mst_order_status
search_worker_execute(struct search_worker *worker,
    const struct search_order *order, int64_t now_us)
{
	int64_t max_end_ms =
	    search_worker_clock_ms(worker, now_us) + LEASE_MAX_MS;

	if (order->worker_id != SEARCH_NO_ID && order->worker_id != worker->id)
		return MST_ORDER_OTHER_INCARNATION;
	search_worker_check_lease(worker, now_us);
	if (order->fence < worker->fence)
		return MST_ORDER_FENCED;
	worker->fence = order->fence;
	worker->lease_end_ms =
	    MAX(worker->lease_end_ms, MIN(order->lease_end_ms, max_end_ms));
	switch (order->kind) {
	case MST_ORDER_START:
		return start_run(worker, order, now_us);
	case MST_ORDER_STOP:
		return stop_run(worker, order);
	case MST_ORDER_RENEW:
		drop_completions(worker, order->completions_acked);
		break;
	}
	return MST_ORDER_DONE;
}

void
search_worker_finish_run(struct search_worker *worker)
{
	if (worker->run_count == 0)
		return;
	worker->runs_done++;
	end_run(worker, 0, MST_RUN_DONE);
}

static void
add_lists(struct search_answer *answer, const struct search_worker *worker)
{
	uint32_t i;

	for (i = 0; i < worker->run_count; i++)
		answer->runs[i] = (struct mst_worker_run){
		    .task = mst_bytes_from_str(SEARCH_TASK),
		    .run = worker->runs[i]};
	memcpy(answer->completions, worker->completions,
	    sizeof(answer->completions));
	answer->answer.incarnation = worker->incarnation;
	answer->answer.running = answer->runs;
	answer->answer.running_count = worker->run_count;
	answer->answer.completions = answer->completions;
	answer->answer.completion_count = worker->completion_count;
}

struct search_answer *
search_answer_new(const struct search_worker *worker,
    const struct search_order *order, enum mst_order_status status,
    int64_t now_us)
{
	struct search_answer *answer = g_new0(struct search_answer, 1);

	answer->answer = (struct mst_order_answer){.kind = order->kind,
	    .id = order->id,
	    .status = status,
	    .sent_us = order->sent_us};
	if (status == MST_ORDER_NO_ANSWER || status == MST_ORDER_DOWN)
		return answer;
	answer->answer.clock_ms = search_worker_clock_ms(worker, now_us);
	if (order->kind == MST_ORDER_RENEW && status == MST_ORDER_DONE)
		add_lists(answer, worker);
	return answer;
}
