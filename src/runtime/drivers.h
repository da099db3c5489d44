#ifndef MST_DRIVERS_H
#define MST_DRIVERS_H

/*
 * What the daemons need of the platform that they run on: its way of handing
 * in jobs, its workers, its store. A platform implements these; what to do
 * and when is decided by their callers.
 */

#include <masticstall/config.h>
#include <masticstall/entry.h>
#include <masticstall/record.h>
#include <masticstall/worker.h>

#include "net/http_client.h"
#include "net/httpd.h"

/* The product's tables. */
#define STORE_TABLE_ENTRIES "masticstall-entries"
#define STORE_TABLE_CANCELS "masticstall-cancels"
#define STORE_TABLE_JOBS    "masticstall-jobs"
#define STORE_TABLE_RECORDS "masticstall-records"
#define STORE_TABLE_OWNERS  "masticstall-owners"

/* What a caller asks of an entry. */
enum frontend_request_kind {
	FRONTEND_REQ_READY = 1,    /* may new connections come here? */
	FRONTEND_REQ_SUBMIT,       /* a job */
	FRONTEND_REQ_STATE,        /* of a stored job */
	FRONTEND_REQ_CANCEL,       /* a stored job */
	FRONTEND_REQ_QUEUE_LENGTH, /* how long is a queue? */
	FRONTEND_REQ_NO_QUEUE,     /* its address belongs to no queue */
	FRONTEND_REQ_MALFORMED     /* see the reason */
};

struct frontend_request {
	enum frontend_request_kind kind;
	bool unsupported;         /* SUBMIT: asks for what isn't served yet */
	struct mst_job_spec spec; /* SUBMIT */
	const char *key;          /* of the job */
	const char *queue;        /* its name */
	struct mst_bytes body;    /* SUBMIT: to be stored with the job */
	const char *fault;        /* MALFORMED: what is wrong; static */
	void *driver_data;
};

/* What became of a caller's request. */
enum frontend_outcome {
	FRONTEND_IS_READY = 1,
	FRONTEND_IS_NOT_READY,
	FRONTEND_COMPLETED,     /* every task has ended well */
	FRONTEND_FAILED,        /* a task failed as often as it may */
	FRONTEND_NOT_RUN,       /* nothing was run; come back later */
	FRONTEND_MAY_HAVE_RUN,  /* given up, after some of it has run */
	FRONTEND_UNKNOWN_QUEUE, /* nothing was run; there is no such queue */
	FRONTEND_UNKNOWN_JOB,
	FRONTEND_ACCEPTED, /* it is stored */
	FRONTEND_QUEUED,   /* nothing of it has started */
	FRONTEND_RUNNING,
	FRONTEND_CANCELLED,
	FRONTEND_STORE_UNAVAILABLE, /* nobody can tell at present */
	FRONTEND_QUEUE_LENGTH,      /* stored jobs that wait */
	FRONTEND_BAD_REQUEST,       /* the request makes no sense */
	FRONTEND_OUTCOME_MAX
};

struct frontend_result {
	enum frontend_outcome outcome;
	uint32_t retry_after_ms; /* NOT_RUN, STORE_AWAY */
	uint32_t length;         /* QUEUE_LENGTH */
	bool close;              /* the caller should connect elsewhere */
};

/* An answer on its way to a caller. */
struct frontend_response {
	int status;
	const char *body; /* static, or text */
	char text[32];
	struct mst_http_header headers[3];
	size_t header_count;
	char retry_after[16];
};

struct frontend_driver {
	/* Reads a request under a configuration, which may be NULL. */
	void (*read)(struct frontend_request *out,
	    const struct mst_http_request *request,
	    const struct mst_config *config);
	/* Reads a job as it was stored, by the terms of its queue then. */
	void (*read_stored)(struct frontend_request *out, const char *key,
	    const char *body, const struct mst_queue_config *queue);
	void (*release)(struct frontend_request *request);
	void (*write)(struct frontend_response *out,
	    const struct frontend_result *answer);
};

