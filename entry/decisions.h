/*
 * Counts and logs what happens to flows and what is believed of targets. Refusals, repeats and
 * changes of belief are always written, as far as the budgets go; ordinary steps only for a sample
 * of the flows, which is the same at all instances.
 */
#ifndef HT_ENTRY_DECISIONS_H
#define HT_ENTRY_DECISIONS_H

#include "base/logger.h"
#include "core/neighbours.h"
#include "entry/stats.h"

/** Longest text of an address, "IP:PORT", and of a flow, "IP:PORT-IP:PORT", caller first. */
#define HT_ENDPOINT_TEXT 24
#define HT_FLOW_TEXT (2 * HT_ENDPOINT_TEXT)

struct ht_decisions_params {
	struct ht_logger *log;
	struct ht_catalog *catalog;
	struct ht_entry_stats *stats;
	unsigned int sample; /**< ordinary lines for one flow in this many; 0: for none */
	/** What is known, and how old it is. */
	void (*view)(void *ctx, struct ht_view_state *view);
	void *ctx;
};

struct ht_decisions;

/** NULL when out of memory. */
struct ht_decisions *ht_decisions_new(const struct ht_decisions_params *params);
void ht_decisions_free(struct ht_decisions *dec);
void ht_decisions_set_sample(struct ht_decisions *dec, unsigned int sample);

/** To be told of changes by the catalogue. */
struct ht_catalog_observer ht_decisions_catalog_observer(struct ht_decisions *dec);
/** To be told by the steering. */
struct ht_steering_observer ht_decisions_observer(struct ht_decisions *dec);

/** The steering has decided on @pkt. */
void ht_decisions_packet(struct ht_decisions *dec, const struct ht_packet *pkt,
			 const struct ht_steering_decision *d, ht_ms now);
/** A packet of @len bytes without a usable head has come. */
void ht_decisions_malformed(struct ht_decisions *dec, size_t len);

/** Writes @at as text; returns @buf. */
const char *ht_endpoint_text(char buf[HT_ENDPOINT_TEXT], struct ht_endpoint at);
/** Writes the text by which a flow is found in the logs of all instances; returns @buf. */
const char *ht_flow_text(char buf[HT_FLOW_TEXT], struct ht_endpoint src, struct ht_endpoint dst);

#endif
