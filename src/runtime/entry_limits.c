/* Limits for the clients of an entry, from its settings and its configuration.
 */

#include "runtime/entry_runtime.h"

/* Longest body without a limit in the configuration. */
#define BODY_MAX_BYTES (1 << 20)

static struct mst_client_limits
configured_limits(const struct entry_runtime *rt)
{
	const struct mst_config *config = mst_entry_config(rt->entry);

	return config != NULL ? config->clients : (struct mst_client_limits){0};
}

struct http_guard_options
runtime_limits_options(struct entry_runtime *rt)
{
	const struct mst_shares shares = mst_settings_shares(rt->settings);

	return (struct http_guard_options){.loop = &rt->loop.uv,
	    .bytes_max = shares.input_bytes,
	    .connections_max = shares.connections};
}

size_t
runtime_limits_body_max(const struct entry_runtime *rt)
{
	const struct mst_shares shares = mst_settings_shares(rt->settings);
	uint32_t configured = configured_limits(rt).body_bytes;

	return MIN(
	    shares.body_bytes, configured > 0 ? configured : BODY_MAX_BYTES);
}

void
runtime_limits_update(struct entry_runtime *rt)
{
	const struct mst_config *config = mst_entry_config(rt->entry);
	const struct mst_client_limits limits = configured_limits(rt);

	if (config == NULL || config->version == rt->limits_version ||
	    rt->shutting_down)
		return;
	rt->limits_version = config->version;
	http_guard_set_times(rt->http_guard,
	    limits.header_ms > 0 ? limits.header_ms : HTTP_GUARD_HEADER_MS,
	    limits.idle_ms > 0 ? limits.idle_ms : HTTP_GUARD_IDLE_MS);
	if (rt->frontend_httpd != NULL)
		mst_httpd_set_body_max(
		    rt->frontend_httpd, runtime_limits_body_max(rt));
}
