#include "core/answers.h"

/* Number of answers before any is classified as an error. */
#define MIN_SAMPLES 20
#define MEAN_WEIGHT 0.02

/* Shares of the mean size and delay below which an answer looks like an error. Each varies by a
 * factor of two to three in normal answers, but both are hardly ever this low together. */
#define SHORT_SHARE 0.4
#define FAST_SHARE 0.3

/* Delays up to this many ms always count as fast, as the clock is too coarse to compare them. */
#define CLOCK_STEP_MS 2

bool ht_answer_is_error(struct ht_answer_stats *a, uint32_t bytes, ht_ms took)
{
	double weight = a->seen < MIN_SAMPLES ? 1.0 / (a->seen + 1) : MEAN_WEIGHT;
	bool error = a->seen >= MIN_SAMPLES && bytes < SHORT_SHARE * a->bytes &&
		     ((double)took < FAST_SHARE * a->took_ms || took <= CLOCK_STEP_MS);

	if (a->seen < MIN_SAMPLES)
		a->seen++;
	if (!error) {
		a->bytes += weight * (bytes - a->bytes);
		a->took_ms += weight * ((double)took - a->took_ms);
	}
	return error;
}
