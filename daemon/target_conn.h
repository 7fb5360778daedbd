/* One CoAP over TCP connection to a target: identity check, pings, silence, open exchanges. */
#ifndef HT_DAEMON_TARGET_CONN_H
#define HT_DAEMON_TARGET_CONN_H

#include "base/list.h"
#include "core/core.h"

#include <coap3/coap.h>

/** From the first byte sent to the checked identity. */
#define HT_CONN_OPEN_MS 1000

/** No received byte for this long, though pinged: the connection is silent. */
#define HT_CONN_SILENT_MS 1000

enum ht_conn_state {
	HT_CONN_OPENING,   /**< TCP connect and capability exchange */
	HT_CONN_CONNECTED, /**< health must be asked for, outside of libcoap's handler */
	HT_CONN_CHECKING,  /**< health asked for */
	HT_CONN_UP,
	HT_CONN_CLOSED, /**< ended; freed by the next sweep */
};

struct ht_target_conn {
	struct ht_list node;
	void *target; /**< owner's */
	coap_session_t *session;
	enum ht_conn_state state;
	bool was_up;
	struct ht_list exchanges; /**< of the owner's exchanges, by their node */
	unsigned int open;	  /**< requests without an answer */
	ht_ms opened_at;
	ht_ms received_at; /**< last time anything came in */
	ht_ms pinged_at;   /**< 0: no ping since something came in */
	ht_ms ping_due;
};

/** Starts to connect to @addr; NULL when that fails at once. */
struct ht_target_conn *ht_target_conn_new(coap_context_t *coap, const struct ht_addr *addr,
					  ht_ms now);

/** Must not be called from a libcoap handler. */
void ht_target_conn_free(struct ht_target_conn *conn);

/** Notes that something came in. */
void ht_target_conn_received(struct ht_target_conn *conn, ht_ms now);

/** Pings when due. */
void ht_target_conn_ping(struct ht_target_conn *conn, ht_ms now);

/** True when the connection must be replaced: not up in time, or silent. */
bool ht_target_conn_silent(const struct ht_target_conn *conn, ht_ms now);

/** True when a ping has waited for its answer for so long that new requests go elsewhere. */
bool ht_target_conn_suspect(const struct ht_target_conn *conn, ht_ms now);

/** Time in which this process did not run must not count as the target's silence. */
void ht_target_conn_credit(struct ht_target_conn *conn, ht_ms pause);

#endif
