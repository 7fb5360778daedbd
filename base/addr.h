/* IPv4 or IPv6 address with port; its text form is "IP:PORT" or "[IP]:PORT". */
#ifndef HT_BASE_ADDR_H
#define HT_BASE_ADDR_H

#include "base/err.h"

#include <stdint.h>
#include <sys/socket.h>

/** Buffer size for an address as text, with the terminating NUL. */
#define HT_ADDR_TEXT 56

struct ht_addr {
	struct sockaddr_storage ss;
	socklen_t len;
};

/** Parses @text. Returns false with @err (HT_EINVAL) set, quoting it, if it is not an address. */
bool ht_addr_parse(struct ht_addr *addr, const char *text, struct ht_err *err);

/** Formats @addr into @buf and returns @buf. */
const char *ht_addr_format(const struct ht_addr *addr, char buf[HT_ADDR_TEXT]);

#endif
