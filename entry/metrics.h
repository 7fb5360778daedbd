/* Serves the metrics of one instance, and explanations of decisions, over HTTP as text. */
#ifndef HT_ENTRY_METRICS_H
#define HT_ENTRY_METRICS_H

#include "base/addr.h"
#include "base/logger.h"
#include "core/neighbours.h"
#include "entry/stats.h"
#include "platform/http_server.h"

#include <stdio.h>

struct ev_loop;
struct ht_metrics;

/** Gauges that are not part of the counters. */
struct ht_metrics_state {
	struct ht_view_state view;
	bool ready;
	bool overload_control; /**< switched on */
	size_t neighbours;
};

struct ht_metrics_params {
	struct ev_loop *loop;
	const struct ht_addr *address;
	const struct ht_entry_stats *stats;
	struct ht_catalog *catalog;
	const struct ht_steering *steering;
	const struct ht_logger *log;
	void (*state)(void *ctx, struct ht_metrics_state *state);
	void *ctx;
};

/** Listens at the address. Returns NULL and sets @err if it cannot be bound. */
struct ht_metrics *ht_metrics_new(const struct ht_metrics_params *params, struct ht_err *err);
void ht_metrics_free(struct ht_metrics *metrics);

/** Writes the metrics page. Of @params, the loop and the address are not used. */
void ht_metrics_write(const struct ht_metrics_params *params, FILE *out);

/** Answers a request for @path, with its query, as the server does; others than those for the
 * metrics and for explanations are left as they are. The loop and the address are not used. */
void ht_metrics_answer(const struct ht_metrics_params *params, const char *path,
		       struct ht_http_answer *answer);

#endif
