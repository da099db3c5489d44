/* Compares the settings of two entries of one system. */

#include <masticstall/settings.h>

#include "settings/schema.h"

static void
compare_numbers(struct schema_errors *errors, const char *pointer, uint32_t one,
    uint32_t other)
{
	if (one != other)
		schema_add_error(errors, pointer,
		    "differs (%u and %u), but must be the same", one, other);
}

/* Adds an error if exactly one of the values is set. */
static void
compare_presence(struct schema_errors *errors, const char *pointer,
    const char *one, const char *other)
{
	if ((one == NULL) != (other == NULL))
		schema_add_error(errors, pointer,
		    "is set for one entry only, but must be for both or none");
}

int
mst_settings_check_pair(const struct mst_settings *one,
    const struct mst_settings *other, GError **error)
{
	struct schema_errors errors = {.text = g_string_new(NULL)};
	const char *one_key = one->curve.public_key;
	const char *other_key = other->curve.public_key;

	compare_numbers(
	    &errors, "/resend_ms", one->resend_ms, other->resend_ms);
	compare_numbers(
	    &errors, "/entries_max", one->entries_max, other->entries_max);
	compare_presence(&errors, "/curve", one_key, other_key);
	if (one_key != NULL && other_key != NULL &&
	    g_strcmp0(one_key, other_key) != 0)
		schema_add_error(&errors, "/curve/public_key",
		    "differs, but is shared by all daemons");
	compare_presence(&errors, "/store", one->store, other->store);
	if (errors.count > 0)
		g_set_error(error, MST_SETTINGS_ERROR,
		    MST_SETTINGS_ERROR_INVALID, "%s", errors.text->str);
	g_string_free(errors.text, TRUE);
	return errors.count > 0 ? -1 : 0;
}
