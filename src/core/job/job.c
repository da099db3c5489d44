/* Jobs of an entry: creation, queueing, closing and retention. */

#include "core/entry/entry_internal.h"
#include "core/id.h"
#include "core/job/adoption.h"
#include "core/job/job.h"
#include "core/job/start_list.h"
#include "core/place/place.h"

#include <string.h>

/* A handle has 24 bits for the slot and 24 for its generation, so that it fits
 * into a tag together with the 16-bit task index. */
#define JOB_SLOT_BITS 24
/* A job's entries in the tables, its key, its lists and, if it is stored, the
 * state of its record. */
#define JOB_OVERHEAD_BYTES 768
/* Copies of a stored job's text: its own, that of the write, and its encoding
 * in the request to the store. */
#define STORED_TEXT_COPIES 3

/* Copies bytes to the end of a job's arena, which must have enough room. */
static struct span
arena_append(struct job *job, struct mst_bytes bytes)
{
	struct span span = {
	    .offset = (uint32_t)job->arena_len, .len = (uint32_t)bytes.len};

	if (bytes.len > 0)
		memcpy(job->arena + job->arena_len, bytes.data, bytes.len);
	job->arena_len += bytes.len;
	return span;
}

/* Returns whether a task has the body of the task before it. Such a body is
 * kept once, so that the memory of a job does not grow faster than its request.
 */
static bool
shares_body(const struct mst_job_spec *spec, uint32_t index)
{
	const struct mst_task_spec *task = &spec->tasks[index];

	return index > 0 && task->body.data == task[-1].body.data &&
	    task->body.len == task[-1].body.len;
}

/* Returns the arena size that a job with this specification needs. */
static size_t
spec_arena_size(const struct mst_job_spec *spec)
{
	size_t total = spec->traceparent.len;
	uint32_t i;

	for (i = 0; i < spec->step_count; i++)
		total +=
		    spec->steps[i].required_label.len + spec->steps[i].rack.len;

	for (i = 0; i < spec->count; i++) {
		const struct mst_task_spec *task = &spec->tasks[i];

		total +=
		    task->method.len + task->path.len + task->content_type.len;
		if (!shares_body(spec, i))
			total += task->body.len;
	}
	return total;
}

/* Returns the memory for a job's text until it is stored; NULL: none. */
static uint64_t
text_bytes(const char *serialized_job)
{
	return serialized_job != NULL
	    ? strlen(serialized_job) * STORED_TEXT_COPIES
	    : 0;
}

void
mst_job_release_text(struct mst_entry *entry, struct job *job, char **text)
{
	uint64_t bytes = text_bytes(*text);

	g_clear_pointer(text, g_free);
	job->bytes -= bytes;
	entry->bytes -= bytes;
}

uint64_t
mst_spec_bytes(const struct mst_job_spec *spec)
{
	return sizeof(struct job) + JOB_OVERHEAD_BYTES + spec_arena_size(spec) +
	    text_bytes(spec->serialized_job) +
	    spec->count * (sizeof(struct task) + sizeof(uint16_t)) +
	    MAX(spec->step_count, 1) * sizeof(struct step);
}

/* Stores a job in a free slot and returns its handle: the slot's number and,
 * above it, the slot's generation, so that a stale handle finds no job. */
static uint64_t
allocate_job_slot(struct mst_entry *entry, struct job *job)
{
	uint32_t slot, zero = 0;
	uint32_t *generation;

	if (entry->free_job_slots->len > 0) {
		slot = g_array_index(entry->free_job_slots, uint32_t,
		    entry->free_job_slots->len - 1);
		g_array_set_size(
		    entry->free_job_slots, entry->free_job_slots->len - 1);
	} else {
		slot = entry->jobs->len;
		g_ptr_array_add(entry->jobs, NULL);
		g_array_append_val(entry->slot_generations, zero);
	}
	generation = &g_array_index(entry->slot_generations, uint32_t, slot);
	*generation = (*generation + 1) & 0xffffff;
	if (*generation == 0)
		*generation = 1;
	entry->jobs->pdata[slot] = job;
	return (uint64_t)*generation << JOB_SLOT_BITS | slot;
}

struct job *
mst_job_find(const struct mst_entry *entry, uint64_t handle)
{
	uint32_t slot = handle & ((1u << JOB_SLOT_BITS) - 1);
	struct job *job;

	if (slot >= entry->jobs->len)
		return NULL;
	job = entry->jobs->pdata[slot];
	return job != NULL && job->handle == handle ? job : NULL;
}

