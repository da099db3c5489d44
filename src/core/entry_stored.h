#ifndef MST_ENTRY_STORED_H
#define MST_ENTRY_STORED_H

/* Shared by the parts of an entry that handle stored jobs. */

#include "core/entry_internal.h"

/* A run number is the term, shifted by so many bits, plus the attempt. */
#define STORED_TERM_SHIFT 10

enum stored_phase {
	STORED_NEW = 1, /* its record is not confirmed to exist */
	STORED_CLAIMED, /* has a record; ownership not confirmed */
	STORED_OWNED    /* this entry owns its record */
};

/* State of a job's record, as far as its entry knows. */
struct stored_job {
	enum stored_phase phase;
	uint64_t claimed_from; /* earlier owner of the record; 0: none */
	uint64_t version;      /* replaced by the next write */
	uint32_t term;
	uint32_t update_seq_first;     /* of the first write attempted */
	uint32_t update_seq_last;      /* of the last write attempted */
	uint32_t update_seq_confirmed; /* of the last write that succeeded */
	bool dirty;                    /* has changes to write */
	bool writing;                  /* a write is in flight */
	bool write_uncertain;          /* some write was not answered */
	bool final_recorded;           /* its final state is in the record */
	int64_t write_due_us;          /* earliest time of the next write */
	int64_t accept_deadline_us;  /* NEW: its callers are answered by then */
	unsigned write_failures;     /* consecutive */
	enum mst_record_state state; /* to be written */
	enum mst_record_state in_flight_state; /* of the write in flight */
	uint64_t in_flight_owner;              /* of the write in flight */
	enum mst_reason reason;                /* of the final state */
	GArray *acks_pending;   /* struct pending_ack, not in a write yet */
	GArray *acks_in_flight; /* those in the write in flight */
	GArray *abandoned;      /* uint16_t, tasks to run again once their
				 * runs are recorded as abandoned */
	GArray *abandoned_in_flight; /* those in the write in flight */
	GArray *cancel_requests;     /* uint64_t, waiting requests */
	GString *task_codes;         /* tasks of the record, as written */
	char *spec_text;             /* NEW: the serialized job */
};

/* A result to be acknowledged once it is recorded. */
struct pending_ack {
	uint64_t member; /* incarnation */
	uint64_t seq;
};

struct stored_lookup;

/* entry_record.c */
/* Marks a record dirty. It is due to be written after delay_us, or earlier if
 * it was dirty and due before. */
void mst_stored_mark_dirty(
    const struct mst_entry *entry, struct stored_job *stored, int64_t delay_us);
void mst_stored_write_if_due(struct mst_entry *entry, struct job *job);
/* Applies the task codes of a stored record to a job. */
void mst_stored_merge_tasks(
    struct mst_entry *entry, struct job *job, const char *tasks);
void mst_stored_reply_all(struct mst_entry *entry, struct job *job,
    GArray *requests, enum mst_stored_state state);
/* Closes a job whose final state is recorded. */
void mst_stored_close_recorded(struct mst_entry *entry, struct job *job);
void mst_stored_write_done(struct mst_entry *entry, struct job *job,
    const struct mst_store_answer *answer);

/* entry_stored.c */
struct job *mst_stored_new(struct mst_entry *entry,
    const struct mst_job_spec *spec, struct team *team,
    enum stored_phase phase);
/* Creates a job from an unowned record and claims the record. */
void mst_stored_claim(struct mst_entry *entry, const struct mst_job_spec *spec,
    const struct mst_stored_record *stored_record);
/* Suspends all stored jobs until this entry owns their records again; other
 * entries may take them over meanwhile. */
void mst_stored_suspend_all(struct mst_entry *entry);
/* Drops all stored jobs, which are left to other entries. */
void mst_stored_drop_all(struct mst_entry *entry);
/* Returns true if no task of a stored job is at a member and no record is to be
 * written. */
bool mst_stored_all_idle(const struct mst_entry *entry);
/* Withdraws a job's tasks from the members and drops the job. */
void mst_stored_drop(struct mst_entry *entry, struct job *job);
void mst_entry_report_state(
    struct mst_entry *entry, uint64_t request, enum mst_stored_state state);

/* entry_lookup.c */
void mst_stored_lookup_free(struct stored_lookup *lookup);
void mst_stored_lookup_done(struct mst_entry *entry,
    struct stored_lookup *lookup, const struct mst_store_answer *answer);
void mst_stored_lookups_retry(struct mst_entry *entry);

/* entry_owner.c */
/* Emits a store operation, which the caller fills in. The cookie is handed to
 * the function that handles the answer. */
struct mst_store_op *mst_entry_store_op(
    struct mst_entry *entry, enum mst_store_op_kind kind, uint64_t cookie);
/* Returns true while this entry may write records: its ownership is confirmed
 * and its lease has not expired. */
bool mst_owner_is_confirmed(const struct mst_entry *entry);
/* Makes this entry an owner, unless it is one, and extends the time for which
 * it remains one without jobs. */
void mst_owner_ensure(struct mst_entry *entry);
/* Removes this entry's row and relinquishes its ownership. */
void mst_owner_retire(struct mst_entry *entry);
/* Schedules the removal of a closed job's record after the retention time. */
void mst_record_schedule_expiry(struct mst_entry *entry, const char *key);

#endif
