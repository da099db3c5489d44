/* Starts of one task that may still be executed; see start_list.h. */

#include "core/job/start_list.h"

static void
start_free(struct uncertain_start *start)
{
	if (start->host != NULL)
		g_ref_string_release(start->host);
	g_free(start);
}

static struct uncertain_start *
find(struct uncertain_start *list, const struct uncertain_start *start)
{
	/* Host names are interned. */
	while (list != NULL &&
	    (list->host != start->host || list->agent != start->agent ||
		list->seq != start->seq || list->run != start->run))
		list = list->next;
	return list;
}

void
mst_start_list_add(
    struct uncertain_start **list, const struct uncertain_start *start)
{
	struct uncertain_start *known = find(*list, start);

	if (known == NULL) {
		known = g_new(struct uncertain_start, 1);
		*known = *start;
		if (known->host != NULL)
			g_ref_string_acquire(known->host);
		known->next = *list;
		*list = known;
	}
	known->expires_us = MAX(known->expires_us, start->expires_us);
	known->is_spent |= start->is_spent;
	known->is_told |= start->is_told;
}

bool
mst_start_list_settle(
    struct uncertain_start **list, uint64_t agent, uint64_t seq)
{
	struct uncertain_start *start = *list;

	while (start != NULL && (start->agent != agent || start->seq != seq)) {
		list = &start->next;
		start = *list;
	}
	if (start == NULL)
		return false;
	*list = start->next;
	start_free(start);
	return true;
}

void
mst_start_list_move(
    struct uncertain_start **to, struct uncertain_start **from, int64_t now_us)
{
	struct uncertain_start *start;

	while ((start = *from) != NULL) {
		*from = start->next;
		if (now_us < start->expires_us)
			mst_start_list_add(to, start);
		start_free(start);
	}
}

bool
mst_start_list_is_live(const struct uncertain_start *list, int64_t now_us)
{
	while (list != NULL && now_us >= list->expires_us)
		list = list->next;
	return list != NULL;
}

void
mst_start_list_free(struct uncertain_start *list)
{
	while (list != NULL) {
		struct uncertain_start *next = list->next;

		start_free(list);
		list = next;
	}
}
