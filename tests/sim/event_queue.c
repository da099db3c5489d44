#include "sim/event_queue.h"

#include "sim/store.h"

struct answer_copy {
	struct mst_order_answer answer;
	GStringChunk *texts;
};

struct answer_copy *
answer_copy_new(const struct mst_order_answer *answer)
{
	struct answer_copy *copy = g_new0(struct answer_copy, 1);
	struct mst_worker_run *running =
	    g_new0(struct mst_worker_run, answer->running_count + 1);
	struct mst_worker_completion *ended =
	    g_new0(struct mst_worker_completion, answer->completion_count + 1);
	uint32_t i;

	copy->answer = *answer;
	copy->texts = g_string_chunk_new(256);
	for (i = 0; i < answer->running_count; i++) {
		running[i] = answer->running[i];
		running[i].task.data = g_string_chunk_insert_len(copy->texts,
		    running[i].task.data, (gssize)running[i].task.len);
	}
	for (i = 0; i < answer->completion_count; i++) {
		ended[i] = answer->completions[i];
		ended[i].task.data = g_string_chunk_insert_len(
		    copy->texts, ended[i].task.data, (gssize)ended[i].task.len);
	}
	copy->answer.running = running;
	copy->answer.completions = ended;
	return copy;
}

const struct mst_order_answer *
answer_copy_get(const struct answer_copy *copy)
{
	return &copy->answer;
}

static void
answer_copy_free(struct answer_copy *copy)
{
	if (copy == NULL)
		return;
	g_free((gpointer)copy->answer.running);
	g_free((gpointer)copy->answer.completions);
	g_string_chunk_free(copy->texts);
	g_free(copy);
}

void
sim_event_free(struct sim_event *h)
{
	answer_copy_free(h->answer);
	sim_store_request_free(h->store_request);
	if (h->bytes != NULL)
		g_byte_array_unref(h->bytes);
	g_free(h->body);
	g_free(h);
}

void
event_queue_init(struct event_queue *agenda)
{
	agenda->heap = g_ptr_array_new();
	agenda->order = 0;
}

void
event_queue_clear(struct event_queue *agenda)
{
	guint i;

	for (i = 0; i < agenda->heap->len; i++)
		sim_event_free(agenda->heap->pdata[i]);
	g_ptr_array_unref(agenda->heap);
}

static bool
happens_before(const struct sim_event *a, const struct sim_event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

static void
heap_swap(GPtrArray *heap, guint i, guint j)
{
	gpointer kept = heap->pdata[i];

	heap->pdata[i] = heap->pdata[j];
	heap->pdata[j] = kept;
}

void
event_queue_push(struct event_queue *agenda, struct sim_event *h)
{
	GPtrArray *heap = agenda->heap;
	guint i = heap->len;

	h->order = ++agenda->order;
	g_ptr_array_add(heap, h);
	while (
	    i > 0 && happens_before(heap->pdata[i], heap->pdata[(i - 1) / 2])) {
		heap_swap(heap, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

struct sim_event *
event_queue_pop(struct event_queue *agenda, int64_t until_us)
{
	GPtrArray *heap = agenda->heap;
	struct sim_event *top = heap->len > 0 ? heap->pdata[0] : NULL;
	guint i = 0, child;

	if (top == NULL || top->at_us > until_us)
		return NULL;
	heap_swap(heap, 0, heap->len - 1);
	g_ptr_array_set_size(heap, (gint)heap->len - 1);
	while ((child = 2 * i + 1) < heap->len) {
		if (child + 1 < heap->len &&
		    happens_before(heap->pdata[child + 1], heap->pdata[child]))
			child++;
		if (!happens_before(heap->pdata[child], heap->pdata[i]))
			break;
		heap_swap(heap, i, child);
		i = child;
	}
	return top;
}
