#include "daemon/target_pool.h"

#include "daemon/target_conn.h"
#include "daemon/target_message.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.02
#define HEALTH_POLL_MS 1000
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 1000
#define MISASSIGNED_RETRY_MS 5000

/* A target may answer exactly at its deadline; the answer needs this long to arrive. */
#define DEADLINE_GRACE_MS 50

/* A longer gap between two ticks means that this process was stopped or starved. */
#define PAUSE_MS 200

enum exchange_kind {
	EXCHANGE_REQUEST,
	EXCHANGE_HEALTH,
	EXCHANGE_CANCEL
};

struct exchange {
	struct ht_list node; /* in the connection's list, or in the pool's list of unsent ones */
	enum exchange_kind kind;
	uint32_t token;
	uint64_t id; /* the core's; of the cancelled request for a cancellation */
	struct ht_target_conn *conn;
	ht_ms due;
};

struct target {
	struct ht_list node;
	struct ht_target_pool *pool;
	uint64_t id;
	struct ht_addr addr;
	char service[HT_NAME_MAX];
	unsigned int wanted; /* connections; 0 when closing */
	struct ht_list conns;
	ht_ms retry_at;
	ht_ms health_at;
	unsigned int failures;
	bool draining;
	bool misassigned;
	int reported; /* enum ht_target_state, or -1 */
};

struct ht_target_pool {
	struct ht_target_pool_params p;
	coap_context_t *coap;
	struct ev_io io;
	struct ev_timer tick;
	struct ev_timer sweep; /* runs in the next round what must not run inside a call */
	ht_ms ticked_at;
	struct ht_list targets;
	GHashTable *by_id;    /* struct target by its id */
	GHashTable *by_token; /* struct exchange by its token */
	GHashTable *by_req;   /* struct exchange of a request by the core's id */
	struct ht_list unsent;
	uint32_t next_token;
};

static ht_ms now_ms(void)
{
	return ht_clock_now(&ht_clock_monotonic);
}

static void feed_sweep(struct ht_target_pool *pool)
{
	ev_timer_start(pool->p.loop, &pool->sweep);
}

static struct exchange *exchange_new(struct ht_target_pool *pool, enum exchange_kind kind,
				     uint64_t id)
{
	struct exchange *x = calloc(1, sizeof(*x));

	if (!x)
		abort(); /* an exchange of 64 bytes: nothing can be answered any more */
	ht_list_init(&x->node);
	x->kind = kind;
	x->id = id;
	x->token = ++pool->next_token;
	return x;
}

static void exchange_start(struct ht_target_pool *pool, struct exchange *x,
			   struct ht_target_conn *conn, ht_ms due)
{
	x->conn = conn;
	x->due = due;
	ht_list_add_tail(&conn->exchanges, &x->node);
	g_hash_table_insert(pool->by_token, GUINT_TO_POINTER(x->token), x);
	if (x->kind != EXCHANGE_REQUEST)
		return;
	conn->open++;
	g_hash_table_insert(pool->by_req, &x->id, x);
}

static void exchange_free(struct ht_target_pool *pool, struct exchange *x)
{
	if (x->conn) {
		g_hash_table_remove(pool->by_token, GUINT_TO_POINTER(x->token));
		if (x->kind == EXCHANGE_REQUEST) {
			x->conn->open--;
			g_hash_table_remove(pool->by_req, &x->id);
		}
	}
	ht_list_del(&x->node);
	free(x);
}

/* Ends a request without an answer from the target. */
static void finish(struct ht_target_pool *pool, struct exchange *x, enum ht_target_result result)
{
	struct ht_target_answer ans = {.id = x->id, .result = result};
	bool report = x->kind == EXCHANGE_REQUEST;

	exchange_free(pool, x);
	if (report)
		pool->p.ops->answer(pool->p.ctx, &ans);
}

static void close_conn(struct ht_target_conn *conn)
{
	struct target *t = conn->target;

	if (conn->state == HT_CONN_CLOSED)
		return;
	conn->state = HT_CONN_CLOSED;
	feed_sweep(t->pool);
}

static void close_all(struct target *t)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &t->conns)
		close_conn(ht_container_of(pos, struct ht_target_conn, node));
}

