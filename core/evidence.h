/*
 * What packets tell of a target, or of a whole data centre: a flow that opens or is answered speaks
 * for it; a packet that has to be sent again, an answer that is overdue, or one that looks like an
 * error speaks against it. Nothing else is asked of a target.
 */
#ifndef HT_CORE_EVIDENCE_H
#define HT_CORE_EVIDENCE_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** Zero-initialise: nothing is known, and nothing speaks against it. */
struct ht_evidence {
	uint32_t misses;	   /**< since the last sign of life */
	uint32_t error_suspicions; /**< doubts for errors in a row */
	ht_ms doubted_until;	   /**< no new flow before then; one flow tries it afterwards */
	ht_ms alive_at;		   /**< last sign of life; 0: none */
	double answer_ms;	   /**< smoothed time from a request to its answer; 0: none seen */
	double error_rate;	   /**< smoothed share of answers that look like errors */
};

/** A packet sent at @sent had no effect in its time. Ignored when there was life since. */
void ht_evidence_miss(struct ht_evidence *ev, ht_ms sent, ht_ms now);
/** Other instances have seen @count misses lately. One alone may be a lost packet. */
void ht_evidence_remote_misses(struct ht_evidence *ev, uint32_t count, ht_ms now);
/** A sign of life; it ends a doubt for silence, not one for errors. */
void ht_evidence_set_alive(struct ht_evidence *ev, ht_ms now);
/** An answer came @took after its request. */
void ht_evidence_answer(struct ht_evidence *ev, ht_ms took);
/** A whole answer was received, here or at another instance: @error if it looks like one. */
void ht_evidence_result(struct ht_evidence *ev, bool error, ht_ms now);

static inline bool ht_evidence_doubted(const struct ht_evidence *ev, ht_ms now)
{
	return now < ev->doubted_until;
}

#endif
