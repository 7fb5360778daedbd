/* The lines about decisions: each event that the operators' pages lean on, with its fields. */
#include "core/flow_table.h"
#include "entry/decisions.h"
#include "entry/metrics.h"
#include "tests/core/steering_world.h"
#include "tests/suite.h"

#include <fcntl.h>
#include <unistd.h>

#define SAMPLE 4

static int ends[2];
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

static void view_state(void *ctx, struct ht_view_state *view)
{
	(void)ctx;
	*view = (struct ht_view_state){.usable = true,
				       .routes = {1, rev(17)},
				       .targets = rev(23),
				       .routes_age = 150,
				       .targets_age = HT_NEVER};
}

static void metrics_state(void *ctx, struct ht_metrics_state *state)
{
	view_state(ctx, &state->view);
	state->ready = true;
	state->neighbours = 2;
}

static void start(void)
{
	const struct ht_log_budget plenty = {1e6, 1e9};
	struct ht_catalog_observer observer;

	world_start();
	ck_assert_int_eq(pipe(ends), 0);
	fcntl(ends[0], F_SETFL, O_NONBLOCK);
	logger = ht_logger_new(&(struct ht_logger_params){
		.fd = ends[1],
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
		.view = view_state,
	});
	observer = ht_decisions_catalog_observer(dec);
	ht_catalog_observe(cat, &observer);
	ht_steering_free(st);
	params.observer = ht_decisions_observer(dec);
	st = ht_steering_new(&params);
	ht_steering_set_complete(st, true);
}

static void stop(void)
{
	ht_decisions_free(dec);
	ht_logger_free(logger);
	close(ends[0]);
	close(ends[1]);
	world_stop();
}

static void read_log(void)
{
	size_t len = 0;
	ssize_t n;

	ht_logger_flush(logger);
	while ((n = read(ends[0], text + len, sizeof(text) - 1 - len)) > 0)
		len += (size_t)n;
	text[len] = '\0';
}

/* Whole line of the only event @name in what was read. */
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

static void has(const char *line, const char *field)
{
	char key[96];

	snprintf(key, sizeof(key), " %s", field);
	ck_assert_msg(strstr(line, key), "no field '%s' in: %s", field, line);
}

static void has_target_fields(const char *line)
{
	static const char *const names[] = {"target=i-", "dc=here",	"open=",     "slots=3",
					    "misses=",	 "error_rate=", "doubt_ms=", "warm_ms=",
					    "alive_ms=", "answer_ms=",	"state="};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		has(line, names[i]);
}

static void has_view_fields(const char *line)
{
	has(line, "version=1 ");
	has(line, "routes_revision=17");
	has(line, "routes_age_ms=150");
	has(line, "targets_revision=23");
	has(line, "targets_age_ms=-1");
}

static void decide(const struct ht_packet *pkt)
{
	struct ht_steering_decision d = ht_steering_packet(st, pkt, now);

	ht_decisions_packet(dec, pkt, &d, now);
}

static void opening(uint16_t caller, uint16_t port, uint32_t copy)
{
	struct ht_packet pkt = packet_of(caller, port);

	pkt.opens = true;
	pkt.acknowledged = copy;
	decide(&pkt);
}

START_TEST(refusal_names_flow_reason_and_inputs)
{
	const char *line;

	opening(7, STOCK_PORT, 0);
	read_log();
	line = line_of("FLOW_RESET");
	has(line, "flow=100.64.0.1:7-198.18.0.1:443 ");
	has(line, "reason=no-target");
	has(line, "copy=0");
	has(line, "service=stock targets=0 doubted=0");
	has_view_fields(line);
	ck_assert_uint_eq(stats.decisions[HT_STEER_RESET][HT_STEER_NO_TARGET], 1);
}
END_TEST

START_TEST(unknown_mark_is_named)
{
	struct ht_packet pkt = packet_of(7, STOCK_PORT);

	pkt.mark = 0xabcdef01;
	decide(&pkt);
	read_log();
	has(line_of("FLOW_DROPPED"), "reason=unknown-mark mark=abcdef01");
}
END_TEST

