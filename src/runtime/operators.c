#include "runtime/operators.h"

#include <string.h>

#define AUTH_SCHEME "Bearer "

const char *
mst_operator_authenticate(
    const GArray *operators, struct mst_bytes authorization)
{
	size_t scheme_len = strlen(AUTH_SCHEME);
	const char *name = NULL;
	char *hash;
	guint i;

	if (authorization.len <= scheme_len ||
	    memcmp(authorization.data, AUTH_SCHEME, scheme_len) != 0)
		return NULL;
	hash = g_compute_checksum_for_data(G_CHECKSUM_SHA256,
	    (const guchar *)authorization.data + scheme_len,
	    authorization.len - scheme_len);
	for (i = 0; i < operators->len; i++) {
		const struct mst_operator_settings *candidate =
		    &g_array_index(operators, struct mst_operator_settings, i);

		/* The time to compare digests reveals nothing about the
		 * token. */
		if (strcmp(candidate->token_sha256, hash) == 0)
			name = candidate->name;
	}
	g_free(hash);
	return name;
}
