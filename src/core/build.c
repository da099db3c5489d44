#include "core/build.h"

#include <masticstall/version.h>
#include <string.h>

#define VERSION_LEN_MAX 31

const char *
mst_version(void)
{
	return MST_PROJECT_VERSION;
}

struct mst_build_msg
mst_build_own(void)
{
	return (struct mst_build_msg){
	    .version = mst_bytes_from_str(MST_PROJECT_VERSION),
	    .features = MST_FEATURES};
}

static bool
is_version_char(char c)
{
	return g_ascii_isalnum(c) || c == '.' || c == '-' || c == '+';
}

/* Returns the version as text that can be logged and used in labels. */
static const char *
intern_version(struct mst_bytes bytes)
{
	char text[VERSION_LEN_MAX + 1];
	size_t len = MIN(bytes.len, VERSION_LEN_MAX);
	size_t i;

	if (len == 0)
		return MST_BUILD_UNKNOWN;
	for (i = 0; i < len; i++) {
		char c = bytes.data[i];

		text[i] = (char)(is_version_char(c) ? c : '?');
	}
	text[len] = '\0';
	return g_intern_string(text);
}

bool
mst_build_update(struct build *build, const struct mst_build_msg *msg)
{
	const char *version = intern_version(msg->version);
	bool is_new = build->version != version;

	build->version = version;
	build->features = msg->features;
	return is_new;
}

bool
mst_build_differs(const struct build *build)
{
	return build->version != NULL &&
	    strcmp(build->version, MST_PROJECT_VERSION) != 0;
}

void
mst_build_count(
    GArray *counts, enum mst_process_kind kind, const struct build *build)
{
	struct mst_build_count count = {.kind = kind,
	    .version = build->version ? build->version : MST_BUILD_UNKNOWN,
	    .count = 1};
	guint i;

	for (i = 0; i < counts->len; i++) {
		struct mst_build_count *known =
		    &g_array_index(counts, struct mst_build_count, i);

		if (known->kind == kind &&
		    strcmp(known->version, count.version) == 0) {
			known->count++;
			return;
		}
	}
	g_array_append_val(counts, count);
}
