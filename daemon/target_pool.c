#include "daemon/target_pool.h"

#include "daemon/target_internal.h"
#include "daemon/target_message.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.02
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 1000

/* After a connection that was up: bounds the rate at a target that closes what it accepts. */
#define RECONNECT_MS 20

#define MISASSIGNED_RETRY_MS 5000

/* A target may answer exactly at its deadline; the answer needs this long to arrive. */
#define DEADLINE_GRACE_MS 50

/* A longer gap between two ticks means that this process was stopped or starved. */
#define PAUSE_MS 200

static void retry_later(struct ht_pool_target *t, ht_ms now)
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

/* Frees a closed connection and ends what was open on it. */
static void reap(struct ht_pool_target *t, struct ht_target_conn *conn)
{
	struct ht_target_pool *pool = t->pool;

	while (!ht_list_empty(&conn->exchanges))
		ht_exchange_finish(pool,
				   ht_container_of(conn->exchanges.next, struct ht_exchange, node),
				   HT_TARGET_LOST);
	ht_target_conn_free(conn);
}

static void reap_closed(struct ht_pool_target *t, ht_ms now)
{
	struct ht_list *pos, *tmp;
	bool failed = false, ended = false;

	ht_list_for_each_safe (pos, tmp, &t->conns) {
		struct ht_target_conn *conn = ht_container_of(pos, struct ht_target_conn, node);

		if (!t->wanted && !conn->open)
			conn->state = HT_CONN_CLOSED;
		if (conn->state != HT_CONN_CLOSED)
			continue;
		if (conn->was_up)
			ended = true;
		else
			failed = true;
		reap(t, conn);
	}
	if (failed && t->wanted && now >= t->retry_at)
		retry_later(t, now);
	else if (ended && now >= t->retry_at)
		t->retry_at = now + RECONNECT_MS;
}

/*
 * A connection that does not answer its pings gets its replacement before it counts as silent, so
 * that new requests need not wait for that.
 */
static void open_missing(struct ht_pool_target *t, ht_ms now)
{
	unsigned int all = 0, sound = 0;
	struct ht_list *pos;

	ht_list_for_each (pos, &t->conns) {
		all++;
		sound += !ht_target_conn_suspect(ht_container_of(pos, struct ht_target_conn, node),
						 now);
	}
	if (now < t->retry_at)
		return;
	for (; sound < t->wanted && all < HT_TARGET_CONNECTIONS; sound++, all++) {
		struct ht_target_conn *conn = ht_target_conn_new(t->pool->coap, &t->addr, now);

		if (!conn) {
			retry_later(t, now);
			break;
		}
		conn->target = t;
		ht_list_add_tail(&t->conns, &conn->node);
	}
}

static void check_connected(struct ht_pool_target *t, ht_ms now)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &t->conns) {
		struct ht_target_conn *conn = ht_container_of(pos, struct ht_target_conn, node);

		if (conn->state != HT_CONN_CONNECTED)
			continue;
		conn->state = HT_CONN_CHECKING;
		ht_target_send_health(conn, now);
	}
}

static void target_free(struct ht_pool_target *t)
{
	g_hash_table_remove(t->pool->by_id, &t->id);
	ht_list_del(&t->node);
	free(t);
}

static void sweep_target(struct ht_pool_target *t, ht_ms now)
{
	reap_closed(t, now);
	if (!t->wanted && ht_list_empty(&t->conns)) {
		target_free(t);
		return;
	}
	check_connected(t, now);
	open_missing(t, now);
	ht_target_report_state(t);
}

static void on_sweep(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	struct ht_target_pool *pool = w->data;
	struct ht_list *pos, *tmp;
	struct ht_list unsent;
	ht_ms now = ht_target_now();

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
		ht_exchange_finish(pool, ht_container_of(unsent.next, struct ht_exchange, node),
				   HT_TARGET_UNSENT);
	ht_list_for_each_safe (pos, tmp, &pool->targets)
		sweep_target(ht_container_of(pos, struct ht_pool_target, node), now);
}

static void expire(struct ht_target_pool *pool, struct ht_target_conn *conn, ht_ms now)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, &conn->exchanges) {
		struct ht_exchange *x = ht_container_of(pos, struct ht_exchange, node);

		if (now >= x->due)
			ht_exchange_finish(pool, x, HT_TARGET_TIMEOUT);
	}
}

static void watch_conn(struct ht_pool_target *t, struct ht_target_conn *conn, ht_ms now)
{
	char text[HT_ADDR_TEXT];

	expire(t->pool, conn, now);
	if (ht_target_conn_silent(conn, now)) {
		ht_count(t->pool->p.counters, HT_C_silent_connections, 1);
		ht_log_event(t->pool->p.log, HT_EV_TARGET_SILENT, t->id, 0, "address=%s open=%u",
			     ht_addr_format(&t->addr, text), conn->open);
		/* A silent connection says nothing about new ones: replace it at once. */
		ht_target_close_conn(conn);
		return;
	}
	ht_target_conn_ping(conn, now);
	if (conn->state == HT_CONN_UP && now >= t->health_at)
		ht_target_send_health(conn, now);
}

static void watch_target(struct ht_pool_target *t, ht_ms now, ht_ms pause)
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
	ht_ms now = ht_target_now();
	ht_ms pause = now - pool->ticked_at > PAUSE_MS ? now - pool->ticked_at : 0;
	struct ht_list *pos, *tmp;

	(void)loop;
	(void)revents;
	coap_io_process(pool->coap, COAP_IO_NO_WAIT);
	pool->ticked_at = now;
	ht_list_for_each_safe (pos, tmp, &pool->targets)
		watch_target(ht_container_of(pos, struct ht_pool_target, node), now, pause);
	on_sweep(loop, &pool->sweep, EV_TIMER);
}

