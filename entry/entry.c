#include "entry/entry.h"

#include "base/hash.h"
#include "core/leaving.h"
#include "entry/feed.h"
#include "entry/link.h"
#include "entry/packets.h"
#include "entry/readiness.h"
#include "entry/settings.h"

#include <ev.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* Silent flows are dropped, and a changed settings file is noticed, at this interval. */
#define TICK_MS 500

/* Neighbours are greeted once a second; an instance without a view greets each tick. */
#define TICKS_PER_GREETING 2

/* An instance that starts greets this often until its view is proven. */
#define START_ROUND_MS 100

/* Packets wait in the socket until the view is there, at most this long: callers send an opening
 * packet again after 200 and 400 ms. */
#define START_HOLD_MS 400

/* Routers ask twice a second and take an instance out after two refusals; a second more lets
 * packets on the way arrive. */
#define STOP_NOTICE_MS 2000
#define STOP_QUIET_MS 700

struct ht_entry {
	struct ev_loop *loop;
	const char *path;
	struct timespec modified;
	struct ht_entry_settings settings;
	struct ht_entry_log log;
	struct ht_catalog *catalog;
	struct ht_reports reports;
	struct ht_steering *steering;
	struct ht_packets *packets;
	struct ht_readiness *readiness;
	struct ht_feed *feed;
	struct ht_link *link;
	ev_signal term, interrupt, hup;
	ev_timer tick, end;
	ev_timer start_round;
	ht_ms started_at;
	bool usable, stopping;
	unsigned int ticks;
	ht_ms stop_asked;
};

static ht_ms now_ms(void)
{
	return ht_clock_now(&ht_clock_monotonic);
}

static void update_state(struct ht_entry *e)
{
	struct ht_view_state view;

	ht_feed_view(e->feed, &view);
	ht_steering_set_complete(e->steering, ht_feed_complete(e->feed));
	if (view.usable && !e->usable) {
		e->usable = true;
		ht_packets_start(e->packets);
		ht_entry_log(&e->log, HT_EV_ENTRY_READY, "targets=%zu version=%llu",
			     ht_catalog_target_count(e->catalog),
			     (unsigned long long)ht_catalog_version(e->catalog));
		if (e->link)
			ht_link_round(e->link);
	}
	ht_readiness_set(e->readiness, e->usable && !e->stopping);
}

static void on_read(void *ctx, bool proven)
{
	struct ht_entry *e = ctx;

	update_state(e);
	if (proven && e->link)
		ht_link_announce(e->link);
}

static void on_neighbour(void *ctx)
{
	update_state(ctx);
}

static struct ht_feed *current_feed(void *ctx)
{
	const struct ht_entry *e = ctx;

	return e->feed;
}

static void arm_end(struct ht_entry *e)
{
	const struct ht_leaving_params params = {
		.notice = STOP_NOTICE_MS,
		.quiet = STOP_QUIET_MS,
		.grace = (ht_ms)(e->settings.stop_grace_s * 1000),
	};
	ht_ms now = now_ms();
	ht_ms end = ht_leaving_end(&params, e->stop_asked, ht_packets_last(e->packets));

	if (end <= now) {
		ev_break(e->loop, EVBREAK_ALL);
		return;
	}
	ev_timer_set(&e->end, (double)(end - now) / 1000, 0);
	ev_timer_start(e->loop, &e->end);
}

static void on_end(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	arm_end(timer->data);
}

static void on_stop(struct ev_loop *loop, ev_signal *sig, int revents)
{
	struct ht_entry *e = sig->data;

	(void)loop;
	(void)revents;
	if (e->stopping)
		return;
	e->stopping = true;
	e->stop_asked = now_ms();
	ht_readiness_set(e->readiness, false);
	ht_entry_log(&e->log, HT_EV_ENTRY_STOPPING, "flows=%zu",
		     ht_steering_flow_count(e->steering));
	arm_end(e);
}

