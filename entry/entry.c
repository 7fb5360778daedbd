#include "entry/entry.h"

#include "base/hash.h"
#include "core/leaving.h"
#include "core/rotation.h"
#include "entry/decisions.h"
#include "entry/feed.h"
#include "entry/link.h"
#include "entry/metrics.h"
#include "entry/packets.h"
#include "entry/settings.h"
#include "platform/readiness.h"

#include <ev.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* Interval at which idle flows are expired and the settings file is checked for changes. */
#define TICK_MS 500

/* Greetings go out once a second, or on every tick until the view is complete. */
#define TICKS_PER_GREETING 2

/* Suppressed log lines are reported every ten seconds. */
#define TICKS_PER_LOG_REPORT 20

/* Interval of greetings after the start, until the instance has a view. */
#define START_ROUND_MS 100

/* Until the instance has a view, packets stay in the socket buffer for at most this long:
 * callers give up on an opening packet after 1,400 ms. */
#define START_HOLD_MS 800

/* On a planned stop, routers poll readiness twice a second and remove an instance after two
 * refusals; one more second lets packets in flight arrive. */
#define STOP_NOTICE_MS 2000
#define STOP_QUIET_MS 700

/* Requests in flight per slot of the fullest service from which instances share their load often,
 * and from which they share it at all. */
#define LOAD_BUSY 0.5
#define LOAD_RELAXED 0.05

struct ht_entry {
	struct ev_loop *loop;
	const char *path;
	struct timespec modified;
	struct ht_entry_settings settings;
	struct ht_logger *log;
	struct ht_entry_stats stats;
	struct ht_decisions *decisions;
	struct ht_metrics *metrics;
	struct ht_catalog *catalog;
	struct ht_reports reports;
	struct ht_load *load;
	struct ht_steering *steering;
	struct ht_packets *packets;
	struct ht_readiness *readiness;
	struct ht_feed *feed;
	struct ht_link *link;
	ev_signal term, interrupt, hup;
	ev_timer tick, exit_timer;
	ev_timer start_round;
	ev_prepare before_wait;
	ht_ms started_at;
	bool usable, stopping;
	enum ht_rotation rotation;
	unsigned int ticks;
	ht_ms stop_asked;
};

static enum ht_level log_level(const struct ht_entry_settings *set)
{
	return (enum ht_level)ht_level_parse(set->log_level);
}

static struct ht_log_budget total_budget(const struct ht_entry_settings *set)
{
	return (struct ht_log_budget){.lines = set->log_lines, .bytes = set->log_bytes};
}

static struct ht_log_budget event_budget(const struct ht_entry_settings *set)
{
	return (struct ht_log_budget){.lines = set->log_event_lines, .bytes = set->log_event_bytes};
}

static void fill_view_state(void *ctx, struct ht_view_state *view)
{
	const struct ht_entry *e = ctx;

	ht_feed_view(e->feed, view);
}

static bool is_ready(const struct ht_entry *e)
{
	return e->usable && !e->stopping && e->rotation == HT_ROTATION_IN;
}

static void fill_metrics_state(void *ctx, struct ht_metrics_state *state)
{
	const struct ht_entry *e = ctx;

	ht_feed_view(e->feed, &state->view);
	state->ready = is_ready(e);
	state->overload_control = e->load;
	state->neighbours = ht_link_neighbours(e->link);
}

static enum ht_rotation decide_rotation(struct ht_entry *e)
{
	struct ht_view_state view;

	if (!e->link || !e->usable)
		return HT_ROTATION_IN;
	ht_feed_view(e->feed, &view);
	return ht_rotation_decide(e->catalog, ht_link_others(e->link), view.targets_age, ht_now());
}

static void update_readiness(struct ht_entry *e)
{
	static const enum ht_event_number events[] = {
		[HT_ROTATION_IN] = HT_EV_ENTRY_REJOINED,
		[HT_ROTATION_EVACUATED] = HT_EV_ENTRY_WITHDRAWN,
		[HT_ROTATION_STRANDED] = HT_EV_ENTRY_STRANDED,
	};
	enum ht_rotation rotation = decide_rotation(e);

	if (rotation != e->rotation)
		ht_logger_event(e->log, events[rotation], "dc=%s", e->settings.data_centre);
	e->rotation = rotation;
	ht_readiness_set(e->readiness, is_ready(e));
}

