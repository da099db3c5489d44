#ifndef MST_RECORD_H
#define MST_RECORD_H

/**
 * Records of stored jobs, which persist when the entry that runs the jobs is
 * lost. A record belongs to one owner, which is an entry for as long as it
 * renews its own row in time. Every change names the version that it replaces,
 * so that only one of two concurrent changes succeeds.
 */

#include <masticstall/message.h>

enum mst_record_state {
	MST_RECORD_OPEN = 1,
	MST_RECORD_COMPLETE,
	MST_RECORD_FAILED,
	MST_RECORD_CANCELLED
};

/** Character in the tasks of a record: the task has succeeded. */
#define MST_RECORD_DONE 'd'
/**
 * Character in the tasks of a record: the task has not succeeded and none of
 * its runs has failed. For N failed runs, N is added to this character.
 */
#define MST_RECORD_NO_FAILURES '0'
/** Most failed runs that are counted for one task. */
#define MST_RECORD_FAILURES_MAX 50

/** State of a stored job; strings are borrowed. */
struct mst_record {
	uint64_t owner;
	uint32_t term;       /* runs of earlier terms are abandoned */
	uint32_t update_seq; /* incremented by each change of the owner */
	uint8_t state;       /* enum mst_record_state */
	const char *tasks;   /* one character for each task */
	int64_t closed_ms;   /* wall-clock time; 0: open */
	/* JSON object with what a newer build has added to the record, to be
	 * written with each change; NULL: nothing. */
	const char *extra;
};

/** Number of jobs of a queue that an owner has not started. */
struct mst_queue_length {
	const char *queue;
	uint32_t jobs;
};

enum mst_store_op_kind {
	MST_STORE_CREATE = 1, /* create a job and its record; replaces none */
	MST_STORE_UPDATE,     /* replace a job's record */
	MST_STORE_CANCEL,     /* mark a job's record cancelled, notify owner */
	MST_STORE_GET_RECORD, /* read a job's record */
	MST_STORE_GET_JOB,    /* read a job */
	MST_STORE_SCAN,       /* read a page of the records of a partition */
	MST_STORE_REMOVE,     /* remove a job, its record and its notices */
	MST_STORE_RENEW,      /* renew an owner's row */
	MST_STORE_RETIRE,     /* remove an owner's row */
	MST_STORE_OWNERS      /* read the rows of all owners */
};

/** Number of partitions over which the records are spread. */
#define MST_STORE_PARTITIONS 16

/** Operation of the store; strings are borrowed. */
struct mst_store_op {
	enum mst_store_op_kind kind;
	uint64_t id;     /* returned in the answer */
	const char *key; /* key of the job; SCAN: key to start after, or NULL */
	uint64_t expected;          /* version to replace; 0: must not exist */
	struct mst_record record;   /* CREATE, UPDATE, CANCEL */
	const char *serialized_job; /* CREATE: stored form of the job */
	uint32_t partition;         /* SCAN */
	uint64_t owner;             /* RENEW, RETIRE */
	const struct mst_queue_length *lengths; /* RENEW */
	uint32_t length_count;
	bool released; /* RENEW: the owner's jobs may be taken over at once */
};

enum mst_store_status {
	MST_STORE_OK = 1,
	MST_STORE_CONFLICT, /* no effect: the expected version differs */
	MST_STORE_BUSY,     /* no effect: the store is busy */
	/* No answer: the operation may have taken effect or may do so later. */
	MST_STORE_UNAVAILABLE
};

/** Record read from the store. */
struct mst_stored_record {
	const char *key;
	uint64_t version;
	struct mst_record record;
};

/** Row of an owner read from the store. */
struct mst_stored_owner {
	uint64_t owner;
	uint64_t version;
	const struct mst_queue_length *lengths;
	uint32_t length_count;
	bool released;
};

struct mst_job_spec;

/** Answer to a store operation; all pointers are borrowed. */
struct mst_store_answer {
	uint64_t id;
	enum mst_store_status status;
	uint64_t version; /* OK: new version of the changed row */
	/* GET_RECORD, SCAN: the records; CONFLICT: the current record. */
	const struct mst_stored_record *records;
	uint32_t record_count;
	bool more_records; /* SCAN: the partition has more records */
	/* OWNERS: the rows; CONFLICT of RENEW: the current row. */
	const struct mst_stored_owner *owners;
	uint32_t owner_count;
	const struct mst_job_spec *spec; /* GET_JOB; NULL: not found */
};

/**
 * Returns the name of a record's state.
 *
 * @param state an enum mst_record_state
 * @return a static string
 */
const char *mst_record_state_name(int state);

#endif
