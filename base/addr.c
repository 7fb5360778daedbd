#include "base/addr.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool parse_port(const char *s, uint16_t *port)
{
	char *end;
	unsigned long v = strtoul(s, &end, 10);

	if (*s < '0' || *s > '9' || *end || v == 0 || v > 65535)
		return false;
	*port = htons((uint16_t)v);
	return true;
}

static bool parse_host(struct ht_addr *addr, const char *host, uint16_t port)
{
	struct sockaddr_in *in = (struct sockaddr_in *)&addr->ss;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)&addr->ss;

	memset(addr, 0, sizeof(*addr));
	if (inet_pton(AF_INET, host, &in->sin_addr) == 1) {
		in->sin_family = AF_INET;
		in->sin_port = port;
		addr->len = sizeof(*in);
		return true;
	}
	if (inet_pton(AF_INET6, host, &in6->sin6_addr) == 1) {
		in6->sin6_family = AF_INET6;
		in6->sin6_port = port;
		addr->len = sizeof(*in6);
		return true;
	}
	return false;
}

bool ht_addr_parse(struct ht_addr *addr, const char *text, struct ht_err *err)
{
	char host[HT_ADDR_TEXT];
	const char *colon = strrchr(text, ':');
	const char *start = text;
	size_t len;
	uint16_t port;

	if (!colon || !parse_port(colon + 1, &port))
		return ht_err_set(err, HT_EINVAL, "'%s' is not IP:PORT", text);
	len = (size_t)(colon - text);
	if (len >= 2 && text[0] == '[' && text[len - 1] == ']') {
		start++;
		len -= 2;
	}
	if (len >= sizeof(host))
		return ht_err_set(err, HT_EINVAL, "'%.60s...' is not IP:PORT", text);
	memcpy(host, start, len);
	host[len] = '\0';
	if (!parse_host(addr, host, port))
		return ht_err_set(err, HT_EINVAL, "'%s' is not an IP number", host);
	return true;
}

const char *ht_addr_format(const struct ht_addr *addr, char buf[HT_ADDR_TEXT])
{
	const struct sockaddr_in *in = (const struct sockaddr_in *)&addr->ss;
	const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)&addr->ss;
	char host[INET6_ADDRSTRLEN] = "?";

	if (addr->ss.ss_family == AF_INET6) {
		inet_ntop(AF_INET6, &in6->sin6_addr, host, sizeof(host));
		snprintf(buf, HT_ADDR_TEXT, "[%s]:%u", host, ntohs(in6->sin6_port));
	} else {
		inet_ntop(AF_INET, &in->sin_addr, host, sizeof(host));
		snprintf(buf, HT_ADDR_TEXT, "%s:%u", host, ntohs(in->sin_port));
	}
	return buf;
}
