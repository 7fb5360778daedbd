/* Listening TCP sockets. */
#ifndef HT_BASE_LISTEN_H
#define HT_BASE_LISTEN_H

#include "base/addr.h"

/** A non-blocking socket that listens at @addr, or -1 with @err set; @purpose is for its text. */
int ht_listen(const struct ht_addr *addr, int backlog, const char *purpose, struct ht_err *err);

#endif
