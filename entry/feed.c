#include "entry/feed.h"

#include "core/reading.h"
#include "platform/store.h"

#include <ev.h>
#include <stdlib.h>

/* Targets write to the store about once a second; pausing this long between watches lets one
 * watch collect their changes. */
#define TARGETS_PAUSE_MS 700
/*
 * Shares of the time bound for applying a change (settings drain_bound and config_bound).
 *
 * A watch waits at the store for WAIT_SHARE of the bound, so that its end proves the view well
 * within the bound. A standby instance reads once the proof is older than that wait plus the slack
 * that announcements need for a few hops. Standby instances of higher rank read one step later
 * each, because the first ones that read announce the result to the others.
 */
#define WAIT_SHARE 0.5
#define STANDBY_SLACK_SHARE 0.1
#define STANDBY_RANK_SHARE 0.12 /* limit for the sum of the steps */
#define STANDBY_STEP_MS 100
/* Spread added to the delay, taken from the seed of the instance, because the highest ranks
 * share one limit. */
#define STANDBY_SPREAD_MS 50
/* The store ends a watch at the requested wait; without an answer this long after it, the call
 * has failed. */
#define ANSWER_MARGIN_MS 1500
/* Entries that expired while the store was down reappear within two seconds of its return. */
#define SETTLE_MS 2500
/* The store drops the entry of a target after three missed report intervals; one more allows for
 * a report that was in flight. */
#define LAPSE_INTERVALS 4
/* A live neighbour answers a greeting within this time, so the first listing starts after it. */
#define FIRST_LISTING_DELAY_MS 20
/* A neighbour that lists the store itself has its view within this time, and serves it within
 * the same time again. */
#define DEFER_LISTING_MS 500
/* If hundreds of instances start together, the last ones get a view within this time. On a small
 * share of a core, listing thousands of targets takes as long, and serves nobody meanwhile. */
#define DEFER_PAGES_MS 3000

struct source {
	struct ht_feed *feed;
	enum ht_store_kind kind;
	struct ht_reading reading;
	struct ht_store_op *op;
	ev_timer timer;
	bool failing;
	ht_ms standby_read_age; /* age of a proof at which the first standby instance reads */
	ht_ms rank_delay_max;	/* delay after that age until the last one reads */
};

struct ht_feed {
	struct ht_feed_params params;
	struct ht_store *store;
	struct source sources[HT_STORE_KINDS];
	bool evacuations; /* are read */
	bool standby;
	size_t rank;
	bool era_logged; /* the summary of the new era has been logged */
};

static void start_due_call(struct source *src);

static void start_due_calls(struct ht_feed *feed)
{
	for (int kind = 0; kind < HT_STORE_KINDS; kind++)
		start_due_call(&feed->sources[kind]);
}

static void apply_target(struct source *src, const struct ht_store_target *t, ht_ms now)
{
	struct ht_catalog *cat = src->feed->params.catalog;
	struct ht_logger *log = src->feed->params.log;
	enum ht_catalog_change change;
	char text[HT_REVISION_TEXT];

	if (t->usable) {
		change = ht_catalog_put_target(cat, &t->entry, HT_CATALOG_STORE, now);
	} else {
		change = ht_catalog_remove_target(
			cat, t->entry.name, t->entry.revision, now,
			t->deleted ? ht_reading_hold_until(&src->reading, now) : now);
		if (!t->deleted) {
			ht_catalog_mark_present(cat, t->entry.name, HT_CATALOG_STORE);
			ht_logger_event(log, HT_EV_TARGET_UNUSABLE,
					"target=%s revision=%s reason=\"%s\"", t->entry.name,
					ht_revision_text(text, t->entry.revision),
					t->unusable_reason);
		}
	}
	if (change == HT_CATALOG_FAILED)
		ht_logger_event(log, HT_EV_OUT_OF_MEMORY, "object=%s", t->entry.name);
}

