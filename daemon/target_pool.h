/* Connections to the targets that this instance owns, and the requests on them. */
#ifndef HT_DAEMON_TARGET_POOL_H
#define HT_DAEMON_TARGET_POOL_H

#include "base/counters.h"
#include "core/core.h"
#include "daemon/log.h"

#include <ev.h>

/** Connections from this instance to one target. */
#define HT_TARGET_CONNECTIONS 4

/** Never called from within a function of this header. */
struct ht_target_pool_ops {
	void (*answer)(void *ctx, const struct ht_target_answer *ans);
	void (*state)(void *ctx, uint64_t target, enum ht_target_state state);
};

struct ht_target_pool_params {
	struct ev_loop *loop;
	const struct ht_target_pool_ops *ops;
	void *ctx;
	struct ht_log *log;
	struct ht_counters *counters;
};

struct ht_target_pool;

struct ht_target_pool *ht_target_pool_new(const struct ht_target_pool_params *params,
					  struct ht_err *err);

/** Closes all connections without further callbacks. */
void ht_target_pool_free(struct ht_target_pool *pool);

/** Opens connections; the state is reported again even when the target was open. */
void ht_target_pool_open(struct ht_target_pool *pool, const struct ht_target_conf *conf,
			 const char *service_name);

/** Takes no more requests; connections close when their requests have ended. */
void ht_target_pool_close(struct ht_target_pool *pool, uint64_t target);

/** Every request ends with exactly one answer callback. */
void ht_target_pool_send(struct ht_target_pool *pool, const struct ht_target_request *req);
void ht_target_pool_cancel(struct ht_target_pool *pool, uint64_t target, uint64_t id);

/** "up", "down", "draining", "misassigned" or "opening"; NULL when the target is not open. */
const char *ht_target_pool_state(const struct ht_target_pool *pool, uint64_t target);

#endif
