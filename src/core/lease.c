#include <glib.h>
#include <masticstall/lease.h>

/* Shares of the time after which a caller comes back. The first two, and the
 * time that a stop takes, must stay under it together. */
#define ENTRY_SHARE     0.385
#define RUN_SHARE       0.46
#define VALID_SHARE     0.3
#define HEARTBEAT_SHARE 0.3  /* of an entry's lease: one may be late */
#define RENEW_SHARE     0.25 /* of a run's lease: three may get lost */
#define QUIET_BEATS     5 /* entries' heartbeats; idle ones come every other */

void
mst_lease_times(
    struct mst_lease_times *out, uint32_t resend_ms, uint32_t run_max_ms)
{
	double resend_us = resend_ms * 1000.0;
	double run_max_us = run_max_ms * 1000.0;
	double run_us = MIN(resend_us * RUN_SHARE, run_max_us);
	double entry_us = resend_us * ENTRY_SHARE;

	*out = (struct mst_lease_times){.entry_lease_us = (int64_t)entry_us,
	    .run_lease_us = (int64_t)run_us,
	    .renew_interval_us = (int64_t)(run_us * RENEW_SHARE),
	    .heartbeat_us = (int64_t)(entry_us * HEARTBEAT_SHARE),
	    .dispatch_valid_us = (int64_t)(resend_us * VALID_SHARE),
	    .agent_lost_us = (int64_t)resend_us};
	out->entry_silence_us = out->heartbeat_us * QUIET_BEATS;
}
