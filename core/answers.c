#include "core/answers.h"

/* Answers that are seen before any is judged. */
#define MIN_SAMPLES 20
#define MEAN_WEIGHT 0.02

/* Parts of the usual size and time below which an answer looks like an error. Sizes and times vary
 * by a factor of two to three on their own; both together hardly ever fall below. */
#define SHORT_SHARE 0.4
#define FAST_SHARE 0.3

/* Answers that take no longer than this are not told apart by their time, in ms. */
#define CLOCK_STEP_MS 2

bool ht_answer_is_error(struct ht_answers *a, uint32_t bytes, ht_ms took)
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
