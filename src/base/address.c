#include "base/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdint.h>
#include <string.h>

bool
address_parse(struct sockaddr_in *out, const char *text)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN];
	guint64 port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(host))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	/* An address has one text only. */
	if (colon[1] == '0' ||
	    !g_ascii_string_to_unsigned(
		colon + 1, 10, 1, UINT16_MAX, &port, NULL) ||
	    inet_pton(AF_INET, host, &address.sin_addr) != 1)
		return false;
	address.sin_port = htons((uint16_t)port);
	if (out != NULL)
		*out = address;
	return true;
}
