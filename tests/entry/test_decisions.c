/* Tests of the log lines about packets, flows and targets: each event that the operators'
 * documentation relies on, with its fields. */
#include "core/flow_table.h"
#include "entry/decisions.h"
#include "entry/metrics.h"
#include "tests/core/steering_world.h"
#include "tests/suite.h"

#include <fcntl.h>
#include <unistd.h>

#define SAMPLE 4

static int log_pipe[2];
static struct ht_logger *logger;
static struct ht_entry_stats stats;
static struct ht_decisions *dec;
static char text[1 << 18];

static ht_ms fake_now(void *ctx)
{
	(void)ctx;
	return now;
}

static ht_ms fake_wall(void)
{
	return 1765000000000 + now;
}

static const struct ht_clock fake_clock = {.now = fake_now};

static bool view_whole = true;

static void fill_view_state(void *ctx, struct ht_view_state *view)
{
	(void)ctx;
	*view = (struct ht_view_state){.usable = view_whole,
				       .routes = {1, rev(17)},
				       .targets = rev(23),
				       .routes_age = 150,
				       .targets_age = HT_NEVER};
}

static void fill_metrics_state(void *ctx, struct ht_metrics_state *state)
{
	fill_view_state(ctx, &state->view);
	state->ready = true;
	state->neighbours = 2;
}

static void start(void)
{
	const struct ht_log_budget plenty = {1e6, 1e9};
	struct ht_catalog_observer observer;

	world_start();
	ck_assert_int_eq(pipe(log_pipe), 0);
	fcntl(log_pipe[0], F_SETFL, O_NONBLOCK);
	logger = ht_logger_new(&(struct ht_logger_params){
		.fd = log_pipe[1],
		.process = "front-1",
		.level = HT_INFO,
		.total = plenty,
		.event = plenty,
		.clock = &fake_clock,
		.wall = fake_wall,
	});
	ht_entry_stats_init(&stats);
	dec = ht_decisions_new(&(struct ht_decisions_params){
		.log = logger,
		.catalog = cat,
		.stats = &stats,
		.sample = SAMPLE,
		.view = fill_view_state,
	});
	observer = ht_decisions_catalog_observer(dec);
	ht_catalog_observe(cat, &observer);
	ht_steering_free(st);
	params.observer = ht_decisions_observer(dec);
	st = ht_steering_new(&params);
	ht_steering_set_view_complete(st, true);
}

static void stop(void)
{
	ht_decisions_free(dec);
	ht_logger_free(logger);
	close(log_pipe[0]);
	close(log_pipe[1]);
	world_stop();
}

static void read_log(void)
{
	size_t len = 0;
	ssize_t n;

	ht_logger_flush(logger);
	while ((n = read(log_pipe[0], text + len, sizeof(text) - 1 - len)) > 0)
		len += (size_t)n;
	text[len] = '\0';
}

/* Returns the line of the first event @name in the log that has been read. */
static const char *line_of(const char *name)
{
	static char line[HT_LOG_LINE_MAX + 1];
	char key[64];
	const char *at, *start_of_line;

	snprintf(key, sizeof(key), " name=%s ", name);
	at = strstr(text, key);
	ck_assert_msg(at, "no line %s in:\n%s", name, text);
	for (start_of_line = at; start_of_line > text && start_of_line[-1] != '\n'; start_of_line--)
		;
	snprintf(line, sizeof(line), "%.*s", (int)strcspn(start_of_line, "\n"), start_of_line);
	return line;
}

static void assert_field(const char *line, const char *field)
{
	char key[96];

	snprintf(key, sizeof(key), " %s", field);
	ck_assert_msg(strstr(line, key), "no field '%s' in: %s", field, line);
}

static void assert_target_fields(const char *line)
{
	static const char *const names[] = {"target=i-", "dc=here",	"open=",     "slots=3",
					    "misses=",	 "error_rate=", "doubt_ms=", "warm_ms=",
					    "alive_ms=", "answer_ms=",	"state="};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		assert_field(line, names[i]);
}

static void assert_view_fields(const char *line)
{
	assert_field(line, "version=1 ");
	assert_field(line, "routes_revision=17");
	assert_field(line, "routes_age_ms=150");
	assert_field(line, "targets_revision=23");
	assert_field(line, "targets_age_ms=-1");
}

static void handle_packet(const struct ht_packet *pkt)
{
	struct ht_steering_decision d = ht_steering_packet(st, pkt, now);

	ht_decisions_packet(dec, pkt, &d, now);
}

static void open_packet(uint16_t caller, uint16_t port, uint32_t copy)
{
	struct ht_packet pkt = packet_of(caller, port);

	pkt.opens = true;
	pkt.acknowledged = copy;
	handle_packet(&pkt);
}

