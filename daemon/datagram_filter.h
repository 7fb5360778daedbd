/* Kernel filter on a service's socket that drops signalling messages. */
#ifndef HT_DAEMON_DATAGRAM_FILTER_H
#define HT_DAEMON_DATAGRAM_FILTER_H

#include "base/addr.h"

/**
 * Signalling codes (7.xx) belong to CoAP over TCP (RFC 8323), but libcoap 4.3.1 also takes them
 * from datagrams: a ping makes it retransmit a pong, which holds the session, and an abort stops
 * all later answers on the session. The filter drops them before libcoap sees them.
 *
 * libcoap does not give out an endpoint's socket. It is the first one that coap_new_endpoint()
 * opens, so it gets the number that ht_datagram_filter_next_fd() returned just before; @addr proves
 * that it is the one.
 */
bool ht_datagram_filter_attach(int fd, const struct ht_addr *addr);

/** The lowest free descriptor number, or -1. */
int ht_datagram_filter_next_fd(void);

#endif
