/*
 * Tests of what the crashes that agents report say of tasks and of teams. A
 * crash is written as the names of the tasks that were present; the first
 * letter of a name is the job and, in lower case, the team 'a', in upper case
 * the team 'A'. A name may be followed by @ and the milliseconds for which the
 * run had lasted.
 */

#include <masticstall.h>
#include <stdlib.h>
#include <string.h>

#include "core/crash/crash.h"

#define NOW_US       (INT64_C(1000) * G_USEC_PER_SEC)
#define TEAM         'a'
#define OTHER_TEAM   'A'
#define MANY_CRASHES 1500 /* more than are remembered */
#define ALL_MS       100  /* all crashes of a test have happened by then */
#define LAPSED_US    (2 * G_USEC_PER_SEC) /* suspects count no more */
#define FORGOTTEN_US (INT64_C(3600) * G_USEC_PER_SEC)

struct crash_text {
	const char *tasks; /* separated by spaces */
	uint32_t at_ms;
};

static uint32_t
team_of(const char *task)
{
	return g_ascii_islower(task[0]) ? TEAM : OTHER_TEAM;
}

static const struct crash_record *
add(struct mst_crash_history *history, const struct crash_text *text,
    bool cleared)
{
	char **names = g_strsplit(text->tasks, " ", -1);
	struct mst_crashed_run runs[16];
	struct mst_crash crash = {.id = g_str_hash(text->tasks) + text->at_ms,
	    .age_ms = ALL_MS - text->at_ms,
	    .cleared = cleared,
	    .runs = runs};
	const struct crash_record *record;
	char **name;

	for (name = names; *name != NULL; name++) {
		char *lasted = strchr(*name, '@');
		struct mst_crashed_run *run = &runs[crash.run_count++];

		run->lasted_ms = MST_LASTED_UNKNOWN;
		if (lasted != NULL) {
			*lasted = '\0';
			run->lasted_ms =
			    (uint32_t)strtoul(lasted + 1, NULL, 10);
		}
		run->task = mst_bytes_from_str(*name);
		run->team = team_of(*name);
	}
	record = mst_crash_history_add(history, &crash, NOW_US);
	g_strfreev(names);
	return record;
}

static double
evidence(const struct mst_crash_history *history, uint32_t team)
{
	return mst_crash_evidence(history, team, NOW_US);
}

/* A bystander (B) runs beside two causes, each of which is alone responsible
 * for another crash. */
static const struct crash_text two_causes[] = {
    {"c.0 B.0 d.0", 10}, {"c.0 E.0", 20}, {"f.0 B.0 G.0", 30}, {"f.0 H.0", 40}};

/* Guards against a bystander's team being taken for the cause. */
static void
crash_history__bystander_of_two_causes_is_told_apart(void)
{
	struct mst_crash_history *history = mst_crash_history_new();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(two_causes); i++)
		add(history, &two_causes[i], false);
	g_assert_cmpfloat(evidence(history, TEAM), >, 1.5);
	g_assert_cmpfloat(evidence(history, OTHER_TEAM), ==, 0);
	mst_crash_history_free(history);
}

/* Guards against a new entry, which is told agent by agent, judging otherwise.
 */
static void
crash_history__order_of_reports_does_not_matter(void)
{
	struct mst_crash_history *history = mst_crash_history_new();
	size_t i;

	for (i = G_N_ELEMENTS(two_causes); i > 0; i--)
		add(history, &two_causes[i - 1], false);
	g_assert_cmpfloat(evidence(history, TEAM), >, 1.5);
	g_assert_cmpfloat(evidence(history, OTHER_TEAM), ==, 0);
	mst_crash_history_free(history);
}

