#include "daemon/target_conn.h"

#include <stdlib.h>
#include <string.h>

#define IDLE_PING_MS 500

/* With open requests; several pings fit into the time that makes a connection silent. */
#define BUSY_PING_MS 250

/* Far above the round trip to any target, far below the time that makes a connection silent. */
#define SUSPECT_MS 150

struct ht_target_conn *ht_target_conn_new(coap_context_t *coap, const struct ht_addr *addr,
					  ht_ms now)
{
	struct ht_target_conn *conn = calloc(1, sizeof(*conn));
	coap_address_t to;

	if (!conn)
		return NULL;
	coap_address_init(&to);
	to.size = addr->len;
	memcpy(&to.addr, &addr->ss, addr->len);
	ht_list_init(&conn->node);
	ht_list_init(&conn->exchanges);
	conn->opened_at = now;
	conn->received_at = now;
	conn->session = coap_new_client_session(coap, NULL, &to, COAP_PROTO_TCP);
	if (!conn->session) {
		free(conn);
		return NULL;
	}
	coap_session_set_app_data(conn->session, conn);
	return conn;
}

void ht_target_conn_free(struct ht_target_conn *conn)
{
	ht_list_del(&conn->node);
	coap_session_set_app_data(conn->session, NULL);
	coap_session_release(conn->session);
	free(conn);
}

void ht_target_conn_received(struct ht_target_conn *conn, ht_ms now)
{
	conn->received_at = now;
	conn->pinged_at = 0;
}

void ht_target_conn_ping(struct ht_target_conn *conn, ht_ms now)
{
	bool idle = now - conn->received_at >= IDLE_PING_MS;

	if (conn->state != HT_CONN_UP || now < conn->ping_due || (!conn->open && !idle))
		return;
	if (!conn->pinged_at)
		conn->pinged_at = now;
	conn->ping_due = now + BUSY_PING_MS;
	coap_session_send_ping(conn->session);
}

bool ht_target_conn_silent(const struct ht_target_conn *conn, ht_ms now)
{
	if (conn->state == HT_CONN_CLOSED)
		return false;
	if (conn->state != HT_CONN_UP)
		return now - conn->opened_at >= HT_CONN_OPEN_MS;
	return conn->pinged_at && now - conn->received_at >= HT_CONN_SILENT_MS;
}

bool ht_target_conn_suspect(const struct ht_target_conn *conn, ht_ms now)
{
	return conn->pinged_at && now - conn->pinged_at >= SUSPECT_MS;
}

void ht_target_conn_credit(struct ht_target_conn *conn, ht_ms pause)
{
	conn->opened_at += pause;
	conn->received_at += pause;
	if (conn->pinged_at)
		conn->pinged_at += pause;
}
