/* What targets send: answers, health, pongs, ends of connections. */
#include "daemon/target_internal.h"
#include "daemon/target_message.h"

#include <string.h>

#define HEALTH_POLL_MS 1000

void ht_target_close_conn(struct ht_target_conn *conn)
{
	struct ht_pool_target *t = conn->target;

	if (conn->state == HT_CONN_CLOSED)
		return;
	conn->state = HT_CONN_CLOSED;
	ht_target_sweep_soon(t->pool);
}

void ht_target_close_all(struct ht_pool_target *t)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &t->conns)
		ht_target_close_conn(ht_container_of(pos, struct ht_target_conn, node));
}

int ht_target_current_state(const struct ht_pool_target *t)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &t->conns)
		if (ht_container_of(pos, struct ht_target_conn, node)->state == HT_CONN_UP)
			return t->draining ? HT_TARGET_DRAINING : HT_TARGET_UP;
	if (t->misassigned)
		return HT_TARGET_MISASSIGNED;
	return t->failures ? HT_TARGET_DOWN : -1;
}

void ht_target_report_state(struct ht_pool_target *t)
{
	struct ht_target_pool *pool = t->pool;
	int state = ht_target_current_state(t);

	if (!t->wanted || state < 0 || state == t->reported)
		return;
	t->reported = state;
	pool->p.ops->state(pool->p.ctx, t->id, (enum ht_target_state)state);
}

void ht_target_send_health(struct ht_target_conn *conn, ht_ms now)
{
	struct ht_pool_target *t = conn->target;
	struct ht_target_pool *pool = t->pool;
	struct ht_target_request req = {
		.method = HT_GET, .service_name = t->service, .path = "health", .query = ""};
	struct ht_exchange *x = ht_exchange_new(pool, HT_EXCHANGE_HEALTH, 0);
	coap_pdu_t *pdu = ht_target_message_request(conn->session, x->token, &req);

	t->health_at = now + HEALTH_POLL_MS;
	ht_exchange_start(pool, x, conn, now + HEALTH_POLL_MS);
	if (!pdu || coap_send(conn->session, pdu) == COAP_INVALID_MID)
		ht_target_close_conn(conn);
}

static void on_health(struct ht_pool_target *t, struct ht_target_conn *conn, const coap_pdu_t *pdu)
{
	struct ht_target_health health = {0};

	if (!ht_target_message_health(pdu, &health)) {
		ht_target_close_conn(conn);
		return;
	}
	t->misassigned = strcmp(health.service, t->service) != 0;
	if (t->misassigned) {
		ht_target_close_all(t);
		return;
	}
	t->draining = health.draining;
	t->failures = 0;
	if (conn->state == HT_CONN_CHECKING) {
		conn->state = HT_CONN_UP;
		conn->was_up = true;
	}
	ht_target_report_state(t);
}

static void on_cancelled(struct ht_target_pool *pool, uint64_t id, const coap_pdu_t *pdu)
{
	struct ht_exchange *x = g_hash_table_lookup(pool->by_req, &id);

	/* 2.02: the target has stopped it and sends no other answer, so its slot is free. */
	if (x && coap_pdu_get_code(pdu) == COAP_RESPONSE_CODE_DELETED)
		ht_exchange_finish(pool, x, HT_TARGET_LOST);
}

static coap_response_t on_response(coap_session_t *session, const coap_pdu_t *sent,
				   const coap_pdu_t *received, const coap_mid_t mid)
{
	struct ht_target_pool *pool = coap_get_app_data(coap_session_get_context(session));
	struct ht_target_conn *conn = coap_session_get_app_data(session);
	struct ht_target_answer ans = {0};
	struct ht_exchange *x = NULL;
	uint32_t token;
	uint64_t id;

	(void)sent;
	(void)mid;
	if (!conn || conn->state == HT_CONN_CLOSED)
		return COAP_RESPONSE_OK;
	ht_target_conn_received(conn, ht_target_now());
	if (ht_target_message_token(received, &token))
		x = g_hash_table_lookup(pool->by_token, GUINT_TO_POINTER(token));
	if (!x || x->conn != conn)
		return COAP_RESPONSE_OK;
	id = x->id;
	if (x->kind == HT_EXCHANGE_REQUEST) {
		ht_target_message_answer(received, &ans);
		ans.id = id;
		ht_exchange_free(pool, x);
		pool->p.ops->answer(pool->p.ctx, &ans);
	} else if (x->kind == HT_EXCHANGE_HEALTH) {
		ht_exchange_free(pool, x);
		on_health(conn->target, conn, received);
	} else {
		ht_exchange_free(pool, x);
		on_cancelled(pool, id, received);
	}
	return COAP_RESPONSE_OK;
}

static void on_pong(coap_session_t *session, const coap_pdu_t *received, const coap_mid_t mid)
{
	struct ht_target_conn *conn = coap_session_get_app_data(session);

	(void)received;
	(void)mid;
	if (conn)
		ht_target_conn_received(conn, ht_target_now());
}

/* Runs inside libcoap, and possibly inside a call from the core: only marks. */
static int on_event(coap_session_t *session, const coap_event_t event)
{
	struct ht_target_conn *conn = coap_session_get_app_data(session);
	ht_ms now = ht_target_now();

	if (!conn)
		return 0;
	switch (event) {
	case COAP_EVENT_SESSION_CONNECTED:
		ht_target_conn_received(conn, now);
		/* libcoap would block in coap_send() until this handler has returned. */
		if (conn->state == HT_CONN_OPENING) {
			conn->state = HT_CONN_CONNECTED;
			ht_target_sweep_soon(((struct ht_pool_target *)conn->target)->pool);
		}
		break;
	case COAP_EVENT_TCP_CLOSED:
	case COAP_EVENT_TCP_FAILED:
	case COAP_EVENT_SESSION_CLOSED:
	case COAP_EVENT_SESSION_FAILED:
		ht_target_close_conn(conn);
		break;
	default:
		break;
	}
	return 0;
}

void ht_target_events_init(struct ht_target_pool *pool)
{
	coap_set_app_data(pool->coap, pool);
	coap_register_response_handler(pool->coap, on_response);
	coap_register_pong_handler(pool->coap, on_pong);
	coap_register_event_handler(pool->coap, on_event);
}
