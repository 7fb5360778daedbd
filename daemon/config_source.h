/* The platform as the core sees it: configurations, the live list, the status of a data centre. */
#ifndef HT_DAEMON_CONFIG_SOURCE_H
#define HT_DAEMON_CONFIG_SOURCE_H

#include "base/counters.h"
#include "core/core.h"
#include "daemon/log.h"

#include <ev.h>

/** Called from the loop only. */
struct ht_config_source_ops {
	/** @cfg is borrowed; NULL when the call failed. */
	void (*config)(void *ctx, struct ht_config *cfg);
	/** @count is -1 when the call failed. */
	void (*live)(void *ctx, struct ht_revision revision, const struct ht_instance_info *list,
		     int count);
};

struct ht_config_source_params {
	struct ev_loop *loop;
	const struct ht_config_source_ops *ops;
	void *ctx;
	struct ht_log *log;
	struct ht_counters *counters;
	const char *platform; /**< "IP:PORT" */
	const char *dc;
};

struct ht_config_source;

struct ht_config_source *ht_config_source_new(const struct ht_config_source_params *params,
					      struct ht_err *err);
void ht_config_source_free(struct ht_config_source *src);

/**
 * Starts a call of the core; a call of the same kind that is still open is replaced. @known and
 * @body are those of ht_core_ops.platform.
 */
void ht_config_source_call(struct ht_config_source *src, enum ht_platform_call call,
			   struct ht_revision known, const char *body);

#endif
