#ifndef MST_ADOPTION_H
#define MST_ADOPTION_H

/* State of the adoption of a job whose entry is lost. */

#include <glib.h>
#include <masticstall/message.h>

/* State of the fence against one earlier owner of the job at one agent. */
struct fence_state {
	uint64_t fenced_entry;
	uint64_t agent;
	int64_t sent_us; /* 0: not sent */
	bool done;
};

/* Result of a task's runs under earlier owners, as collected so far. */
struct earlier_result {
	struct mst_result_item result; /* owns content_type and body */
};

struct adoption {
	int64_t started_us;
	int64_t next_send_us;
	uint64_t claim_from; /* owner from whom the job is claimed */
	bool claimed;        /* the arbiter has granted the claim */
	GArray *fences;      /* struct fence_state */
	struct earlier_result *earlier_results;
	uint32_t count; /* tasks of the job, length of earlier_results */
};

void mst_adoption_free(struct adoption *adoption);

#endif
