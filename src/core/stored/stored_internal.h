#ifndef MST_STORED_INTERNAL_H
#define MST_STORED_INTERNAL_H

/* Declarations for stored jobs, which are recorded in the store. */

#include "core/stored/stored.h"

/* Number of low bits of a run number that hold the attempt; the bits above hold
 * the term. */
#define STORED_TERM_SHIFT 10

enum stored_phase {
	STORED_NEW = 1, /* record to be created; not confirmed to exist */
	STORED_CLAIMED, /* record exists; ownership not confirmed */
	STORED_OWNED    /* this entry owns the record */
};

/* Part of a stored job that concerns its record. */
struct stored_job {
	enum stored_phase phase;
	uint64_t claimed_from; /* earlier owner of the record; 0: none */
	uint64_t version;      /* version that the next write replaces */
	uint32_t term;
	uint32_t update_seq_first;     /* number of the first write */
	uint32_t update_seq_last;      /* number of the last write */
	uint32_t update_seq_confirmed; /* number of the last successful write */
	bool dirty;                    /* has changes to write */
	bool writing;                  /* a write is in flight */
	bool write_uncertain;          /* some write was not answered */
	bool final_recorded;           /* the record has the final state */
	int64_t write_due_us;          /* earliest time of the next write */
	/* STORED_NEW: time limit for answering the callers. */
	int64_t accept_deadline_us;
	unsigned write_failures;               /* consecutive failed writes */
	enum mst_record_state state;           /* state to be written */
	enum mst_record_state in_flight_state; /* state in the current write */
	uint64_t in_flight_owner;              /* owner in the current write */
	enum mst_reason reason;                /* reason of the final state */
	GArray *acks_pending;   /* struct pending_ack, not in a write yet */
	GArray *acks_in_flight; /* struct pending_ack, in the current write */
	/* uint16_t indexes of the tasks whose runs were abandoned. They run
	 * again once this is recorded. */
	GArray *abandoned;
	GArray *abandoned_in_flight; /* uint16_t, in the current write */
	GArray *cancel_requests;     /* uint64_t ids of waiting requests */
	GString *task_codes;         /* codes of the tasks in the last write */
	char *serialized_job;        /* job to create in the store, or NULL */
	char *extra; /* what a newer build has added to the record, or NULL */
};

/* Result that is to be acknowledged once it is recorded. */
struct pending_ack {
	uint64_t member; /* incarnation */
	uint64_t seq;
};

struct stored_lookup;

/* record_write.c */
/* Marks a record dirty. It is due to be written after delay_us, or earlier if
 * it was dirty and due before. */
void mst_stored_mark_dirty(
    const struct mst_entry *entry, struct stored_job *stored, int64_t delay_us);
/* Writes a record if it is dirty and due, no write is in flight and this entry
 * may write records. */
void mst_stored_write_if_due(struct mst_entry *entry, struct job *job);
/* Answers the requests of an array with a state and empties the array. */
void mst_stored_answer_requests(struct mst_entry *entry, struct job *job,
    GArray *requests, enum mst_stored_state state);

/* merge.c */
/* Applies the task codes of a stored record to a job. */
void mst_stored_merge_tasks(
    struct mst_entry *entry, struct job *job, const char *tasks);

/* record.c */
/* Closes a job whose final state is recorded. */
void mst_stored_close_recorded(struct mst_entry *entry, struct job *job);
void mst_stored_handle_write(struct mst_entry *entry, struct job *job,
    const struct mst_store_answer *answer);

/* stored.c */
/* Creates a stored job, which has no deadline. */
struct job *mst_stored_new(struct mst_entry *entry,
    const struct mst_job_spec *spec, struct team *team,
    enum stored_phase phase);
/* Creates a job from an unowned record and claims the record. */
void mst_stored_claim(struct mst_entry *entry, const struct mst_job_spec *spec,
    const struct mst_stored_record *stored_record);
/* Suspends all stored jobs until this entry owns their records again; other
 * entries may take them over meanwhile. */
void mst_stored_suspend_all(struct mst_entry *entry);
/* Drops all open stored jobs, which other entries can then take over. */
void mst_stored_drop_all(struct mst_entry *entry);
/* Withdraws a job's tasks from the members and drops the job. */
void mst_stored_drop(struct mst_entry *entry, struct job *job);

/* lookup.c */
void mst_stored_lookup_free(struct stored_lookup *lookup);
/* Handles the answer to an operation of the lookup for a caller's request. The
 * answer to a write that conflicts contains the current record. */
void mst_stored_handle_lookup(struct mst_entry *entry, uint64_t request,
    const struct mst_store_answer *answer);
/* Repeats the operations of lookups whose next attempt is due. */
void mst_stored_lookups_retry(struct mst_entry *entry);

/* state.c */
/* Copies a record with its strings, and releases the strings of a copy. */
void mst_record_copy(struct mst_record *to, const struct mst_record *from);
void mst_record_clear(struct mst_record *record);
void mst_entry_report_state(
    struct mst_entry *entry, uint64_t request, enum mst_stored_state state);
/* Creates the part of a stored job that concerns its record. */
struct stored_job *mst_stored_state_new(enum stored_phase phase);

/* expiry.c */
/* Schedules the removal of a closed job's record after the retention time. */
void mst_record_schedule_expiry(struct mst_entry *entry, const char *key);

/* ownership.c */
/* Returns true if no task of an open stored job is at a member and no record
 * has to be written. */
bool mst_stored_jobs_are_idle(const struct mst_entry *entry);

/* Emits a store operation, which the caller fills in. The cookie is passed to
 * the function that handles the answer. */
struct mst_store_op *mst_entry_store_op(
    struct mst_entry *entry, enum mst_store_op_kind kind, uint64_t cookie);
/* Returns true while this entry may write records: its ownership is confirmed
 * and its lease has not expired. */
bool mst_owner_is_confirmed(const struct mst_entry *entry);
/* Makes this entry an owner unless it is one already, and postpones the time at
 * which it retires if it has no jobs. */
void mst_owner_ensure(struct mst_entry *entry);
/* Removes this entry's row and relinquishes its ownership. */
void mst_owner_retire(struct mst_entry *entry);

#endif