START_TEST(failover_and_doubt_are_written_for_every_flow)
{
	const char *line;

	ht_decisions_set_sample(dec, 0);
	put_target(0, "stock", "here");
	put_target(1, "stock", "here");
	opening(7, STOCK_PORT, 0);
	now += 200;
	opening(7, STOCK_PORT, 1);
	read_log();
	ck_assert_ptr_null(strstr(text, "FLOW_PLACED"));
	line = line_of("FLOW_UNANSWERED");
	has(line, "flow=100.64.0.1:7-198.18.0.1:443 ");
	has(line, "waited_ms=200");
	has_target_fields(line);
	has_view_fields(line);
	line = line_of("FLOW_REPLACED");
	has(line, "copy=1");
	has_target_fields(line);
	has(line, "service=stock targets=2 doubted=1");
	line = line_of("TARGET_DOUBTED");
	has(line, "cause=silent");
	has_target_fields(line);
}
END_TEST

START_TEST(answer_without_effect_is_written_with_its_wait)
{
	struct ht_steering_decision d;

	put_target(0, "stock", "here");
	d = open_flow(7, STOCK_PORT, 0);
	now += 4;
	send_marked(7, STOCK_PORT, d.mark, 100, 50);
	now += 200;
	send_marked(7, STOCK_PORT, d.mark, 100, 50);
	read_log();
	has(line_of("FLOW_REPEATED"), "open_ms=204 waited_ms=200");
	has_target_fields(line_of("FLOW_REPEATED"));
}
END_TEST

/* Pattern: more flows than the targets hold. */
START_TEST(deferral_is_written_with_its_figures)
{
	put_target(0, "stock", "here");
	for (uint16_t i = 1; i <= 40; i++)
		opening(i, STOCK_PORT, 0);
	read_log();
	has(line_of("FLOW_DEFERRED"), "reason=deferred copy=0 open=");
	has(line_of("FLOW_DEFERRED"), "room=");
}
END_TEST

/* Each instance writes the ordinary lines of the same flows. */
START_TEST(sample_is_the_same_at_all_instances)
{
	unsigned int placed = 0, expected = 0;

	put_target(0, "stock", "here");
	for (uint16_t i = 1; i <= 400; i++) {
		struct ht_packet pkt = packet_of(i, STOCK_PORT);

		now += 1000;
		opening(i, STOCK_PORT, 2);
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

/* Whoever tells of it: the store by a change, or a whole listing that lacks the target. */
START_TEST(change_of_a_target_is_written)
{
	put_target(0, "stock", "here");
	put_target(1, "stock", "here");
	read_log();
	has(text, "name=TARGET_CHANGED target=i-1000 service=stock dc=here state=ready slots=3 ");
	ht_catalog_remove_target(cat, "i-1000", rev(++revision), now, now + 500);
	read_log();
	has(line_of("TARGET_GONE"), "target=i-1000 service=stock dc=here revision=");
	has(line_of("TARGET_GONE"), "hold_ms=500");
	ht_catalog_begin_listing(cat, HT_CATALOG_NEIGHBOUR);
	ht_catalog_end_listing(cat, HT_CATALOG_NEIGHBOUR, rev(++revision), now, now);
	read_log();
	has(line_of("TARGET_GONE"), "target=i-1001 service=stock dc=here revision=");
	put_routes(2);
	read_log();
	has(line_of("ROUTES_IN_FORCE"), "version=2 revision=2 routes=3");
}
END_TEST

START_TEST(malformed_packet_is_counted_and_written)
{
	ht_decisions_malformed(dec, 3);
	read_log();
	has(line_of("PACKET_MALFORMED"), "length=3");
	ck_assert_uint_eq(stats.malformed, 1);
}
END_TEST

START_TEST(page_of_metrics_shows_what_was_counted)
{
	const struct ht_metrics_params page = {.stats = &stats,
					       .catalog = cat,
					       .steering = st,
					       .log = logger,
					       .state = metrics_state};
	char *body = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&body, &len);

	put_target(0, "stock", "here");
	request(7, STOCK_PORT, 500, 30);
	opening(8, 9999, 0);
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

int main(void)
{
	TCase *tc = tcase_create("decisions");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, refusal_names_flow_reason_and_inputs);
	tcase_add_test(tc, unknown_mark_is_named);
	tcase_add_test(tc, failover_and_doubt_are_written_for_every_flow);
	tcase_add_test(tc, answer_without_effect_is_written_with_its_wait);
	tcase_add_test(tc, deferral_is_written_with_its_figures);
	tcase_add_test(tc, sample_is_the_same_at_all_instances);
	tcase_add_test(tc, change_of_a_target_is_written);
	tcase_add_test(tc, malformed_packet_is_counted_and_written);
	tcase_add_test(tc, page_of_metrics_shows_what_was_counted);
	return run_case("decisions", tc);
}
