#include "core/evidence.h"

/* A first miss may be a lost packet: the doubt is short. It doubles with each further one. */
#define DOUBT_FIRST_MS 500
/* A target that comes back is found within this time. */
#define DOUBT_MAX_MS 8000

/* Weight of a new answer time; about ten answers make up most of the estimate. */
#define ANSWER_WEIGHT 0.1

void ht_evidence_miss(struct ht_evidence *ev, ht_ms sent, ht_ms now)
{
	ht_ms doubt = DOUBT_FIRST_MS;

	if (ev->alive_at && ev->alive_at > sent)
		return;
	for (uint32_t i = 0; i < ev->misses && doubt < DOUBT_MAX_MS; i++)
		doubt *= 2;
	ev->misses++;
	ev->doubted_until = now + (doubt < DOUBT_MAX_MS ? doubt : DOUBT_MAX_MS);
}

bool ht_evidence_alive(struct ht_evidence *ev, ht_ms now)
{
	bool doubted = ev->misses > 0;

	ev->misses = 0;
	ev->doubted_until = 0;
	ev->alive_at = now;
	return doubted;
}

void ht_evidence_answer(struct ht_evidence *ev, ht_ms took)
{
	ev->answer_ms = ev->answer_ms > 0
				? ev->answer_ms + ANSWER_WEIGHT * ((double)took - ev->answer_ms)
				: (double)took;
}