/* @listed: the view comes from a read of the store, so other instances may not have one yet. */
static void update_state(struct ht_entry *e, bool listed)
{
	struct ht_view_state view;
	ht_ms now = ht_now();

	ht_feed_view(e->feed, &view);
	ht_steering_set_view_complete(e->steering, ht_feed_complete(e->feed));
	if (ht_feed_complete(e->feed))
		ht_steering_set_proofs(e->steering, now - view.routes_age, now - view.targets_age);
	if (view.usable && !e->usable) {
		e->usable = true;
		ht_packets_start(e->packets);
		ht_logger_event(e->log, HT_EV_ENTRY_READY, "targets=%zu version=%llu",
				ht_catalog_target_count(e->catalog),
				(unsigned long long)ht_catalog_routes(e->catalog).version);
		if (e->link) {
			ht_link_round(e->link);
			ht_link_announce_view(e->link, listed);
		}
	}
	update_readiness(e);
}

static void on_store_read(void *ctx, bool proven)
{
	struct ht_entry *e = ctx;

	update_state(e, true);
	if (proven && e->link)
		ht_link_announce_read(e->link);
}

static void on_neighbour_view(void *ctx)
{
	update_state(ctx, false);
}

static struct ht_feed *current_feed(void *ctx)
{
	const struct ht_entry *e = ctx;

	return e->feed;
}

static void schedule_exit(struct ht_entry *e)
{
	const struct ht_leaving_params params = {
		.notice = STOP_NOTICE_MS,
		.quiet = STOP_QUIET_MS,
		.grace = (ht_ms)(e->settings.stop_grace_s * 1000),
	};
	ht_ms now = ht_now();
	ht_ms end = ht_leaving_end(&params, e->stop_asked, ht_packets_last(e->packets));

	if (end <= now) {
		ev_break(e->loop, EVBREAK_ALL);
		return;
	}
	ev_timer_set(&e->exit_timer, (double)(end - now) / 1000, 0);
	ev_timer_start(e->loop, &e->exit_timer);
}

static void on_exit_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	schedule_exit(timer->data);
}

static void on_stop(struct ev_loop *loop, ev_signal *sig, int revents)
{
	struct ht_entry *e = sig->data;

	(void)loop;
	(void)revents;
	if (e->stopping)
		return;
	e->stopping = true;
	e->stop_asked = ht_now();
	update_readiness(e);
	ht_logger_event(e->log, HT_EV_ENTRY_STOPPING, "flows=%zu",
			ht_steering_flow_count(e->steering));
	schedule_exit(e);
}

static struct timespec modified_at(const char *path)
{
	struct stat st;

	return stat(path, &st) == 0 ? st.st_mtim : (struct timespec){0};
}

static bool start_feed(struct ht_entry *e, struct ht_err *err)
{
	e->feed = ht_feed_new(&(struct ht_feed_params){
		.loop = e->loop,
		.catalog = e->catalog,
		.settings = &e->settings,
		.log = e->log,
		.stats = &e->stats,
		.seed = ht_hash_str(e->settings.instance) ^ (uint64_t)getpid(),
		.changed = on_store_read,
		.ctx = e,
	});
	return e->feed || ht_err_set(err, HT_ENOMEM, "out of memory");
}

static void set_load_pace(struct ht_entry *e, ht_ms now)
{
	double occupancy = ht_steering_occupancy(e->steering, now);
	enum ht_load_pace pace = HT_LOAD_IDLE;

	if (occupancy >= LOAD_BUSY)
		pace = HT_LOAD_BUSY;
	else if (occupancy >= LOAD_RELAXED)
		pace = HT_LOAD_RELAXED;
	ht_link_set_load_pace(e->link, pace);
}

static void report_load(void *ctx, struct ht_load *load)
{
	struct ht_entry *e = ctx;

	(void)load;
	ht_steering_report_load(e->steering);
}

static void on_load_updated(void *ctx)
{
	struct ht_entry *e = ctx;
	ht_ms now = ht_now();

	ht_steering_update_load(e->steering, now);
	set_load_pace(e, now);
}