START_TEST(reset_logs_flow_reason_and_view)
{
	const char *line;

	open_packet(7, STOCK_PORT, 0);
	read_log();
	line = line_of("FLOW_RESET");
	assert_field(line, "flow=100.64.0.1:7-198.18.0.1:443 ");
	assert_field(line, "reason=no-target");
	assert_field(line, "copy=0");
	assert_field(line, "service=stock targets=0 doubted=0");
	assert_view_fields(line);
	ck_assert_uint_eq(stats.decisions[HT_STEER_RESET][HT_STEER_NO_TARGET], 1);
}
END_TEST

START_TEST(drop_logs_unknown_mark)
{
	struct ht_packet pkt = packet_of(7, STOCK_PORT);

	pkt.mark = 0xabcdef01;
	handle_packet(&pkt);
	read_log();
	assert_field(line_of("FLOW_DROPPED"), "reason=unknown-mark mark=abcdef01");
}
END_TEST

START_TEST(failover_and_suspicion_are_logged_for_every_flow)
{
	const char *line;

	ht_decisions_set_sample(dec, 0);
	put_target(0, "stock", "here");
	put_target(1, "stock", "here");
	open_packet(7, STOCK_PORT, 0);
	now += 200;
	open_packet(7, STOCK_PORT, 1);
	read_log();
	ck_assert_ptr_null(strstr(text, "FLOW_PLACED"));
	line = line_of("FLOW_UNANSWERED");
	assert_field(line, "flow=100.64.0.1:7-198.18.0.1:443 ");
	assert_field(line, "waited_ms=200");
	assert_target_fields(line);
	assert_view_fields(line);
	line = line_of("FLOW_REPLACED");
	assert_field(line, "copy=1");
	assert_target_fields(line);
	assert_field(line, "service=stock targets=2 doubted=1");
	line = line_of("TARGET_DOUBTED");
	assert_field(line, "cause=silent");
	assert_target_fields(line);
}
END_TEST

START_TEST(retransmission_is_logged_with_wait)
{
	struct ht_steering_decision d;

	put_target(0, "stock", "here");
	d = open_flow(7, STOCK_PORT, 0);
	now += 4;
	send_marked(7, STOCK_PORT, d.mark, 100, 50);
	now += 200;
	send_marked(7, STOCK_PORT, d.mark, 100, 50);
	read_log();
	assert_field(line_of("FLOW_REPEATED"), "open_ms=204 waited_ms=200");
	assert_target_fields(line_of("FLOW_REPEATED"));
}
END_TEST

/* More flows than the slots of the targets can hold. */
START_TEST(deferral_is_logged_with_capacity)
{
	put_target(0, "stock", "here");
	for (uint16_t i = 1; i <= 40; i++)
		open_packet(i, STOCK_PORT, 0);
	read_log();
	assert_field(line_of("FLOW_DEFERRED"), "reason=deferred copy=0 open=");
	assert_field(line_of("FLOW_DEFERRED"), "room=");
}
END_TEST

/* All instances must log ordinary steps of the same flows. */
START_TEST(log_sample_depends_only_on_flow_hash)
{
	unsigned int placed = 0, expected = 0;

	put_target(0, "stock", "here");
	for (uint16_t i = 1; i <= 400; i++) {
		struct ht_packet pkt = packet_of(i, STOCK_PORT);

		now += 1000;
		open_packet(i, STOCK_PORT, 2);
		ht_steering_expire(st, now);
		expected += ht_flow_hash(pkt.src, pkt.dst) % SAMPLE == 0;
	}
	read_log();
	for (const char *p = text; (p = strstr(p, "name=FLOW_PLACED ")); p++)
		placed++;
	ck_assert_uint_eq(placed, expected);
	ck_assert_uint_ge(placed, 400 / SAMPLE / 2);
	ck_assert_uint_le(placed, 400 / SAMPLE * 2);
}
END_TEST

/* Thousands of lines would delay the start on a small share of a core. */
START_TEST(targets_of_the_first_listing_are_not_logged)
{
	view_whole = false;
	put_target(0, "stock", "here");
	view_whole = true;
	put_target(1, "stock", "here");
	read_log();
	ck_assert_ptr_null(strstr(text, "target=i-1000 "));
	ck_assert_ptr_nonnull(strstr(text, "target=i-1001 "));
}
END_TEST

/* Changes are logged whether they come from the store or from a full listing of a neighbour that
 * lacks the target. */
