/*
 * Reports of load to the collector of the data centre, sums between collectors, and views back to
 * the members, as EntryLoad in greetings (wire/entry.proto).
 *
 * An instance reports to the sender of the views that it gets, and while it gets none to one
 * instance after the other in the order of readers (core/neighbours.h). An instance that gets
 * reports, or whose turn it is, collects. If several send views, all report to the first of them.
 */
#ifndef HT_ENTRY_LOAD_EXCHANGE_H
#define HT_ENTRY_LOAD_EXCHANGE_H

#include "core/load.h"
#include "core/neighbours.h"
#include "wire/entry.pb-c.h"

/** Intervals of reports and views. At 400 ms, they are more than 1 kB/s per instance. */
#define HT_LOAD_BUSY_MS 500
#define HT_LOAD_RELAXED_MS 1000

struct ev_loop;
struct ht_load_exchange;

enum ht_load_pace {
	HT_LOAD_IDLE, /**< nothing is sent, unless reports or sums arrive that need an answer */
	HT_LOAD_RELAXED,
	HT_LOAD_BUSY, /**< a service is short of capacity, or nearly so */
};

struct ht_load_exchange_params {
	struct ev_loop *loop; /**< NULL: the caller calls ht_load_exchange_run() */
	const struct ht_clock *clock;
	struct ht_load *load;
	const struct ht_neighbours *neighbours;
	const char *instance, *dc; /**< own names */
	/** Fills the report with the targets by ht_load_add_target(). */
	void (*add_targets)(void *ctx, struct ht_load *load);
	/** Sends one datagram. */
	void (*send)(void *ctx, struct ht_endpoint to, const uint8_t *data, size_t len);
	/** A new view is in force, or a report was made without one. It may set the pace. */
	void (*updated)(void *ctx);
	void *ctx;
};

/** Starts at the idle pace. Returns NULL when out of memory. */
struct ht_load_exchange *ht_load_exchange_new(const struct ht_load_exchange_params *params);
void ht_load_exchange_free(struct ht_load_exchange *ex);

void ht_load_exchange_set_pace(struct ht_load_exchange *ex, enum ht_load_pace pace);
/** Handles a message of another instance; ignores malformed ones and those of unknown senders. */
void ht_load_exchange_receive(struct ht_load_exchange *ex, const Ht__EntryLoad *msg);
/** Sends what is due. Returns the time at which to call it next. */
ht_ms ht_load_exchange_run(struct ht_load_exchange *ex);

#endif