typedef void (*worker_answer_cb)(
    const struct mst_order_answer *answer, void *ctx);

struct worker_driver_options {
	struct mst_http_client *http_client;
	const char *address; /* ip:port */
	int64_t (*now_us)(void);
	worker_answer_cb on_answer; /* once for each order, never from within */
	void *ctx;
};

struct worker_driver {
	void *(*open)(const struct worker_driver_options *options);
	void (*close)(void *worker);
	void (*order)(void *worker, const struct mst_order *order);
	/* Reads a worker's report about itself; a fault is named where it is
	 * none. The report refers to *internal, freed by release. */
	bool (*read_report)(struct mst_worker_report *out, void **internal,
	    const char **fault, const struct mst_http_request *request);
	void (*release_report)(void *internal);
};

enum store_status {
	STORE_OK = 1,
	STORE_UNAVAILABLE, /* no answer: a change may have been made */
	STORE_BUSY,        /* nothing was done */
	STORE_CONFLICT,    /* nothing was done: some row isn't as expected */
	STORE_COMPACTED,   /* the changes asked for are no longer kept */
	STORE_INVALID      /* the answer makes no sense */
};

/* What the store tells of the configuration or of the entries. */
struct store_update {
	enum store_status status;
	uint64_t revision;    /* to watch on from */
	uint64_t version;     /* of the configuration; 0: none is told */
	const char *document; /* the configuration, as the product writes it */
	bool is_snapshot;     /* the present state, not what has changed */
	GPtrArray *added;     /* addresses of entries, or keys of jobs */
	GPtrArray *removed;   /* those that are no longer there */
	const char *fault;    /* INVALID: what is wrong; may be NULL */
};

enum store_subject { STORE_CONFIG = 1, STORE_ENTRIES, STORE_CANCELS };

/* A row of the product's own tables. */
struct store_row {
	const char *table;
	const char *partition;
	const char *key;
	const char *value; /* text; NULL: the row is removed */
	uint64_t version;  /* as found or expected; 0: there is no such row */
};

/* Rows to be written at once, if others are as expected. */
struct store_txn {
	const struct store_row *rows;
	size_t count;
	const struct store_row *conditions;
	size_t condition_count;
};

/* Rows of a part in the order of their keys. */
struct store_range {
	const char *table;
	const char *partition;
	const char *from; /* first key, or NULL */
	uint32_t limit;   /* 0: as many as there are or one answer takes */
};

struct store_result {
	enum store_status status;
	uint64_t revision; /* OK: of the change */
	/* Those asked for; after a CONFLICT those expected, as they are. */
	const struct store_row *rows;
	size_t count;
	bool more_rows;
};

typedef void (*store_result_cb)(const struct store_result *rows, void *ctx);

typedef void (*store_update_cb)(const struct store_update *news, void *ctx);
typedef void (*store_done_cb)(enum store_status status, void *ctx);

struct store_driver {
	void *(*open)(struct mst_http_client *caller, const char *address);
	void (*close)(void *store);
	/* Tells the present state. */
	void (*read)(void *store, enum store_subject subject,
	    uint32_t timeout_ms, store_update_cb on_news, void *ctx);
	/* Tells what has changed after a revision; waits for it. */
	void (*watch)(void *store, enum store_subject subject, uint64_t after,
	    uint32_t wait_ms, uint32_t timeout_ms, store_update_cb on_news,
	    void *ctx);
	void (*put_entry)(void *store, const char *address, uint32_t timeout_ms,
	    store_done_cb on_done, void *ctx);
	void (*remove_entry)(void *store, const char *address,
	    uint32_t timeout_ms, store_done_cb on_done, void *ctx);
	void (*commit)(void *store, const struct store_txn *change,
	    uint32_t timeout_ms, store_result_cb on_rows, void *ctx);
	void (*list_range)(void *store, const struct store_range *range,
	    uint32_t timeout_ms, store_result_cb on_rows, void *ctx);
};

struct mst_drivers {
	const struct frontend_driver *frontend;
	const struct worker_driver *worker;
	const struct store_driver *store;
};

#endif
