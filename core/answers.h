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
 * Returns the least delay in ms after an answer that took @took: it falls at once and rises slowly
 * towards the mean delay, to follow a network that has become slower.
 */
double ht_answer_next_least(double least, double mean, double took);

/**
 * Returns true if an answer of @bytes that began @took after its request looks like an error;
 * otherwise adds it to the means.
 */
bool ht_answer_is_error(struct ht_answer_stats *answers, uint32_t bytes, ht_ms took);

#endif
