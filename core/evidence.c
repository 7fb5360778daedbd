#include "core/evidence.h"

/* Time without new flows after a first miss; short, as it may be a lost packet. Each further miss
 * doubles it. */
#define SUSPICION_MIN_MS 500
/* Upper bound, so that a recovered target is tried again within this time. */
#define SUSPICION_MAX_MS 8000

/* Misses reported by others are ignored for this time after a sign of life, as they are older than
 * their report. */
#define REMOTE_MISS_IGNORED_MS 400

/* Weight of a new answer time; about ten answers dominate the estimate. */
#define ANSWER_WEIGHT 0.1

/* Weight of a new result: two errors in a row exceed ERROR_LIMIT, a single one does not. */
#define ERROR_RATE_WEIGHT 0.25
#define ERROR_LIMIT 0.4
#define ERROR_SUSPICION_MIN_MS 1000

static ht_ms backoff(ht_ms first, uint32_t times)
{
	ht_ms duration = first;

	for (uint32_t i = 0; i < times && duration < SUSPICION_MAX_MS; i++)
		duration *= 2;
	return duration < SUSPICION_MAX_MS ? duration : SUSPICION_MAX_MS;
}

static void suspect_until(struct ht_evidence *ev, ht_ms until)
{
	if (until > ev->suspected_until)
		ev->suspected_until = until;
}

void ht_evidence_miss(struct ht_evidence *ev, ht_ms sent, ht_ms now)
{
	if (ev->alive_at && ev->alive_at > sent)
		return;
	suspect_until(ev, now + backoff(SUSPICION_MIN_MS, ev->misses));
	ev->misses++;
}

void ht_evidence_remote_misses(struct ht_evidence *ev, uint32_t count, ht_ms now)
{
	if (ev->alive_at && now - ev->alive_at < REMOTE_MISS_IGNORED_MS)
		return;
	for (uint32_t i = 0; i < count; i++) {
		if (ev->misses)
			suspect_until(ev, now + backoff(SUSPICION_MIN_MS, ev->misses - 1));
		ev->misses++;
	}
}

void ht_evidence_set_alive(struct ht_evidence *ev, ht_ms now)
{
	ev->alive_at = now;
	if (!ev->misses)
		return;
	ev->misses = 0;
	if (ev->error_rate < ERROR_LIMIT)
		ev->suspected_until = 0;
}

void ht_evidence_answer(struct ht_evidence *ev, ht_ms took)
{
	ev->answer_ms = ev->answer_ms > 0
				? ev->answer_ms + ANSWER_WEIGHT * ((double)took - ev->answer_ms)
				: (double)took;
}

void ht_evidence_result(struct ht_evidence *ev, bool error, ht_ms now)
{
	ev->error_rate += ERROR_RATE_WEIGHT * ((error ? 1.0 : 0.0) - ev->error_rate);
	if (error && ev->error_rate >= ERROR_LIMIT) {
		if (!ht_evidence_suspected(ev, now)) {
			suspect_until(ev,
				      now + backoff(ERROR_SUSPICION_MIN_MS, ev->error_suspicions));
			ev->error_suspicions++;
		}
	} else if (!error && ev->error_rate < ERROR_LIMIT / 2) {
		ev->error_suspicions = 0;
	}
}
