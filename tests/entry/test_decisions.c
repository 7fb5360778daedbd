/* Tests of the log lines about packets, flows and targets: each event that the operators'
 * documentation relies on, with its fields. */
#include "core/flow_table.h"
#include "entry/decisions.h"
#include "entry/metrics.h"
#include "tests/core/steering_world.h"
#include "tests/suite.h"

#include <fcntl.h>
#include <math.h>
#include <unistd.h>

#define SAMPLE 4

#define ANSWERS 30   /* that the own data centre gives in a second, 10 for each slot */
#define TELL_MS 5000 /* interval of CAPACITY_PLAN for a service */

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

static struct ht_load *load;

static void start_with_load(void)
{
	struct ht_load_params lp;

	start();
	ht_load_params_default(&lp);
	lp.dc = ht_load_key("here");
	load = ht_load_new(&lp);
	ht_admission_params_default(&params.overload.admission);
	ht_steering_set_overload(st, load, &params.overload.admission, now);
	put_target(0, "stock", "here");
	put_target(1, "stock", "there");
}

static void stop_with_load(void)
{
	stop();
	ht_load_free(load);
}

/* Adds a report of @open requests in flight at the targets of the own data centre and of @opening
 * new flows for each route since the last one, and updates the plans. */
static void report(uint32_t open, unsigned int opening)
{
	const struct ht_load_terms terms[] = {{.priority = 1}, {.priority = 2}};
	const struct ht_load_target target = {.mark = 1, .open = open, .flows = open};
	struct ht_load_sum out;

	now += 1000;
	for (unsigned int i = 0; i < opening; i++)
		for (size_t c = 0; c < 2; c++)
			ht_load_count_opening(load, ht_load_key("stock"), &terms[c], false);
	for (unsigned int i = 0; i < ANSWERS; i++)
		ht_load_count_answer(load, ht_load_key("stock"), ht_load_key("here"), &terms[0],
				     100, false);
	ht_load_begin_report(load);
	ht_load_add_target(load, ht_load_key("stock"), ht_load_key("here"), &target);
	ht_load_end_report(load, &out, now);
	ht_steering_update_load(st, now);
}

static unsigned int count_in_text(const char *name)
{
	unsigned int n = 0;
	char key[64];

	snprintf(key, sizeof(key), " name=%s ", name);
	for (const char *p = text; (p = strstr(p, key)); p++)
		n++;
	return n;
}

/* Number of lines of the event @name since the log was last read. */
static unsigned int count_lines(const char *name)
{
	read_log();
	return count_in_text(name);
}

static struct ht_service *stock_service(void)
{
	return ht_catalog_by_name(cat, "i-1000")->service;
}

/* Guards against a shortage that the log does not explain: begin, source, demand and plan. */
START_TEST(shortage_is_logged_with_source_and_plan)
{
	for (int i = 0; i < 6; i++)
		report(60, 400);
	ck_assert_uint_eq(count_lines("CAPACITY_SHORT"), 1);
	assert_field(line_of("CAPACITY_SHORT"), "service=stock source=own age_ms=0 dc=here open=");
	assert_field(line_of("CAPACITY_SHORT"), "slots=3 shed=0 rate=");
	assert_field(line_of("CAPACITY_SHORT"), "admit=");
	assert_field(line_of("CAPACITY_SHORT"), "to=");
	for (int i = 0; i < 40; i++)
		report(0, 0);
	ck_assert_uint_eq(count_lines("CAPACITY_ENOUGH"), 1);
	assert_field(line_of("CAPACITY_ENOUGH"), "service=stock source=own age_ms=0 dc=here open=");
}
END_TEST

/* Guards against plans that change unseen while capacity stays short, against a line for each of
 * them, and against lines about a plan that stays the same. */
START_TEST(changes_of_a_plan_are_logged_at_a_bounded_rate)
{
	struct ht_service *s = stock_service();
	unsigned int changes = 0, most;
	double before;
	ht_ms begin;

	for (int i = 0; i < 6; i++)
		report(15, 400);
	ck_assert(s->plan.short_of_room);
	count_lines("CAPACITY_PLAN");
	begin = now;
	for (int i = 0; i < 40; i++) {
		before = s->plan.admit[0];
		report(15, i % 2 ? 400 : 10);
		ck_assert(s->plan.short_of_room);
		changes += fabs(s->plan.admit[0] - before) >= 0.1;
	}
	most = (unsigned int)((now - begin) / TELL_MS);
	ck_assert_uint_gt(changes, 2 * most);
	ck_assert_uint_ge(count_lines("CAPACITY_PLAN"), most / 2);
	ck_assert_uint_le(count_in_text("CAPACITY_PLAN"), most);
	assert_field(line_of("CAPACITY_PLAN"), "service=stock source=own age_ms=0 dc=here open=");
	for (int i = 0; i < 20; i++)
		report(15, 400);
	count_lines("CAPACITY_PLAN");
	for (int i = 0; i < 20; i++)
		report(15, 400);
	ck_assert_uint_eq(count_lines("CAPACITY_PLAN"), 0);
}
END_TEST