static int current_state(const struct target *t)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &t->conns)
		if (ht_container_of(pos, struct ht_target_conn, node)->state == HT_CONN_UP)
			return t->draining ? HT_TARGET_DRAINING : HT_TARGET_UP;
	if (t->misassigned)
		return HT_TARGET_MISASSIGNED;
	return t->failures ? HT_TARGET_DOWN : -1;
}

static void report_state(struct target *t)
{
	struct ht_target_pool *pool = t->pool;
	int state = current_state(t);

	if (!t->wanted || state < 0 || state == t->reported)
		return;
	t->reported = state;
	pool->p.ops->state(pool->p.ctx, t->id, (enum ht_target_state)state);
}

static void retry_later(struct target *t, ht_ms now)
{
	unsigned int shift = t->failures < 4 ? t->failures : 4;
	ht_ms delay = (ht_ms)RETRY_MIN_MS << shift;

	t->failures++;
	if (delay > RETRY_MAX_MS)
		delay = RETRY_MAX_MS;
	if (t->misassigned)
		delay = MISASSIGNED_RETRY_MS;
	t->retry_at = now + delay / 2 + randombytes_uniform((uint32_t)(delay / 2) + 1);
}

static void send_health(struct ht_target_conn *conn, ht_ms now)
{
	struct target *t = conn->target;
	struct ht_target_pool *pool = t->pool;
	struct ht_target_request req = {
		.method = HT_GET, .service_name = t->service, .path = "health", .query = ""};
	struct exchange *x = exchange_new(pool, EXCHANGE_HEALTH, 0);
	coap_pdu_t *pdu = ht_target_message_request(conn->session, x->token, &req);

	t->health_at = now + HEALTH_POLL_MS;
	exchange_start(pool, x, conn, now + HEALTH_POLL_MS);
	if (!pdu || coap_send(conn->session, pdu) == COAP_INVALID_MID)
		close_conn(conn);
}

static void on_health(struct target *t, struct ht_target_conn *conn, const coap_pdu_t *pdu)
{
	struct ht_target_health health = {0};

	if (!ht_target_message_health(pdu, &health)) {
		close_conn(conn);
		return;
	}
	t->misassigned = strcmp(health.service, t->service) != 0;
	if (t->misassigned) {
		close_all(t);
		return;
	}
	t->draining = health.draining;
	t->failures = 0;
	if (conn->state == HT_CONN_CHECKING)
		conn->state = HT_CONN_UP;
	report_state(t);
}

static void on_cancelled(struct ht_target_pool *pool, uint64_t id, const coap_pdu_t *pdu)
{
	struct exchange *x = g_hash_table_lookup(pool->by_req, &id);

	/* 2.02: the target has stopped it and sends no other answer, so its slot is free. */
	if (x && coap_pdu_get_code(pdu) == COAP_RESPONSE_CODE_DELETED)
		finish(pool, x, HT_TARGET_LOST);
}

