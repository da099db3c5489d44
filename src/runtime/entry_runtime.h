#ifndef MST_ENTRY_RUNTIME_H
#define MST_ENTRY_RUNTIME_H

/*
 * Entry daemon: connects the reducer, which is the state machine in
 * masticstall/entry.h, to HTTP, the bus, and the table or the store.
 */

#include <masticstall/daemon.h>
#include <masticstall/entry.h>
#include <uv.h>

#include "api/problem.h"
#include "net/bus.h"
#include "runtime/entry_links.h"
#include "net/http_client.h"
#include "net/http_guard.h"
#include "net/httpd.h"
#include "net/dynamodb_table.h"
#include "runtime/loop.h"
#include "runtime/drain_set.h"
#include "runtime/drivers.h"
#include "runtime/record_store.h"
#include "runtime/store_watch.h"
#include "runtime/trace.h"

/* Set in the ids of requests that other entries have forwarded to this one. */
#define RUNTIME_FORWARDED_BIT (UINT64_C(1) << 63)

/* Set in the ids of requests received through the platform's frontend. */
#define RUNTIME_FRONTEND_BIT (UINT64_C(1) << 62)

/* A request that waits for the reducer or for another entry. */
struct pending_request {
	uint64_t id;
	bool from_frontend; /* received through the frontend */
	enum frontend_request_kind request_kind; /* if from_frontend */
	char *job_key;    /* if from_frontend: the caller's key of the job */
	bool passthrough; /* responds with the task's own result */
	struct mst_bytes body;      /* borrowed until it is submitted */
	char *ticket;               /* ticket of the job, or NULL */
	char *traceparent;          /* traceparent of the job, or NULL */
	uint32_t forward_kind;      /* enum mst_forward_kind */
	uint64_t origin_entry;      /* entry that forwarded it here, or 0 */
	uint64_t origin_request_id; /* that entry's id of the request */
	uint64_t forwarded_to;      /* incarnation of the owner, or 0 */
};

struct entry_runtime {
	struct runtime_loop loop;
	/* Applies an event to the reducer and executes the effects. */
	void (*step)(struct entry_runtime *rt, struct mst_entry_event *event);
	const struct mst_settings *settings;
	struct mst_entry *entry;
	struct mst_bus *bus;
	struct entry_links *entry_links;
	struct http_guard *http_guard; /* of all HTTP servers */
	struct mst_httpd *httpd;
	struct mst_http_client *http_client;
	struct mst_table *table;
	struct trace_store *traces;
	GHashTable *pending_requests; /* id -> struct pending_request */
	uint64_t last_forwarded_id;   /* last id given to a forwarded request */
	uv_timer_t config_timer;
	uv_timer_t members_timer;
	unsigned ticks;                     /* since the start */
	int64_t event_us[MST_ENTRY_EV_MAX]; /* time in events, by their type */
	uint32_t config_failures;           /* consecutive failed polls */

	/* Used only with a frontend and a store. */
	const struct mst_drivers *drivers;
	struct mst_httpd *frontend_httpd;
	struct mst_httpd *ready_httpd;
	void *store;
	struct store_watch config_watch;
	struct drain_set drain_set; /* from config_watch */
	struct store_watch entries_watch;
	struct store_watch cancels_watch; /* runs once stored jobs are owned */
	bool watches_cancels;
	struct record_store *record_store;
	uv_timer_t publish_timer;
	bool shutting_down;        /* not ready, but still serving requests */
	int64_t config_applied_us; /* time of the last configuration change */
	uint64_t limits_version;   /* configuration whose limits are in force */
	struct mst_histogram job_times[FRONTEND_OUTCOME_MAX]; /* by outcome */
};

/* entry_requests.c */
/**
 * Responds to a request, directly or through the entry that forwarded it, and
 * frees it.
 *
 * @param pending the request; invalid afterwards
 * @param status HTTP status
 * @param type value of the content-type header; not sent to another entry
 * @param body copied
 * @param len length of the body in bytes
 * @param retry_after_s value of the Retry-After header; 0: no such header
 */
void runtime_respond(struct entry_runtime *rt, struct pending_request *pending,
    int status, const char *type, const char *body, size_t len,
    uint32_t retry_after_s);

/* Frees a request; called when it is removed from the table of requests. */
void pending_request_free(struct pending_request *pending);
/* Creates a request and adds it to the table of pending requests. */
struct pending_request *pending_request_new(
    struct entry_runtime *rt, uint64_t id);

/* Drops the request of a caller that has disconnected; a callback of the HTTP
 * server. */
void runtime_on_disconnect(uint64_t id, void *ctx);
/* Responds to a request for which no pending request was created. */
void runtime_respond_text(struct entry_runtime *rt, uint64_t id, int status,
    const char *type, const char *text);
void runtime_respond_problem(
    struct entry_runtime *rt, uint64_t id, const struct mst_problem *problem);