void
mst_job_free(struct mst_entry *entry, struct job *job)
{
	uint32_t slot = job->handle & ((1u << JOB_SLOT_BITS) - 1);
	uint32_t i;

	if (entry != NULL) {
		entry->jobs->pdata[slot] = NULL;
		g_array_append_val(entry->free_job_slots, slot);
		g_hash_table_remove(entry->jobs_by_id, &job->ticket.job);
		entry->bytes -= job->bytes;
	}
	for (i = 0; i < job->count; i++) {
		mst_start_list_free(job->tasks[i].starts);
		g_free((char *)job->tasks[i].result_type.data);
		g_free((char *)job->tasks[i].result_body.data);
	}
	mst_adoption_free(job->adoption);
	g_array_unref(job->waiting_tasks);
	g_array_unref(job->requests);
	g_free(job->tasks);
	g_free(job->steps);
	mst_stored_free(job->stored);
	g_free(job->key);
	g_free(job->arena);
	g_free(job);
}

static void
init_task(struct job *job, const struct mst_job_spec *job_spec, uint32_t index)
{
	const struct mst_task_spec *spec = &job_spec->tasks[index];
	struct task *task = &job->tasks[index];

	*task = (struct task){.state = TASK_WAITING,
	    .flags = (uint8_t)spec->flags,
	    .declared_us = spec->declared_us ? spec->declared_us
					     : ENTRY_DEFAULT_DECLARED_US,
	    .needs = spec->needs,
	    .method = arena_append(job, spec->method),
	    .path = arena_append(job, spec->path),
	    .content_type = arena_append(job, spec->content_type),
	    .body = shares_body(job_spec, index)
		? job->tasks[index - 1].body
		: arena_append(job, spec->body)};
}

static void
set_scheduling_options(
    struct mst_entry *entry, struct job *job, const struct mst_job_spec *spec)
{
	job->restartable = spec->restartable;
	job->service = spec->service ? g_quark_from_string(spec->service) : 0;
	job->priority = spec->priority;
	job->attempts = MAX(spec->attempts, 1);
	job->stretch = spec->stretch;
	job->target_us = (int64_t)spec->target_ms * 1000;
	if (spec->key == NULL)
		return;
	job->key = g_strdup(spec->key);
	g_hash_table_replace(entry->jobs_by_key, job->key, job);
}

bool
mst_job_may_have_run(const struct job *job)
{
	uint32_t i;

	for (i = 0; i < job->count; i++) {
		const struct task *task = &job->tasks[i];

		if (task->state == TASK_SENT || task->may_have_run ||
		    (task->state == TASK_CLOSED &&
			task->outcome != MST_OUTCOME_NOT_RUN))
			return true;
	}
	return false;
}

void
mst_request_attach(struct mst_entry *entry, struct job *job, uint64_t request)
{
	g_array_append_val(job->requests, request);
	g_hash_table_insert(entry->requests, mst_u64_to_pointer(request), job);
}

struct job *
mst_job_new(
    struct mst_entry *entry, const struct mst_job_spec *spec, struct team *team)
{
	struct job *job = g_new0(struct job, 1);
	size_t arena_size = spec_arena_size(spec);
	uint32_t timeout_ms = spec->timeout_ms
	    ? spec->timeout_ms
	    : entry->config->policy.default_timeout_ms;
	uint32_t i;

	job->handle = allocate_job_slot(entry, job);
	job->ticket = spec->ticket;
	job->fingerprint = spec->fingerprint;
	job->team = team;
	job->state = MST_JOB_OPEN;
	job->submitted_us = entry->now_us;
	job->deadline_us = entry->now_us + (int64_t)timeout_ms * 1000;
	job->count = spec->count;
	job->open = spec->count;
	job->tasks = g_new0(struct task, spec->count);
	job->waiting_tasks =
	    g_array_sized_new(FALSE, FALSE, sizeof(uint16_t), spec->count);
	job->requests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	job->arena = g_malloc(MAX(arena_size, 1));
	job->closed_link.data = job;
	job->traceparent = arena_append(job, spec->traceparent);
	set_scheduling_options(entry, job, spec);
	for (i = 0; i < spec->count; i++)
		init_task(job, spec, i);
	mst_job_set_steps(job, spec, arena_append);
	mst_job_set_objective(entry, job);
	job->bytes = mst_spec_bytes(spec);
	entry->bytes += job->bytes;
	g_hash_table_insert(entry->jobs_by_id, &job->ticket.job, job);
	return job;
}
