/*
 * Attribution of crashes to jobs and their teams. A job with a task that was
 * present at several crashes is a candidate. Each crash has one cause among the
 * candidates that were present, most likely the one that explains the most
 * crashes. This is refined in rounds, as in expectation maximization: a
 * bystander of two causes loses its share to them, because each of them is the
 * only explanation of another crash.
 *
 * Jobs that were alone at a worker, or present at so many crashes that they are
 * given up, show how long a cause runs before it crashes its worker. Runs that
 * have lasted much longer are bystanders.
 */

#include "core/crash/crash.h"
#include "core/crash/crash_internal.h"

/* Crashes after which a task is a suspect, or is given up. */
#define SUSPECT_CRASHES 2
#define GIVE_UP_CRASHES 3
/* Time for which a crash is evidence. */
#define EVIDENCE_KEEP_US (INT64_C(60) * G_USEC_PER_SEC)
#define ROUNDS           6
/* Time for which a job that has not been confirmed as a cause is evidence
 * against its team. By then, its tasks have run again, or never will. */
#define UNCONFIRMED_KEEP_US (INT64_C(1500) * 1000)
/* Probability from which on a candidate counts as a cause. Those that were
 * present at the same crashes share them, and are soon told apart, because
 * their tasks run alone next. */
#define CAUSE_PROBABILITY_MIN 0.6
/* Probability that a job without others beside it has caused the only crash
 * that it was present at. Workers also crash without the fault of any task, so
 * it counts only for a team of which another job is a cause. */
#define ALONE_PROBABILITY 0.5

/* Crashes with a known cause after which the time to a crash is known. */
#define LASTED_SAMPLES_MIN 3
/* Share of the known causes that have crashed their workers within the time
 * that is taken, and how much longer than that a cause may run. Some are known
 * wrongly. */
#define LASTED_QUANTILE  0.75
#define LASTED_FACTOR    2
#define LASTED_MARGIN_MS 20

/* A job that may have caused crashes. */
struct candidate {
	uint32_t team;
	double caused;      /* expected number of crashes that it has caused */
	double next_caused; /* the same, as computed in this round */
	double probability; /* that it has caused the crash it fits best */
	bool confirmed;     /* a task of it is to be given up */
	int64_t crashed_us; /* last crash of one of its tasks */
};

enum mst_crash_verdict
mst_crash_judge(const struct mst_task_crashes *crashes)
{
	if (crashes->total >= GIVE_UP_CRASHES ||
	    (crashes->total >= SUSPECT_CRASHES && crashes->alone > 0))
		return MST_CRASH_GIVE_UP;
	return crashes->total >= SUSPECT_CRASHES ? MST_CRASH_SUSPECT
						 : MST_CRASH_NO_SUSPECT;
}

static bool
is_evidence(const struct crash_record *record, int64_t now_us)
{
	return !record->cleared &&
	    now_us - record->crashed_us <= EVIDENCE_KEEP_US;
}

/* Returns true if a run may have caused the crash that it was present at. */
static bool
is_possible_cause(
    const struct mst_crash_history *history, const struct crash_presence *run)
{
	return run->lasted_ms == MST_LASTED_UNKNOWN ||
	    run->lasted_ms <= history->cause_lasted_max_ms;
}

static struct candidate *
get_candidate(
    struct mst_crash_history *history, const struct crash_presence *run)
{
	struct candidate *candidate =
	    g_hash_table_lookup(history->candidates, run->job);

	if (candidate != NULL)
		return candidate;
	candidate = g_new0(struct candidate, 1);
	candidate->team = run->team;
	candidate->caused = 1;
	g_hash_table_insert(history->candidates, run->job, candidate);
	return candidate;
}

static void
add_candidates(
    struct mst_crash_history *history, const struct crash_record *record)
{
	guint i;

	for (i = 0; i < record->runs->len; i++) {
		const struct crash_presence *run =
		    &g_array_index(record->runs, struct crash_presence, i);
		const struct mst_task_crashes *crashes =
		    g_hash_table_lookup(history->tasks, run->task);
		struct candidate *candidate;

		if (crashes->total < 2 || crashes->cleared ||
		    !is_possible_cause(history, run))
			continue;
		candidate = get_candidate(history, run);
		candidate->confirmed |=
		    mst_crash_judge(crashes) == MST_CRASH_GIVE_UP;
		candidate->crashed_us =
		    MAX(candidate->crashed_us, record->crashed_us);
	}
}

/* Collects the candidates that were present at a crash, each once. */
static GPtrArray *
collect_present(
    struct mst_crash_history *history, const struct crash_record *record)
{
	GPtrArray *present = g_ptr_array_new();
	guint i;

	for (i = 0; i < record->runs->len; i++) {
		const struct crash_presence *run =
		    &g_array_index(record->runs, struct crash_presence, i);
		struct candidate *candidate =
		    g_hash_table_lookup(history->candidates, run->job);

		if (candidate != NULL && is_possible_cause(history, run) &&
		    !g_ptr_array_find(present, candidate, NULL))
			g_ptr_array_add(present, candidate);
	}
	return present;
}

static double
sum_caused(const GPtrArray *present)
{
	double sum = 0;
	guint i;

	for (i = 0; i < present->len; i++)
		sum += ((const struct candidate *)present->pdata[i])->caused;
	return sum;
}

/* Divides one crash among the candidates that were present. */
static void
divide_crash(
    struct mst_crash_history *history, const struct crash_record *record)
{
	GPtrArray *present = collect_present(history, record);
	double sum = sum_caused(present);
	guint i;

