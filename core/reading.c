#include "core/reading.h"

#include "base/hash.h"

#include <stdlib.h>
#include <string.h>

/* Retry delays after failed calls. Retries load the platform, but changes must be applied within
 * their time limits as soon as it answers again. */
#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS 1000

/* An instance on standby retries less often, as its neighbours tell it when the platform answers
 * again: its delay begins at the max_age divided by this, and is at most max_age. */
#define STANDBY_RETRY_DIVISOR 4

void ht_reading_init(struct ht_reading *r, const struct ht_reading_params *params, ht_ms now)
{
	*r = (struct ht_reading){
		.params = *params,
		.listing = true,
		.first_page = true,
		.started_at = now,
		.due = now,
		.verify_at = HT_NEVER,
		.proven_at = HT_NEVER,
		.failed_at = HT_NEVER,
	};
}

void ht_reading_clear(struct ht_reading *r)
{
	free(r->after);
	r->after = NULL;
}

void ht_reading_set_max_age(struct ht_reading *r, ht_ms max_age)
{
	r->max_age = max_age;
}

static ht_ms later(ht_ms a, ht_ms b)
{
	return a > b ? a : b;
}

/* When the next page of the first listing is due. */
static ht_ms first_listing_due(const struct ht_reading *r)
{
	if (r->first_page)
		return later(r->due, r->started_at + (r->deferred ? r->params.neighbour_wait
								  : r->params.start_delay));
	return r->deferred ? later(r->due, r->first_page_at + r->params.pages_wait) : r->due;
}

/* After its listing, an instance on standby gives its neighbours time to prove it. */
static ht_ms regular_due(const struct ht_reading *r)
{
	ht_ms due = r->due;

	if (r->listing && !r->listed)
		return first_listing_due(r);
	if (r->listing || !r->max_age)
		return due;
	if (r->proven_at == HT_NEVER)
		return due + r->max_age - r->params.wait;
	return later(r->proven_at + r->max_age, due);
}

/* Waits for an announcement of the new era by the reader first. The rate is limited to one read per
 * watch, as by regular_due(), even if a neighbour keeps reporting an era that does not exist. */
static ht_ms next_due(const struct ht_reading *r)
{
	ht_ms due = regular_due(r), verify;

	if (r->verify_at == HT_NEVER || r->listing)
		return due;
	verify = later(r->verify_at + r->params.neighbour_wait, r->call_at + r->params.wait);
	return verify < due ? verify : due;
}

void ht_reading_set_deferred(struct ht_reading *r, bool deferred)
{
	r->deferred = deferred;
}

/* A watch ends params.wait after the last proof, so that proofs come at regular intervals. */
static ht_ms watch_wait(const struct ht_reading *r, ht_ms now)
{
	ht_ms wait;

	if (r->max_age || r->proven_at == HT_NEVER)
		return 1;
	wait = r->proven_at + r->params.wait - now;
	return wait > 1 ? wait : 1;
}

bool ht_reading_next(struct ht_reading *r, ht_ms now, struct ht_reading_call *call, ht_ms *due)
{
	*due = HT_NEVER;
	if (r->busy)
		return false;
	if (now < next_due(r)) {
		*due = next_due(r);
		return false;
	}
	*call = (struct ht_reading_call){.watch = !r->listing, .after = ""};
	if (r->listing) {
		call->stale_ok = !r->exact_list;
		if (r->after)
			call->after = r->after;
	} else {
		call->since = r->revision.number;
		call->wait = watch_wait(r, now);
	}
	r->busy = true;
	r->verify_at = HT_NEVER;
	r->call = *call;
	r->call_at = now;
	return true;
}

static void restart_listing(struct ht_reading *r, ht_ms due)
{
	r->listing = true;
	r->first_page = true;
	r->exact_list = true;
	ht_reading_clear(r);
	r->due = due;
}

static void succeeded(struct ht_reading *r)
{
	r->busy = false;
	r->failures = 0;
}

/* Time for neighbours to supply a view of the new era; 0 if this instance reads for others, and
 * shorter the earlier it would take over reading. */
static ht_ms era_listing_delay(const struct ht_reading *r)
{
	return r->max_age ? r->params.neighbour_wait + r->max_age - r->params.wait : 0;
}

bool ht_reading_begin_era(struct ht_reading *r, uint64_t era, ht_ms now)
{
	if (era <= r->era)
		return false;
	r->era = era;
	r->busy = false;
	r->verify_at = HT_NEVER;
	/* There is no view to replace, and a listing before its first page will be of this era. */
	if (!r->listed && r->first_page)
		return true;
	r->failed_at = now;
	restart_listing(r, now + (r->listed ? era_listing_delay(r) : 0));
	return true;
}

enum ht_reading_answer ht_reading_answered(struct ht_reading *r, uint64_t era, ht_ms now)
{
	bool first_page = r->listing && r->first_page && !r->call.watch;

