/*
 * Echoes of the members' clocks, which extend this entry's leases. An echo
 * promises that the entry still waits for the results of what it has sent. It
 * must not be newer than the input that the entry has handled: a caller whose
 * broken connection is not handled yet may come back at another entry. Ticks
 * come with the timer by which net/httpd.c finds broken connections.
 */

#include "core/entry/entry_internal.h"
#include "core/member/member.h"

/* After a longer gap between two events, input may be waiting. */
#define INPUT_GAP_US (200 * 1000)
/* Ticks after which the input that waited has been handled. */
#define INPUT_TICKS 2

void
mst_member_add_clock(
    struct mst_entry *entry, struct member *member, int64_t clock_us)
{
	if (member->clock_us == 0 && entry->ticks_behind == 0)
		member->echo.settled_us = member->echo.waiting_us = clock_us;
	member->clock_us = clock_us;
	member->clock_received_us = entry->now_us;
}

void
mst_entry_note_gap(struct mst_entry *entry, int64_t gap_us)
{
	if (gap_us > INPUT_GAP_US)
		entry->ticks_behind = INPUT_TICKS;
}

void
mst_member_refuse_echo(struct member *member)
{
	member->echo.is_refused = true;
}

bool
mst_member_has_valid_echo(
    const struct mst_entry *entry, const struct member *member)
{
	int64_t clock_us =
	    member->clock_us + (entry->now_us - member->clock_received_us);

	if (!entry->options.leased)
		return true;
	return member->echo.settled_us > 0 && !member->echo.is_refused &&
	    clock_us - member->echo.settled_us <= entry->options.suspect_us;
}

bool
mst_entry_settle_echoes(struct mst_entry *entry)
{
	bool became_valid = false;
	guint i;

	if (entry->ticks_behind > 0)
		entry->ticks_behind--;
	for (i = 0; i < entry->members->len; i++) {
		struct member *member = entry->members->pdata[i];
		bool was_valid = mst_member_has_valid_echo(entry, member);

		member->echo.settled_us = member->echo.waiting_us;
		member->echo.waiting_us = member->clock_us;
		member->echo.is_refused = false;
		became_valid |=
		    !was_valid && mst_member_has_valid_echo(entry, member);
	}
	return became_valid;
}
