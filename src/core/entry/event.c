/* Names of an entry's events. */

#include <glib.h>
#include <masticstall/entry.h>

static const char *const event_names[] = {[MST_ENTRY_EV_TICK] = "tick",
    [MST_ENTRY_EV_MESSAGE] = "message",
    [MST_ENTRY_EV_TICKET] = "ticket",
    [MST_ENTRY_EV_SUBMIT] = "submit",
    [MST_ENTRY_EV_WAIT] = "wait",
    [MST_ENTRY_EV_CANCEL] = "cancel",
    [MST_ENTRY_EV_DISCONNECT] = "disconnect",
    [MST_ENTRY_EV_CONFIG] = "config",
    [MST_ENTRY_EV_CONNECTED] = "connected",
    [MST_ENTRY_EV_DRAIN] = "drain",
    [MST_ENTRY_EV_STOPPING] = "stopping",
    [MST_ENTRY_EV_DRAINS] = "drains",
    [MST_ENTRY_EV_FLUSH] = "flush",
    [MST_ENTRY_EV_QUERY_STORED] = "query-stored",
    [MST_ENTRY_EV_CANCEL_STORED] = "cancel-stored",
    [MST_ENTRY_EV_STORE_ANSWER] = "store-answer",
    [MST_ENTRY_EV_STORED_CANCELLED] = "stored-cancelled"};

const char *
mst_entry_event_name(enum mst_entry_event_type type)
{
	if (type < MST_ENTRY_EV_TICK || type >= MST_ENTRY_EV_MAX)
		return "unknown";
	return event_names[type];
}
