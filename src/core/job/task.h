#ifndef MST_CORE_TASK_H
#define MST_CORE_TASK_H

/* Tasks and steps of a job. */

#include <masticstall/entry.h>

#include "core/crash/crash.h"

struct member;

#define STATUS_FAILED_MIN 500 /* lowest HTTP status of a failed run */

enum task_state {
	/* Waits for the steps that its step depends on, or until the store has
	 * recorded that its last run was abandoned. */
	TASK_BLOCKED = 1,
	TASK_WAITING,
	TASK_SENT,
	TASK_DELAYED, /* waits until its retry is due */
	TASK_CLOSED
};

/* What the member that has a task says of its start. */
enum start_state {
	START_UNKNOWN = 0, /* nothing yet */
	START_UNCERTAIN,   /* it is due, or an order to start has no answer */
	START_SETTLED      /* no start order may still be executed */
};

/* Byte range in a job's arena. */
struct span {
	uint32_t offset;
	uint32_t len;
};

struct task {
	uint8_t state;
	uint8_t outcome;
	uint8_t reason;
	uint8_t flags;
	uint16_t attempts;
	bool withdrawing;
	bool isolated;       /* sent to run without other jobs beside it */
	bool may_have_run;   /* an earlier attempt may have started */
	uint8_t start_state; /* enum start_state, of the present run */
	uint8_t failures;    /* number of failed runs */
	struct mst_task_crashes crashes; /* of workers during its runs */
	uint8_t step;
	uint16_t status;
	uint32_t declared_us;
	uint32_t queue_us;
	uint32_t service_us;
	struct member *member; /* set while sent */
	uint64_t last_member;  /* member incarnation; 0: never sent */
	uint64_t avoid_member; /* incarnation that failed the task, or 0 */
	/* Since when it could have been at a member: it was queued, or its last
	 * run ended without success. */
	int64_t ready_us;
	struct uncertain_start *starts; /* see uncertain.h */
	uint64_t seq;
	uint32_t run; /* number of the run that was sent last */
	/* Number of its start at this entry's backup; 0: not kept there. */
	uint64_t backup_number;
	int64_t sent_us;
	int64_t closed_us;
	int64_t withdrawn_us;
	struct mst_resources needs;
	struct span method;
	struct span path;
	struct span content_type;
	struct span body;
	struct mst_bytes result_type; /* owned */
	struct mst_bytes result_body; /* owned */
};

/* Contiguous tasks of a job, with their dependencies and constraints. */
struct step {
	uint32_t first;
	uint32_t count;
	uint32_t open;         /* tasks that have not succeeded yet */
	uint64_t dependencies; /* bit set of the steps that it depends on */
	bool blocked; /* some step that it depends on has not succeeded */
	struct span required_label; /* required member label; empty: none */
	struct span rack;           /* rack of the data; empty: any */
	uint32_t per_member_max;    /* concurrent tasks per member; 0: any */
	double max_observed_us;     /* longest observed service time */
	double successors_us; /* longest expected chain of dependent steps */
};

#endif
