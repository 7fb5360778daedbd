/* Greetings and snapshots between instances. */
#ifndef HT_ENTRY_LINK_H
#define HT_ENTRY_LINK_H

#include "core/neighbours.h"
#include "entry/log.h"
#include "entry/settings.h"

struct ev_loop;
struct ht_link;

struct ht_link_params {
	struct ev_loop *loop;
	const struct ht_entry_settings *settings;
	struct ht_catalog *catalog;
	struct ht_entry_log *log;
	/** What this instance knows now. */
	void (*view)(void *ctx, struct ht_view_state *view);
	/** Until when a target that a snapshot lacks may still be used. */
	ht_ms (*hold)(void *ctx);
	/** A snapshot has been applied; its targets are known as of @targets_revision. */
	void (*applied)(void *ctx, uint64_t targets_revision);
	void *ctx;
};

/** Listens at the peer address and greets the seeds; NULL with @err set. */
struct ht_link *ht_link_new(const struct ht_link_params *params, struct ht_err *err);
void ht_link_free(struct ht_link *link);

/** Sends greetings and asks for a snapshot if one is wanted; call it about once a second. */
void ht_link_round(struct ht_link *link);
/** Asks for a snapshot if one is wanted now. */
void ht_link_refresh(struct ht_link *link);

#endif
