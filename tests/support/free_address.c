#include "support/free_address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

void
choose_free_address(char *address, size_t size)
{
	struct sockaddr_in in = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(in);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&in, len), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&in, &len), ==, 0);
	close(fd);
	g_snprintf(address, size, "127.0.0.1:%d", ntohs(in.sin_port));
}
