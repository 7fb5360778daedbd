/*
 * Tests that the link carries loads: two instances on loopback addresses exchange greetings and
 * then loads, and count these messages as a kind of their own.
 */
#include "entry/link.h"
#include "entry/metrics.h"
#include "tests/suite.h"

#include <arpa/inet.h>
#include <ev.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Generous because the machine may be busy; the wait ends early on success. */
#define WAIT_MS 20000
#define ROUND_MS 100

struct side {
	struct ht_entry_settings settings;
	struct ht_entry_stats stats;
	struct ht_logger *log;
	struct ht_catalog *catalog;
	struct ht_reports reports;
	struct ht_steering *steering;
	struct ht_feed *feed;
	struct ht_load *load;
	struct ht_link *link;
	unsigned int updates;
};

static struct ev_loop *loop;
static struct side sides[2];
static ht_ms deadline;

static struct ht_feed *current_feed(void *ctx)
{
	const struct side *s = ctx;

	return s->feed;
}

static void ignore_read(void *ctx, bool proven)
{
	(void)ctx;
	(void)proven;
}

static void ignore_change(void *ctx)
{
	(void)ctx;
}

static void add_targets(void *ctx, struct ht_load *load)
{
	const struct ht_load_target target = {.mark = 7, .open = 2, .flows = 3};

	(void)ctx;
	ht_load_add_target(load, ht_load_key("stock"), ht_load_key("north"), &target);
}

static void count_update(void *ctx)
{
	struct side *s = ctx;

	s->updates++;
}

static int free_port(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, len), 0);
	getsockname(fd, (struct sockaddr *)&sin, &len);
	close(fd);
	return ntohs(sin.sin_port);
}

static void load_settings(struct side *s, int i, int port)
{
	char text[512];
	struct ht_err err;
	int len = snprintf(text, sizeof(text),
			   "{\"instance\":\"entry-%d\",\"data_centre\":\"north\","
			   "\"packet_address\":\"127.0.0.%d:9\",\"ready_address\":\"127.0.0.%d:9\","
			   "\"peer_address\":\"127.0.0.%d:%d\",\"store_address\":\"127.0.0.1:1\","
			   "\"seeds\":\"127.0.0.1:9,127.0.0.2:9\"}",
			   i, i + 1, i + 1, i + 1, port);

	ck_assert_msg(ht_entry_settings_parse(&s->settings, "test", text, (size_t)len, &err), "%s",
		      err.text);
}

static void open_side(struct side *s, int i, int port, bool shares)
{
	const struct ht_log_budget budget = {.lines = 1, .bytes = 1000};
	struct ht_steering_params steering;
	struct ht_load_params load;
	struct ht_err err;

	*s = (struct side){0};
	load_settings(s, i, port);
	ht_entry_stats_init(&s->stats);
	s->log = ht_logger_new(&(struct ht_logger_params){.fd = -1,
							  .process = s->settings.instance,
							  .level = HT_ERROR,
							  .total = budget,
							  .event = budget,
							  .clock = &ht_clock_monotonic,
							  .wall = ht_clock_wall});
	s->catalog = ht_catalog_new("north");
	ht_steering_params_default(&steering);
	steering.catalog = s->catalog;
	steering.reports = &s->reports;
	s->steering = ht_steering_new(&steering);
	s->feed = ht_feed_new(&(struct ht_feed_params){.loop = loop,
						       .catalog = s->catalog,
						       .settings = &s->settings,
						       .log = s->log,
						       .stats = &s->stats,
						       .changed = ignore_read,
						       .ctx = s});
	ht_load_params_default(&load);
	load.dc = ht_load_key("north");
	s->load = ht_load_new(&load);
	s->link = ht_link_new(&(struct ht_link_params){.loop = loop,
						       .settings = &s->settings,
						       .catalog = s->catalog,
						       .steering = s->steering,
						       .reports = &s->reports,
						       .log = s->log,
						       .stats = &s->stats.link,
						       .feed = current_feed,
						       .changed = ignore_change,
						       .load = shares ? s->load : NULL,
						       .add_targets = add_targets,
						       .load_updated = count_update,
						       .ctx = s},
			      &err);
	ck_assert_msg(s->link, "%s", err.text);
	ht_link_set_load_pace(s->link, HT_LOAD_BUSY);
}

static void close_side(struct side *s)
{
	ht_link_free(s->link);
	ht_load_free(s->load);
	ht_feed_free(s->feed);
	ht_steering_free(s->steering);
	ht_catalog_free(s->catalog);
	ht_logger_free(s->log);
	ht_entry_settings_clear(&s->settings);
}

/* Both have a view of both, or there is none to be had and greetings went on. */
static bool is_done(bool shared)
{
	ht_ms now = ht_now();
	struct ht_load_target target;

	for (int i = 0; i < 2; i++) {
		if (sides[i].stats.link.received[HT_LINK_GREETING].count < 40)
			return false;
		if (shared && (!ht_load_target(sides[i].load, 7, &target, now) || target.open != 4))
			return false;
	}
	return true;
}

