#ifndef FREE_ADDRESS_H
#define FREE_ADDRESS_H

/* Addresses for tests that listen on loopback. */

#include <stddef.h>

/**
 * Chooses an address of loopback with a port that is unused at present.
 *
 * @param address receives ip:port
 * @param size size of the buffer in bytes; 22 are enough
 */
void choose_free_address(char *address, size_t size);

#endif
