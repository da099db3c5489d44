#ifndef MST_LEASE_H
#define MST_LEASE_H

/** Times of the leases that hold what entries start; see docs/PLATFORM.md. */

#include <stdint.h>

/** All in microseconds. */
struct mst_lease_times {
	int64_t entry_lease_us; /* silence of an entry that ends its runs */
	int64_t run_lease_us;   /* lease of everything on a worker */
	int64_t
	    renew_interval_us; /* longest time between two renewals of that */
	int64_t heartbeat_us;  /* between two heartbeats of an entry */
	int64_t
	    dispatch_valid_us; /* within which a dispatched task must start */
	int64_t
	    agent_lost_us; /* silence of an agent after which nothing runs */
	int64_t
	    entry_silence_us; /* silence of an entry that may be a new one */
};

/**
 * Works out the times from when a caller comes back: whatever a lost entry and
 * a lost agent leave running has ended by then, on clocks that are 2 % apart.
 *
 * @param out output
 * @param resend_ms after which a caller sends an unanswered job again
 * @param run_max_ms longest lease that the worker grants
 */
void mst_lease_times(
    struct mst_lease_times *out, uint32_t resend_ms, uint32_t run_max_ms);

#endif
