/*
 * Takeover of a lost owner's stored jobs, step by step: guards against an
 * answer of the store that is taken for that to another request, and against
 * records that lose what the owner's newer build has added to them.
 */

#include <glib.h>
#include <masticstall.h>

#include <string.h>

#define TICK_US      (10 * 1000)
#define LOST_OWNER   UINT64_C(0x99)
#define RECORDS      16
#define KEY_SIZE     24
#define WAIT_TICKS   1000
#define LEASE_TICKS  250             /* more than the lease of an owner */
#define LOST_VERSION 7               /* of the records */
#define EXTRA        "{\"trail\":1}" /* what a newer build has added to them */

/* A read of a job that has not been answered. */
struct pending_read {
	uint64_t id;
	char key[KEY_SIZE];
};

struct fixture {
	struct mst_entry *entry;
	int64_t now_us;
	const char *prefix;   /* of the keys of the lost owner's records */
	bool renewals_answer; /* false: renewals get no answer */
	GArray *reads;        /* struct pending_read: reads of jobs */
	GPtrArray *claimed;   /* char *: keys of the records written */
};

static void step(struct fixture *f, struct mst_entry_event *event);

static void
answer(struct fixture *f, struct mst_store_answer *store_answer)
{
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_STORE_ANSWER, .answer = store_answer};

	step(f, &event);
}

/* Answers the scan of a partition; the first one has all records. */
static void
answer_scan(struct fixture *f, uint64_t id, uint32_t partition)
{
	struct mst_stored_record records[RECORDS];
	char keys[RECORDS][KEY_SIZE];
	struct mst_store_answer store_answer = {.id = id,
	    .status = MST_STORE_OK,
	    .records = records,
	    .record_count = partition == 0 ? RECORDS : 0};
	int i;

	for (i = 0; i < RECORDS; i++) {
		g_snprintf(keys[i], KEY_SIZE, "%s-%08d", f->prefix, i);
		records[i] = (struct mst_stored_record){.key = keys[i],
		    .version = LOST_VERSION,
		    .record = {.owner = LOST_OWNER,
			.state = MST_RECORD_OPEN,
			.tasks = "0",
			.extra = EXTRA}};
	}
	answer(f, &store_answer);
}

static void
answer_owners(struct fixture *f, uint64_t id)
{
	const struct mst_stored_owner owner = {
	    .owner = LOST_OWNER, .version = 1, .released = true};
	struct mst_store_answer store_answer = {.id = id,
	    .status = MST_STORE_OK,
	    .owners = &owner,
	    .owner_count = 1};

	answer(f, &store_answer);
}

/* Answers the read of a job with a job of one task. */
static void
answer_read(struct fixture *f, const struct pending_read *read)
{
	const struct mst_task_spec task = {.path = mst_bytes_from_str("/t")};
	const struct mst_job_spec spec = {.team = "t",
	    .key = read->key,
	    .restartable = true,
	    .count = 1,
	    .tasks = &task};
	struct mst_store_answer store_answer = {
	    .id = read->id, .status = MST_STORE_OK, .spec = &spec};

	answer(f, &store_answer);
}

static void
answer_op(struct fixture *f, const struct mst_store_op *op)
{
	struct mst_store_answer store_answer = {
	    .id = op->id, .status = MST_STORE_OK, .version = 1};

	if (op->kind == MST_STORE_SCAN)
		answer_scan(f, op->id, op->partition);
	else if (op->kind == MST_STORE_OWNERS)
		answer_owners(f, op->id);
	else if (op->kind == MST_STORE_RENEW && f->renewals_answer)
		answer(f, &store_answer);
}

/* Copies an operation that the entry requests: its strings are borrowed. */
static void
record_op(struct fixture *f, GArray *ops, const struct mst_store_op *op)
{
	struct pending_read read = {.id = op->id};

	if (op->kind == MST_STORE_GET_JOB) {
		g_strlcpy(read.key, op->key, KEY_SIZE);
		g_array_append_val(f->reads, read);
	} else if (op->kind == MST_STORE_UPDATE) {
		g_ptr_array_add(f->claimed, g_strdup(op->key));
		g_assert_cmpstr(op->record.extra, ==, EXTRA);
	} else {
		g_array_append_val(ops, *op);
	}
}

