#ifndef MST_DRIVERS_H
#define MST_DRIVERS_H

/*
 * Interfaces to the platform that the daemons run on: the frontend through
 * which callers submit jobs, the workers and the store. A platform implements
 * them without any policy of its own; the daemons decide what to call and when.
 */

#include <masticstall/config.h>
#include <masticstall/entry.h>
#include <masticstall/record.h>
#include <masticstall/worker.h>

#include "base/input_fault.h"
#include "net/http_client.h"
#include "net/httpd.h"

/* Tables that masticstall keeps in the platform's store. */
#define STORE_TABLE_ENTRIES "masticstall-entries"
#define STORE_TABLE_CANCELS "masticstall-cancels"
#define STORE_TABLE_JOBS    "masticstall-jobs"
#define STORE_TABLE_RECORDS "masticstall-records"
#define STORE_TABLE_OWNERS  "masticstall-owners"
#define STORE_TABLE_REPORTS "masticstall-reports"
#define STORE_TABLE_CRASHES "masticstall-crashes"

/* Kinds of requests that callers send to an entry. */
enum frontend_request_kind {
	FRONTEND_REQ_READY = 1,    /* readiness check of the load balancer */
	FRONTEND_REQ_SUBMIT,       /* submits a job */
	FRONTEND_REQ_STATE,        /* queries the state of a stored job */
	FRONTEND_REQ_CANCEL,       /* cancels a stored job */
	FRONTEND_REQ_QUEUE_LENGTH, /* queries the length of a queue */
	FRONTEND_REQ_NO_QUEUE,     /* host and path match no queue */
	FRONTEND_REQ_MALFORMED     /* malformed; see fault */
};

struct frontend_request {
	enum frontend_request_kind kind;
	bool unsupported;         /* SUBMIT: needs an unsupported feature */
	struct mst_job_spec spec; /* SUBMIT: the job */
	const char *key;          /* key of the job */
	const char *queue;        /* name of the queue */
	struct mst_bytes body;    /* SUBMIT: body to store with the job */
	const char *fault;        /* MALFORMED: description; static */
	void *driver_data;        /* owned by the driver */
};

/* Outcome of a caller's request. */
enum frontend_outcome {
	FRONTEND_IS_READY = 1,
	FRONTEND_IS_NOT_READY,
	FRONTEND_COMPLETED,     /* every task succeeded */
	FRONTEND_FAILED,        /* a task failed on its last attempt */
	FRONTEND_NOT_RUN,       /* nothing was run; may be retried */
	FRONTEND_MAY_HAVE_RUN,  /* abandoned; some tasks may have run */
	FRONTEND_UNKNOWN_QUEUE, /* nothing was run; no such queue */
	FRONTEND_UNKNOWN_JOB,
	FRONTEND_ACCEPTED, /* the job is stored */
	FRONTEND_QUEUED,   /* no task has started */
	FRONTEND_RUNNING,
	FRONTEND_CANCELLED,
	FRONTEND_STORE_UNAVAILABLE, /* unknown: the store does not respond */
	FRONTEND_QUEUE_LENGTH,      /* number of waiting stored jobs */
	FRONTEND_BAD_REQUEST,       /* malformed request */
	FRONTEND_OUTCOME_MAX
};

/* Returns the name of an enum frontend_outcome for logs and metrics. */
const char *frontend_outcome_name(int outcome);

struct frontend_result {
	enum frontend_outcome outcome;
	uint32_t retry_after_ms; /* NOT_RUN, STORE_UNAVAILABLE */
	uint32_t length;         /* QUEUE_LENGTH: waiting jobs */
	bool close;              /* the caller should reconnect elsewhere */
};

/* An HTTP response to a caller. */
struct frontend_response {
	int status;
	const char *body; /* static string, or text below */
	char text[32];
	struct mst_http_header headers[3];
	size_t header_count;
	char retry_after[16];
};

struct frontend_driver {
	/*
	 * Parses a request; config may be NULL while none is in force. out is
	 * freed with release().
	 */
	void (*read)(struct frontend_request *out,
	    const struct mst_http_request *request,
	    const struct mst_config *config);
	/*
	 * Parses a stored job, using the queue configuration that was stored
	 * with it. out is freed with release().
	 */
	void (*read_stored)(struct frontend_request *out, const char *key,
	    const char *body, const struct mst_queue_config *queue);
	void (*release)(struct frontend_request *request);
	/* Names of the header fields that read() looks up, in lower case; ends
	 * with NULL. */
	const char *const *header_names;
	/* Formats the outcome of a request as an HTTP response. */
	void (*write)(struct frontend_response *out,
	    const struct frontend_result *result);
};

typedef void (*worker_answer_cb)(
    const struct mst_order_answer *answer, void *ctx);

