/* Text form of tickets. */

#include <masticstall/entry.h>

#include <inttypes.h>
#include <stdio.h>

/* "j-" and three numbers of 16 hexadecimal digits, separated by hyphens. */
#define TICKET_LEN (2 + 16 + 1 + 16 + 1 + 16)

void
mst_ticket_format(char *out, const struct mst_ticket *ticket)
{
	snprintf(out, MST_TICKET_TEXT,
	    "j-%016" PRIx64 "-%016" PRIx64 "-%016" PRIx64, ticket->job.issuer,
	    ticket->job.counter, ticket->arbiter);
}

static int
parse_hex64(uint64_t *out, const char *text)
{
	int i, digit;

	*out = 0;
	for (i = 0; i < 16; i++) {
		digit = g_ascii_xdigit_value(text[i]);
		if (digit < 0)
			return -1;
		*out = *out << 4 | (uint64_t)digit;
	}
	return 0;
}

int
mst_ticket_parse(struct mst_ticket *out, struct mst_bytes text)
{
	*out = (struct mst_ticket){0};
	if (text.len != TICKET_LEN || memcmp(text.data, "j-", 2) != 0 ||
	    text.data[18] != '-' || text.data[35] != '-')
		return -1;
	if (parse_hex64(&out->job.issuer, text.data + 2) < 0 ||
	    parse_hex64(&out->job.counter, text.data + 19) < 0 ||
	    parse_hex64(&out->arbiter, text.data + 36) < 0 ||
	    out->job.issuer == 0)
		return -1;
	return 0;
}
