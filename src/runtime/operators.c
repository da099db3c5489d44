#include "runtime/operators.h"

#include <string.h>

#define OPERATORS_SCHEME "Bearer "

const char *
mst_operator_authenticate(
    const GArray *operators, struct mst_bytes authorization)
{
	size_t skip = strlen(OPERATORS_SCHEME);
	const char *found = NULL;
	char *hash;
	guint i;

	if (authorization.len <= skip ||
	    memcmp(authorization.data, OPERATORS_SCHEME, skip) != 0)
		return NULL;
	hash = g_compute_checksum_for_data(G_CHECKSUM_SHA256,
	    (const guchar *)authorization.data + skip,
	    authorization.len - skip);
	for (i = 0; i < operators->len; i++) {
		const struct mst_operator_settings *operator= &
		    g_array_index(operators, struct mst_operator_settings, i);

		/* Digests are compared, so timing tells nothing of a token. */
		if (strcmp(operator->token_sha256, hash) == 0)
			found = operator->name;
	}
	g_free(hash);
	return found;
}
