/* Shared by the files of the target pool. */
#ifndef HT_DAEMON_TARGET_INTERNAL_H
#define HT_DAEMON_TARGET_INTERNAL_H

#include "daemon/target_conn.h"
#include "daemon/target_pool.h"

#include <glib.h>

enum ht_exchange_kind {
	HT_EXCHANGE_REQUEST,
	HT_EXCHANGE_HEALTH,
	HT_EXCHANGE_CANCEL
};

/** A message to a target that waits for its answer. */
struct ht_exchange {
	struct ht_list node; /* in the connection's list, or in the pool's list of unsent ones */
	enum ht_exchange_kind kind;
	uint32_t token;
	uint64_t id; /* the core's; of the cancelled request for a cancellation */
	struct ht_target_conn *conn;
	ht_ms due;
};

struct ht_pool_target {
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
	GHashTable *by_id;    /* struct ht_pool_target by its id */
	GHashTable *by_token; /* owns struct ht_exchange, by its token */
	GHashTable *by_req;   /* struct ht_exchange of a sent request, by the core's id */
	struct ht_list unsent;
	uint32_t next_token;
};

/* target_exchange.c */

struct ht_exchange *ht_exchange_new(struct ht_target_pool *pool, enum ht_exchange_kind kind,
				    uint64_t id);
void ht_exchange_start(struct ht_target_pool *pool, struct ht_exchange *x,
		       struct ht_target_conn *conn, ht_ms due);
void ht_exchange_free(struct ht_target_pool *pool, struct ht_exchange *x);

/** Ends an exchange without an answer from the target; a request is reported to the core. */
void ht_exchange_finish(struct ht_target_pool *pool, struct ht_exchange *x,
			enum ht_target_result result);

/* target_events.c */

/** Registers the handlers of libcoap. */
void ht_target_events_init(struct ht_target_pool *pool);

/** Asks the target for its health. */
void ht_target_send_health(struct ht_target_conn *conn, ht_ms now);

/** Marks @conn as ended; the next sweep frees it. */
void ht_target_close_conn(struct ht_target_conn *conn);
void ht_target_close_all(struct ht_pool_target *t);

/** enum ht_target_state, or -1 while the first connection is being opened. */
int ht_target_current_state(const struct ht_pool_target *t);

/** Tells the core when the state is another than before. */
void ht_target_report_state(struct ht_pool_target *t);

static inline void ht_target_sweep_soon(struct ht_target_pool *pool)
{
	ev_timer_start(pool->p.loop, &pool->sweep);
}

static inline ht_ms ht_target_now(void)
{
	return ht_clock_now(&ht_clock_monotonic);
}

#endif
