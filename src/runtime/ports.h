#ifndef MST_PORTS_H
#define MST_PORTS_H

/*
 * What the daemons need of the platform that they run on: its way of handing
 * in jobs, its workers, its store. A platform implements these; what to do
 * and when is decided by their callers.
 */

#include <masticstall/config.h>
#include <masticstall/entry.h>
#include <masticstall/worker.h>

#include "net/http_call.h"
#include "net/httpd.h"

/* What a caller asks of an entry. */
enum front_request_kind {
	FRONT_READY = 1, /* may new connections come here? */
	FRONT_SUBMIT,    /* a job */
	FRONT_STATE,     /* of a stored job */
	FRONT_CANCEL,    /* a stored job */
	FRONT_QUEUE,     /* how long is a queue? */
	FRONT_NO_QUEUE,  /* its address belongs to no queue */
	FRONT_MALFORMED  /* see the reason */
};

struct front_request {
	enum front_request_kind kind;
	bool unserved;            /* SUBMIT: asks for what isn't served yet */
	struct mst_job_spec spec; /* SUBMIT */
	const char *key;          /* of the job */
	const char *fault;        /* MALFORMED: what is wrong; static */
	void *internal;
};

/* What became of a caller's request. */
enum front_outcome {
	FRONT_IS_READY = 1,
	FRONT_IS_NOT_READY,
	FRONT_COMPLETED,     /* every task has ended well */
	FRONT_FAILED,        /* a task failed as often as it may */
	FRONT_NOT_RUN,       /* nothing was run; come back later */
	FRONT_MAY_HAVE_RUN,  /* given up, after some of it has run */
	FRONT_UNKNOWN_QUEUE, /* nothing was run; there is no such queue */
	FRONT_UNKNOWN_JOB,
	FRONT_QUEUE_LENGTH, /* no stored job waits */
	FRONT_WRONG,        /* the request makes no sense */
	FRONT_OUTCOMES
};

struct front_answer {
	enum front_outcome outcome;
	uint32_t retry_after_ms; /* NOT_RUN */
	bool close;              /* the caller should connect elsewhere */
};

/* An answer on its way to a caller. */
struct front_reply {
	int status;
	const char *body; /* static */
	struct mst_http_header headers[3];
	size_t header_count;
	char retry_after[16];
};

struct front_port {
	/* Reads a request under a configuration, which may be NULL. */
	void (*read)(struct front_request *out,
	    const struct mst_http_request *request,
	    const struct mst_config *config);
	void (*release)(struct front_request *request);
	void (*write)(
	    struct front_reply *out, const struct front_answer *answer);
};

typedef void (*worker_answer_cb)(
    const struct mst_order_answer *answer, void *ctx);

struct worker_port_options {
	struct mst_http_caller *caller;
	const char *address; /* ip:port */
	int64_t (*now_us)(void);
	worker_answer_cb on_answer; /* once for each order, never from within */
	void *ctx;
};

struct worker_port {
	void *(*open)(const struct worker_port_options *options);
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
	STORE_AWAY,      /* no answer: a change may have been made */
	STORE_BUSY,      /* nothing was done */
	STORE_COMPACTED, /* the changes asked for are no longer kept */
	STORE_INVALID    /* the answer makes no sense */
};

/* What the store tells of the configuration or of the entries. */
struct store_news {
	enum store_status status;
	uint64_t revision;    /* to watch on from */
	uint64_t version;     /* of the configuration; 0: none is told */
	const char *document; /* the configuration, as the product writes it */
	GPtrArray *entries;   /* addresses of entries */
	GPtrArray *removed;   /* addresses that are no entries any more */
	const char *fault;    /* INVALID: what is wrong; may be NULL */
};

enum store_subject { STORE_CONFIG = 1, STORE_ENTRIES };

typedef void (*store_news_cb)(const struct store_news *news, void *ctx);
typedef void (*store_done_cb)(enum store_status status, void *ctx);

struct store_port {
	void *(*open)(struct mst_http_caller *caller, const char *address);
	void (*close)(void *store);
	/* Tells the present state. */
	void (*read)(void *store, enum store_subject subject,
	    uint32_t timeout_ms, store_news_cb on_news, void *ctx);
	/* Tells what has changed after a revision; waits for it. */
	void (*watch)(void *store, enum store_subject subject, uint64_t after,
	    uint32_t wait_ms, uint32_t timeout_ms, store_news_cb on_news,
	    void *ctx);
	void (*put_entry)(void *store, const char *address, uint32_t timeout_ms,
	    store_done_cb on_done, void *ctx);
	void (*remove_entry)(void *store, const char *address,
	    uint32_t timeout_ms, store_done_cb on_done, void *ctx);
};

struct mst_ports {
	const struct front_port *front;
	const struct worker_port *worker;
	const struct store_port *store;
};

#endif
