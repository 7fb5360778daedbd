/*
 * Whether an answer looks like an error. Packets hide what they carry, but an error is answered
 * without the work and without the content: much sooner and much shorter than other answers to the
 * same route.
 */
#ifndef HT_CORE_ANSWERS_H
#define HT_CORE_ANSWERS_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** Usual answers of one route. Zero-initialise. */
struct ht_answers {
	uint32_t seen;
	double bytes, took_ms; /**< smoothed means */
};

/** Judges an answer of @bytes that began @took after its request, and learns from it. */
bool ht_answer_is_error(struct ht_answers *answers, uint32_t bytes, ht_ms took);

#endif