static void apply_routes(struct source *src, const struct ht_route_table *table)
{
	struct ht_catalog *cat = src->feed->params.catalog;
	struct ht_logger *log = src->feed->params.log;
	enum ht_catalog_change change = ht_catalog_set_routes(cat, table);
	char text[HT_REVISION_TEXT];

	if (change == HT_CATALOG_OLDER)
		ht_logger_event(log, HT_EV_ROUTES_OLDER, "version=%llu revision=%s in_force=%llu",
				(unsigned long long)table->id.version,
				ht_revision_text(text, table->id.revision),
				(unsigned long long)ht_catalog_routes(cat).version);
	else if (change == HT_CATALOG_FAILED)
		ht_logger_event(log, HT_EV_OUT_OF_MEMORY, "object=routes");
}

static void apply_evacuation(struct source *src, const struct ht_store_evacuation *ev, ht_ms now)
{
	if (ht_catalog_put_evacuation(src->feed->params.catalog, ev->dc, !ev->deleted, ev->revision,
				      now) == HT_CATALOG_FAILED)
		ht_logger_event(src->feed->params.log, HT_EV_OUT_OF_MEMORY, "object=%s", ev->dc);
}

/* Makes entries that a restore of the store from an older backup has brought back usable again,
 * once they have had time to expire and have not. */
static void readmit_restored(struct ht_feed *feed, ht_ms now)
{
	ht_ms proven_at = feed->sources[HT_STORE_TARGETS].reading.proven_at;
	ht_ms lapse = (ht_ms)(LAPSE_INTERVALS * feed->params.settings->report_interval);

	if (proven_at != HT_NEVER)
		ht_catalog_readmit_restored(feed->params.catalog, proven_at, lapse, now);
}

/* Logs one summary line once all targets are known in a new era. */
static void log_era_synced(struct ht_feed *feed, size_t missing)
{
	const struct ht_catalog *cat = feed->params.catalog;
	char text[HT_REVISION_TEXT];

	if (feed->era_logged)
		return;
	feed->era_logged = true;
	ht_logger_event(feed->params.log, HT_EV_STORE_ERA_KNOWN,
			"revision=%s version=%llu targets=%zu missing=%zu restored=%zu",
			ht_revision_text(text, feed->sources[HT_STORE_TARGETS].reading.revision),
			(unsigned long long)ht_catalog_routes(cat).version,
			ht_catalog_target_count(cat), missing, ht_catalog_restored(cat));
}

static void cancel_call(struct source *src)
{
	if (src->op)
		ht_store_cancel(src->op);
	src->op = NULL;
}

/* @discovered_by: the source whose answer revealed the era and that has already switched to it, or
 * NULL. */
static void begin_era(struct ht_feed *feed, uint64_t era, struct source *discovered_by)
{
	const struct ht_reading *targets = &feed->sources[HT_STORE_TARGETS].reading;
	struct ht_revision known = targets->listed ? targets->revision : (struct ht_revision){0};
	char text[HT_REVISION_TEXT];
	ht_ms now = ht_now();

	ht_catalog_begin_era(feed->params.catalog, era, known.number, now);
	feed->params.stats->store_returns += targets->listed;
	feed->era_logged = !targets->listed;
	if (targets->listed)
		ht_logger_event(
			feed->params.log, HT_EV_STORE_ERA, "era=%llu known=%s version=%llu",
			(unsigned long long)era, ht_revision_text(text, known),
			(unsigned long long)ht_catalog_routes(feed->params.catalog).version);
	for (int kind = 0; kind < HT_STORE_KINDS; kind++) {
		struct source *src = &feed->sources[kind];

		if (src == discovered_by || !ht_reading_begin_era(&src->reading, era, now))
			continue;
		cancel_call(src);
		start_due_call(src);
	}
}

/* Returns true if @reply may be used: it is of the current era, or is the first page of a
 * listing and starts a new one. Any other answer of a newer era starts that era, but its
 * contents are dropped. */
static bool check_era(struct source *src, const struct ht_store_reply *reply, ht_ms now)
{
	uint64_t before = src->reading.era, era = reply->revision.era;
	enum ht_reading_answer answer = ht_reading_answered(&src->reading, era, now);

	if (src->reading.era != before)
		begin_era(src->feed, era, src);
	if (answer == HT_READING_OLD_ERA)
		ht_logger_event(src->feed->params.log, HT_EV_STORE_LATE_ERA,
				"era=%llu present=%llu", (unsigned long long)era,
				(unsigned long long)src->reading.era);
	return answer == HT_READING_CURRENT_ERA;
}

