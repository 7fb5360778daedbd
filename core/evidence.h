/*
 * Passive failure detection for a target or a data centre. Flows that open or are answered count as
 * signs of life; retransmissions and overdue answers count as misses, and answers that look like
 * errors raise the error rate. Targets are not probed.
 */
#ifndef HT_CORE_EVIDENCE_H
#define HT_CORE_EVIDENCE_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** Health of one target or data centre. Zero-initialise: nothing observed, not suspected. */
struct ht_evidence {
	uint32_t misses;	   /**< since the last sign of life */
	uint32_t error_suspicions; /**< consecutive suspicions because of errors */
	ht_ms suspected_until; /**< new flows avoid it until then; afterwards one flow tries it */
	ht_ms alive_at;	       /**< last sign of life; 0: none */
	double answer_ms;      /**< smoothed time from a request to its answer; 0: none seen */
	double error_rate;     /**< smoothed share of answers that look like errors */
};

/** A packet sent at @sent got no response in time. Ignored if there was a sign of life since. */
void ht_evidence_miss(struct ht_evidence *ev, ht_ms sent, ht_ms now);
/** Adds @count recent misses seen by other instances. A single one may be a lost packet. */
void ht_evidence_remote_misses(struct ht_evidence *ev, uint32_t count, ht_ms now);
/** Records a sign of life. It ends a suspicion because of misses, not one because of errors. */
void ht_evidence_set_alive(struct ht_evidence *ev, ht_ms now);
/** Records an answer that came @took after its request. */
void ht_evidence_answer(struct ht_evidence *ev, ht_ms took);
/** Records a complete answer, seen here or by another instance; @error if it looks like one. */
void ht_evidence_result(struct ht_evidence *ev, bool error, ht_ms now);

static inline bool ht_evidence_suspected(const struct ht_evidence *ev, ht_ms now)
{
	return now < ev->suspected_until;
}

#endif
