#ifndef MST_RECORD_H
#define MST_RECORD_H

/**
 * Records of stored jobs: what outlasts the entry that runs them. A record
 * belongs to one owner, an entry for as long as it renews its row in time. A
 * change names the version that it replaces, so that one of two changes wins.
 */

#include <masticstall/message.h>

enum mst_record_state {
	MST_RECORD_OPEN = 1,
	MST_RECORD_COMPLETE,
	MST_RECORD_FAILED,
	MST_RECORD_CANCELLED
};

/** In a record's tasks: the task has ended well. */
#define MST_RECORD_DONE 'd'
/** In a record's tasks: no run has ended as failed; later ones count up. */
#define MST_RECORD_NO_FAILURES '0'
/** Most failures that are counted for one task. */
#define MST_RECORD_FAILURES_MAX 50

/** What is known of a stored job; strings are borrowed. */
struct mst_record {
	uint64_t owner;
	uint32_t term;       /* runs of earlier ones were given up */
	uint32_t update_seq; /* rises with each change that its owner makes */
	uint8_t state;       /* enum mst_record_state */
	const char *tasks;   /* one character for each */
	int64_t closed_ms;   /* time of day; 0: is open */
};

/** Jobs of a queue that an owner has not started. */
struct mst_queue_length {
	const char *queue;
	uint32_t jobs;
};

enum mst_store_op_kind {
	MST_STORE_CREATE = 1, /* a job and its record; never replaces any */
	MST_STORE_UPDATE,     /* a job's record */
	MST_STORE_CANCEL,     /* the same, and its owner is told */
	MST_STORE_GET_RECORD, /* reads a job's record */
	MST_STORE_GET_JOB,    /* reads a job */
	MST_STORE_SCAN,       /* reads the records of a part, from a key on */
	MST_STORE_REMOVE,     /* a job, its record and notices about it */
	MST_STORE_RENEW,      /* an owner's row */
	MST_STORE_RETIRE,     /* removes an owner's row */
	MST_STORE_OWNERS      /* reads all owners' rows */
};

/** Parts over which the records are spread. */
#define MST_STORE_PARTITIONS 16

/** Something to be done by the store; strings are borrowed. */
struct mst_store_op {
	enum mst_store_op_kind kind;
	uint64_t id;       /* comes back with the answer */
	const char *key;   /* of the job; SCAN: to begin after, or NULL */
	uint64_t expected; /* version to be replaced; 0: there is none */
	struct mst_record record; /* CREATE, UPDATE, CANCEL */
	const char
	    *serialized_job; /* CREATE: the job, as its reader wants it */
	uint32_t partition;  /* SCAN */
	uint64_t owner;      /* RENEW, RETIRE */
	const struct mst_queue_length *lengths; /* RENEW */
	uint32_t length_count;
	bool released; /* RENEW: what it owns may be taken at once */
};

enum mst_store_status {
	MST_STORE_OK = 1,
	MST_STORE_CONFLICT,   /* nothing was done: the version is another one */
	MST_STORE_BUSY,       /* nothing was done */
	MST_STORE_UNAVAILABLE /* no answer: it may have been done, or may be yet
			       */
};

/** A record as it is stored. */
struct mst_stored_record {
	const char *key;
	uint64_t version;
	struct mst_record record;
};

/** An owner's row as it is stored. */
struct mst_stored_owner {
	uint64_t owner;
	uint64_t version;
	const struct mst_queue_length *lengths;
	uint32_t length_count;
	bool released;
};

struct mst_job_spec;

/** Answer to an operation; everything is borrowed. */
struct mst_store_answer {
	uint64_t id;
	enum mst_store_status status;
	uint64_t version; /* OK: of what was changed */
	/* FIND, SCAN, and the present one after a CONFLICT. */
	const struct mst_stored_record *records;
	uint32_t record_count;
	bool more_records; /* SCAN: from the last key on */
	/* OWNERS, and the present one after a RENEW's CONFLICT. */
	const struct mst_stored_owner *owners;
	uint32_t owner_count;
	const struct mst_job_spec *spec; /* LOAD; NULL: there is none */
};

/** Gives the name of a record's state. */
const char *mst_record_state_name(int state);

#endif