static void log_repair(struct source *src, const struct ht_store_reply *reply)
{
	if (reply->repair.count)
		ht_logger_event(
			src->feed->params.log, HT_EV_STORE_VALUES_UNREADABLE,
			"kind=%s object=%s field=%s count=%zu", ht_store_kind_name(src->kind),
			reply->repaired_object ? reply->repaired_object : "-",
			reply->repair.field[0] ? reply->repair.field : "-", reply->repair.count);
}

static void log_unreadable(struct source *src, const struct ht_store_reply *reply)
{
	for (size_t i = 0; i < reply->unreadable_count && i < HT_STORE_UNREADABLE_MAX; i++)
		ht_logger_event(src->feed->params.log, HT_EV_ROUTE_UNREADABLE,
				"route=%s version=%llu reason=\"%s\" count=%zu",
				reply->unreadable[i].name ? reply->unreadable[i].name : "-",
				(unsigned long long)reply->routes.id.version,
				reply->unreadable[i].reason, reply->unreadable_count);
	src->feed->params.stats->routes_unreadable += reply->unreadable_count;
}

static void apply_objects(struct source *src, const struct ht_store_reply *reply, ht_ms now)
{
	for (size_t i = 0; i < reply->target_count; i++)
		apply_target(src, &reply->targets[i], now);
	for (size_t i = 0; i < reply->evacuation_count; i++)
		apply_evacuation(src, &reply->evacuations[i], now);
	log_repair(src, reply);
	log_unreadable(src, reply);
	if (reply->has_routes)
		apply_routes(src, &reply->routes);
	if (reply->malformed)
		ht_logger_event(src->feed->params.log, HT_EV_STORE_OBJECTS_SKIPPED, "count=%zu",
				reply->malformed);
}

static void begin_listing(struct source *src)
{
	struct ht_catalog *cat = src->feed->params.catalog;

	if (src->kind == HT_STORE_TARGETS)
		ht_catalog_begin_listing(cat, HT_CATALOG_STORE);
	if (src->kind == HT_STORE_EVACUATIONS)
		ht_catalog_begin_evacuations(cat);
}

static void end_listing(struct source *src, ht_ms now)
{
	const struct ht_reading *reading = &src->reading;
	struct ht_catalog *cat = src->feed->params.catalog;

	if (src->kind == HT_STORE_TARGETS)
		log_era_synced(src->feed,
			       ht_catalog_end_listing(cat, HT_CATALOG_STORE, reading->list_revision,
						      now, ht_reading_hold_until(reading, now)));
	if (src->kind == HT_STORE_EVACUATIONS)
		ht_catalog_end_evacuations(cat, reading->list_revision, now);
}

/* Returns true if the listing is complete and exact. */
static bool apply_page(struct source *src, const struct ht_store_reply *reply, ht_ms now)
{
	bool first_page = src->reading.first_page;
	enum ht_reading_result result =
		ht_reading_page(&src->reading, reply->revision, reply->more, reply->last, now);

	if (!ht_reading_usable(result))
		return false;
	if (first_page)
		begin_listing(src);
	apply_objects(src, reply, now);
	if (result != HT_READING_COMPLETE)
		return false;
	end_listing(src, now);
	return src->reading.exact_list;
}

/* Returns true if an exact read has now proven what is known. */
static bool apply_reply(struct source *src, const struct ht_store_reply *reply, ht_ms now)
{
	ht_catalog_note_era_revision(src->feed->params.catalog, reply->revision);
	if (!reply->watch)
		return apply_page(src, reply, now);
	apply_objects(src, reply, now);
	ht_reading_changes(&src->reading, reply->revision,
			   reply->target_count || reply->has_routes || reply->evacuation_count,
			   now);
	return true;
}

