#include <glib.h>
#include <masticstall/lease.h>

/* Shares of the time after which a caller repeats a request. The sum of the
 * first two and of the time to stop a run must be less than that time. */
#define ENTRY_LEASE_SHARE    0.385
#define RUN_LEASE_SHARE      0.46
#define DISPATCH_VALID_SHARE 0.3
/* Share of the entry lease. One heartbeat may be late. */
#define HEARTBEAT_INTERVAL_SHARE 0.3
/* Share of the run lease. Three renewals may get lost. */
#define RENEW_INTERVAL_SHARE 0.25
/* Heartbeat intervals after which an entry is considered silent. More than two,
 * because idle members get only every second heartbeat. */
#define SILENT_HEARTBEATS 5

void
mst_lease_times(
    struct mst_lease_times *out, uint32_t resend_ms, uint32_t run_max_ms)
{
	double resend_us = resend_ms * 1000.0;
	double run_max_us = run_max_ms * 1000.0;
	double run_us = MIN(resend_us * RUN_LEASE_SHARE, run_max_us);
	double entry_us = resend_us * ENTRY_LEASE_SHARE;

	*out = (struct mst_lease_times){.entry_lease_us = (int64_t)entry_us,
	    .run_lease_us = (int64_t)run_us,
	    .run_lease_max_us = (int64_t)run_max_us,
	    .renew_interval_us = (int64_t)(run_us * RENEW_INTERVAL_SHARE),
	    .heartbeat_us = (int64_t)(entry_us * HEARTBEAT_INTERVAL_SHARE),
	    .dispatch_valid_us = (int64_t)(resend_us * DISPATCH_VALID_SHARE),
	    .agent_lost_us = (int64_t)resend_us};
	out->entry_silence_us = out->heartbeat_us * SILENT_HEARTBEATS;
}
