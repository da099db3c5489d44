/* Prints unused ports of loopback, as many as the command line says, for test
 * scripts. The system does not assign a port again soon after its release. */

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

int
main(int argc, char **argv)
{
	int count = argc > 1 ? atoi(argv[1]) : 1;
	int i;

	/* The sockets stay open until the end, so that the ports differ. */
	for (i = 0; i < count; i++) {
		struct sockaddr_in address = {.sin_family = AF_INET,
		    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
		socklen_t len = sizeof(address);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		if (bind(fd, (struct sockaddr *)&address, len) < 0 ||
		    getsockname(fd, (struct sockaddr *)&address, &len) < 0) {
			perror("standin-ports");
			return 1;
		}
		printf("%u ", (unsigned)ntohs(address.sin_port));
	}
	printf("\n");
	return 0;
}
