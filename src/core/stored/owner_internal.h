#ifndef MST_OWNER_INTERNAL_H
#define MST_OWNER_INTERNAL_H

/* Declarations for ownership of records and takeover from lost owners. */

#include "core/stored/stored_internal.h"

#define OWNER_POLL_US  (1 * G_USEC_PER_SEC)  /* between polls of the rows */
#define OWNER_SWEEP_US (15 * G_USEC_PER_SEC) /* between sweeps of records */

/* Ownership of another entry, as seen by polls and sweeps. */
struct peer_owner {
	uint64_t id;
	uint64_t version;           /* version of its row; 0: it has no row */
	int64_t changed_us;         /* when this version was first seen */
	int64_t unchanged_until_us; /* last time its row had this version */
	bool released;              /* its jobs may be taken over at once */
	bool in_poll;               /* its row is in the latest poll */
	bool has_jobs;              /* the current sweep found an open job */
	GPtrArray *queue_names;     /* char *, parallel to queue_lengths */
	GArray *queue_lengths;      /* uint32_t, numbers of jobs not started */
};

/* An unowned record that this entry is going to claim. */
struct unowned_record {
	char *key;
	uint64_t version;
	struct mst_record record; /* owns tasks */
	uint64_t load_op; /* operation that reads its job; 0: not requested */
};

/* Context of a store operation, kept until it is answered. */
struct op_context {
	enum mst_store_op_kind kind;
	uint64_t cookie; /* depends on kind: job, owner, partition or request */
	int64_t sent_us;
	bool released; /* RENEW: the row was written as released */
};

/* ownership.c */
void mst_unowned_free(gpointer data);
void mst_owner_report(
    struct mst_entry *entry, const char *state, uint64_t id, uint32_t count);
/* Returns a peer owner, adding it if it is not known yet. */
struct peer_owner *mst_peer_owner_get(struct mst_entry *entry, uint64_t id);
/* Returns true if the lease of an owner expired at least extra_us ago: its row
 * has been unchanged for the takeover delay, or was marked as released, and
 * then for extra_us more. */
bool mst_peer_owner_is_expired(const struct mst_entry *entry,
    const struct peer_owner *peer, int64_t extra_us);
/* Returns true if this entry may take over a lost owner's jobs now. The live
 * owners take turns, in an order that depends on the lost owner. */
bool mst_owner_may_take_over(
    const struct mst_entry *entry, const struct peer_owner *lost);
/* Sends the next renewal of this entry's row. */
void mst_owner_renew(struct mst_entry *entry);
/* Ends an unanswered operation and stores its context. Returns false if there
 * is none with this id. */
bool mst_entry_take_store_op(
    struct op_context *out, struct mst_entry *entry, uint64_t id);

/* sweep.c */
/* Starts a sweep over the records of all partitions. */
void mst_sweep_start(struct mst_entry *entry);
void mst_sweep_handle_page(
    struct mst_entry *entry, const struct mst_store_answer *answer);
/* Reads the jobs of unowned records from the store, up to the limit of
 * concurrent reads. */
void mst_unowned_load_next(struct mst_entry *entry);
/* Claims an unowned record whose job has been read from the store. */
void mst_unowned_handle_loaded(
    struct mst_entry *entry, const struct mst_store_answer *answer);
/* expiry.c */
void mst_expiring_record_free(gpointer data);
/* Removes the record that expired first, if any has expired. */
void mst_records_remove_expired(struct mst_entry *entry);

#endif
