/* Admin HTTP: GET /status, /metrics and /timeline. */
#ifndef HT_DAEMON_ADMIN_H
#define HT_DAEMON_ADMIN_H

#include "base/addr.h"

#include <ev.h>

/** One page; @render returns the body, to be freed, or NULL. */
struct ht_admin_page {
	const char *path;
	const char *content_type;
	char *(*render)(void *ctx);
};

struct ht_admin;

/** Serves @pages, which end with a page whose path is NULL, at @addr. */
struct ht_admin *ht_admin_new(struct ev_loop *loop, const struct ht_addr *addr,
			      const struct ht_admin_page *pages, void *ctx, struct ht_err *err);
void ht_admin_free(struct ht_admin *admin);

#endif
