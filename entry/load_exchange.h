/*
 * Reports of load to the collector of the data centre, sums between collectors, and views back to
 * the members, as EntryLoad in greetings (wire/entry.proto).
 */
#ifndef HT_ENTRY_LOAD_EXCHANGE_H
#define HT_ENTRY_LOAD_EXCHANGE_H

#include "core/load.h"
#include "core/neighbours.h"
#include "wire/entry.pb-c.h"

struct ev_loop;
struct ht_load_exchange;

enum ht_load_pace {
	HT_LOAD_IDLE, /**< nothing is sent */
	HT_LOAD_RELAXED,
	HT_LOAD_BUSY, /**< a service is short of capacity, or nearly so */
};

struct ht_load_exchange_params {
	struct ev_loop *loop;
	struct ht_load *load;
	const struct ht_neighbours *neighbours;
	const char *instance, *dc; /**< own names, borrowed */
	uint32_t size;		   /**< own share of a CPU core, in thousandths */
	/** Fills the report with the targets by ht_load_add_target(). */
	void (*add_targets)(void *ctx, struct ht_load *load);
	/** Sends one datagram. */
	void (*send)(void *ctx, struct ht_endpoint to, const uint8_t *data, size_t len);
	/** A new view is in force, or a report was made without one. */
	void (*updated)(void *ctx);
	void *ctx;
};

/** Returns NULL when out of memory. */
struct ht_load_exchange *ht_load_exchange_new(const struct ht_load_exchange_params *params);
void ht_load_exchange_free(struct ht_load_exchange *ex);

void ht_load_exchange_set_pace(struct ht_load_exchange *ex, enum ht_load_pace pace);
/** Handles a message of another instance. */
void ht_load_exchange_receive(struct ht_load_exchange *ex, const Ht__EntryLoad *msg);

#endif
