/* Callers: CoAP over UDP at the service addresses, with delayed non-confirmable answers. */
#ifndef HT_DAEMON_CALLER_H
#define HT_DAEMON_CALLER_H

#include "base/counters.h"
#include "core/core.h"
#include "daemon/log.h"

#include <ev.h>

struct ht_caller_ops {
	/** Pointers in @req are valid during the call; answer with ht_caller_answer(@handle). */
	void (*request)(void *ctx, uint64_t handle, const struct ht_request *req);
};

struct ht_caller_params {
	struct ev_loop *loop;
	const struct ht_caller_ops *ops;
	void *ctx;
	struct ht_log *log;
	struct ht_counters *counters;
	const char *region;
	const char *bind_ip; /**< NULL: each service's own address */
};

struct ht_caller;

/** One at a time in a process, since libcoap has one log handler. */
struct ht_caller *ht_caller_new(const struct ht_caller_params *params, struct ht_err *err);

/** Drops requests that have no answer yet. */
void ht_caller_free(struct ht_caller *caller);

/** Opens the addresses of the services of the own region; requests at others are refused. */
void ht_caller_configure(struct ht_caller *caller, const struct ht_config *cfg);

/** Answers a request; false when @handle is not open. */
bool ht_caller_answer(struct ht_caller *caller, uint64_t handle, const struct ht_answer *ans);

/** Requests without an answer. */
size_t ht_caller_pending(const struct ht_caller *caller);

#endif