static void on_round(struct ev_loop *l, ev_timer *timer, int revents)
{
	const bool *shared = timer->data;

	(void)revents;
	for (int i = 0; i < 2; i++)
		ht_link_round(sides[i].link);
	if (is_done(*shared) || ht_now() >= deadline)
		ev_break(l, EVBREAK_ALL);
}

/* @first, @second: the instance exchanges loads. */
static void play(bool first, bool second)
{
	int port = free_port();
	bool shared = first && second;
	ev_timer timer;

	loop = ev_loop_new(0);
	open_side(&sides[0], 0, port, first);
	open_side(&sides[1], 1, port, second);
	deadline = ht_now() + WAIT_MS;
	ev_timer_init(&timer, on_round, 0, ROUND_MS / 1000.0);
	timer.data = &shared;
	ev_timer_start(loop, &timer);
	ev_run(loop, 0);
	ev_timer_stop(loop, &timer);
	ck_assert(is_done(shared));
}

static void finish(void)
{
	close_side(&sides[0]);
	close_side(&sides[1]);
	ev_loop_destroy(loop);
}

static void no_state(void *ctx, struct ht_metrics_state *state)
{
	(void)ctx;
	*state = (struct ht_metrics_state){0};
}

START_TEST(loads_travel_between_two_links)
{
	struct ht_metrics_params params;
	char *page = NULL;
	size_t len;
	FILE *out = open_memstream(&page, &len);

	play(true, true);
	for (int i = 0; i < 2; i++) {
		const struct ht_link_stats *st = &sides[i].stats.link;

		ck_assert_uint_gt(st->sent[HT_LINK_LOAD].count, 0);
		ck_assert_uint_gt(st->received[HT_LINK_LOAD].bytes, 50);
		ck_assert_uint_gt(sides[i].updates, 0);
	}
	params = (struct ht_metrics_params){.stats = &sides[0].stats,
					    .catalog = sides[0].catalog,
					    .steering = sides[0].steering,
					    .log = sides[0].log,
					    .state = no_state};
	ht_metrics_write(&params, out);
	fclose(out);
	ck_assert_ptr_nonnull(strstr(
		page,
		"hickorytrestle_neighbour_messages_count{direction=\"sent\",kind=\"load\"} "));
	ck_assert_ptr_nonnull(strstr(
		page,
		"hickorytrestle_neighbour_messages_sum{direction=\"received\",kind=\"load\"} "));
	free(page);
	finish();
}
END_TEST

/* Guards against an instance without overload control that fails at messages of loads, or counts
 * their sender as a neighbour twice. */
START_TEST(link_without_load_ignores_them)
{
	play(true, false);
	ck_assert_uint_eq(sides[1].stats.link.sent[HT_LINK_LOAD].count, 0);
	ck_assert_uint_gt(sides[0].stats.link.sent[HT_LINK_LOAD].count, 0);
	ck_assert_uint_gt(sides[1].stats.link.received[HT_LINK_LOAD].count, 0);
	ck_assert_int_eq(ht_load_view_age(sides[0].load, ht_now()), HT_NEVER);
	ck_assert_uint_eq(ht_link_neighbours(sides[0].link), 1);
	finish();
}
END_TEST

static void stop_loop(struct ev_loop *l, ev_timer *timer, int revents)
{
	(void)timer;
	(void)revents;
	ev_break(l, EVBREAK_ALL);
}

static void run_for(ht_ms ms)
{
	ev_timer timer;

	ev_timer_init(&timer, stop_loop, (double)ms / 1000, 0);
	ev_timer_start(loop, &timer);
	ev_run(loop, 0);
	ev_timer_stop(loop, &timer);
}

/* Guards against an instance that goes on exchanging loads after overload control has been switched
 * off, or that does not resume when it is switched on again. */
START_TEST(exchange_can_be_switched_off_and_on)
{
	const struct ht_message_stats *sent = &sides[1].stats.link.sent[HT_LINK_LOAD];
	uint64_t before;

	play(true, true);
	ck_assert(ht_link_set_load(sides[1].link, NULL));
	before = sent->count;
	run_for(3 * HT_LOAD_BUSY_MS);
	ck_assert_uint_eq(sent->count, before);
	ck_assert(ht_link_set_load(sides[1].link, sides[1].load));
	ht_link_set_load_pace(sides[1].link, HT_LOAD_BUSY);
	for (int i = 0; i < WAIT_MS / HT_LOAD_BUSY_MS && sent->count == before; i++)
		run_for(HT_LOAD_BUSY_MS);
	ck_assert_uint_gt(sent->count, before);
	finish();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("link_load");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, loads_travel_between_two_links);
	tcase_add_test(tc, link_without_load_ignores_them);
	tcase_add_test(tc, exchange_can_be_switched_off_and_on);
	return run_case("link_load", tc);
}