/* Guards against judging a team by tasks of which any may be the cause. */
static void
crash_history__equal_suspects_are_no_evidence(void)
{
	const struct crash_text first = {"b.0 C.0 D.0", 10};
	const struct crash_text second = {"b.0 C.0 D.0 e.0", 20};
	struct mst_crash_history *history = mst_crash_history_new();

	add(history, &first, false);
	add(history, &second, false);
	g_assert_cmpfloat(evidence(history, TEAM), ==, 0);
	g_assert_cmpfloat(evidence(history, OTHER_TEAM), ==, 0);
	mst_crash_history_free(history);
}

/* Long tasks (B) are present at two crashes of short-lived causes whose tasks
 * are new each time. */
static const struct crash_text long_bystander[] = {
    {"c.0@11 B.0@400 B.1@380", 10}, {"d.0@10 B.0@250 B.1@120", 20}};

/* Guards against a team of long tasks being taken for the cause. Where jobs
 * were alone, crashes have followed their starts within some 10 ms. */
static void
crash_history__long_runs_are_bystanders(void)
{
	static const struct crash_text alone[] = {
	    {"e.0@10", 30}, {"f.0@12", 40}, {"g.0@9", 50}};
	struct mst_crash_history *history = mst_crash_history_new();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(long_bystander); i++)
		add(history, &long_bystander[i], false);
	g_assert_cmpfloat(evidence(history, OTHER_TEAM), >, 0.5);
	for (i = 0; i < G_N_ELEMENTS(alone); i++)
		add(history, &alone[i], false);
	g_assert_cmpfloat(evidence(history, OTHER_TEAM), ==, 0);
	mst_crash_history_free(history);
}

/* Guards against excluding a cause because other causes were faster: where some
 * have run for long, any run may be the cause. */
static void
crash_history__slow_causes_exclude_no_run(void)
{
	static const struct crash_text alone[] = {
	    {"e.0@10", 30}, {"f.0@300", 40}, {"g.0@9", 50}};
	struct mst_crash_history *history = mst_crash_history_new();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(long_bystander); i++)
		add(history, &long_bystander[i], false);
	for (i = 0; i < G_N_ELEMENTS(alone); i++)
		add(history, &alone[i], false);
	g_assert_cmpfloat(evidence(history, OTHER_TEAM), >, 0.5);
	mst_crash_history_free(history);
}

/* Guards against a suspect that has completed being held against its team. */
static void
crash_history__completed_suspect_is_cleared(void)
{
	const struct crash_text first = {"b.0 C.0", 10};
	const struct crash_text second = {"b.0 D.0", 20};
	const struct crash_text completed = {"b.0", 30};
	struct mst_crash_history *history = mst_crash_history_new();

	add(history, &first, false);
	add(history, &second, false);
	g_assert_cmpfloat(evidence(history, TEAM), ==, 1);
	add(history, &completed, true);
	g_assert_cmpfloat(evidence(history, TEAM), ==, 0);
	g_assert_cmpuint(
	    mst_crash_history_task(history, mst_bytes_from_str("b.0")).total,
	    ==, 2);
	mst_crash_history_free(history);
}

/* Guards against a suspect whose job was given up being held against its team
 * for long, and against a confirmed cause being forgotten as soon. */
static void
crash_history__unconfirmed_suspect_lapses(void)
{
	const struct crash_text crashes[] = {
	    {"b.0 C.0", 10}, {"b.0 D.0", 20}, {"b.0 E.0", 30}};
	struct mst_crash_history *history = mst_crash_history_new();

	add(history, &crashes[0], false);
	add(history, &crashes[1], false);
	g_assert_cmpfloat(
	    mst_crash_evidence(history, TEAM, NOW_US + LAPSED_US), ==, 0);
	add(history, &crashes[2], false);
	g_assert_cmpfloat(
	    mst_crash_evidence(history, TEAM, NOW_US + LAPSED_US), ==, 1);
	mst_crash_history_free(history);
}