static void on_readable(struct ev_loop *loop, struct ev_io *w, int revents)
{
	struct ht_target_pool *pool = w->data;

	(void)loop;
	(void)revents;
	coap_io_process(pool->coap, COAP_IO_NO_WAIT);
}

static struct ht_pool_target *find(const struct ht_target_pool *pool, uint64_t id)
{
	return g_hash_table_lookup(pool->by_id, &id);
}

static unsigned int connections(const struct ht_target_conf *conf)
{
	unsigned int n = HT_TARGET_CONNECTIONS - 1; /* one is kept for a replacement */

	if (conf->slots < n)
		n = conf->slots;
	if (conf->connections < n)
		n = conf->connections;
	return n ? n : 1;
}

void ht_target_pool_open(struct ht_target_pool *pool, const struct ht_target_conf *conf,
			 const char *service_name)
{
	struct ht_pool_target *t = find(pool, conf->id);

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
		ht_target_close_all(t);
	}
	t->wanted = connections(conf);
	t->reported = -1;
	ht_target_sweep_soon(pool);
}

void ht_target_pool_close(struct ht_target_pool *pool, uint64_t target)
{
	struct ht_pool_target *t = find(pool, target);

	if (!t)
		return;
	t->wanted = 0;
	ht_target_sweep_soon(pool);
}

static bool better(const struct ht_target_conn *a, const struct ht_target_conn *b, ht_ms now)
{
	bool suspect = ht_target_conn_suspect(a, now);

	if (suspect != ht_target_conn_suspect(b, now))
		return !suspect;
	if (a->open != b->open)
		return a->open < b->open;
	return a->received_at > b->received_at;
}

/* A connection whose pings are answered, then fewest open requests, then the one heard from last.
 */
static struct ht_target_conn *pick(const struct ht_pool_target *t, ht_ms now)
{
	struct ht_target_conn *best = NULL;
	struct ht_list *pos;

	ht_list_for_each (pos, &t->conns) {
		struct ht_target_conn *c = ht_container_of(pos, struct ht_target_conn, node);

		if (c->state == HT_CONN_UP && (!best || better(c, best, now)))
			best = c;
	}
	return best;
}

void ht_target_pool_send(struct ht_target_pool *pool, const struct ht_target_request *req)
{
	struct ht_pool_target *t = find(pool, req->target);
	ht_ms now = ht_target_now();
	struct ht_target_conn *conn = t && t->wanted ? pick(t, now) : NULL;
	struct ht_exchange *x = ht_exchange_new(pool, HT_EXCHANGE_REQUEST, req->id);
	coap_pdu_t *pdu = NULL;

	if (conn)
		pdu = ht_target_message_request(conn->session, x->token, req);
	if (!pdu) {
		ht_list_add_tail(&pool->unsent, &x->node);
		ht_target_sweep_soon(pool);
		return;
	}
	ht_exchange_start(pool, x, conn, now + req->deadline + DEADLINE_GRACE_MS);
	/* A failed send may have written a part, so the request may have run. */
	if (coap_send(conn->session, pdu) == COAP_INVALID_MID)
		ht_target_close_conn(conn);
}

void ht_target_pool_cancel(struct ht_target_pool *pool, uint64_t target, uint64_t id)
{
	struct ht_exchange *x = g_hash_table_lookup(pool->by_req, &id);
	struct ht_pool_target *t = find(pool, target);
	struct ht_exchange *cancel;
	coap_pdu_t *pdu;

	if (!x || !t || x->conn->target != t || x->conn->state != HT_CONN_UP)
		return;
	cancel = ht_exchange_new(pool, HT_EXCHANGE_CANCEL, id);
	pdu = ht_target_message_cancel(x->conn->session, cancel->token, t->service, x->token);
	if (!pdu) {
		free(cancel);
		return;
	}
	ht_exchange_start(pool, cancel, x->conn, x->due);
	if (coap_send(x->conn->session, pdu) == COAP_INVALID_MID)
		ht_target_close_conn(x->conn);
}

const char *ht_target_pool_state(const struct ht_target_pool *pool, uint64_t target)
{
	static const char *const names[] = {
		[HT_TARGET_UP] = "up",
		[HT_TARGET_DOWN] = "down",
		[HT_TARGET_DRAINING] = "draining",
		[HT_TARGET_MISASSIGNED] = "misassigned",
	};
	const struct ht_pool_target *t = find(pool, target);
	int state;

	if (!t || !t->wanted)
		return NULL;
	state = ht_target_current_state(t);
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
	pool->ticked_at = ht_target_now();
	ht_list_init(&pool->targets);
	ht_list_init(&pool->unsent);
	pool->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	pool->by_token = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	pool->by_req = g_hash_table_new(g_int64_hash, g_int64_equal);
	coap_context_set_block_mode(pool->coap, 0);
	ht_target_events_init(pool);
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

static void target_drop(struct ht_pool_target *t)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, &t->conns) {
		ht_target_conn_free(ht_container_of(pos, struct ht_target_conn, node));
	}
	target_free(t);
}

void ht_target_pool_free(struct ht_target_pool *pool)
{
	struct ht_list *pos, *tmp;

	if (!pool)
		return;
	ht_list_for_each_safe (pos, tmp, &pool->targets)
		target_drop(ht_container_of(pos, struct ht_pool_target, node));
	ev_io_stop(pool->p.loop, &pool->io);
	ev_timer_stop(pool->p.loop, &pool->tick);
	ev_timer_stop(pool->p.loop, &pool->sweep);
	coap_free_context(pool->coap);
	g_hash_table_destroy(pool->by_token);
	g_hash_table_destroy(pool->by_req);
	g_hash_table_destroy(pool->by_id);
	free(pool);
}
