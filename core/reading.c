#include "core/reading.h"

#include "base/hash.h"

#include <stdio.h>

/* Pauses after failed calls: a refusal costs the platform a call too, but the bounds on applying a
 * change run on as soon as it answers again. */
#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS 1000

void ht_reading_init(struct ht_reading *r, const struct ht_reading_params *params, ht_ms now)
{
	*r = (struct ht_reading){
		.params = *params,
		.listing = true,
		.first_page = true,
		.exact_list = !params->exact_every,
		.due = now,
		.exact_at = HT_NEVER,
		.trouble_at = HT_NEVER,
	};
}

static bool exact_due(const struct ht_reading *r, ht_ms now)
{
	return !r->params.exact_every || r->exact_at == HT_NEVER ||
	       now - r->exact_at >= r->params.exact_every;
}

bool ht_reading_next(struct ht_reading *r, ht_ms now, struct ht_reading_call *call, ht_ms *due)
{
	*due = HT_NEVER;
	if (r->busy)
		return false;
	if (now < r->due) {
		*due = r->due;
		return false;
	}
	*call = (struct ht_reading_call){.watch = !r->listing};
	if (r->listing) {
		call->cheap = !r->exact_list;
		snprintf(call->after, sizeof(call->after), "%s", r->after);
	} else {
		call->cheap = !exact_due(r, now);
		call->since = r->revision;
		/* The read that confirms a first, cheap listing does not wait for a change. */
		call->wait = r->exact_at == HT_NEVER ? 1 : r->params.wait;
	}
	r->busy = true;
	r->call = *call;
	r->call_at = now;
	return true;
}

static void restart_listing(struct ht_reading *r, ht_ms due)
{
	r->listing = true;
	r->first_page = true;
	r->exact_list = true;
	r->after[0] = '\0';
	r->due = due;
}

/* An exact watch that waited was exact when it ended, not only when it began. */
static void succeeded(struct ht_reading *r, ht_ms now)
{
	r->busy = false;
	r->failures = 0;
	if (!r->call.cheap)
		r->exact_at = r->call.watch ? now : r->call_at;
}

enum ht_reading_result ht_reading_page(struct ht_reading *r, uint64_t revision, bool more,
				       const char *last, ht_ms now)
{
	bool exact = r->exact_list;
	ht_ms exact_at = r->exact_at;

	succeeded(r, now);
	if (r->first_page) {
		r->list_revision = revision;
		r->first_page = false;
	}
	if (revision < r->revision) {
		restart_listing(r, now);
		return HT_READING_STALE;
	}
	r->due = now;
	if (more) {
		r->exact_at = exact_at;
		snprintf(r->after, sizeof(r->after), "%s", last);
		return HT_READING_MORE;
	}
	r->listing = false;
	r->listed = true;
	r->revision = r->list_revision;
	/* Changes between the pages of a listing are only known after the next exact read. */
	if (!exact || r->after[0])
		r->exact_at = HT_NEVER;
	r->after[0] = '\0';
	return HT_READING_WHOLE;
}

void ht_reading_changes(struct ht_reading *r, uint64_t revision, ht_ms now)
{
	succeeded(r, now);
	if (revision > r->revision)
		r->revision = revision;
	r->due = now + r->params.pause;
}

void ht_reading_history_gone(struct ht_reading *r, ht_ms now)
{
	r->busy = false;
	r->trouble_at = now;
	restart_listing(r, now);
}

void ht_reading_failed(struct ht_reading *r, ht_ms now)
{
	ht_ms pause = RETRY_FIRST_MS;

	for (uint32_t i = 0; i < r->failures && pause < RETRY_MAX_MS; i++)
		pause *= 2;
	if (pause > RETRY_MAX_MS)
		pause = RETRY_MAX_MS;
	/* Spread over half of the pause, so that instances do not retry in step. */
	pause -= (ht_ms)(ht_hash_pair(r->params.seed, r->failures) % (uint64_t)(pause / 2));
	r->busy = false;
	r->failures++;
	r->trouble_at = now;
	r->due = now + pause;
	if (r->listing && r->failures > 1)
		restart_listing(r, r->due);
}

bool ht_reading_complete(const struct ht_reading *r)
{
	return r->listed && r->exact_at != HT_NEVER;
}

ht_ms ht_reading_hold(const struct ht_reading *r, ht_ms now)
{
	if (r->trouble_at == HT_NEVER || now - r->trouble_at >= r->params.settle)
		return now;
	return r->trouble_at + r->params.settle;
}

ht_ms ht_reading_age(const struct ht_reading *r, ht_ms now)
{
	return r->exact_at == HT_NEVER ? HT_NEVER : now - r->exact_at;
}
