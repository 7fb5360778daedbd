/* UDP socket for packets: receives from the routers, sends to targets and callers. */
#ifndef HT_ENTRY_PACKETS_H
#define HT_ENTRY_PACKETS_H

#include "base/addr.h"
#include "entry/decisions.h"

struct ev_loop;
struct ht_packets;

struct ht_packets_params {
	struct ev_loop *loop;
	const struct ht_addr *address; /**< also the port at which callers are reached */
	struct ht_steering *steering;
	struct ht_decisions *decisions;
	struct ht_entry_stats *stats;
};

/**
 * Binds the socket without reading from it yet. Returns NULL and sets @err if it cannot be bound.
 */
struct ht_packets *ht_packets_new(const struct ht_packets_params *params, struct ht_err *err);
void ht_packets_free(struct ht_packets *packets);

/** Starts reading packets, beginning with those queued since the socket was bound. */
void ht_packets_start(struct ht_packets *packets);

/** Time at which the last packet was received, or at which the socket was opened. */
ht_ms ht_packets_last(const struct ht_packets *packets);

#endif
