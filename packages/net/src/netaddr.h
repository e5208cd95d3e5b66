#ifndef NETADDR_H
#define NETADDR_H

/* Socket addresses of IPv4 and IPv6. */

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

struct netaddr {
	struct sockaddr_storage storage;
	socklen_t len;
};

/* Parses an IP address as text; returns false if it is neither. */
bool netaddr_parse(const char *ip, uint16_t port, struct netaddr *out);

#endif
