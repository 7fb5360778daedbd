/*
 * Detects answers that are probably errors. The payload is not readable here, but an error takes
 * neither the work nor the content of a normal answer, so it comes much sooner and is much shorter
 * than other answers of the same route.
 */
#ifndef HT_CORE_ANSWERS_H
#define HT_CORE_ANSWERS_H

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** Size and delay of the normal answers of one route. Zero-initialise. */
struct ht_answer_stats {
	uint32_t seen;
	double bytes, took_ms; /**< smoothed means */
	double least_ms; /**< shortest recent delay; the network's part, which errors take too */
};

/**
 * Returns true if an answer of @bytes that began @took after its request looks like an error;
 * otherwise adds it to the means.
 */
bool ht_answer_is_error(struct ht_answer_stats *answers, uint32_t bytes, ht_ms took);

/**
 * Returns true if the first @bytes of an answer are all of it and look like the refusal of a full
 * target. Such a target may refuse a request after it has queued it, so the delay says nothing.
 */
bool ht_answer_is_refusal(const struct ht_answer_stats *answers, uint32_t bytes);

#endif
