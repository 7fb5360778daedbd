/*
 * Counts and logs decisions on packets, steps of flows and changes of target health.
 *
 * Resets, drops, deferrals, retransmissions and health changes are always logged within the log
 * budgets; ordinary steps only for a sample of the flows, which is the same at all instances.
 */
#ifndef HT_ENTRY_DECISIONS_H
#define HT_ENTRY_DECISIONS_H

#include "base/logger.h"
#include "core/neighbours.h"
#include "entry/stats.h"

/**
 * Buffer size for an address, "IP:PORT", and for a flow, "IP:PORT-IP:PORT" with the caller first.
 */
#define HT_ENDPOINT_TEXT 24
#define HT_FLOW_TEXT (2 * HT_ENDPOINT_TEXT)

/** Buffer size for the key of a data centre whose name is unknown. */
#define HT_DC_TEXT 9

struct ht_decisions_params {
	struct ht_logger *log;
	struct ht_catalog *catalog;
	struct ht_entry_stats *stats;
	unsigned int sample; /**< logs ordinary steps of one flow in this many; 0: of none */
	/** Fills @view with what is known and how old it is. */
	void (*view)(void *ctx, struct ht_view_state *view);
	void *ctx;
};

struct ht_decisions;

/** Returns NULL if out of memory. */
struct ht_decisions *ht_decisions_new(const struct ht_decisions_params *params);
void ht_decisions_free(struct ht_decisions *dec);
void ht_decisions_set_sample(struct ht_decisions *dec, unsigned int sample);

/** Observer to register with the catalogue. */
struct ht_catalog_observer ht_decisions_catalog_observer(struct ht_decisions *dec);
/** Observer to pass to the steering. */
struct ht_steering_observer ht_decisions_observer(struct ht_decisions *dec);

/** Counts and logs the decision @d of the steering on @pkt. */
void ht_decisions_packet(struct ht_decisions *dec, const struct ht_packet *pkt,
			 const struct ht_steering_decision *d, ht_ms now);
/** Counts and logs a malformed packet of @len bytes. */
void ht_decisions_malformed(struct ht_decisions *dec, size_t len);

/** Formats @at; returns @buf. */
const char *ht_endpoint_text(char buf[HT_ENDPOINT_TEXT], struct ht_endpoint at);
/** Formats the flow id under which a flow appears in the logs of all instances; returns @buf. */
const char *ht_flow_text(char buf[HT_FLOW_TEXT], struct ht_endpoint src, struct ht_endpoint dst);
/** Name of the data centre with the key @key; if no target is known there, the key in @buf. */
const char *ht_dc_text(char buf[HT_DC_TEXT], const struct ht_catalog *cat, uint32_t key);

#endif
