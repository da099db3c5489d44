#include "support/peer.h"

#include <string.h>

#include "support/free_address.h"

static void
on_request(struct mst_http_request *request, void *ctx)
{
	struct peer *peer = ctx;
	char *body;

	g_free(peer->request_path);
	g_free(peer->request_body);
	peer->request_path = mst_bytes_to_str(request->path);
	peer->request_body = mst_bytes_to_str(request->body);
	g_free(peer->expected_instance);
	peer->expected_instance =
	    mst_bytes_to_str(mst_http_header(request, "x-expect-instance"));
	peer->requests++;
	if (peer->status == 0)
		return;
	body = peer->respond != NULL ? peer->respond(request->query)
				     : g_strdup(peer->body);
	mst_http_respond(peer->httpd, request->id, peer->status, NULL, 0, body,
	    strlen(body));
	g_free(body);
}

static void
on_disconnect(uint64_t id, void *ctx)
{
	((struct peer *)ctx)->disconnect_count++;
}

static void
on_timeout(uv_timer_t *timer)
{
	g_error("test did not finish within 5 s");
}

struct peer *
peer_new(void)
{
	struct peer *peer = g_new0(struct peer, 1);
	struct mst_httpd_options options = {.loop = &peer->loop,
	    .listen = peer->address,
	    .body_max_bytes = 1 << 20,
	    .on_request = on_request,
	    .on_disconnect = on_disconnect,
	    .ctx = peer};
	GError *error = NULL;

	choose_free_address(peer->address, sizeof(peer->address));
	uv_loop_init(&peer->loop);
	mst_httpd_new(&peer->httpd, &options, &error);
	g_assert_no_error(error);
	peer->client = mst_http_client_new(&peer->loop, 4);
	uv_timer_init(&peer->loop, &peer->timeout);
	uv_timer_start(&peer->timeout, on_timeout, 5000, 0);
	return peer;
}

void
peer_wait(struct peer *peer)
{
	while (!peer->callback_called)
		uv_run(&peer->loop, UV_RUN_ONCE);
	peer->callback_called = false;
}

void
peer_stop(struct peer *peer)
{
	uv_timer_stop(&peer->timeout);
	mst_httpd_shutdown(peer->httpd);
	mst_http_client_close(peer->client);
	uv_run(&peer->loop, UV_RUN_NOWAIT);
}

void
peer_on_answer(const struct mst_order_answer *answer, void *ctx)
{
	struct peer *peer = ctx;

	peer->answer = *answer;
	if (answer->running_count > 0)
		peer->first_run = answer->running[0].run;
	if (answer->completion_count > 0)
		peer->first_completion = answer->completions[0];
	peer->callback_called = true;
}

static char *
join(const GPtrArray *names)
{
	GString *text = g_string_new(NULL);
	guint i;

	for (i = 0; i < names->len; i++)
		g_string_append_printf(text, "%s%s", i > 0 ? "," : "",
		    (const char *)names->pdata[i]);
	return g_string_free(text, FALSE);
}

void
peer_on_update(const struct store_update *update, void *ctx)
{
	struct peer *peer = ctx;

	peer->update = *update;
	g_free(peer->document);
	g_free(peer->first_entry);
	g_free(peer->added);
	g_free(peer->drained);
	peer->added = join(update->added);
	peer->drained = join(update->drained);
	peer->document = g_strdup(update->document);
	peer->first_entry =
	    update->added->len > 0 ? g_strdup(update->added->pdata[0]) : NULL;
	peer->callback_called = true;
}

void
peer_on_status(enum store_status status, void *ctx)
{
	struct peer *peer = ctx;

	peer->update.status = status;
	peer->callback_called = true;
}

void
peer_on_result(const struct store_result *result, void *ctx)
{
	struct peer *peer = ctx;

	peer->result = *result;
	g_free(peer->row_key);
	g_free(peer->row_value);
	peer->row_key = NULL;
	peer->row_value = NULL;
	if (result->count > 0) {
		peer->row_key = g_strdup(result->rows[0].key);
		peer->row_value = g_strdup(result->rows[0].value);
		peer->row_version = result->rows[0].version;
	}
	peer->callback_called = true;
}