static struct timespec modified_at(const char *path)
{
	struct stat st;

	return stat(path, &st) == 0 ? st.st_mtim : (struct timespec){0};
}

static bool feed_start(struct ht_entry *e, struct ht_err *err)
{
	e->feed = ht_feed_new(&(struct ht_feed_params){
		.loop = e->loop,
		.catalog = e->catalog,
		.settings = &e->settings,
		.log = &e->log,
		.seed = ht_hash_str(e->settings.instance) ^ (uint64_t)getpid(),
		.changed = on_read,
		.ctx = e,
	});
	return e->feed || ht_err_set(err, HT_ENOMEM, "out of memory");
}

static bool link_start(struct ht_entry *e, struct ht_err *err)
{
	e->link = ht_link_new(
		&(struct ht_link_params){
			.loop = e->loop,
			.settings = &e->settings,
			.catalog = e->catalog,
			.steering = e->steering,
			.reports = &e->reports,
			.log = &e->log,
			.feed = current_feed,
			.changed = on_neighbour,
			.ctx = e,
		},
		err);
	if (e->link)
		ht_link_round(e->link);
	return e->link;
}

static bool same_addr(const struct ht_addr *a, const struct ht_addr *b)
{
	char x[HT_ADDR_TEXT], y[HT_ADDR_TEXT];

	return strcmp(ht_addr_format(a, x), ht_addr_format(b, y)) == 0;
}

/* Settings that name sockets of this process or its place hold until the next start. */
static void reload(struct ht_entry *e)
{
	struct ht_entry_settings set;
	struct ht_err err;
	bool store_changed;

	e->modified = modified_at(e->path);
	if (!ht_entry_settings_load(&set, e->path, &err)) {
		ht_entry_log(&e->log, HT_EV_SETTINGS_REFUSED, "reason=\"%s\"", err.text);
		return;
	}
	if (!same_addr(&set.packet_address, &e->settings.packet_address) ||
	    !same_addr(&set.ready_address, &e->settings.ready_address) ||
	    strcmp(set.data_centre, e->settings.data_centre) != 0)
		ht_entry_log(&e->log, HT_EV_SETTINGS_NEED_START, "file=%s", e->path);
	store_changed = !same_addr(&set.store_address, &e->settings.store_address) ||
			set.drain_bound != e->settings.drain_bound ||
			set.config_bound != e->settings.config_bound;
	ht_entry_settings_clear(&e->settings);
	e->settings = set;
	e->log.instance = e->settings.instance;
	e->log.level = (enum ht_level)ht_level_parse(e->settings.log_level);
	ht_entry_log(&e->log, HT_EV_SETTINGS_RELOADED, "store_changed=%d", store_changed);
	if (!store_changed)
		return;
	ht_feed_free(e->feed);
	if (!feed_start(e, &err))
		ht_entry_log(&e->log, HT_EV_OUT_OF_MEMORY, "object=feed");
}

static void on_hup(struct ev_loop *loop, ev_signal *sig, int revents)
{
	(void)loop;
	(void)revents;
	reload(sig->data);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct ht_entry *e = timer->data;
	struct timespec modified = modified_at(e->path);
	ht_ms now = now_ms();

	(void)loop;
	(void)revents;
	ht_steering_expire(e->steering, now);
	ht_catalog_expire(e->catalog, now, (ht_ms)(e->settings.flow_max_s * 1000));
	if (!ht_feed_complete(e->feed) || ++e->ticks % TICKS_PER_GREETING == 0)
		ht_link_round(e->link);
	if (modified.tv_sec != e->modified.tv_sec || modified.tv_nsec != e->modified.tv_nsec)
		reload(e);
}

static void on_start_round(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct ht_entry *e = timer->data;

	(void)revents;
	if (now_ms() - e->started_at >= START_HOLD_MS)
		ht_packets_start(e->packets);
	ht_link_round(e->link);
	if (ht_feed_complete(e->feed))
		ev_timer_stop(loop, timer);
}

