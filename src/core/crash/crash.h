#ifndef MST_CORE_CRASH_H
#define MST_CORE_CRASH_H

/* What is known of the tasks that were present when workers crashed. */

#include <glib.h>
#include <masticstall/message.h>

/* Crashes of one task. */
struct mst_task_crashes {
	uint32_t total; /* crashes of workers during its runs */
	uint32_t alone; /* of these, crashes with no other job at the worker */
	bool cleared;   /* it has completed since it became a suspect */
};

enum mst_crash_verdict {
	MST_CRASH_NO_SUSPECT = 0, /* may run beside other jobs */
	MST_CRASH_SUSPECT,        /* runs only without other jobs beside it */
	MST_CRASH_GIVE_UP         /* is not started again */
};

/* Judges a task by its crashes. After two, it may still be a bystander, so its
 * next run shows whether the worker crashes without other jobs, too. */
enum mst_crash_verdict mst_crash_judge(const struct mst_task_crashes *crashes);

/* list.c */
/* Crashes that an agent has recorded, oldest first. */
struct mst_crash_list {
	GQueue records; /* struct listed_crash */
	uint64_t last_number;
	GPtrArray *views;   /* arrays returned since the last release */
	GPtrArray *dropped; /* struct listed_crash, perhaps in a view */
};

void mst_crash_list_init(struct mst_crash_list *list);
void mst_crash_list_clear(struct mst_crash_list *list);
/* Adds a copy of a crash under the next number, unless its id is known. Drops
 * the oldest one if there are too many. Returns true if it was added. */
bool mst_crash_list_add(struct mst_crash_list *list,
    const struct mst_crash *crash, int64_t crashed_us);
/* Drops the crashes that are too old to matter. */
void mst_crash_list_expire(struct mst_crash_list *list, int64_t now_us);
/* Returns the crashes with numbers above after. They are valid until
 * mst_crash_list_release(). */
struct mst_crashes mst_crash_list_after(
    struct mst_crash_list *list, uint64_t after, int64_t now_us);
/* Releases what mst_crash_list_after() has returned. */
void mst_crash_list_release(struct mst_crash_list *list);

/* history.c */
/* Crashes that an entry has learnt of from all agents. */
struct mst_crash_history;
struct crash_record;

struct mst_crash_history *mst_crash_history_new(void);
void mst_crash_history_free(struct mst_crash_history *history);
/* Adds a crash. Returns its record, which is valid until the next expiry, or
 * NULL if the crash is known already. */
const struct crash_record *mst_crash_history_add(
    struct mst_crash_history *history, const struct mst_crash *crash,
    int64_t now_us);
/* Returns the crashes of a task. */
struct mst_task_crashes mst_crash_history_task(
    const struct mst_crash_history *history, struct mst_bytes task);
/* Drops what is too old to matter. */
void mst_crash_history_expire(
    struct mst_crash_history *history, int64_t now_us);

/* attribution.c */
/* Returns the probability that a job of a team has caused a crash. */
double mst_crash_blame(struct mst_crash_history *history,
    const struct crash_record *record, uint32_t team);
/* Returns true if all runs that a crash has ended were of one team. */
bool mst_crash_has_one_team(const struct crash_record *record, uint32_t team);
/* Returns the expected number of a team's jobs that have caused crashes. */
double mst_crash_evidence(
    const struct mst_crash_history *history, uint32_t team, int64_t now_us);

#endif