	if (era < r->era) {
		ht_reading_failed(r, now);
		return HT_READING_OLD_ERA;
	}
	if (era == r->era)
		return HT_READING_CURRENT_ERA;
	ht_reading_begin_era(r, era, now);
	return first_page ? HT_READING_CURRENT_ERA : HT_READING_NEW_ERA;
}

void ht_reading_verify_era(struct ht_reading *r, ht_ms now)
{
	if (r->verify_at == HT_NEVER)
		r->verify_at = now;
}

/* Remembers the name after which the listing continues. False if it is the same as before. */
static bool advance(struct ht_reading *r, const char *last)
{
	char *after;

	if (!last[0] || (r->after && strcmp(last, r->after) == 0))
		return false;
	after = strdup(last);
	if (!after)
		return false;
	free(r->after);
	r->after = after;
	return true;
}

enum ht_reading_result ht_reading_page(struct ht_reading *r, struct ht_revision revision, bool more,
				       const char *last, ht_ms now)
{
	if (r->listing && more && !advance(r, last)) {
		ht_reading_failed(r, now);
		return HT_READING_NO_PROGRESS;
	}
	succeeded(r);
	r->due = now;
	if (!r->listing)
		return HT_READING_IGNORED;
	if (r->first_page) {
		r->list_revision = revision;
		r->list_call_at = r->call_at;
		r->first_page = false;
		r->first_page_at = now;
	}
	if (ht_revision_before(revision, r->list_revision))
		r->list_revision = revision;
	if (ht_revision_before(revision, r->revision)) {
		restart_listing(r, now);
		return HT_READING_STALE;
	}
	if (more)
		return HT_READING_MORE;
	r->listing = false;
	r->listed = true;
	r->verified = true;
	r->revision = r->list_revision;
	/* Only the next read returns the changes made since the oldest page. */
	r->proven_at = r->exact_list ? r->list_call_at : HT_NEVER;
	ht_reading_clear(r);
	return HT_READING_COMPLETE;
}

void ht_reading_changes(struct ht_reading *r, struct ht_revision revision, bool changed, ht_ms now)
{
	succeeded(r);
	r->revision = ht_revision_max(r->revision, revision);
	/* A watch that waited returns the state at its end. */
	r->proven_at = r->call.wait > 1 ? now : r->call_at;
	r->due = changed ? now + r->params.pause : now;
}

/* The view is not verified: a listing follows, or the one in progress goes on. */
static void list_anyway(struct ht_reading *r, ht_ms now)
{
	if (!r->listing)
		restart_listing(r, now);
	else if (r->first_page && !r->busy)
		r->exact_list = true; /* another answer is likely older than the view */
}

void ht_reading_adopt(struct ht_reading *r, struct ht_revision revision, bool verified, ht_ms now)
{
	if (revision.era < r->era || (r->listed && !ht_revision_before(r->revision, revision)))
		return;
	ht_reading_begin_era(r, revision.era, now);
	r->verified = verified && (r->verified || !r->listed);
	if (!r->verified) {
		list_anyway(r, now);
	} else if (!r->listed || r->revision.era < revision.era) {
		r->listing = false;
		r->due = now;
	}
	r->listed = true;
	r->revision = revision;
}

void ht_reading_proven_by_neighbour(struct ht_reading *r, ht_ms proven_at)
{
	if (!r->listed)
		return;
	if (r->proven_at == HT_NEVER || proven_at > r->proven_at)
		r->proven_at = proven_at;
}

void ht_reading_history_gone(struct ht_reading *r, ht_ms now)
{
	r->busy = false;
	r->failed_at = now;
	restart_listing(r, now);
}

void ht_reading_failed(struct ht_reading *r, ht_ms now)
{
	bool standby = r->max_age && !r->listing;
	ht_ms pause = standby ? r->max_age / STANDBY_RETRY_DIVISOR : RETRY_FIRST_MS;
	ht_ms max = standby ? r->max_age : RETRY_MAX_MS;

	for (uint32_t i = 0; i < r->failures && pause < max; i++)
		pause *= 2;
	if (pause > max)
		pause = max;
	/* Jitter of up to half the delay, so that instances do not retry at the same time. */
	pause -= (ht_ms)(ht_hash_pair(r->params.seed, r->failures) % (uint64_t)(pause / 2));
	r->busy = false;
	r->failures++;
	r->failed_at = now;
	r->due = now + pause;
}

bool ht_reading_complete(const struct ht_reading *r)
{
	return r->listed && r->proven_at != HT_NEVER;
}

ht_ms ht_reading_hold_until(const struct ht_reading *r, ht_ms now)
{
	if (r->failed_at == HT_NEVER || now - r->failed_at >= r->params.hold)
		return now;
	return r->failed_at + r->params.hold;
}

ht_ms ht_reading_age(const struct ht_reading *r, ht_ms now)
{
	return r->proven_at == HT_NEVER ? HT_NEVER : now - r->proven_at;
}
