#include "core/evidence.h"

/* A first miss may be a lost packet: the doubt is short. It doubles with each further one. */
#define DOUBT_FIRST_MS 500
/* A target that comes back is found within this time. */
#define DOUBT_MAX_MS 8000

/* A sign of life within this time outweighs the misses of others, which are a little older. */
#define HEARSAY_LIFE_MS 400

/* Weight of a new answer time; about ten answers make up most of the estimate. */
#define ANSWER_WEIGHT 0.1

/* Weight of a new result; two errors in a row exceed the limit, single ones do not. */
#define RESULT_WEIGHT 0.25
#define ERROR_LIMIT 0.4
#define ERROR_DOUBT_FIRST_MS 1000

static ht_ms doubled(ht_ms first, uint32_t times)
{
	ht_ms doubt = first;

	for (uint32_t i = 0; i < times && doubt < DOUBT_MAX_MS; i++)
		doubt *= 2;
	return doubt < DOUBT_MAX_MS ? doubt : DOUBT_MAX_MS;
}

static void doubt_until(struct ht_evidence *ev, ht_ms until)
{
	if (until > ev->doubted_until)
		ev->doubted_until = until;
}

void ht_evidence_miss(struct ht_evidence *ev, ht_ms sent, ht_ms now)
{
	if (ev->alive_at && ev->alive_at > sent)
		return;
	doubt_until(ev, now + doubled(DOUBT_FIRST_MS, ev->misses));
	ev->misses++;
}

void ht_evidence_hearsay(struct ht_evidence *ev, uint32_t count, ht_ms now)
{
	if (ev->alive_at && now - ev->alive_at < HEARSAY_LIFE_MS)
		return;
	for (uint32_t i = 0; i < count; i++) {
		if (ev->misses)
			doubt_until(ev, now + doubled(DOUBT_FIRST_MS, ev->misses - 1));
		ev->misses++;
	}
}

void ht_evidence_alive(struct ht_evidence *ev, ht_ms now)
{
	ev->alive_at = now;
	if (!ev->misses)
		return;
	ev->misses = 0;
	if (ev->error_rate < ERROR_LIMIT)
		ev->doubted_until = 0;
}

void ht_evidence_answer(struct ht_evidence *ev, ht_ms took)
{
	ev->answer_ms = ev->answer_ms > 0
				? ev->answer_ms + ANSWER_WEIGHT * ((double)took - ev->answer_ms)
				: (double)took;
}

void ht_evidence_result(struct ht_evidence *ev, bool error, ht_ms now)
{
	ev->error_rate += RESULT_WEIGHT * ((error ? 1.0 : 0.0) - ev->error_rate);
	if (error && ev->error_rate >= ERROR_LIMIT) {
		if (!ht_evidence_doubted(ev, now)) {
			doubt_until(ev, now + doubled(ERROR_DOUBT_FIRST_MS, ev->relapses));
			ev->relapses++;
		}
	} else if (!error && ev->error_rate < ERROR_LIMIT / 2) {
		ev->relapses = 0;
	}
}
