#ifndef MST_PROBLEM_H
#define MST_PROBLEM_H

/* Problem details (RFC 9457) for refused and failed requests. */

#include <masticstall/entry.h>

/* Media type of problem details (RFC 9457). */
#define MST_PROBLEM_TYPE "application/problem+json"

struct mst_problem {
	int status;
	const char *type; /* last component of the type URI */
	const char *title;
	const char *detail;     /* may be NULL */
	const char *ran;        /* whether tasks ran: "none", "unknown", NULL */
	uint32_t retry_after_s; /* seconds; 0: no retry advised */
};

/* Returns the problem that describes an effect MST_ENTRY_FX_REFUSE. */
struct mst_problem mst_problem_from_refusal(
    const struct mst_entry_effect *effect);

/* Formats a problem as JSON; free with g_free(). */
char *mst_problem_json(const struct mst_problem *problem);

#endif