static coap_response_t on_response(coap_session_t *session, const coap_pdu_t *sent,
				   const coap_pdu_t *received, const coap_mid_t mid)
{
	struct ht_target_pool *pool = coap_get_app_data(coap_session_get_context(session));
	struct ht_target_conn *conn = coap_session_get_app_data(session);
	struct ht_target_answer ans = {0};
	struct exchange *x = NULL;
	uint32_t token;
	uint64_t id;

	(void)sent;
	(void)mid;
	if (!conn || conn->state == HT_CONN_CLOSED)
		return COAP_RESPONSE_OK;
	ht_target_conn_received(conn, now_ms());
	if (ht_target_message_token(received, &token))
		x = g_hash_table_lookup(pool->by_token, GUINT_TO_POINTER(token));
	if (!x || x->conn != conn)
		return COAP_RESPONSE_OK;
	id = x->id;
	if (x->kind == EXCHANGE_REQUEST) {
		ht_target_message_answer(received, &ans);
		ans.id = id;
		exchange_free(pool, x);
		pool->p.ops->answer(pool->p.ctx, &ans);
	} else if (x->kind == EXCHANGE_HEALTH) {
		exchange_free(pool, x);
		on_health(conn->target, conn, received);
	} else {
		exchange_free(pool, x);
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
		ht_target_conn_received(conn, now_ms());
}

/* Runs inside libcoap, and possibly inside a call from the core: only marks. */
static int on_event(coap_session_t *session, const coap_event_t event)
{
	struct ht_target_conn *conn = coap_session_get_app_data(session);
	ht_ms now = now_ms();

	if (!conn)
		return 0;
	switch (event) {
	case COAP_EVENT_SESSION_CONNECTED:
		ht_target_conn_received(conn, now);
		/* libcoap would block in coap_send() until this handler has returned. */
		if (conn->state == HT_CONN_OPENING) {
			conn->state = HT_CONN_CONNECTED;
			feed_sweep(((struct target *)conn->target)->pool);
		}
		break;
	case COAP_EVENT_TCP_CLOSED:
	case COAP_EVENT_TCP_FAILED:
	case COAP_EVENT_SESSION_CLOSED:
	case COAP_EVENT_SESSION_FAILED:
		close_conn(conn);
		break;
	default:
		break;
	}
	return 0;
}

/* Frees a closed connection and ends what was open on it. */
static void reap(struct target *t, struct ht_target_conn *conn)
{
	struct ht_target_pool *pool = t->pool;

	while (!ht_list_empty(&conn->exchanges))
		finish(pool, ht_container_of(conn->exchanges.next, struct exchange, node),
		       HT_TARGET_LOST);
	ht_target_conn_free(conn);
}

static void reap_closed(struct target *t, ht_ms now)
{
	struct ht_list *pos, *tmp;
	bool failed = false;

	ht_list_for_each_safe (pos, tmp, &t->conns) {
		struct ht_target_conn *conn = ht_container_of(pos, struct ht_target_conn, node);

		if (!t->wanted && !conn->open)
			conn->state = HT_CONN_CLOSED;
		if (conn->state != HT_CONN_CLOSED)
			continue;
		failed = true;
		reap(t, conn);
	}
	if (failed && t->wanted && now >= t->retry_at)
		retry_later(t, now);
}

static void open_missing(struct target *t, ht_ms now)
{
	unsigned int count = 0;
	struct ht_list *pos;

	ht_list_for_each (pos, &t->conns)
		count++;
	if (now < t->retry_at)
		return;
	for (; count < t->wanted; count++) {
		struct ht_target_conn *conn = ht_target_conn_new(t->pool->coap, &t->addr, now);

		if (!conn) {
			retry_later(t, now);
			break;
		}
		conn->target = t;
		ht_list_add_tail(&t->conns, &conn->node);
	}
}

static void check_connected(struct target *t, ht_ms now)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &t->conns) {
		struct ht_target_conn *conn = ht_container_of(pos, struct ht_target_conn, node);

		if (conn->state != HT_CONN_CONNECTED)
			continue;
		conn->state = HT_CONN_CHECKING;
		send_health(conn, now);
	}
}

static void target_free(struct target *t)
{
	g_hash_table_remove(t->pool->by_id, &t->id);
	ht_list_del(&t->node);
	free(t);
}

static void sweep_target(struct target *t, ht_ms now)
{
	reap_closed(t, now);
	if (!t->wanted && ht_list_empty(&t->conns)) {
		target_free(t);
		return;
	}
	check_connected(t, now);
	open_missing(t, now);
	report_state(t);
}

static void on_sweep(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	struct ht_target_pool *pool = w->data;
	struct ht_list *pos, *tmp;
	struct ht_list unsent;
	ht_ms now = now_ms();

	(void)loop;
	(void)revents;
	ht_list_init(&unsent);
	while (!ht_list_empty(&pool->unsent)) {
		pos = pool->unsent.next;
		ht_list_del(pos);
		ht_list_add_tail(&unsent, pos);
	}
	/* A request that the core sends again in answer to this waits for the next round. */
	while (!ht_list_empty(&unsent))
		finish(pool, ht_container_of(unsent.next, struct exchange, node), HT_TARGET_UNSENT);
	ht_list_for_each_safe (pos, tmp, &pool->targets)
		sweep_target(ht_container_of(pos, struct target, node), now);
}

static void expire(struct ht_target_pool *pool, struct ht_target_conn *conn, ht_ms now)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, &conn->exchanges) {
		struct exchange *x = ht_container_of(pos, struct exchange, node);

		if (now >= x->due)
			finish(pool, x, HT_TARGET_TIMEOUT);
	}
}

