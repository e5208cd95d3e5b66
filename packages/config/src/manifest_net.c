#include "manifest_impl.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define IPV4_BITS 32
#define IPV6_BITS 128
#define MAPPED_PREFIX_BYTES 12 /* of ::ffff:0:0/96 */
#define PREFIX_DIGITS 3

static const uint8_t mapped[MAPPED_PREFIX_BYTES] = { [10] = 0xff, [11] = 0xff };

/* Parses an address; an IPv4-mapped IPv6 address is treated as IPv4. */
static bool parse_address(const char *text, struct manifest_network *out)
{
	uint8_t raw[16];

	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, text, out->address) == 1) {
		out->ipv4 = true;
		return true;
	}
	if (inet_pton(AF_INET6, text, raw) != 1)
		return false;
	out->ipv4 = memcmp(raw, mapped, MAPPED_PREFIX_BYTES) == 0;
	if (out->ipv4)
		memcpy(out->address, raw + MAPPED_PREFIX_BYTES, 4);
	else
		memcpy(out->address, raw, sizeof(raw));
	return true;
}

/* Returns true if the first bits of two addresses are equal. */
static bool same_prefix(const uint8_t *a, const uint8_t *b, unsigned int bits)
{
	unsigned int full_bytes = bits / 8, extra_bits = bits % 8;

	if (memcmp(a, b, full_bytes) != 0)
		return false;
	return extra_bits == 0 ||
	       ((a[full_bytes] ^ b[full_bytes]) >> (8 - extra_bits)) == 0;
}

/* Returns true if all bits after the prefix are zero. */
static bool host_bits_zero(const struct manifest_network *n)
{
	static const uint8_t zero[16];
	unsigned int max = n->ipv4 ? IPV4_BITS : IPV6_BITS;
	unsigned int full_bytes = n->prefix / 8u, extra_bits = n->prefix % 8u;

	if (extra_bits && (uint8_t)(n->address[full_bytes] << extra_bits) != 0)
		return false;
	if (extra_bits)
		full_bytes++;
	return memcmp(n->address + full_bytes, zero, max / 8 - full_bytes) == 0;
}

const char *manifest_parse_network(const char *text,
				   struct manifest_network *out)
{
	const char *slash = strchr(text, '/');
	char address[INET6_ADDRSTRLEN];
	size_t n = slash ? (size_t)(slash - text) : 0;
	size_t digits = slash ? strspn(slash + 1, "0123456789") : 0;
	long prefix;

	if (!slash || n >= sizeof(address) || digits == 0 ||
	    digits > PREFIX_DIGITS || slash[1 + digits] != '\0')
		return "not in CIDR notation";
	memcpy(address, text, n);
	address[n] = '\0';
	if (!parse_address(address, out))
		return "not an IP address";
	if (out->ipv4 && strchr(address, ':'))
		return "an IPv4 network in IPv6 notation";
	prefix = strtol(slash + 1, NULL, 10);
	if (prefix > (out->ipv4 ? IPV4_BITS : IPV6_BITS))
		return "the prefix is too long";
	out->prefix = (uint8_t)prefix;
	return host_bits_zero(out) ? NULL : "bits after the prefix are set";
}

/* Returns true if a network of the group contains the address. */
static bool group_contains(const struct manifest_group *g,
			   const struct manifest_network *a)
{
	for (uint32_t i = 0; i < g->network_count; i++) {
		const struct manifest_network *n = &g->networks[i];

		if (n->ipv4 == a->ipv4 &&
		    same_prefix(n->address, a->address, n->prefix))
			return true;
	}
	return false;
}

bool manifest_allows_caller(const struct manifest *m,
			    const struct manifest_kind *kind,
			    const char *address)
{
	struct manifest_network a;

	if (kind->groups == 0)
		return true;
	if (!address || !parse_address(address, &a))
		return false;
	for (size_t i = 0; i < m->group_count; i++) {
		if ((kind->groups >> i & 1u) &&
		    group_contains(&m->groups[i], &a))
			return true;
	}
	return false;
}
