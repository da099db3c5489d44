#ifndef MST_SLOW_START_H
#define MST_SLOW_START_H

/* Slow start of members whose workers are cold: they get more tasks only as
 * they complete some, as long as other members are warm. */

#include <stdbool.h>
#include <stdint.h>

/**
 * Returns the slowness to assume for a cold member.
 *
 * @param reported_slowness slowness that it has shown while cold; 0: unknown
 * @param mostly_warm whether warm members can serve in its place
 * @return ratio of observed to expected service times
 */
double mst_slow_start_slowness(double reported_slowness, bool mostly_warm);

/**
 * Returns the maximum number of outstanding tasks of an entry at a cold member.
 *
 * @param slots slots of the member
 * @param shown performance that the member has shown, as counted by
 *     mst_slow_start_count()
 * @param mostly_warm whether warm members can serve in its place
 * @return number of tasks, at least 1; UINT32_MAX: no limit
 */
uint32_t mst_slow_start_limit(uint32_t slots, uint32_t shown, bool mostly_warm);

/**
 * Counts a completed task of a cold member.
 *
 * @param shown performance that the member has shown so far
 * @param observed_us service time of the task in microseconds
 * @param expected_us expected time at the member's slowness in microseconds
 * @return the performance shown, in tasks
 */
uint32_t mst_slow_start_count(
    uint32_t shown, double observed_us, double expected_us);

#endif
