#include "core/answers.h"

/* Number of answers before any is classified as an error. */
#define MIN_SAMPLES 20
#define MEAN_WEIGHT 0.02

/* Shares of the mean size and delay below which an answer looks like an error. Each varies by a
 * factor of two to three in normal answers, but both are hardly ever this low together. */
#define SHORT_SHARE 0.4
#define FAST_SHARE 0.3

/* If most of the delay is the network's, normal answers may be as fast as errors; then only an
 * answer below this share of the mean size looks like one. */
#define VERY_SHORT_SHARE 0.3

/* Normal answers are hardly ever this short a share of the mean; refusals are. */
#define REFUSAL_SHARE 0.22

/* Data of a full packet. A first packet with less is the whole answer. */
#define PACKET_BYTES 1200

/* The least delay rises by this share of its distance to the mean with each answer, so that it
 * follows a network that has become slower. */
#define LEAST_RISE 0.002

/* Minimum difference of mean and least delay that tells work from the network. */
#define WORK_MIN_MS 6

/* Delays up to this many ms always count as fast, as the clock is too coarse to compare them. */
#define CLOCK_STEP_MS 2

static void note_least(struct ht_answer_stats *a, double took)
{
	if (!a->seen || took < a->least_ms)
		a->least_ms = took;
	else if (a->took_ms > a->least_ms)
		a->least_ms += LEAST_RISE * (a->took_ms - a->least_ms);
}

static bool looks_like_error(const struct ht_answer_stats *a, double bytes, double took)
{
	if (bytes >= SHORT_SHARE * a->bytes)
		return false;
	if (took <= CLOCK_STEP_MS || took < FAST_SHARE * a->took_ms)
		return true;
	return bytes < VERY_SHORT_SHARE * a->bytes && a->took_ms - a->least_ms >= WORK_MIN_MS &&
	       took - a->least_ms < FAST_SHARE * (a->took_ms - a->least_ms);
}

bool ht_answer_is_refusal(const struct ht_answer_stats *a, uint32_t bytes)
{
	return a->seen >= MIN_SAMPLES && bytes < PACKET_BYTES && bytes < REFUSAL_SHARE * a->bytes;
}

bool ht_answer_is_error(struct ht_answer_stats *a, uint32_t bytes, ht_ms took)
{
	double weight = a->seen < MIN_SAMPLES ? 1.0 / (a->seen + 1) : MEAN_WEIGHT;
	bool error = a->seen >= MIN_SAMPLES && looks_like_error(a, bytes, (double)took);

	note_least(a, (double)took);
	if (a->seen < MIN_SAMPLES)
		a->seen++;
	if (!error) {
		a->bytes += weight * (bytes - a->bytes);
		a->took_ms += weight * ((double)took - a->took_ms);
	}
	return error;
}
