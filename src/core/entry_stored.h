#ifndef MST_ENTRY_STORED_H
#define MST_ENTRY_STORED_H

/* Shared by the parts of an entry that deal with stored jobs. */

#include "core/entry_internal.h"

/* A run's number is its term, then its attempt. */
#define STORED_TERM_SHIFT 10

enum stored_phase {
	STORED_NEW = 1, /* no record of it was confirmed */
	STORED_CLAIMED, /* found without an owner; not confirmed as own */
	STORED_OWNED    /* its record is this entry's */
};

/* A job's part in the store. */
struct stored_job {
	enum stored_phase phase;
	uint64_t claimed_from; /* whose record it may still be; 0: nobody's */
	uint64_t version;      /* that the next change replaces */
	uint32_t term;
	uint32_t update_seq_first;     /* the first one tried */
	uint32_t update_seq_last;      /* the last one tried */
	uint32_t update_seq_confirmed; /* the last one known to be done */
	bool dirty;
	bool writing;
	bool write_uncertain;        /* some change had no answer */
	bool final_recorded;         /* its end is in the record */
	int64_t write_due_us;        /* of the next change */
	int64_t accept_deadline_us;  /* NEW: its callers wait no longer */
	unsigned write_failures;     /* in a row */
	enum mst_record_state state; /* to be recorded */
	enum mst_record_state in_flight_state; /* by the change on its way */
	uint64_t in_flight_owner;              /* by the same */
	enum mst_reason reason;                /* of its end */
	GArray *acks_pending;   /* struct pending_ack, not yet in a change */
	GArray *acks_in_flight; /* those in the change on its way */
	GArray *abandoned;      /* uint16_t, tasks to run again once that is
				 * recorded */
	GArray *abandoned_in_flight; /* those in the change on its way */
	GArray *cancel_requests;     /* uint64_t, requests */
	GString *task_codes;         /* as written */
	char *spec_text;             /* NEW: the job, for its reader */
};

/* A result that is acknowledged once it is recorded. */
struct pending_ack {
	uint64_t member; /* incarnation */
	uint64_t seq;
};

struct stored_lookup;

/* entry_record.c */
/* Lets a record be written after a delay. */
void mst_stored_mark_dirty(
    const struct mst_entry *entry, struct stored_job *stored, int64_t delay_us);
void mst_stored_write_if_due(struct mst_entry *entry, struct job *job);
/* Takes over what a record tells of a job's tasks. */
void mst_stored_merge_tasks(
    struct mst_entry *entry, struct job *job, const char *tasks);
void mst_stored_reply_all(struct mst_entry *entry, struct job *job,
    GArray *requests, enum mst_stored_state state);
/* Closes a job whose end is recorded for good. */
void mst_stored_close_recorded(struct mst_entry *entry, struct job *job);
void mst_stored_write_done(struct mst_entry *entry, struct job *job,
    const struct mst_store_answer *answer);

/* entry_stored.c */
struct job *mst_stored_new(struct mst_entry *entry,
    const struct mst_job_spec *spec, struct team *team,
    enum stored_phase phase);
/* Takes over a job whose owner was lost. */
void mst_stored_claim(struct mst_entry *entry, const struct mst_job_spec *spec,
    const struct mst_stored_record *found);
/* Lets all stored jobs rest until their records are this entry's again; others
 * may take them meanwhile. */
void mst_stored_suspend_all(struct mst_entry *entry);
/* Forgets all stored jobs: they are others' now. */
void mst_stored_drop_all(struct mst_entry *entry);
/* True when no task of a stored job is at a member and nothing is to be
 * recorded. */
bool mst_stored_all_idle(const struct mst_entry *entry);
/* Forgets a job and takes back what of it is at members. */
void mst_stored_drop(struct mst_entry *entry, struct job *job);
void mst_entry_report_state(
    struct mst_entry *entry, uint64_t request, enum mst_stored_state state);

/* entry_lookup.c */
void mst_stored_lookup_free(struct stored_lookup *inquiry);
void mst_stored_lookup_done(struct mst_entry *entry,
    struct stored_lookup *inquiry, const struct mst_store_answer *answer);
void mst_stored_lookups_retry(struct mst_entry *entry);

/* entry_owner.c */
/* An operation for the store; its answer comes back to the context. */
struct mst_store_op *mst_entry_store_op(
    struct mst_entry *entry, enum mst_store_op_kind kind, uint64_t context);
/* True while records may be changed as this entry's. */
bool mst_owner_is_confirmed(const struct mst_entry *entry);
void mst_owner_ensure(struct mst_entry *entry);
/* Gives up this entry's ownership, and removes its row. */
void mst_owner_retire(struct mst_entry *entry);
/* Removes a closed job's record when nobody asks for it any more. */
void mst_record_schedule_expiry(struct mst_entry *entry, const char *key);

#endif