static void watch_conn(struct target *t, struct ht_target_conn *conn, ht_ms now)
{
	char text[HT_ADDR_TEXT];

	expire(t->pool, conn, now);
	if (ht_target_conn_silent(conn, now)) {
		ht_count(t->pool->p.counters, HT_C_silent_connections, 1);
		ht_log_event(t->pool->p.log, HT_EV_TARGET_SILENT, t->id, 0, "address=%s open=%u",
			     ht_addr_format(&t->addr, text), conn->open);
		/* A silent connection says nothing about new ones: replace it at once. */
		close_conn(conn);
		return;
	}
	ht_target_conn_ping(conn, now);
	if (conn->state == HT_CONN_UP && now >= t->health_at)
		send_health(conn, now);
}

static void watch_target(struct target *t, ht_ms now, ht_ms pause)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &t->conns) {
		struct ht_target_conn *conn = ht_container_of(pos, struct ht_target_conn, node);

		if (pause)
			ht_target_conn_credit(conn, pause);
		if (conn->state != HT_CONN_CLOSED)
			watch_conn(t, conn, now);
	}
}

static void on_tick(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	struct ht_target_pool *pool = w->data;
	ht_ms now = now_ms();
	ht_ms pause = now - pool->ticked_at > PAUSE_MS ? now - pool->ticked_at : 0;
	struct ht_list *pos, *tmp;

	(void)loop;
	(void)revents;
	coap_io_process(pool->coap, COAP_IO_NO_WAIT);
	pool->ticked_at = now;
	ht_list_for_each_safe (pos, tmp, &pool->targets)
		watch_target(ht_container_of(pos, struct target, node), now, pause);
	on_sweep(loop, &pool->sweep, EV_TIMER);
}

static void on_readable(struct ev_loop *loop, struct ev_io *w, int revents)
{
	struct ht_target_pool *pool = w->data;

	(void)loop;
	(void)revents;
	coap_io_process(pool->coap, COAP_IO_NO_WAIT);
}

static struct target *find(const struct ht_target_pool *pool, uint64_t id)
{
	return g_hash_table_lookup(pool->by_id, &id);
}

static unsigned int connections(const struct ht_target_conf *conf)
{
	unsigned int n = HT_TARGET_CONNECTIONS;

	if (conf->slots < n)
		n = conf->slots;
	if (conf->connections < n)
		n = conf->connections;
	return n ? n : 1;
}

void ht_target_pool_open(struct ht_target_pool *pool, const struct ht_target_conf *conf,
			 const char *service_name)
{
	struct target *t = find(pool, conf->id);

	if (!t) {
		t = calloc(1, sizeof(*t));
		if (!t)
			return;
		t->pool = pool;
		t->id = conf->id;
		t->addr = conf->addr;
		ht_list_init(&t->conns);
		ht_list_add_tail(&pool->targets, &t->node);
		g_hash_table_insert(pool->by_id, &t->id, t);
	}
	if (strcmp(t->service, service_name) != 0) {
		/* The identity of the target must be checked anew. */
		snprintf(t->service, sizeof(t->service), "%s", service_name);
		t->misassigned = false;
		t->retry_at = 0;
		close_all(t);
	}
	t->wanted = connections(conf);
	t->reported = -1;
	feed_sweep(pool);
}

void ht_target_pool_close(struct ht_target_pool *pool, uint64_t target)
{
	struct target *t = find(pool, target);

	if (!t)
		return;
	t->wanted = 0;
	feed_sweep(pool);
}

/* Fewest open requests first, then the one heard from last. */
static struct ht_target_conn *pick(const struct target *t)
{
	struct ht_target_conn *best = NULL;
	struct ht_list *pos;

	ht_list_for_each (pos, &t->conns) {
		struct ht_target_conn *c = ht_container_of(pos, struct ht_target_conn, node);

		if (c->state != HT_CONN_UP)
			continue;
		if (!best || c->open < best->open ||
		    (c->open == best->open && c->received_at > best->received_at))
			best = c;
	}
	return best;
}

void ht_target_pool_send(struct ht_target_pool *pool, const struct ht_target_request *req)
{
	struct target *t = find(pool, req->target);
	struct ht_target_conn *conn = t && t->wanted ? pick(t) : NULL;
	struct exchange *x = exchange_new(pool, EXCHANGE_REQUEST, req->id);
	ht_ms now = now_ms();
	coap_pdu_t *pdu = NULL;

	if (conn)
		pdu = ht_target_message_request(conn->session, x->token, req);
	if (!pdu) {
		ht_list_add_tail(&pool->unsent, &x->node);
		feed_sweep(pool);
		return;
	}
	exchange_start(pool, x, conn, now + req->deadline + DEADLINE_GRACE_MS);
	/* A failed send may have written a part, so the request may have run. */
	if (coap_send(conn->session, pdu) == COAP_INVALID_MID)
		close_conn(conn);
}