struct worker_driver_options {
	struct mst_http_client *http_client;
	const char *address; /* ip:port */
	int64_t (*now_us)(void);
	/* Called once per order, never from within order(). */
	worker_answer_cb on_answer;
	void *ctx;
};

struct worker_driver {
	void *(*open)(const struct worker_driver_options *options);
	void (*close)(void *worker);
	/* Sends an order; its answer is passed to on_answer. */
	void (*order)(void *worker, const struct mst_order *order);
	/*
	 * Parses a worker's report about itself. Returns false and sets *fault
	 * if it is malformed. The report refers to memory in *driver_data,
	 * which the caller frees with release_report() in either case.
	 */
	bool (*read_report)(struct mst_worker_report *out, void **driver_data,
	    struct input_fault *fault, const struct mst_http_request *request);
	void (*release_report)(void *driver_data);
};

enum store_status {
	STORE_OK = 1,
	STORE_UNAVAILABLE, /* no response; a write may have been applied */
	STORE_BUSY,        /* refused for now; nothing was applied */
	STORE_CONFLICT,    /* a condition failed; nothing was applied */
	STORE_COMPACTED,   /* requested revision is no longer kept */
	STORE_INVALID      /* malformed response */
};

/* State or changes of one subject, as read from the store. */
struct store_update {
	enum store_status status;
	uint64_t revision;    /* revision to continue the watch from */
	uint64_t version;     /* configuration version; 0: not included */
	const char *document; /* configuration as JSON; NULL: not included */
	bool is_snapshot;     /* full state rather than changes */
	GPtrArray *added;     /* entry addresses or job keys */
	GPtrArray *removed;   /* entry addresses or job keys removed */
	/* CONFIG: names of failure domains; a snapshot lists all drained ones.
	 */
	GPtrArray *drained;
	GPtrArray *restored;
	struct input_fault fault; /* of the answer or of the configuration */
};

enum store_subject { STORE_CONFIG = 1, STORE_ENTRIES, STORE_CANCELS };

/* A row of one of masticstall's tables. */
struct store_row {
	const char *table;
	const char *partition;
	const char *key;
	/* Text; NULL: row is absent or to be deleted; "": can't be read. */
	const char *value;
	uint64_t version; /* version read or expected; 0: no such row */
};

/*
 * A transaction: writes all rows atomically, but only if each row in conditions
 * still has its expected version.
 */
struct store_txn {
	const struct store_row *rows;
	size_t count;
	const struct store_row *conditions;
	size_t condition_count;
};

/* A range of rows of one partition, ordered by key. */
struct store_range {
	const char *table;
	const char *partition;
	const char *from; /* first key, inclusive; NULL: from the start */
	uint32_t limit;   /* maximum row count; 0: limited by the store only */
};

struct store_result {
	enum store_status status;
	uint64_t revision; /* OK: revision of the change */
	/* OK: rows requested. CONFLICT: present state of the conditions. */
	const struct store_row *rows;
	size_t count;
	bool more_rows; /* the range continues after these rows */
};

typedef void (*store_result_cb)(const struct store_result *result, void *ctx);

typedef void (*store_update_cb)(const struct store_update *update, void *ctx);
typedef void (*store_done_cb)(enum store_status status, void *ctx);

struct store_driver {
	void *(*open)(struct mst_http_client *http_client, const char *address);
	void (*close)(void *store);
	/* Reads the present state of a subject. */
	void (*read)(void *store, enum store_subject subject,
	    uint32_t timeout_ms, store_update_cb on_update, void *ctx);
	/*
	 * Reports the changes of a subject after a revision, waiting up to
	 * wait_ms for the first one.
	 */
	void (*watch)(void *store, enum store_subject subject, uint64_t after,
	    uint32_t wait_ms, uint32_t timeout_ms, store_update_cb on_update,
	    void *ctx);
	/* Writes the row of an entry. */
	void (*put_entry)(void *store, const char *address, uint32_t timeout_ms,
	    store_done_cb on_done, void *ctx);
	/* Removes the row of an entry. */
	void (*remove_entry)(void *store, const char *address,
	    uint32_t timeout_ms, store_done_cb on_done, void *ctx);
	/* Applies a transaction. */
	void (*commit)(void *store, const struct store_txn *txn,
	    uint32_t timeout_ms, store_result_cb on_result, void *ctx);
	/* Reads the rows of a range. */
	void (*list_range)(void *store, const struct store_range *range,
	    uint32_t timeout_ms, store_result_cb on_result, void *ctx);
};

struct mst_drivers {
	const struct frontend_driver *frontend;
	const struct worker_driver *worker;
	const struct store_driver *store;
};

#endif