static bool start_link(struct ht_entry *e, struct ht_err *err)
{
	e->link = ht_link_new(
		&(struct ht_link_params){
			.loop = e->loop,
			.settings = &e->settings,
			.catalog = e->catalog,
			.steering = e->steering,
			.reports = &e->reports,
			.load = e->load,
			.add_targets = report_load,
			.load_updated = on_load_updated,
			.log = e->log,
			.stats = &e->stats.link,
			.feed = current_feed,
			.changed = on_neighbour_view,
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

static bool start_load(struct ht_entry *e)
{
	struct ht_load_params params;

	ht_load_params_default(&params);
	params.dc = ht_load_key(e->settings.data_centre);
	e->load = ht_load_new(&params);
	return e->load;
}

/* The steering does not refer to the load any more when that is freed. */
static void set_overload(struct ht_entry *e)
{
	struct ht_admission_params admission = ht_entry_settings_admission(&e->settings);
	bool on = e->settings.overload_control, was_on = e->load, ok = true;

	if (on && !was_on)
		ok = start_load(e) && ht_link_set_load(e->link, e->load);
	ht_steering_set_overload(e->steering, on && ok ? e->load : NULL, &admission, ht_now());
	if (was_on && !on)
		ok = ht_link_set_load(e->link, NULL);
	if (!on || !ok) {
		ht_load_free(e->load);
		e->load = NULL;
	}
	if (!ok)
		ht_logger_event(e->log, HT_EV_OUT_OF_MEMORY, "object=load");
}

static void set_bounds(struct ht_entry *e)
{
	ht_steering_set_bounds(e->steering, &(struct ht_steering_bounds){
						    .routes = (ht_ms)e->settings.config_bound,
						    .targets = (ht_ms)e->settings.drain_bound,
						    .warmup_overage = e->settings.warmup_overage,
						    .warmup_slack = e->settings.warmup_slack,
					    });
}

/* Changed addresses of the process's own sockets, or a changed data centre, take effect at the
 * next start only. */
static void reload(struct ht_entry *e)
{
	struct ht_entry_settings set;
	struct ht_err err;
	bool store_changed;

	e->modified = modified_at(e->path);
	if (!ht_entry_settings_load(&set, e->path, &err)) {
		ht_logger_event(e->log, HT_EV_SETTINGS_REFUSED, "reason=\"%s\"", err.text);
		return;
	}
	if (!same_addr(&set.packet_address, &e->settings.packet_address) ||
	    !same_addr(&set.ready_address, &e->settings.ready_address) ||
	    strcmp(set.data_centre, e->settings.data_centre) != 0)
		ht_logger_event(e->log, HT_EV_SETTINGS_NEED_START, "file=%s", e->path);
	store_changed = !same_addr(&set.store_address, &e->settings.store_address) ||
			set.drain_bound != e->settings.drain_bound ||
			set.config_bound != e->settings.config_bound ||
			set.evacuation_bound != e->settings.evacuation_bound;
	ht_entry_settings_clear(&e->settings);
	e->settings = set;
	ht_logger_configure(e->log, log_level(&e->settings), total_budget(&e->settings),
			    event_budget(&e->settings));
	ht_decisions_set_sample(e->decisions, (unsigned int)e->settings.log_sample);
	set_bounds(e);
	set_overload(e);
	ht_logger_event(e->log, HT_EV_SETTINGS_RELOADED, "store_changed=%d", store_changed);
	if (!store_changed)
		return;
	ht_feed_free(e->feed);
	if (!start_feed(e, &err))
		ht_logger_event(e->log, HT_EV_OUT_OF_MEMORY, "object=feed");
}

static void on_hup(struct ev_loop *loop, ev_signal *sig, int revents)
{
	(void)loop;
	(void)revents;
	reload(sig->data);
}

static void observe_ages(struct ht_entry *e)
{
	struct ht_view_state view;

	ht_feed_view(e->feed, &view);
	if (view.routes_age != HT_NEVER)
		ht_histogram_add(&e->stats.routes_age, (double)view.routes_age / 1000);
	if (view.targets_age != HT_NEVER)
		ht_histogram_add(&e->stats.targets_age, (double)view.targets_age / 1000);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct ht_entry *e = timer->data;
	struct timespec modified = modified_at(e->path);
	ht_ms now = ht_now();

	(void)loop;
	(void)revents;
	ht_steering_expire(e->steering, now);
	ht_catalog_expire(e->catalog, now, (ht_ms)(e->settings.flow_max_s * 1000));
	set_load_pace(e, now);
	e->ticks++;
	if (!ht_feed_complete(e->feed) || e->ticks % TICKS_PER_GREETING == 0)
		ht_link_round(e->link);
	observe_ages(e);
	if (e->ticks % TICKS_PER_LOG_REPORT == 0)
		ht_logger_report(e->log);
	if (modified.tv_sec != e->modified.tv_sec || modified.tv_nsec != e->modified.tv_nsec)
		reload(e);
}

static void on_start_round(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct ht_entry *e = timer->data;

	(void)revents;
	if (ht_now() - e->started_at >= START_HOLD_MS)
		ht_packets_start(e->packets);
	ht_link_round(e->link);
	if (e->usable)
		ev_timer_stop(loop, timer);
}

static void on_before_wait(struct ev_loop *loop, ev_prepare *prepare, int revents)
{
	struct ht_entry *e = prepare->data;

	(void)loop;
	(void)revents;
	update_readiness(e);
	ht_logger_flush(e->log);
}

static void watch_signal(struct ht_entry *e, ev_signal *sig, int number,
			 void (*cb)(struct ev_loop *loop, ev_signal *sig, int revents))
{
	ev_signal_init(sig, cb, number);
	sig->data = e;
	ev_signal_start(e->loop, sig);
}

static bool start_log(struct ht_entry *e)
{
	e->log = ht_logger_new(&(struct ht_logger_params){
		.fd = STDOUT_FILENO,
		.process = e->settings.instance,
		.level = log_level(&e->settings),
		.total = total_budget(&e->settings),
		.event = event_budget(&e->settings),
		.clock = &ht_clock_monotonic,
		.wall = ht_clock_wall,
	});
	return e->log;
}

static bool start_steering(struct ht_entry *e)
{
	struct ht_catalog_observer observer;
	struct ht_steering_params params;

	e->catalog = ht_catalog_new(e->settings.data_centre);
	e->decisions = ht_decisions_new(&(struct ht_decisions_params){
		.log = e->log,
		.catalog = e->catalog,
		.stats = &e->stats,
		.sample = (unsigned int)e->settings.log_sample,
		.view = fill_view_state,
		.ctx = e,
	});
	if (!e->catalog || !e->decisions)
		return false;
	observer = ht_decisions_catalog_observer(e->decisions);
	ht_catalog_observe(e->catalog, &observer);
	ht_steering_params_default(&params);
	params.catalog = e->catalog;
	params.reports = &e->reports;
	params.overload.load = e->load;
	params.overload.admission = ht_entry_settings_admission(&e->settings);
	params.observer = ht_decisions_observer(e->decisions);
	params.seed = ht_hash_pair(ht_hash_str(e->settings.instance), (uint64_t)ht_clock_wall());
	e->steering = ht_steering_new(&params);
	if (e->steering)
		set_bounds(e);
	return e->steering;
}

/* If the metrics address cannot be bound, the instance runs without metrics. */
static void start_metrics(struct ht_entry *e)
{
	struct ht_err err;

	if (!e->settings.metrics_address.len)
		return;
	e->metrics = ht_metrics_new(
		&(struct ht_metrics_params){
			.loop = e->loop,
			.address = &e->settings.metrics_address,
			.stats = &e->stats,
			.catalog = e->catalog,
			.steering = e->steering,
			.log = e->log,
			.state = fill_metrics_state,
			.ctx = e,
		},
		&err);
	if (!e->metrics)
		ht_logger_event(e->log, HT_EV_METRICS_UNAVAILABLE, "reason=\"%s\"", err.text);
}

static bool start(struct ht_entry *e, struct ht_err *err)
{
	e->started_at = ht_now();
	e->modified = modified_at(e->path);
	ht_entry_stats_init(&e->stats);
	if (!ht_entry_settings_load(&e->settings, e->path, err))
		return false;
	if (!start_log(e) || (e->settings.overload_control && !start_load(e)) || !start_steering(e))
		return ht_err_set(err, HT_ENOMEM, "out of memory");
	e->packets = ht_packets_new(
		&(struct ht_packets_params){
			.loop = e->loop,
			.address = &e->settings.packet_address,
			.steering = e->steering,
			.decisions = e->decisions,
			.stats = &e->stats,
		},
		err);
	e->readiness =
		e->packets ? ht_readiness_new(e->loop, &e->settings.ready_address, err) : NULL;
	if (!e->readiness || !start_feed(e, err) || !start_link(e, err))
		return false;
	start_metrics(e);
	return true;
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
	ev_prepare_init(&e->before_wait, on_before_wait);
	e->before_wait.data = e;
	ev_timer_init(&e->exit_timer, on_exit_timer, 0, 0);
	e->exit_timer.data = e;
	watch_signal(e, &e->term, SIGTERM, on_stop);
	watch_signal(e, &e->interrupt, SIGINT, on_stop);
	watch_signal(e, &e->hup, SIGHUP, on_hup);
	if (start(e, err)) {
		ev_timer_start(loop, &e->tick);
		ev_timer_start(loop, &e->start_round);
		ev_prepare_start(loop, &e->before_wait);
		ht_logger_event(e->log, HT_EV_ENTRY_STARTED, "dc=%s", e->settings.data_centre);
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
	ev_timer_stop(e->loop, &e->exit_timer);
	ev_signal_stop(e->loop, &e->term);
	ev_signal_stop(e->loop, &e->interrupt);
	ev_signal_stop(e->loop, &e->hup);
	ev_timer_stop(e->loop, &e->start_round);
	ev_prepare_stop(e->loop, &e->before_wait);
	ht_metrics_free(e->metrics);
	ht_link_free(e->link);
	ht_feed_free(e->feed);
	ht_readiness_free(e->readiness);
	ht_packets_free(e->packets);
	ht_steering_free(e->steering);
	ht_load_free(e->load);
	ht_decisions_free(e->decisions);
	ht_catalog_free(e->catalog);
	ht_logger_free(e->log);
	ht_entry_settings_clear(&e->settings);
	free(e);
}

void ht_entry_run(struct ht_entry *e)
{
	ev_run(e->loop, 0);
	ht_logger_event(e->log, HT_EV_ENTRY_STOPPED, "flows=%zu",
			ht_steering_flow_count(e->steering));
}