static void
step(struct fixture *f, struct mst_entry_event *event)
{
	GArray *ops = g_array_new(FALSE, FALSE, sizeof(struct mst_store_op));
	const GArray *effects;
	guint i;

	event->now_us = f->now_us;
	effects = mst_entry_step(f->entry, event);
	for (i = 0; i < effects->len; i++) {
		const struct mst_entry_effect *effect =
		    &g_array_index(effects, struct mst_entry_effect, i);

		if (effect->type == MST_ENTRY_FX_STORE)
			record_op(f, ops, &effect->op);
	}
	for (i = 0; i < ops->len; i++)
		answer_op(f, &g_array_index(ops, struct mst_store_op, i));
	g_array_unref(ops);
}

static void
run_ticks(struct fixture *f, int ticks)
{
	struct mst_entry_event event = {.type = MST_ENTRY_EV_TICK};

	while (ticks-- > 0) {
		f->now_us += TICK_US;
		step(f, &event);
	}
}

/* Runs until the entry has requested the jobs of all records. */
static void
run_until_reads(struct fixture *f)
{
	int ticks;

	for (ticks = 0; f->reads->len < RECORDS && ticks < WAIT_TICKS; ticks++)
		run_ticks(f, 1);
	g_assert_cmpuint(f->reads->len, ==, RECORDS);
}

static void
answer_reads(struct fixture *f, const GArray *reads)
{
	guint i;

	for (i = 0; i < reads->len; i++)
		answer_read(f, &g_array_index(reads, struct pending_read, i));
}

static void
setup(struct fixture *f)
{
	struct mst_entry_options options = MST_ENTRY_OPTIONS_INIT;
	struct mst_entry_event event = {
	    .type = MST_ENTRY_EV_CONFIG, .document = "{}"};

	options.incarnation = 1;
	options.leased = true;
	options.stored_jobs = true;
	*f = (struct fixture){.now_us = G_USEC_PER_SEC,
	    .renewals_answer = true,
	    .reads = g_array_new(FALSE, FALSE, sizeof(struct pending_read)),
	    .claimed = g_ptr_array_new_with_free_func(g_free)};
	mst_entry_new(&f->entry, &options);
	mst_config_parse(&event.config, "{}", 1, NULL);
	step(f, &event);
}

static void
teardown(struct fixture *f)
{
	mst_entry_free(f->entry);
	g_array_unref(f->reads);
	g_ptr_array_unref(f->claimed);
}

/* Reads of jobs are answered only after the entry has lost its ownership and
 * has requested other jobs under a new one. The old jobs must not be claimed:
 * the records that they belong to have not been read under this ownership. */
static void
takeover__late_answers_of_earlier_ownership_are_ignored(void)
{
	struct fixture f;
	GArray *old_reads;
	guint i;

	setup(&f);
	f.prefix = "earlier";
	run_until_reads(&f);
	old_reads = f.reads;
	f.reads = g_array_new(FALSE, FALSE, sizeof(struct pending_read));
	f.renewals_answer = false;
	run_ticks(&f, LEASE_TICKS);
	f.renewals_answer = true;
	f.prefix = "present";
	run_until_reads(&f);
	answer_reads(&f, old_reads);
	g_assert_cmpuint(f.claimed->len, ==, 0);
	answer_reads(&f, f.reads);
	g_assert_cmpuint(f.claimed->len, ==, RECORDS);
	for (i = 0; i < f.claimed->len; i++)
		g_assert_true(g_str_has_prefix(f.claimed->pdata[i], f.prefix));
	g_array_unref(old_reads);
	teardown(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/takeover/late-answers",
	    takeover__late_answers_of_earlier_ownership_are_ignored);
	return g_test_run();
}
