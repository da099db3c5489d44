#ifndef MST_ENTRY_OWNER_H
#define MST_ENTRY_OWNER_H

/* Shared by the parts of an entry that own records and take over others'. */

#include "core/entry_stored.h"

#define OWNER_POLL_US  (1 * G_USEC_PER_SEC)
#define OWNER_SWEEP_US (15 * G_USEC_PER_SEC) /* for jobs without an owner */

/* What is known of another owner. */
struct peer_owner {
	uint64_t id;
	uint64_t version;   /* of its row; 0: it has none */
	int64_t changed_us; /* when that was first seen */
	int64_t
	    unchanged_until_us; /* and at least until then it was the same */
	bool released;          /* its jobs may be taken at once */
	bool in_poll;           /* by the present poll */
	bool has_jobs;          /* found by the present sweep */
	GPtrArray *queue_names; /* char *, names */
	GArray *queue_lengths;  /* uint32_t, jobs of these */
};

/* A record without an owner, on its way to this entry. */
struct unowned_record {
	char *key;
	uint64_t version;
	struct mst_record record; /* tasks owned */
	bool loading;
};

/* What an operation of the store is for. */
struct op_context {
	enum mst_store_op_kind kind;
	uint64_t cookie;
	int64_t sent_us;
	bool released; /* RENEW: its jobs are handed over */
};

/* entry_owner.c */
void mst_owner_report(
    struct mst_entry *entry, const char *state, uint64_t id, uint32_t count);
struct peer_owner *mst_peer_owner_get(struct mst_entry *entry, uint64_t id);
/* True when an owner's row has not changed for so long that it was lost, and
 * some time more. */
bool mst_peer_owner_is_expired(const struct mst_entry *entry,
    const struct peer_owner *other, int64_t more_us);
/* True when a lost owner's jobs are this entry's to take: one entry after the
 * other gets its turn. */
bool mst_owner_may_take_over(
    const struct mst_entry *entry, const struct peer_owner *lost);

/* entry_sweep.c */
void mst_unowned_free(gpointer data);
void mst_expiring_record_free(gpointer data);
void mst_sweep_start(struct mst_entry *entry);
void mst_sweep_page_done(
    struct mst_entry *entry, const struct mst_store_answer *answer);
void mst_unowned_load_next(struct mst_entry *entry);
void mst_unowned_loaded(struct mst_entry *entry, const struct op_context *op,
    const struct mst_store_answer *answer);
void mst_records_remove_expired(struct mst_entry *entry);

#endif
