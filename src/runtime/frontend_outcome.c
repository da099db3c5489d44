/* Names of the outcomes that the frontend reports. */

#include "runtime/drivers.h"

static const char *const outcome_names[] = {[FRONTEND_COMPLETED] = "completed",
    [FRONTEND_FAILED] = "failed",
    [FRONTEND_NOT_RUN] = "not-run",
    [FRONTEND_MAY_HAVE_RUN] = "may-have-run",
    [FRONTEND_ACCEPTED] = "accepted",
    [FRONTEND_UNKNOWN_JOB] = "unknown",
    [FRONTEND_QUEUED] = "queued",
    [FRONTEND_RUNNING] = "running",
    [FRONTEND_CANCELLED] = "cancelled",
    [FRONTEND_STORE_UNAVAILABLE] = "store-away"};

const char *
frontend_outcome_name(int outcome)
{
	bool has_name = outcome > 0 &&
	    (size_t)outcome < G_N_ELEMENTS(outcome_names) &&
	    outcome_names[outcome] != NULL;

	return has_name ? outcome_names[outcome] : "none";
}