/* Logs the first failure, and the first success after it. */
static void log_health_change(struct source *src, const struct ht_store_reply *reply)
{
	bool failed = reply->outcome == HT_STORE_FAILED;

	if (failed == src->failing)
		return;
	src->failing = failed;
	if (failed)
		ht_logger_event(src->feed->params.log, HT_EV_STORE_LOST, "kind=%s reason=\"%s\"",
				ht_store_kind_name(src->kind), reply->err.text);
	else
		ht_logger_event(src->feed->params.log, HT_EV_STORE_REGAINED, "kind=%s",
				ht_store_kind_name(src->kind));
}

static void count_call(const struct source *src, const struct ht_store_reply *reply, ht_ms now)
{
	enum ht_store_call call = reply->watch ? HT_CALL_WATCH : HT_CALL_LIST;
	struct ht_store_stats *st = &src->feed->params.stats->store[src->kind][call];

	ht_histogram_add(&st->time, (double)(now - src->reading.call_at) / 1000);
	st->failed += reply->outcome == HT_STORE_FAILED;
}

static bool handle_reply(struct source *src, const struct ht_store_reply *reply, ht_ms now)
{
	char text[HT_REVISION_TEXT];
	bool proven;

	if (reply->outcome == HT_STORE_FAILED) {
		ht_reading_failed(&src->reading, now);
		if (reply->has_era && ht_reading_begin_era(&src->reading, reply->revision.era, now))
			begin_era(src->feed, reply->revision.era, src);
		return false;
	}
	if (!check_era(src, reply, now))
		return false;
	if (reply->outcome == HT_STORE_HISTORY_GONE) {
		ht_logger_event(src->feed->params.log, HT_EV_STORE_HISTORY_GONE, "revision=%s",
				ht_revision_text(text, src->reading.revision));
		ht_reading_history_gone(&src->reading, now);
		return false;
	}
	proven = apply_reply(src, reply, now);
	readmit_restored(src->feed, now);
	return proven;
}

static void on_reply(void *ctx, const struct ht_store_reply *reply)
{
	struct source *src = ctx;
	struct ht_feed *feed = src->feed;
	ht_ms now = ht_now();

	src->op = NULL;
	count_call(src, reply, now);
	log_health_change(src, reply);
	feed->params.changed(feed->params.ctx, handle_reply(src, reply, now));
	start_due_call(src);
}

static void start_due_call(struct source *src)
{
	struct ht_feed *feed = src->feed;
	struct ht_reading_call call;
	ht_ms now = ht_now(), due;

	if (src->kind == HT_STORE_EVACUATIONS && !feed->evacuations)
		return;
	ev_timer_stop(feed->params.loop, &src->timer);
	if (ht_reading_next(&src->reading, now, &call, &due)) {
		src->op = ht_store_read(feed->store, src->kind, &call, ANSWER_MARGIN_MS, on_reply,
					src);
		if (src->op)
			return;
		ht_logger_event(feed->params.log, HT_EV_OUT_OF_MEMORY, "object=call");
		ht_reading_failed(&src->reading, now);
		due = src->reading.due;
	}
	if (due == HT_NEVER)
		return;
	ev_timer_set(&src->timer, (double)(due - now) / 1000, 0);
	ev_timer_start(feed->params.loop, &src->timer);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	start_due_call(timer->data);
}

static void init_source(struct ht_feed *feed, enum ht_store_kind kind, ht_ms bound, ht_ms pause)
{
	struct source *src = &feed->sources[kind];
	ht_ms wait = (ht_ms)(WAIT_SHARE * (double)bound);
	const struct ht_reading_params params = {
		.seed = feed->params.seed + kind,
		.pause = pause,
		.wait = wait,
		.hold = SETTLE_MS,
		.start_delay = FIRST_LISTING_DELAY_MS,
		.neighbour_wait = DEFER_LISTING_MS,
		.pages_wait = DEFER_PAGES_MS,
	};

	src->feed = feed;
	src->kind = kind;
	src->standby_read_age = wait + (ht_ms)(STANDBY_SLACK_SHARE * (double)bound);
	src->rank_delay_max = (ht_ms)(STANDBY_RANK_SHARE * (double)bound) - STANDBY_SPREAD_MS;
	ht_reading_init(&src->reading, &params, ht_now());
	/* After a reload the catalogue still holds what the previous feed has read. */
	ht_reading_begin_era(&src->reading, ht_catalog_era(feed->params.catalog), ht_now());
	ev_timer_init(&src->timer, on_timer, 0, 0);
	src->timer.data = src;
}