void ht_target_pool_cancel(struct ht_target_pool *pool, uint64_t target, uint64_t id)
{
	struct exchange *x = g_hash_table_lookup(pool->by_req, &id);
	struct target *t = find(pool, target);
	struct exchange *cancel;
	coap_pdu_t *pdu;

	if (!x || !t || x->conn->target != t || x->conn->state != HT_CONN_UP)
		return;
	cancel = exchange_new(pool, EXCHANGE_CANCEL, id);
	pdu = ht_target_message_cancel(x->conn->session, cancel->token, t->service, x->token);
	if (!pdu) {
		free(cancel);
		return;
	}
	exchange_start(pool, cancel, x->conn, x->due);
	if (coap_send(x->conn->session, pdu) == COAP_INVALID_MID)
		close_conn(x->conn);
}

const char *ht_target_pool_state(const struct ht_target_pool *pool, uint64_t target)
{
	static const char *const names[] = {
		[HT_TARGET_UP] = "up",
		[HT_TARGET_DOWN] = "down",
		[HT_TARGET_DRAINING] = "draining",
		[HT_TARGET_MISASSIGNED] = "misassigned",
	};
	const struct target *t = find(pool, target);
	int state;

	if (!t || !t->wanted)
		return NULL;
	state = current_state(t);
	return state < 0 ? "opening" : names[state];
}

struct ht_target_pool *ht_target_pool_new(const struct ht_target_pool_params *params,
					  struct ht_err *err)
{
	struct ht_target_pool *pool = calloc(1, sizeof(*pool));

	if (pool)
		pool->coap = coap_new_context(NULL);
	if (!pool || !pool->coap) {
		free(pool);
		ht_err_set(err, HT_ENOMEM, "CoAP context cannot be created");
		return NULL;
	}
	pool->p = *params;
	pool->ticked_at = now_ms();
	ht_list_init(&pool->targets);
	ht_list_init(&pool->unsent);
	pool->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	pool->by_token = g_hash_table_new(g_direct_hash, g_direct_equal);
	pool->by_req = g_hash_table_new(g_int64_hash, g_int64_equal);
	coap_set_app_data(pool->coap, pool);
	coap_context_set_block_mode(pool->coap, 0);
	coap_register_response_handler(pool->coap, on_response);
	coap_register_pong_handler(pool->coap, on_pong);
	coap_register_event_handler(pool->coap, on_event);
	ev_io_init(&pool->io, on_readable, coap_context_get_coap_fd(pool->coap), EV_READ);
	pool->io.data = pool;
	ev_io_start(params->loop, &pool->io);
	ev_timer_init(&pool->tick, on_tick, TICK_S, TICK_S);
	pool->tick.data = pool;
	ev_timer_start(params->loop, &pool->tick);
	ev_timer_init(&pool->sweep, on_sweep, 0, 0);
	pool->sweep.data = pool;
	return pool;
}

static void target_drop(struct target *t)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, &t->conns) {
		struct ht_target_conn *conn = ht_container_of(pos, struct ht_target_conn, node);

		while (!ht_list_empty(&conn->exchanges))
			exchange_free(t->pool,
				      ht_container_of(conn->exchanges.next, struct exchange, node));
		ht_target_conn_free(conn);
	}
	target_free(t);
}

void ht_target_pool_free(struct ht_target_pool *pool)
{
	struct ht_list *pos, *tmp;

	if (!pool)
		return;
	ht_list_for_each_safe (pos, tmp, &pool->targets)
		target_drop(ht_container_of(pos, struct target, node));
	while (!ht_list_empty(&pool->unsent))
		exchange_free(pool, ht_container_of(pool->unsent.next, struct exchange, node));
	ev_io_stop(pool->p.loop, &pool->io);
	ev_timer_stop(pool->p.loop, &pool->tick);
	ev_timer_stop(pool->p.loop, &pool->sweep);
	coap_free_context(pool->coap);
	g_hash_table_destroy(pool->by_token);
	g_hash_table_destroy(pool->by_req);
	g_hash_table_destroy(pool->by_id);
	free(pool);
}
