/* Which jobs run only at quarantined members, or without others beside them. */

#include "core/job/job.h"
#include "core/place/place.h"
#include "core/place/quarantine.h"

bool
mst_job_is_isolated(const struct job *job)
{
	return job->suspect || job->team->quarantine == QUARANTINE_ISOLATED;
}

bool
mst_job_is_quarantined(const struct job *job)
{
	return job->suspect || job->team->quarantine != QUARANTINE_NONE;
}