/* Guards against refusals and delays by a plan that cannot be told from those by own counts, or
 * whose priority is unknown. */
START_TEST(refusals_by_plan_name_the_priority)
{
	stock_service()->plan = (struct ht_admission_plan){.short_of_room = true,
							   .class_count = 1,
							   .classes = {{.priority = 2}},
							   .admit = {0}};
	open_packet(1, STOCK_PORT, 0);
	stock_service()->plan.delay[0] = true;
	open_packet(2, STOCK_PORT, 0);
	read_log();
	assert_field(line_of("FLOW_RESET"), "reason=no-room copy=0 priority=2 by=plan ");
	assert_field(line_of("FLOW_DEFERRED"), "reason=deferred copy=0 priority=2 by=plan ");
}
END_TEST

static char *metrics_page(void)
{
	const struct ht_metrics_params page = {.stats = &stats,
					       .catalog = cat,
					       .steering = st,
					       .log = logger,
					       .state = fill_metrics_state};
	char *body = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&body, &len);

	ht_metrics_write(&page, out);
	fclose(out);
	return body;
}

/* A scraper rejects a page with two samples of one name and the same labels. */
static void assert_samples_differ(const char *page)
{
	for (const char *line = page; *line; line += strcspn(line, "\n") + 1) {
		size_t len = strcspn(line, " ");
		char key[512];

		if (*line == '#')
			continue;
		ck_assert_uint_lt(len, sizeof(key) - 2);
		snprintf(key, sizeof(key), "\n%.*s ", (int)len, line);
		ck_assert_msg(!strstr(line, key), "twice: %s", key + 1);
	}
}

static void assert_sample(const char *page, const char *sample)
{
	char key[256];

	snprintf(key, sizeof(key), "\nhickorytrestle_%s", sample);
	ck_assert_msg(strstr(page, key), "no sample %s", sample);
}

/* Guards against a page that scrapers reject because two classes have the same priority. */
START_TEST(classes_of_equal_priority_have_samples_of_their_own)
{
	char *page;

	stock_service()->plan = (struct ht_admission_plan){
		.short_of_room = true,
		.class_count = 3,
		.classes = {{2, 200, 2000}, {2, 400, 2000}, {2, 400, 3000}},
		.admit = {1, 0.5, 0.25}};
	page = metrics_page();
	assert_samples_differ(page);
	assert_sample(page, "admitted_share{service=\"stock\",priority=\"2\",aim_ms=\"200\","
			    "limit_ms=\"2000\"} 1\n");
	assert_sample(page, "admitted_share{service=\"stock\",priority=\"2\",aim_ms=\"400\","
			    "limit_ms=\"3000\"} 0.25\n");
	free(page);
}
END_TEST

/* Guards against a plan whose reasons an operator cannot see. */
START_TEST(metrics_show_what_the_plan_is_based_on)
{
	char *page = metrics_page();

	ck_assert_ptr_null(strstr(page, "hickorytrestle_load_slots{"));
	free(page);
	for (int i = 0; i < 6; i++)
		report(60, 400);
	page = metrics_page();
	assert_samples_differ(page);
	assert_sample(page, "capacity_short{service=\"stock\"} 1\n");
	assert_sample(page, "load_shared{service=\"stock\"} 0\n");
	assert_sample(page, "load_in_flight{service=\"stock\",dc=\"here\"} ");
	assert_sample(page, "load_slots{service=\"stock\",dc=\"here\"} 3\n");
	assert_sample(page, "load_slots{service=\"stock\",dc=\"there\"} 3\n");
	assert_sample(page, "load_answers_per_second{service=\"stock\",dc=\"here\"} ");
	assert_sample(page, "load_refusals_per_second{service=\"stock\",dc=\"here\"} 0\n");
	assert_sample(page, "load_age_seconds{service=\"stock\"} ");
	assert_sample(page, "full_load_rate{service=\"stock\"} ");
	assert_sample(page, "planned_share{service=\"stock\",dc=\"here\"} ");
	free(page);
}
END_TEST

/* Guards against a plan by shared load that is shown as one by own counts, and against data centres
 * without targets that share one name. */
START_TEST(shared_load_is_shown_as_such)
{
	static const char *const dcs[] = {"here", "west", "east"};
	struct ht_load_view view = {.count = 3};
	char sample[128], *page;

	for (int i = 0; i < 3; i++) {
		view.dcs[i] = (struct ht_load_sum){
			.dc = ht_load_key(dcs[i]),
			.instances = 1,
			.age = 300,
			.service_count = 1,
			.services = {{.service = ht_load_key("stock"),
				      .class_count = 1,
				      .place_count = 1,
				      .classes = {{.terms = {.priority = 2}, .opening = 5}},
				      .places = {{.dc = ht_load_key(dcs[i]), .open = 20}}}}};
	}
	for (int i = 0; i < 4; i++) {
		ht_load_set_view(load, &view, now + 1000);
		report(15, 400);
	}
	ck_assert_uint_eq(count_lines("CAPACITY_SHORT"), 1);
	assert_field(line_of("CAPACITY_SHORT"), "service=stock source=shared age_ms=300 dc=here ");
	page = metrics_page();
	assert_samples_differ(page);
	assert_sample(page, "load_shared{service=\"stock\"} 1\n");
	snprintf(sample, sizeof(sample), "load_in_flight{service=\"stock\",dc=\"%08x\"} ",
		 ht_load_key("west"));
	assert_sample(page, sample);
	free(page);
}
END_TEST

