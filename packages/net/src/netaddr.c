#include "netaddr.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

bool netaddr_parse(const char *ip, uint16_t port, struct netaddr *out)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)&out->storage;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&out->storage;

	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, ip, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		out->len = sizeof(*v4);
		return true;
	}
	if (inet_pton(AF_INET6, ip, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(port);
		out->len = sizeof(*v6);
		return true;
	}
	return false;
}