struct ht_feed *ht_feed_new(const struct ht_feed_params *params)
{
	const struct ht_entry_settings *set = params->settings;
	struct ht_feed *feed = calloc(1, sizeof(*feed));

	if (!feed)
		return NULL;
	feed->params = *params;
	feed->era_logged = true;
	feed->store = ht_store_new(params->loop, &set->store_address);
	if (!feed->store) {
		free(feed);
		return NULL;
	}
	feed->evacuations = set->evacuation_bound > 0;
	init_source(feed, HT_STORE_ROUTES, (ht_ms)set->config_bound, 0);
	init_source(feed, HT_STORE_TARGETS, (ht_ms)set->drain_bound, TARGETS_PAUSE_MS);
	init_source(feed, HT_STORE_EVACUATIONS,
		    (ht_ms)(feed->evacuations ? set->evacuation_bound : set->config_bound), 0);
	start_due_calls(feed);
	return feed;
}

/* Evacuations have no age of their own in messages: they and the routes count as proven when both
 * are. */
static void include_evacuations(const struct ht_feed *feed, struct ht_view_state *view, ht_ms now)
{
	const struct ht_reading *r = &feed->sources[HT_STORE_EVACUATIONS].reading;
	ht_ms age = ht_reading_age(r, now);

	if (!feed->evacuations)
		return;
	view->usable = view->usable && r->listed;
	view->failing = view->failing || feed->sources[HT_STORE_EVACUATIONS].failing;
	view->evacuations = ht_catalog_evacuations(feed->params.catalog);
	if (ht_revision_before(r->revision, view->read_to))
		view->read_to = r->revision;
	if (age == HT_NEVER || view->routes_age == HT_NEVER)
		view->routes_age = HT_NEVER;
	else if (age > view->routes_age)
		view->routes_age = age;
}

/* A view is of the level at which all of its parts were read. */
static uint32_t reading_level(const struct ht_feed *feed)
{
	for (int kind = 0; kind < HT_STORE_KINDS; kind++)
		if (!feed->sources[kind].reading.verified &&
		    (kind != HT_STORE_EVACUATIONS || feed->evacuations))
			return 0;
	return HT_READING_LEVEL;
}

void ht_feed_view(const struct ht_feed *feed, struct ht_view_state *view)
{
	const struct ht_reading *routes = &feed->sources[HT_STORE_ROUTES].reading;
	const struct ht_reading *targets = &feed->sources[HT_STORE_TARGETS].reading;
	ht_ms now = ht_now();

	*view = (struct ht_view_state){
		.usable = routes->listed && targets->listed,
		.standby = feed->standby,
		.failing = feed->sources[HT_STORE_ROUTES].failing ||
			   feed->sources[HT_STORE_TARGETS].failing,
		.era = targets->era,
		.level = reading_level(feed),
		.routes = ht_catalog_routes(feed->params.catalog),
		.read_to = routes->revision,
		.targets = targets->revision,
		.routes_age = ht_reading_age(routes, now),
		.targets_age = ht_reading_age(targets, now),
	};
	include_evacuations(feed, view, now);
}

static ht_ms due_age(const struct source *src, bool standby, size_t rank)
{
	ht_ms delay = (ht_ms)rank * STANDBY_STEP_MS;

	if (!standby)
		return 0;
	if (delay > src->rank_delay_max)
		delay = src->rank_delay_max;
	return src->standby_read_age + delay + (ht_ms)(src->feed->params.seed % STANDBY_SPREAD_MS);
}

