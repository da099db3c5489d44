#ifndef MST_LEASE_H
#define MST_LEASE_H

/**
 * Durations of the leases under which entries start runs on workers; see
 * docs/PLATFORM.md.
 */

#include <stdint.h>

/** Durations in microseconds. */
struct mst_lease_times {
	/* Silence of an entry after which agents stop its runs. */
	int64_t entry_lease_us;
	/* Lease of all runs on a worker, which the agent renews. */
	int64_t run_lease_us;
	/* Longest lease that a worker grants, whatever is asked for. */
	int64_t run_lease_max_us;
	/* Longest time between two renewals of the lease of the runs. */
	int64_t renew_interval_us;
	/* Time between two heartbeats of an entry. */
	int64_t heartbeat_us;
	/* Time within which a dispatched task must start. */
	int64_t dispatch_valid_us;
	/* Silence of an agent after which all its runs have ended. */
	int64_t agent_lost_us;
	/*
	 * Silence of an entry after which agents announce themselves to its
	 * address again, because a new incarnation may be using it.
	 */
	int64_t entry_silence_us;
};

/**
 * Derives the durations from the time after which a caller repeats a request.
 * By then every run of a lost entry or a lost agent has ended, even if the
 * clocks of the machines differ in rate by 2 %.
 *
 * @param out set to the durations
 * @param resend_ms time in milliseconds after which a caller sends an
 *     unanswered job again
 * @param run_max_ms longest lease in milliseconds that the worker grants
 */
void mst_lease_times(
    struct mst_lease_times *out, uint32_t resend_ms, uint32_t run_max_ms);

#endif