	for (i = 0; i < present->len && sum > 0; i++) {
		struct candidate *candidate = present->pdata[i];
		double probability = candidate->caused / sum;

		candidate->next_caused += probability;
		candidate->probability =
		    MAX(candidate->probability, probability);
	}
	g_ptr_array_unref(present);
}

static void
start_round(struct mst_crash_history *history)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, history->candidates);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct candidate *candidate = value;

		candidate->next_caused = 0;
		candidate->probability = 0;
	}
}

static void
end_round(struct mst_crash_history *history)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, history->candidates);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct candidate *candidate = value;

		candidate->caused = candidate->next_caused;
	}
}

static void
find_candidates(struct mst_crash_history *history, int64_t now_us)
{
	guint i;

	g_hash_table_remove_all(history->candidates);
	for (i = 0; i < history->records->len; i++) {
		if (is_evidence(history->records->pdata[i], now_us))
			add_candidates(history, history->records->pdata[i]);
	}
}

/* Returns true if a run is of a job that is taken for the cause of a crash. */
static bool
is_known_cause(const struct mst_crash_history *history,
    const struct crash_record *record, const struct crash_presence *run)
{
	const struct candidate *candidate =
	    g_hash_table_lookup(history->candidates, run->job);

	return record->alone || (candidate != NULL && candidate->confirmed);
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
	uint32_t left = *(const uint32_t *)a, right = *(const uint32_t *)b;

	return left < right ? -1 : left > right;
}

/* Adds the times for which the known causes of a crash had run. */
static void
collect_cause_times(GArray *times, const struct mst_crash_history *history,
    const struct crash_record *record)
{
	guint i;

	for (i = 0; i < record->runs->len; i++) {
		const struct crash_presence *run =
		    &g_array_index(record->runs, struct crash_presence, i);

		if (run->lasted_ms != MST_LASTED_UNKNOWN &&
		    is_known_cause(history, record, run))
			g_array_append_val(times, run->lasted_ms);
	}
}

/* Learns how long a cause runs at most. */
static void
learn_lasted_max(struct mst_crash_history *history, int64_t now_us)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uint64_t typical_ms;
	guint i;

	for (i = 0; i < history->records->len; i++) {
		if (is_evidence(history->records->pdata[i], now_us))
			collect_cause_times(
			    times, history, history->records->pdata[i]);
	}
	history->cause_lasted_max_ms = MST_LASTED_UNKNOWN;
	if (times->len >= LASTED_SAMPLES_MIN) {
		g_array_sort(times, compare_times);
		typical_ms = g_array_index(
		    times, uint32_t, (guint)(LASTED_QUANTILE * times->len));
		history->cause_lasted_max_ms =
		    (uint32_t)MIN(typical_ms * LASTED_FACTOR + LASTED_MARGIN_MS,
			MST_LASTED_UNKNOWN);
	}
	g_array_unref(times);
}

void
mst_crash_attribute(struct mst_crash_history *history, int64_t now_us)
{
	unsigned round;
	guint i;

	history->cause_lasted_max_ms = MST_LASTED_UNKNOWN;
	find_candidates(history, now_us);
	learn_lasted_max(history, now_us);
	find_candidates(history, now_us);
	for (round = 0; round < ROUNDS; round++) {
		start_round(history);
		for (i = 0; i < history->records->len; i++) {
			if (is_evidence(history->records->pdata[i], now_us))
				divide_crash(
				    history, history->records->pdata[i]);
		}
		end_round(history);
	}
}

/* Returns true if the job of a crash without other jobs is no candidate, so
 * that this crash is the only evidence against it. */
static bool
is_first_alone(
    const struct mst_crash_history *history, const struct crash_record *record)
{
	const char *job =
	    g_array_index(record->runs, struct crash_presence, 0).job;

	return record->alone && !record->cleared &&
	    !g_hash_table_contains(history->candidates, job);
}

static uint32_t
first_team(const struct crash_record *record)
{
	return g_array_index(record->runs, struct crash_presence, 0).team;
}

double
mst_crash_blame(struct mst_crash_history *history,
    const struct crash_record *record, uint32_t team)
{
	GPtrArray *present = collect_present(history, record);
	double sum = sum_caused(present);
	double blame = 0;
	guint i;

	for (i = 0; i < present->len && sum > 0; i++) {
		const struct candidate *candidate = present->pdata[i];

		if (candidate->team == team)
			blame += candidate->caused / sum;
	}
	g_ptr_array_unref(present);
	if (is_first_alone(history, record) && first_team(record) == team)
		blame = ALONE_PROBABILITY;
	return blame;
}

bool
mst_crash_has_one_team(const struct crash_record *record, uint32_t team)
{
	guint i;

	for (i = 0; i < record->runs->len; i++) {
		if (g_array_index(record->runs, struct crash_presence, i)
			.team != team)
			return false;
	}
	return true;
}

double
mst_crash_evidence(
    const struct mst_crash_history *history, uint32_t team, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	double sum = 0;
	guint i;

	g_hash_table_iter_init(&iter, history->candidates);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct candidate *candidate = value;

		if (candidate->team == team &&
		    candidate->probability >= CAUSE_PROBABILITY_MIN &&
		    (candidate->confirmed ||
			now_us - candidate->crashed_us <= UNCONFIRMED_KEEP_US))
			sum += candidate->probability;
	}
	for (i = 0; i < history->records->len && sum > 0; i++) {
		const struct crash_record *record = history->records->pdata[i];

		if (is_evidence(record, now_us) &&
		    is_first_alone(history, record) &&
		    first_team(record) == team)
			sum += ALONE_PROBABILITY;
	}
	return sum;
}