void ht_feed_set_standby(struct ht_feed *feed, bool standby, size_t rank)
{
	if (standby == feed->standby && rank == feed->rank)
		return;
	if (standby != feed->standby)
		ht_logger_event(feed->params.log, HT_EV_STORE_READER, "standby=%d", standby);
	feed->standby = standby;
	feed->rank = rank;
	for (int kind = 0; kind < HT_STORE_KINDS; kind++)
		ht_reading_set_max_age(&feed->sources[kind].reading,
				       due_age(&feed->sources[kind], standby, rank));
	start_due_calls(feed);
}

ht_ms ht_feed_standby_read_age(const struct ht_feed *feed)
{
	return feed->sources[HT_STORE_TARGETS].standby_read_age;
}

void ht_feed_defer_listing(struct ht_feed *feed, bool defer)
{
	if (defer == feed->sources[HT_STORE_TARGETS].reading.deferred)
		return;
	for (int kind = 0; kind < HT_STORE_KINDS; kind++)
		ht_reading_set_deferred(&feed->sources[kind].reading, defer);
	start_due_calls(feed);
}

bool ht_feed_observe_era(struct ht_feed *feed, uint64_t era, bool proven)
{
	uint64_t known = feed->sources[HT_STORE_TARGETS].reading.era;

	if (era <= known)
		return era == known;
	if (proven || !feed->sources[HT_STORE_TARGETS].reading.listed) {
		begin_era(feed, era, NULL);
		return true;
	}
	ht_reading_verify_era(&feed->sources[HT_STORE_ROUTES].reading, ht_now());
	start_due_call(&feed->sources[HT_STORE_ROUTES]);
	return false;
}

static void adopt(struct source *src, struct ht_revision revision, uint32_t level)
{
	ht_reading_adopt(&src->reading, revision, level >= HT_READING_LEVEL, ht_now());
	start_due_call(src);
}

void ht_feed_adopt_routes(struct ht_feed *feed, struct ht_revision read_to, uint32_t level)
{
	adopt(&feed->sources[HT_STORE_ROUTES], read_to, level);
}

void ht_feed_adopt_evacuations(struct ht_feed *feed, struct ht_revision read_to, uint32_t level)
{
	if (!feed->evacuations)
		return;
	adopt(&feed->sources[HT_STORE_EVACUATIONS], read_to, level);
}

void ht_feed_adopt_targets(struct ht_feed *feed, struct ht_revision revision, uint32_t level,
			   size_t missing)
{
	adopt(&feed->sources[HT_STORE_TARGETS], revision, level);
	log_era_synced(feed, missing);
}

void ht_feed_adopt_proofs(struct ht_feed *feed, ht_ms routes_proven_at, ht_ms targets_proven_at)
{
	if (routes_proven_at != HT_NEVER) {
		ht_reading_proven_by_neighbour(&feed->sources[HT_STORE_ROUTES].reading,
					       routes_proven_at);
		ht_reading_proven_by_neighbour(&feed->sources[HT_STORE_EVACUATIONS].reading,
					       routes_proven_at);
	}
	if (targets_proven_at != HT_NEVER)
		ht_reading_proven_by_neighbour(&feed->sources[HT_STORE_TARGETS].reading,
					       targets_proven_at);
	readmit_restored(feed, ht_now());
	start_due_calls(feed);
}

bool ht_feed_complete(const struct ht_feed *feed)
{
	return ht_reading_complete(&feed->sources[HT_STORE_ROUTES].reading) &&
	       ht_reading_complete(&feed->sources[HT_STORE_TARGETS].reading) &&
	       (!feed->evacuations ||
		ht_reading_complete(&feed->sources[HT_STORE_EVACUATIONS].reading));
}

ht_ms ht_feed_hold_until(const struct ht_feed *feed)
{
	return ht_reading_hold_until(&feed->sources[HT_STORE_TARGETS].reading, ht_now());
}

void ht_feed_free(struct ht_feed *feed)
{
	if (!feed)
		return;
	for (int kind = 0; kind < HT_STORE_KINDS; kind++) {
		ev_timer_stop(feed->params.loop, &feed->sources[kind].timer);
		ht_reading_clear(&feed->sources[kind].reading);
	}
	ht_store_free(feed->store);
	free(feed);
}
