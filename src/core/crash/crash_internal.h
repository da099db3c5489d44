#ifndef MST_CRASH_INTERNAL_H
#define MST_CRASH_INTERNAL_H

/* Data that the parts of the crash history share. */

#include "core/crash/crash.h"

/* Time for which a crash is remembered. Callers may submit a job again, and
 * stored jobs may wait for a new owner, for some minutes. */
#define CRASH_KEEP_US (INT64_C(600) * G_USEC_PER_SEC)

/* A run that was in progress at a crash. */
struct crash_presence {
	char *task;
	char *job;
	uint32_t team;
	uint32_t lasted_ms; /* until the crash; or MST_LASTED_UNKNOWN */
};

struct crash_record {
	uint64_t id;
	int64_t crashed_us;
	bool cleared; /* no crash: the runs have completed */
	bool alone;   /* all runs were of one job */
	GArray *runs; /* struct crash_presence */
};

struct mst_crash_history {
	GPtrArray *records;     /* struct crash_record */
	GHashTable *tasks;      /* name -> struct mst_task_crashes */
	GHashTable *candidates; /* key of a job -> struct candidate */
	/* Longest time for which a task can have run that has caused a crash;
	 * MST_LASTED_UNKNOWN: any. */
	uint32_t cause_lasted_max_ms;
};

/* attribution.c */
/* Attributes the crashes anew. */
void mst_crash_attribute(struct mst_crash_history *history, int64_t now_us);

#endif
