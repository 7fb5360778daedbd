/* Links to the other instances: dialing, authentication, one link per pair, proof of an end. */
#ifndef HT_DAEMON_PEERS_H
#define HT_DAEMON_PEERS_H

#include "base/counters.h"
#include "core/core.h"
#include "daemon/log.h"
#include "daemon/settings.h"

#include <ev.h>

/** Never called from within ht_peers_send() or ht_peers_learn(). */
struct ht_peers_ops {
	void (*up)(void *ctx, const struct ht_instance_info *info, uint64_t incarnation);
	void (*down)(void *ctx, uint64_t peer, uint64_t incarnation,
		     enum ht_peer_down_reason reason);
	void (*message)(void *ctx, uint64_t peer, const Ht__PeerMsg *msg);
};

struct ht_peers_params {
	struct ev_loop *loop;
	const struct ht_peers_ops *ops;
	void *ctx;
	struct ht_log *log;
	struct ht_counters *counters;
	struct ht_instance_info self;
	uint64_t incarnation;
	uint8_t key[HT_KEY_LEN];
};

struct ht_peers;

/** Listens at the own peer address; NULL with @err on failure. */
struct ht_peers *ht_peers_new(const struct ht_peers_params *params, struct ht_err *err);
void ht_peers_free(struct ht_peers *peers);

/**
 * Takes in instances and their addresses. Instances of the own data centre are dialed at once. With
 * @whole, instances that are not in @list are no longer dialed.
 */
void ht_peers_learn(struct ht_peers *peers, const struct ht_instance_info *list, size_t count,
		    bool whole);

/** Queues @msg for @peer, dialing when needed. False: provably not sent. */
bool ht_peers_send(struct ht_peers *peers, uint64_t peer, const Ht__PeerMsg *msg);

struct ht_peer_view {
	const struct ht_instance_info *info;
	uint64_t id;
	uint64_t incarnation;
	bool up;
};

void ht_peers_each(const struct ht_peers *peers,
		   void (*visit)(void *ctx, const struct ht_peer_view *view), void *ctx);

/** Writes what is queued, as far as the sockets take it; before the process ends. */
void ht_peers_flush(struct ht_peers *peers);

#endif
