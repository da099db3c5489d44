#ifndef MST_ENTRY_STORED_H
#define MST_ENTRY_STORED_H

/* Shared by the parts of an entry that deal with stored jobs. */

#include "core/entry_internal.h"

/* A run's number is its term, then its attempt. */
#define STORED_TERM_SHIFT 10

enum stored_phase {
	STORED_NEW = 1, /* no record of it was confirmed */
	STORED_CLAIMED, /* found without an owner; not confirmed as own */
	STORED_HELD     /* its record is this entry's */
};

/* A job's part in the store. */
struct stored {
	enum stored_phase phase;
	uint64_t claimed_from; /* whose record it may still be; 0: nobody's */
	uint64_t version;      /* that the next change replaces */
	uint32_t term;
	uint32_t first_change; /* the first one tried */
	uint32_t change;       /* the last one tried */
	uint32_t confirmed;    /* the last one known to be done */
	bool dirty;
	bool writing;
	bool uncertain;              /* some change had no answer */
	bool recorded;               /* its end is in the record */
	int64_t due_us;              /* of the next change */
	int64_t patience_us;         /* NEW: its callers wait no longer */
	unsigned failures;           /* in a row */
	enum mst_record_state state; /* to be recorded */
	enum mst_record_state written_state; /* by the change on its way */
	uint64_t written_owner;              /* by the same */
	enum mst_reason reason;              /* of its end */
	GArray *unsettled;  /* struct settlement, not yet in a change */
	GArray *settling;   /* those in the change on its way */
	GArray *voids;      /* uint16_t, tasks to run again once that is
			     * recorded */
	GArray *voiding;    /* those in the change on its way */
	GArray *cancellers; /* uint64_t, requests */
	GString *tasks;     /* as written */
	char *text;         /* NEW: the job, for its reader */
};

/* A result that is acknowledged once it is recorded. */
struct settlement {
	uint64_t member; /* incarnation */
	uint64_t seq;
};

struct inquiry;

/* entry_record.c */
/* Lets a record be written after a delay. */
void mst_stored_touch(
    const struct mst_entry *entry, struct stored *stored, int64_t delay_us);
void mst_stored_write_if_due(struct mst_entry *entry, struct job *job);
/* Takes over what a record tells of a job's tasks. */
void mst_stored_merge_tasks(
    struct mst_entry *entry, struct job *job, const char *tasks);
void mst_stored_answer_all(struct mst_entry *entry, struct job *job,
    GArray *requests, enum mst_stored_state state);
/* Closes a job whose end is recorded for good. */
void mst_stored_close_recorded(struct mst_entry *entry, struct job *job);
void mst_stored_answer(struct mst_entry *entry, struct job *job,
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
void mst_stored_discard_all(struct mst_entry *entry);
/* True when no task of a stored job is at a member and nothing is to be
 * recorded. */
bool mst_stored_is_at_rest(const struct mst_entry *entry);
/* Forgets a job and takes back what of it is at members. */
void mst_stored_discard(struct mst_entry *entry, struct job *job);
void mst_entry_tell_state(
    struct mst_entry *entry, uint64_t request, enum mst_stored_state state);

/* entry_inquiry.c */
void mst_inquiry_free(struct inquiry *inquiry);
void mst_inquiry_answer(struct mst_entry *entry, struct inquiry *inquiry,
    const struct mst_store_answer *answer);
void mst_inquiries_scan(struct mst_entry *entry);

/* entry_owner.c */
/* An operation for the store; its answer comes back to the context. */
struct mst_store_op *mst_entry_store_op(
    struct mst_entry *entry, enum mst_store_op_kind kind, uint64_t context);
/* True while records may be changed as this entry's. */
bool mst_owner_is_confirmed(const struct mst_entry *entry);
void mst_owner_needed(struct mst_entry *entry);
/* Gives up this entry's ownership, and removes its row. */
void mst_owner_retire(struct mst_entry *entry);
/* Removes a closed job's record when nobody asks for it any more. */
void mst_records_expire_later(struct mst_entry *entry, const char *key);

#endif
