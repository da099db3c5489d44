#include "runtime/entry_links.h"

#include <string.h>

#include "base/address.h"
#include "base/clock.h"
#include "base/input_fault.h"
#include "base/log.h"
#include "core/entry_choice.h"

struct entry_links {
	struct entry_links_options options;
	struct mst_entry_choice *choice;
};

static void
on_connect(const char *address, void *ctx)
{
	struct entry_links *links = ctx;
	GError *error = NULL;

	if (mst_bus_connect(links->options.bus, address, &error) == 0)
		return;
	mst_log(MST_LOG_WARNING, "entry-refused", "reason=%s",
	    mst_log_quote(error->message));
	g_clear_error(&error);
}

static void
on_disconnect(const char *address, void *ctx)
{
	struct entry_links *links = ctx;

	mst_log(MST_LOG_INFO, "entry-forgotten", "address=%s", address);
	mst_bus_disconnect(links->options.bus, address);
}

static void
disconnect(struct entry_links *links, const char *address)
{
	mst_log(MST_LOG_INFO, "entry-released", "address=%s", address);
	mst_bus_disconnect(links->options.bus, address);
	mst_entry_choice_release(links->choice, address);
}

static void
on_set_wanted(const char *address, bool wanted, void *ctx)
{
	struct entry_links *links = ctx;
	uint64_t entry = mst_bus_entry_at(links->options.bus, address);

	if (entry != 0)
		links->options.on_wanted(entry, wanted, links->options.ctx);
	else if (!wanted)
		disconnect(links, address);
}

static void
add_address(struct entry_links *links, const char *address,
    enum mst_entry_source source)
{
	if (mst_entry_choice_add(
		links->choice, address, source, mst_clock_us()))
		return;
	mst_log(MST_LOG_WARNING, "entry-refused",
	    "reason=\"too many entries are known\" address=%s",
	    mst_log_quote(address));
}

/* Adds an address that another process has written. */
static void
add_checked(struct entry_links *links, const char *address,
    enum mst_entry_source source)
{
	const struct input_fault fault = {
	    .kind = INPUT_FAULT_ADDRESS, .field = "entries"};

	if (address_parse(NULL, address))
		add_address(links, address, source);
	else
		input_fault_report(INPUT_ENTRY_ADDRESS, address, &fault);
}

/* Adds the entries that a settings file lists. */
static void
add_configured(struct entry_links *links, const struct mst_settings *settings)
{
	guint i;

	for (i = 0; i < settings->entries->len; i++)
		add_address(
		    links, settings->entries->pdata[i], MST_ENTRY_CONFIGURED);
	for (i = 0; i < settings->entry_hosts->len; i++) {
		const char *host = settings->entry_hosts->pdata[i];
		char *address = g_strdup_printf("%.*s:%u",
		    (int)strcspn(host, ":"), host, settings->members_port);

		add_address(links, address, MST_ENTRY_CONFIGURED);
		g_free(address);
	}
}

struct entry_links *
entry_links_new(const struct entry_links_options *options)
{
	struct entry_links *links = g_new0(struct entry_links, 1);
	const struct mst_entry_choice_options choice_options = {
	    .name = options->settings->name,
	    .max = options->max,
	    .connect = on_connect,
	    .disconnect = on_disconnect,
	    .set_wanted = on_set_wanted,
	    .ctx = links};

	links->options = *options;
	links->choice = mst_entry_choice_new(&choice_options);
	add_configured(links, options->settings);
	entry_links_update(links);
	return links;
}

void
entry_links_free(struct entry_links *links)
{
	if (links == NULL)
		return;
	mst_entry_choice_free(links->choice);
	g_free(links);
}

void
entry_links_add(struct entry_links *links, struct mst_bytes addresses)
{
	char *text = mst_bytes_to_str(addresses);
	char **list = g_strsplit(text, ",", -1);
	guint known = mst_entry_choice_count(links->choice);
	int i;

	for (i = 0; list[i] != NULL; i++) {
		if (*list[i] != '\0')
			add_checked(links, list[i], MST_ENTRY_NAMED);
	}
	g_strfreev(list);
	g_free(text);
	/* Most lists name only known ones. */
	if (mst_entry_choice_count(links->choice) > known)
		entry_links_update(links);
}

void
entry_links_add_stored(struct entry_links *links, const GPtrArray *addresses)
{
	guint i;

	for (i = 0; i < addresses->len; i++)
		add_checked(links, addresses->pdata[i], MST_ENTRY_STORED);
	entry_links_update(links);
}

void
entry_links_reload(struct entry_links *links)
{
	const struct mst_settings *settings = links->options.settings;
	struct mst_settings *reloaded = NULL;
	GError *error = NULL;
	char *unknown;
	int rc;

	rc = mst_settings_load_known(
	    &reloaded, &unknown, settings->path, settings->role, &error);
	g_free(unknown);
	if (rc < 0) {
		mst_log(MST_LOG_ERROR, "reload-failed", "reason=%s",
		    mst_log_quote(error->message));
		g_clear_error(&error);
		return;
	}
	add_configured(links, reloaded);
	entry_links_update(links);
	mst_log(MST_LOG_INFO, "reloaded", "entries=%u",
	    reloaded->entries->len + reloaded->entry_hosts->len);
	mst_settings_free(reloaded);
}

static void
hear_entry(const struct mst_bus_entry *entry, void *ctx)
{
	struct entry_links *links = ctx;

	mst_entry_choice_hear(
	    links->choice, entry->address, entry->received_us);
	/* Other entries may answer on a connection of their own. */
	if (entry->connected)
		mst_entry_choice_reach(links->choice, entry->address);
}

void
entry_links_update(struct entry_links *links)
{
	mst_bus_foreach_entry(links->options.bus, hear_entry, links);
	mst_entry_choice_update(links->choice, mst_clock_us());
}

/* Address of the entry with an incarnation, as found among the connections. */
struct search {
	uint64_t entry;
	char *address;
};

static void
match_entry(const struct mst_bus_entry *entry, void *ctx)
{
	struct search *search = ctx;

	if (entry->incarnation == search->entry && search->address == NULL)
		search->address = g_strdup(entry->address);
}

void
entry_links_release(struct entry_links *links, uint64_t entry)
{
	struct search search = {.entry = entry};

	mst_bus_foreach_entry(links->options.bus, match_entry, &search);
	if (search.address != NULL)
		disconnect(links, search.address);
	g_free(search.address);
}

const char *
entry_links_addresses(const struct entry_links *links)
{
	return mst_entry_choice_addresses(links->choice);
}