/* Guards against a crash that several agents' lives report counting twice. */
static void
crash_history__known_crash_counts_once(void)
{
	const struct crash_text crash = {"b.0 c.0", 10};
	struct mst_crash_history *history = mst_crash_history_new();

	g_assert_nonnull(add(history, &crash, false));
	g_assert_null(add(history, &crash, false));
	g_assert_cmpuint(
	    mst_crash_history_task(history, mst_bytes_from_str("b.0")).total,
	    ==, 1);
	mst_crash_history_free(history);
}

/* Guards against crashes that are remembered for ever. */
static void
crash_history__old_crashes_are_forgotten(void)
{
	const struct crash_text crash = {"b.0", 10};
	struct mst_crash_history *history = mst_crash_history_new();

	add(history, &crash, false);
	mst_crash_history_expire(history, NOW_US + FORGOTTEN_US);
	g_assert_cmpuint(
	    mst_crash_history_task(history, mst_bytes_from_str("b.0")).total,
	    ==, 0);
	g_assert_nonnull(add(history, &crash, false));
	mst_crash_history_free(history);
}

/* Guards against new crashes being ignored because there were many. */
static void
crash_history__oldest_of_many_is_dropped(void)
{
	struct mst_crash_history *history = mst_crash_history_new();
	struct crash_text crash = {"b.0", 0};
	char name[16];
	unsigned i;

	for (i = 0; i < MANY_CRASHES; i++) {
		g_snprintf(name, sizeof(name), "b.%u", i);
		crash.tasks = name;
		add(history, &crash, false);
	}
	g_assert_cmpuint(
	    mst_crash_history_task(history, mst_bytes_from_str("b.0")).total,
	    ==, 0);
	g_assert_cmpuint(
	    mst_crash_history_task(history, mst_bytes_from_str(name)).total, ==,
	    1);
	mst_crash_history_free(history);
}

/* Guards against giving up a task that may have been a bystander twice, and
 * against starting one again that has crashed three workers. */
static void
crash_history__verdicts(void)
{
	static const struct {
		struct mst_task_crashes crashes;
		enum mst_crash_verdict verdict;
	} cases[] = {{{.total = 0}, MST_CRASH_NO_SUSPECT},
	    {{.total = 1}, MST_CRASH_NO_SUSPECT},
	    {{.total = 1, .alone = 1}, MST_CRASH_NO_SUSPECT},
	    {{.total = 2}, MST_CRASH_SUSPECT},
	    {{.total = 2, .alone = 1}, MST_CRASH_GIVE_UP},
	    {{.total = 3}, MST_CRASH_GIVE_UP}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(
		    mst_crash_judge(&cases[i].crashes), ==, cases[i].verdict);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/crash-history/bystander-of-two-causes-is-told-apart",
	    crash_history__bystander_of_two_causes_is_told_apart);
	g_test_add_func("/crash-history/order-of-reports-does-not-matter",
	    crash_history__order_of_reports_does_not_matter);
	g_test_add_func("/crash-history/equal-suspects-are-no-evidence",
	    crash_history__equal_suspects_are_no_evidence);
	g_test_add_func("/crash-history/completed-suspect-is-cleared",
	    crash_history__completed_suspect_is_cleared);
	g_test_add_func("/crash-history/unconfirmed-suspect-lapses",
	    crash_history__unconfirmed_suspect_lapses);
	g_test_add_func("/crash-history/known-crash-counts-once",
	    crash_history__known_crash_counts_once);
	g_test_add_func("/crash-history/old-crashes-are-forgotten",
	    crash_history__old_crashes_are_forgotten);
	g_test_add_func("/crash-history/oldest-of-many-is-dropped",
	    crash_history__oldest_of_many_is_dropped);
	g_test_add_func("/crash-history/long-runs-are-bystanders",
	    crash_history__long_runs_are_bystanders);
	g_test_add_func("/crash-history/slow-causes-exclude-no-run",
	    crash_history__slow_causes_exclude_no_run);
	g_test_add_func("/crash-history/verdicts", crash_history__verdicts);
	return g_test_run();
}
