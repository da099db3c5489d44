#ifndef MST_ADDRESS_H
#define MST_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/**
 * Parses a numeric IPv4 address with a port. Names are not looked up.
 *
 * @param out receives address and port; may be NULL
 * @param text ip:port, the port a decimal number from 1 to 65535
 * @return true if the text is such an address and nothing else
 */
bool address_parse(struct sockaddr_in *out, const char *text);

#endif