START_TEST(target_changes_are_logged)
{
	put_target(0, "stock", "here");
	put_target(1, "stock", "here");
	read_log();
	assert_field(
		text,
		"name=TARGET_CHANGED target=i-1000 service=stock dc=here state=ready slots=3 ");
	ht_catalog_remove_target(cat, "i-1000", rev(++revision), now, now + 500);
	read_log();
	assert_field(line_of("TARGET_GONE"), "target=i-1000 service=stock dc=here revision=");
	assert_field(line_of("TARGET_GONE"), "hold_ms=500");
	ht_catalog_begin_listing(cat, HT_CATALOG_NEIGHBOUR);
	ht_catalog_end_listing(cat, HT_CATALOG_NEIGHBOUR, rev(++revision), now, now);
	read_log();
	assert_field(line_of("TARGET_GONE"), "target=i-1001 service=stock dc=here revision=");
	put_routes(2);
	read_log();
	assert_field(line_of("ROUTES_IN_FORCE"), "version=2 revision=2 routes=3");
}
END_TEST

START_TEST(malformed_packet_is_counted_and_logged)
{
	ht_decisions_malformed(dec, 3);
	read_log();
	assert_field(line_of("PACKET_MALFORMED"), "length=3");
	ck_assert_uint_eq(stats.malformed, 1);
}
END_TEST

START_TEST(metrics_page_shows_counters)
{
	const struct ht_metrics_params page = {.stats = &stats,
					       .catalog = cat,
					       .steering = st,
					       .log = logger,
					       .state = fill_metrics_state};
	char *body = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&body, &len);

	put_target(0, "stock", "here");
	request(7, STOCK_PORT, 500, 30);
	open_packet(8, 9999, 0);
	ht_metrics_write(&page, out);
	fclose(out);
	ck_assert_ptr_nonnull(strstr(
		body,
		"\nhickorytrestle_decisions_total{action=\"reset\",reason=\"no-route\"} 1\n"));
	ck_assert_ptr_nonnull(
		strstr(body, "\nhickorytrestle_flow_events_total{event=\"answered\"} 1\n"));
	ck_assert_ptr_nonnull(
		strstr(body, "\nhickorytrestle_answer_seconds_count{service=\"stock\"} 1\n"));
	ck_assert_ptr_nonnull(strstr(body,
				     "hickorytrestle_target_answer_seconds_sum{target=\"i-1000\","
				     "service=\"stock\"} 0.03\n"));
	ck_assert_ptr_nonnull(strstr(body, "\nhickorytrestle_open_to_data_seconds_count 1\n"));
	ck_assert_ptr_nonnull(strstr(body, "\nhickorytrestle_targets_age_seconds -1\n"));
	ck_assert_ptr_nonnull(strstr(body, "\nhickorytrestle_ready 1\n"));
	free(body);
}
END_TEST

/* Guards against two samples with the same labels, of which a reader of the page takes only one:
 * classes of equal priority may differ in their aim or limit. */
START_TEST(admitted_shares_of_equal_priority_are_told_apart)
{
	const struct ht_metrics_params page = {.stats = &stats,
					       .catalog = cat,
					       .steering = st,
					       .log = logger,
					       .state = fill_metrics_state};
	struct ht_service *s;
	char *body = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&body, &len);

	put_target(0, "stock", "here");
	s = ht_catalog_by_name(cat, "i-1000")->service;
	s->plan.class_count = 2;
	s->plan.classes[0] = (struct ht_load_terms){.priority = 2, .aim = 50, .limit = 400};
	s->plan.classes[1] = (struct ht_load_terms){.priority = 2, .aim = 300, .limit = 1000};
	s->plan.admit[0] = 1;
	s->plan.admit[1] = 0.25;
	ht_metrics_write(&page, out);
	fclose(out);
	ck_assert_ptr_nonnull(
		strstr(body, "\nhickorytrestle_admitted_share{service=\"stock\",priority=\"2\","
			     "aim_ms=\"50\",limit_ms=\"400\"} 1\n"));
	ck_assert_ptr_nonnull(
		strstr(body, "\nhickorytrestle_admitted_share{service=\"stock\",priority=\"2\","
			     "aim_ms=\"300\",limit_ms=\"1000\"} 0.25\n"));
	free(body);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("decisions");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, reset_logs_flow_reason_and_view);
	tcase_add_test(tc, drop_logs_unknown_mark);
	tcase_add_test(tc, failover_and_suspicion_are_logged_for_every_flow);
	tcase_add_test(tc, retransmission_is_logged_with_wait);
	tcase_add_test(tc, deferral_is_logged_with_capacity);
	tcase_add_test(tc, log_sample_depends_only_on_flow_hash);
	tcase_add_test(tc, targets_of_the_first_listing_are_not_logged);
	tcase_add_test(tc, target_changes_are_logged);
	tcase_add_test(tc, malformed_packet_is_counted_and_logged);
	tcase_add_test(tc, metrics_page_shows_counters);
	tcase_add_test(tc, admitted_shares_of_equal_priority_are_told_apart);
	return run_case("decisions", tc);
}
