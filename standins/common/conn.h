/* CoAP over TCP (RFC 8323) on libev: the accepting side of the back end stand-in. */
#ifndef HT_STANDINS_CONN_H
#define HT_STANDINS_CONN_H

#include "base/addr.h"
#include "base/list.h"
#include "standins/common/msg.h"

#include <ev.h>

struct ht_si_conn;

struct ht_si_server {
	struct ev_loop *loop;
	struct ev_io listen;
	struct ht_list conns;
	int open, limit; /**< connections beyond the limit are closed at once */
	void *ctx;
	/** Called for each request; @conn stays valid until on_close. */
	void (*on_request)(void *ctx, struct ht_si_conn *conn, const coap_pdu_t *pdu);
	void (*on_close)(void *ctx, struct ht_si_conn *conn);
};

/** Listens on @addr; the callbacks, the limit and the context are set before. */
bool ht_si_server_start(struct ht_si_server *srv, struct ev_loop *loop, const struct ht_addr *addr,
			struct ht_err *err);
void ht_si_server_stop(struct ht_si_server *srv);

/** Stops reading and writing on all open connections without closing them. */
void ht_si_server_silence(struct ht_si_server *srv);

/** Sends @m, unless the connection is silent. */
void ht_si_conn_send(struct ht_si_conn *conn, const struct ht_si_msg *m);

#endif
