/* Listening TCP sockets. */
#ifndef HT_BASE_LISTEN_H
#define HT_BASE_LISTEN_H

#include "base/addr.h"

/**
 * Returns a non-blocking socket that listens on @addr, or -1 with @err (HT_EIO) set. @purpose says
 * in the error's text what the socket is for.
 */
int ht_listen(const struct ht_addr *addr, int backlog, const char *purpose, struct ht_err *err);

#endif
