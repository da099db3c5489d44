#ifndef MST_ENTRY_RUNTIME_H
#define MST_ENTRY_RUNTIME_H

/* The entry's daemon: the reducer between HTTP, the bus and the table. */

#include <masticstall/daemon.h>
#include <masticstall/entry.h>
#include <uv.h>

#include "net/bus.h"
#include "net/http_client.h"
#include "net/httpd.h"
#include "net/dynamodb_table.h"
#include "runtime/loop.h"
#include "runtime/drivers.h"
#include "runtime/record_store.h"
#include "runtime/store_watch.h"
#include "runtime/trace.h"

/* Set in the ids of requests that other entries have forwarded. */
#define RUNTIME_FORWARDED_BIT (UINT64_C(1) << 63)

/* Set in the ids of requests that came by the platform's front. */
#define RUNTIME_FRONTEND_BIT (UINT64_C(1) << 62)

/* A request that waits for the reducer's or another entry's answer. */
struct pending_request {
	uint64_t id;
	bool from_frontend; /* came by the platform's front */
	enum frontend_request_kind request_kind; /* there */
	char *job_key;         /* by its caller's name, or NULL */
	bool passthrough;      /* answered with the task's own answer */
	bool has_body;         /* kept for a forward */
	struct mst_bytes body; /* the server's memory, or owned */
	char *ticket;
	char *traceparent;
	uint32_t forward_kind; /* enum mst_forward_kind */
	uint64_t origin;       /* forwarded here: the entry that asked */
	uint64_t origin_id;    /* and its own id of the request */
	uint64_t forwarded_to;
};

struct entry_runtime {
	struct runtime_loop loop;
	const struct mst_settings *settings;
	struct mst_entry *entry;
	struct mst_bus *bus;
	struct mst_httpd *httpd;
	struct mst_http_client *http_client;
	struct mst_table *table;
	struct trace_store *traces;
	GHashTable *pending; /* id -> struct pending_request */
	uint64_t next_forwarded;
	uv_timer_t config_timer;
	uv_timer_t members_timer;
	unsigned ticks;
	uint32_t config_failures;
	int64_t started_us;

	/* On a platform only. */
	const struct mst_drivers *drivers;
	struct mst_httpd *frontend_httpd;
	struct mst_httpd *ready_httpd;
	void *store;
	struct store_watch config_watch;
	struct store_watch entries_watch;
	struct store_watch cancels_watch; /* while it owns stored jobs */
	bool watches_cancels;
	struct record_store *records;
	uv_timer_t publish_timer;
	bool shutting_down;        /* not ready any more, but still serving */
	int64_t config_applied_us; /* when the configuration came into force */
	struct mst_histogram job_times[FRONTEND_OUTCOME_MAX];
};

/* Steps the reducer and executes its effects. */
void runtime_step(struct entry_runtime *rt, struct mst_entry_event *event);

/* Answers a request, wherever its caller is. */
void runtime_respond(struct entry_runtime *rt, struct pending_request *pending,
    int status, const char *type, const char *body, size_t len,
    uint32_t retry_after_s);

void pending_request_free(struct pending_request *pending);
struct pending_request *pending_request_new(
    struct entry_runtime *rt, uint64_t id);

/* entry_http.c */
void runtime_on_request(struct mst_http_request *request, void *ctx);
void runtime_on_disconnect(uint64_t id, void *ctx);
void runtime_respond_job(
    struct entry_runtime *rt, struct pending_request *pending, uint64_t job);
void runtime_respond_refusal(struct entry_runtime *rt,
    struct pending_request *pending, const struct mst_entry_effect *effect);
void runtime_on_forward(struct entry_runtime *rt, const struct mst_msg *msg);
void runtime_on_forward_reply(
    struct entry_runtime *rt, const struct mst_forwarded *answer);
void runtime_forward(
    struct entry_runtime *rt, struct pending_request *pending, uint64_t peer);

/* entry_config.c */
void runtime_config_start(struct entry_runtime *rt);
void runtime_config_apply(
    struct entry_runtime *rt, uint64_t version, const char *document);
void runtime_config_patch(struct entry_runtime *rt,
    const struct mst_http_request *request, const char *operator_name);
void runtime_config_history(
    struct entry_runtime *rt, const struct mst_http_request *request);

/* entry_frontend.c */
int runtime_frontend_open(struct entry_runtime *rt, GError **error);
void runtime_frontend_shutdown(struct entry_runtime *rt);
/* Leaves the balancer's rotation, then drains. */
void runtime_frontend_drain(struct entry_runtime *rt);
void runtime_frontend_respond_job(struct entry_runtime *rt,
    struct pending_request *pending, const struct mst_job_view *view,
    uint64_t handle);
void runtime_frontend_respond_refusal(struct entry_runtime *rt,
    struct pending_request *pending, const struct mst_entry_effect *effect);
/* Answers a request about a stored job. */
void runtime_frontend_respond_state(struct entry_runtime *rt,
    struct pending_request *pending, enum mst_stored_state state);
/* A stored job is closed. */
void runtime_frontend_on_job_closed(struct entry_runtime *rt, uint64_t job);
/* This entry's ownership of stored jobs has changed. */
void runtime_frontend_on_ownership(
    struct entry_runtime *rt, const struct mst_entry_effect *effect);
void runtime_publish(uv_timer_t *timer);
/* Name of an enum frontend_outcome, for logs and metrics. */
const char *runtime_outcome_name(int outcome);

/* Connects to entries whose addresses were named, by commas. */
void runtime_connect_peers(struct entry_runtime *rt, struct mst_bytes peers);

/* metrics.c */
GString *runtime_entry_metrics(const struct entry_runtime *rt);

#endif
