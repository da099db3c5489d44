#ifndef LEASED_ENTRY_H
#define LEASED_ENTRY_H

/*
 * One leased entry that a test drives event by event, and a job for it. The
 * test plays the members and handles the effects.
 */

#include <masticstall.h>

#define LEASED_ENTRY_KEY "00000000000000aa" /* of the job */

/* A best-effort job of one task; the submission refers to it. */
struct leased_entry_job {
	struct mst_task_spec task;
	struct mst_job_spec spec;
};

/* Creates a leased entry, which accepts jobs once it is configured. */
struct mst_entry *leased_entry_new(uint64_t incarnation);

/* Returns the event that configures the entry, without its time. It may eject
 * all members. */
struct mst_entry_event leased_entry_configuration(void);

/* Returns the event that submits a job with request id 1, without its time.
 * The task is declared to take some microseconds, and the caller waits for the
 * timeout, in milliseconds. */
struct mst_entry_event leased_entry_submission(
    struct leased_entry_job *job, uint32_t declared_us, uint32_t timeout_ms);

/* Hands an event to an entry, and each message that it sends to the test. */
void leased_entry_step(struct mst_entry *entry, struct mst_entry_event *event,
    void (*on_message)(void *ctx, const struct mst_msg *msg), void *ctx);

#endif
