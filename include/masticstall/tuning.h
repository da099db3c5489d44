#ifndef MST_TUNING_H
#define MST_TUNING_H

/**
 * Parameters of how entries queue, refuse, place and move the tasks of leased
 * members, and of how agents order them. Daemons use the defaults; experiments
 * switch off single mechanisms or vary their thresholds.
 */

#include <stdbool.h>
#include <stdint.h>

struct mst_tuning {
	/* Queueing and refusing. */
	bool refuse_late;   /* refuse jobs that are expected to be late */
	bool admit_to_free; /* never refuse a job that fits into free slots */
	bool demote_late;   /* queue late jobs behind those in time */
	bool learn_times;   /* learn how far declared times are off */
	double wait_share_low_load;  /* share of a job's slack to wait for */
	double wait_share_high_load; /* the same at high load */
	/* Shares of the capacity in use between which the share to wait for
	 * falls from the one to the other. */
	double low_load;
	double high_load;
	/* Lowest dispatch rate assumed, as a share of the entry's fair share of
	 * the capacity. */
	double rate_share_min;
	double expiry_factor; /* of the objective; later answers are useless */
	int64_t priority_step_us; /* in the queue, between two priorities */
	/* Placing. */
	bool use_slow_members;   /* leave fast members to critical tasks */
	bool wait_for_better;    /* wait for a member that finishes sooner */
	bool spread;             /* prefer members with many free slots */
	bool slow_start;         /* send few tasks to cold members at first */
	bool quarantine;         /* confine teams whose jobs crash workers */
	double quarantine_share; /* of the members, for such teams */
	double planned_share;    /* share of the time limit that is planned */
	/* Learnt deviations of a service time that a late finish allows for. */
	double overrun_deviations;
	double low_utilization;    /* no later finish is accepted below it */
	double high_utilization;   /* the latest finish is accepted above it */
	double finish_stretch_max; /* largest delay beyond the first finish */
	/* Moving. */
	bool withdraw_overdue; /* move overdue tasks to other members */
	/* Do not move overdue tasks of members that make progress. */
	bool keep_long_tasks;
	bool limit_overdue; /* send few tasks to members with overdue ones */
	/* Learnt deviations of a service time after which a task is overdue. */
	double overdue_deviations;
	/* Agents. */
	bool order_by_urgency; /* of the tasks of all entries */
	bool offer_slots;      /* reserve free slots for entries that wait */
	bool report_lag;       /* report slow runs before they end */
	uint32_t queue_max;    /* tasks that wait for the next free slot */
};

#define MST_TUNING_INIT                                                        \
	{                                                                      \
		.refuse_late = true, .admit_to_free = true,                    \
		.demote_late = true, .learn_times = true,                      \
		.wait_share_low_load = 1.0, .wait_share_high_load = 0.2,       \
		.low_load = 0.6, .high_load = 0.9, .rate_share_min = 0.5,      \
		.expiry_factor = 3.0, .priority_step_us = 100000,              \
		.use_slow_members = true, .wait_for_better = true,             \
		.spread = true, .slow_start = true, .quarantine = true,        \
		.quarantine_share = 0.25, .planned_share = 0.85,               \
		.overrun_deviations = 2.5, .low_utilization = 0.35,            \
		.high_utilization = 0.75, .finish_stretch_max = 0.5,           \
		.withdraw_overdue = true, .keep_long_tasks = true,             \
		.limit_overdue = true, .overdue_deviations = 5.0,              \
		.order_by_urgency = true, .offer_slots = true,                 \
		.report_lag = true, .queue_max = 2,                            \
	}

#endif
