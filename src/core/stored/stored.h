#ifndef MST_CORE_STORED_H
#define MST_CORE_STORED_H

/* Stored jobs and their ownership, as the other parts of an entry see them. */

#include <masticstall/entry.h>

struct job;
struct member;
struct task;

/* This entry's ownership of stored jobs, and its view of the peer owners. */
struct owner {
	uint64_t id;       /* 0: not an owner */
	uint64_t version;  /* version of its row; 0: not written yet */
	bool confirmed;    /* a renewal has succeeded */
	bool renewing;     /* a renewal is in flight */
	bool handing_over; /* releases its jobs once all are suspended */
	bool polling;
	bool sweeping;
	int64_t valid_until_us; /* end of the lease unless it is renewed */
	int64_t renew_due_us;
	unsigned store_failures; /* consecutive failed renewals and polls */
	int64_t needed_until_us; /* not retired before, even without jobs */
	int64_t poll_due_us;
	int64_t sweep_due_us;
	uint32_t sweep_partition;        /* partition being read */
	char *sweep_cursor;              /* key to continue after, or NULL */
	uint32_t loads_pending;          /* jobs being read from the store */
	GHashTable *peer_owners;         /* see entry_owner.c */
	GPtrArray *unowned;              /* struct unowned_record */
	GArray *queue_lengths;           /* struct mst_queue_length */
	GQueue expiring;                 /* struct expiring_record, by time */
	struct expiring_record *expired; /* kept while an effect uses its key */
};

/* stored.c */
struct stored_job;
/* Handles the submission of a stored job. The request is answered once the job
 * is recorded. */
void mst_stored_submit(
    struct mst_entry *entry, uint64_t request, const struct mst_job_spec *spec);
/* Answers a request for the state of a stored job, which is read from the store
 * if this entry does not own it. */
void mst_stored_report_state(
    struct mst_entry *entry, uint64_t request, const char *key);
/* Cancels a stored job, whichever entry owns it. The request is answered once
 * the cancellation is recorded or has failed. */
void mst_stored_cancel(
    struct mst_entry *entry, uint64_t request, const char *key);
/* Closes an owned job that another entry has cancelled in the store. The key is
 * NULL if notices of cancellations may have been missed. */
void mst_stored_handle_cancelled(struct mst_entry *entry, const char *key);
/* Defers the acknowledgement of a result until it is recorded in the store. */
void mst_stored_defer_ack(struct mst_entry *entry, struct job *job,
    const struct member *member, uint64_t seq);
/* Abandons a run whose outcome is unknown. The task is queued again once the
 * abandoned run is recorded in the store. */
void mst_stored_abandon_run(
    struct mst_entry *entry, struct job *job, uint32_t index);
/* Returns true if a job may be closed: it is not stored, or its final state is
 * recorded in the store. */
bool mst_stored_is_final_recorded(const struct job *job);
/* Sets the final state that is to be recorded. Returns false if there is one
 * already. */
bool mst_stored_set_final(
    struct job *job, enum mst_job_state state, enum mst_reason reason);
/* Writes the record of a stored job as soon as possible. */
void mst_stored_schedule_write(struct mst_entry *entry, struct job *job);
/* Returns the number of a task's present run. It increases with each attempt
 * and, for stored jobs, with each term. */
uint32_t mst_stored_run_number(const struct job *job, const struct task *task);
/* Returns true if a task of a stored job has used all run numbers of the term.
 */
bool mst_stored_has_used_run_numbers(
    const struct job *job, const struct task *task);
/* Sets the record key, owner and term of a stored job in a dispatch. */
void mst_stored_fill_dispatch(const struct mst_entry *entry,
    const struct job *job, struct mst_dispatch_item *item);
/* Returns a time that is never reached, the deadline of stored jobs. */
int64_t mst_stored_no_deadline_us(const struct mst_entry *entry);
/* Writes the record of a stored job if that is due, and answers the callers of
 * a job that could not be stored in time. */
void mst_stored_tick(struct mst_entry *entry, struct job *job);
void mst_stored_free(struct stored_job *stored);
/* Returns true if the tasks of a job may be queued: it is not stored, or this
 * entry owns its record. */
bool mst_stored_is_owned(const struct job *job);

/* owner.c */
void mst_owner_init(struct mst_entry *entry);
void mst_owner_clear(struct mst_entry *entry);
void mst_owner_tick(struct mst_entry *entry);
/* Relinquishes the ownership if its lease has expired. Must be called before
 * each event is handled, so that none is handled as owner after the expiry. */
void mst_owner_check_lease(struct mst_entry *entry);
/* Suspends all stored jobs and ends the ownership. The reason is the state that
 * is reported. */
void mst_owner_relinquish(struct mst_entry *entry, const char *reason);
/* Drops all open stored jobs and ends the ownership, as if this entry had been
 * lost. The jobs go on at the entry that takes their records over. */
void mst_owner_abandon(struct mst_entry *entry);
/* Suspends all stored jobs and hands them over to the other entries. */
void mst_owner_hand_over(struct mst_entry *entry);
void mst_entry_handle_store_answer(
    struct mst_entry *entry, const struct mst_store_answer *answer);

#endif