static void watch_signal(struct ht_entry *e, ev_signal *sig, int number,
			 void (*cb)(struct ev_loop *loop, ev_signal *sig, int revents))
{
	ev_signal_init(sig, cb, number);
	sig->data = e;
	ev_signal_start(e->loop, sig);
}

static bool start(struct ht_entry *e, struct ht_err *err)
{
	struct ht_steering_params params;

	e->started_at = now_ms();
	e->modified = modified_at(e->path);
	if (!ht_entry_settings_load(&e->settings, e->path, err))
		return false;
	e->log.instance = e->settings.instance;
	e->log.level = (enum ht_level)ht_level_parse(e->settings.log_level);
	e->catalog = ht_catalog_new(e->settings.data_centre);
	ht_steering_params_default(&params);
	params.catalog = e->catalog;
	params.reports = &e->reports;
	params.seed = ht_hash_pair(ht_hash_str(e->settings.instance), (uint64_t)ht_clock_wall());
	e->steering = e->catalog ? ht_steering_new(&params) : NULL;
	if (!e->steering)
		return ht_err_set(err, HT_ENOMEM, "out of memory");
	e->packets = ht_packets_new(
		&(struct ht_packets_params){
			.loop = e->loop,
			.address = &e->settings.packet_address,
			.steering = e->steering,
			.log = &e->log,
		},
		err);
	e->readiness =
		e->packets ? ht_readiness_new(e->loop, &e->settings.ready_address, err) : NULL;
	return e->readiness && feed_start(e, err) && link_start(e, err);
}

struct ht_entry *ht_entry_new(struct ev_loop *loop, const char *path, struct ht_err *err)
{
	struct ht_entry *e = calloc(1, sizeof(*e));

	if (!e) {
		ht_err_set(err, HT_ENOMEM, "out of memory");
		return NULL;
	}
	e->loop = loop;
	e->path = path;
	ev_timer_init(&e->tick, on_tick, TICK_MS / 1000.0, TICK_MS / 1000.0);
	e->tick.data = e;
	ev_timer_init(&e->start_round, on_start_round, START_ROUND_MS / 1000.0,
		      START_ROUND_MS / 1000.0);
	e->start_round.data = e;
	ev_timer_init(&e->end, on_end, 0, 0);
	e->end.data = e;
	watch_signal(e, &e->term, SIGTERM, on_stop);
	watch_signal(e, &e->interrupt, SIGINT, on_stop);
	watch_signal(e, &e->hup, SIGHUP, on_hup);
	if (start(e, err)) {
		ev_timer_start(loop, &e->tick);
		ev_timer_start(loop, &e->start_round);
		ht_entry_log(&e->log, HT_EV_ENTRY_STARTED, "dc=%s", e->settings.data_centre);
		return e;
	}
	ht_entry_free(e);
	return NULL;
}

void ht_entry_free(struct ht_entry *e)
{
	if (!e)
		return;
	ev_timer_stop(e->loop, &e->tick);
	ev_timer_stop(e->loop, &e->end);
	ev_signal_stop(e->loop, &e->term);
	ev_signal_stop(e->loop, &e->interrupt);
	ev_signal_stop(e->loop, &e->hup);
	ev_timer_stop(e->loop, &e->start_round);
	ht_link_free(e->link);
	ht_feed_free(e->feed);
	ht_readiness_free(e->readiness);
	ht_packets_free(e->packets);
	ht_steering_free(e->steering);
	ht_catalog_free(e->catalog);
	ht_entry_settings_clear(&e->settings);
	free(e);
}

void ht_entry_run(struct ht_entry *e)
{
	ev_run(e->loop, 0);
	ht_entry_log(&e->log, HT_EV_ENTRY_STOPPED, "flows=%zu",
		     ht_steering_flow_count(e->steering));
}