/* Guards against refused callers whom no counter shows, and against one counter for each of any
 * number of priorities. */
START_TEST(turned_away_flows_are_counted_by_priority)
{
	struct ht_service *s = stock_service();
	char *page;

	s->plan = (struct ht_admission_plan){
		.short_of_room = true, .class_count = 1, .classes = {{.priority = 2}}};
	open_packet(1, STOCK_PORT, 0);
	open_packet(2, STOCK_PORT, 0);
	s->plan.delay[0] = true;
	open_packet(3, STOCK_PORT, 0);
	s->plan.short_of_room = false;
	for (uint16_t i = 100; i <= 140; i++)
		open_packet(i, STOCK_PORT, 0);
	for (uint32_t i = 0; i < 100; i++)
		ht_service_count_turned_away(s, 100 + i, HT_TURNED_AWAY_REFUSED);
	page = metrics_page();
	assert_samples_differ(page);
	assert_sample(page, "turned_away_total{service=\"stock\",priority=\"2\",outcome="
			    "\"refused\"} 2\n");
	assert_sample(page, "turned_away_total{service=\"stock\",priority=\"2\",outcome="
			    "\"delayed\"} 1\n");
	assert_sample(page, "turned_away_total{service=\"stock\",priority=\"2\",outcome="
			    "\"deferred\"} ");
	assert_sample(page, "turned_away_total{service=\"stock\",priority=\"106\",outcome="
			    "\"refused\"} 1\n");
	assert_sample(page, "turned_away_total{service=\"stock\",priority=\"other\",outcome="
			    "\"refused\"} 93\n");
	free(page);
}
END_TEST

/* Guards against plans that stay in force after overload control has been switched off, or after
 * the routes of a service have become alike. */
START_TEST(plans_end_with_overload_control_or_classes)
{
	struct ht_route_entry entry = {
		.at = {ADDRESS, STOCK_PORT}, .service = "stock", .priority = 2};
	struct ht_route_table table = {.id = {2, rev(2)}, .count = 1, .entries = &entry};
	char *page;

	for (int i = 0; i < 6; i++)
		report(60, 400);
	ck_assert(stock_service()->plan.short_of_room);
	ht_steering_set_overload(st, NULL, &params.overload.admission, now);
	ck_assert(!stock_service()->plan.short_of_room);
	ck_assert_uint_eq(count_lines("CAPACITY_ENOUGH"), 1);
	page = metrics_page();
	ck_assert_ptr_null(strstr(page, "hickorytrestle_load_slots{"));
	ck_assert_ptr_null(strstr(page, "hickorytrestle_admitted_share{"));
	free(page);
	ht_steering_set_overload(st, load, &params.overload.admission, now);
	for (int i = 0; i < 6; i++)
		report(60, 400);
	ck_assert(stock_service()->plan.short_of_room);
	ht_catalog_set_routes(cat, &table);
	report(60, 400);
	ck_assert(!stock_service()->plan.short_of_room);
	ck_assert_uint_eq(count_lines("CAPACITY_ENOUGH"), 1);
}
END_TEST

/* Guards against settings that take effect at the next start only. */
START_TEST(changed_parameters_hold_for_the_next_plan)
{
	struct ht_admission_params other = params.overload.admission;

	for (int i = 0; i < 10; i++)
		report(4, 1);
	ck_assert(!stock_service()->plan.short_of_room);
	other.begin = 1.1;
	ht_steering_set_overload(st, load, &other, now);
	for (int i = 0; i < 2; i++)
		report(4, 1);
	ck_assert(stock_service()->plan.short_of_room);
}
END_TEST

static TCase *overload_case(void)
{
	TCase *tc = tcase_create("overload");

	tcase_add_checked_fixture(tc, start_with_load, stop_with_load);
	tcase_add_test(tc, shortage_is_logged_with_source_and_plan);
	tcase_add_test(tc, changes_of_a_plan_are_logged_at_a_bounded_rate);
	tcase_add_test(tc, refusals_by_plan_name_the_priority);
	tcase_add_test(tc, classes_of_equal_priority_have_samples_of_their_own);
	tcase_add_test(tc, metrics_show_what_the_plan_is_based_on);
	tcase_add_test(tc, shared_load_is_shown_as_such);
	tcase_add_test(tc, turned_away_flows_are_counted_by_priority);
	tcase_add_test(tc, plans_end_with_overload_control_or_classes);
	tcase_add_test(tc, changed_parameters_hold_for_the_next_plan);
	return tc;
}

int main(void)
{
	TCase *tc = tcase_create("decisions");
	int failed;

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
	failed = run_case("decisions", tc);
	return run_case("overload", overload_case()) || failed;
}