/* entry_limits.c */
/* Returns how the entry's HTTP servers bound what clients make it hold. */
struct http_guard_options runtime_limits_options(struct entry_runtime *rt);
/* Puts the limits for clients of a new configuration in force. */
void runtime_limits_update(struct entry_runtime *rt);
/* Returns the longest body that the frontend takes, in bytes. */
size_t runtime_limits_body_max(const struct entry_runtime *rt);

/* entry_http.c */
/* Routes a request; a callback of the HTTP server. */
void runtime_on_request(struct mst_http_request *request, void *ctx);
/* Responds to a request with the state of a job, if the handle is not stale. */
void runtime_respond_job(
    struct entry_runtime *rt, struct pending_request *pending, uint64_t job);
/* Responds to a request that the reducer has refused. */
void runtime_respond_refusal(struct entry_runtime *rt,
    struct pending_request *pending, const struct mst_entry_effect *effect);
/* Handles a request that another entry has forwarded to this one. */
void runtime_on_forward(struct entry_runtime *rt, const struct mst_msg *msg);
/* Passes the owner's reply to a forwarded request on to the caller. */
void runtime_on_forward_reply(
    struct entry_runtime *rt, const struct mst_forwarded *reply);
/* Forwards a request to the entry with incarnation peer, which owns the job. */
void runtime_forward(
    struct entry_runtime *rt, struct pending_request *pending, uint64_t peer);

/* entry_config.c */
/* Starts polling the table for the newest configuration. */
void runtime_config_start(struct entry_runtime *rt);
/*
 * Applies a configuration that is newer than the one in force. One that is
 * invalid is logged and ignored.
 */
void runtime_config_apply(
    struct entry_runtime *rt, uint64_t version, const char *document);
/* Applies an operator's JSON Patch to the configuration and responds. */
void runtime_config_patch(struct entry_runtime *rt,
    const struct mst_http_request *request, const char *operator_name);
/*
 * Drains or restores a failure domain by a patch to the newest configuration,
 * whose version the request need not name, and responds.
 */
void runtime_config_set_drained(struct entry_runtime *rt,
    const struct mst_http_request *request, const char *operator_name,
    const char *domain, bool drained);
/* Responds with the latest versions of the configuration. */
void runtime_config_history(
    struct entry_runtime *rt, const struct mst_http_request *request);

/* entry_drains.c */
/*
 * Lists the failure domains of the known members, sorted by name; free with
 * g_array_unref().
 */
GArray *runtime_domains(const struct entry_runtime *rt);
/* Handles requests for /v1/drains; path: what follows it. */
void runtime_on_drains_request(struct entry_runtime *rt,
    const struct mst_http_request *request, struct mst_bytes path);
/* Applies an update of the store to the set of drained failure domains. */
void runtime_drains_on_store_update(
    struct entry_runtime *rt, const struct store_update *update);
/*
 * Corrects the set that the reducer has taken over from another process if the
 * store was read as of a newer revision. The reducer does not know of such a
 * read while the store has shown no drained domain.
 */
void runtime_drains_on_change(struct entry_runtime *rt, uint64_t revision);
/* Logs a change of the set. */
void runtime_drains_log(const struct mst_entry_effect *effect);

/* entry_frontend.c */
/*
 * Opens the frontend's listeners and the store. Returns 0, or -1 with error set
 * if an address can't be listened on.
 */
int runtime_frontend_open(struct entry_runtime *rt, GError **error);
/* Stops accepting connections and closes the idle ones. */
void runtime_frontend_shutdown(struct entry_runtime *rt);
/*
 * Stops reporting ready, so that the load balancer sends no new connections,
 * and drains later.
 */
void runtime_frontend_drain(struct entry_runtime *rt);
/* Logs a closed job, records its duration and responds with its outcome. */
void runtime_frontend_respond_job(struct entry_runtime *rt,
    struct pending_request *pending, const struct mst_job_view *view,
    uint64_t handle);
/* Logs the refusal of a job and responds with its outcome. */
void runtime_frontend_respond_refusal(struct entry_runtime *rt,
    struct pending_request *pending, const struct mst_entry_effect *effect);
/* Responds to a request with the state of a stored job. */
void runtime_frontend_respond_state(struct entry_runtime *rt,
    struct pending_request *pending, enum mst_stored_state state);
/* Logs a closed stored job and records its duration. */
void runtime_frontend_on_job_closed(struct entry_runtime *rt, uint64_t job);
/*
 * Logs a change of this entry's ownership of stored jobs. The first one starts
 * the watch of cancelled jobs.
 */
void runtime_frontend_on_ownership(
    struct entry_runtime *rt, const struct mst_entry_effect *effect);
/* Publishes this entry's address in the store; retries on failure. */
void runtime_publish_address(uv_timer_t *timer);

#endif
