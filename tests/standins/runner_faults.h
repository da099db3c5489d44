#ifndef RUNNER_FAULTS_H
#define RUNNER_FAULTS_H

/* Faults of a stand-in for a runner that last until they are set again. */

#include <cjson/cJSON.h>
#include <stdbool.h>

struct runner_faults {
	double late_share;     /* of the orders, which are carried out late */
	double lost_share;     /* of the orders, which are not answered */
	double fail_share;     /* of the runs, which fail */
	bool unhealthy;        /* refuses all orders */
	bool hangs;            /* while it is down, leaves orders unanswered */
	bool refuses;          /* while it is down, refuses connections */
	bool new_id;           /* each incarnation has an id of its own */
	double wall_offset_ms; /* of its time of day */
};

/* Sets the faults that an object names, and leaves the others. */
void runner_faults_set(struct runner_faults *faults, const cJSON *json);

#endif
