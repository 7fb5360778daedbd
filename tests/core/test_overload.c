/* What the steering makes of a plan for a service that is short of capacity. */
#include "tests/core/steering_world.h"
#include "tests/suite.h"

#define TARGETS 6
#define CALLERS 400

static struct ht_load *load;
static struct ht_service *stock;

static void start(void)
{
	struct ht_load_params lp;

	world_start();
	ht_steering_free(st);
	ht_load_params_default(&lp);
	lp.dc = ht_load_key("here");
	load = ht_load_new(&lp);
	params.overload.load = load;
	ht_admission_params_default(&params.overload.admission);
	st = ht_steering_new(&params);
	ht_steering_set_view_complete(st, true);
	for (int i = 0; i < TARGETS; i++)
		put_target(i, "stock", i % 2 ? "here" : "there");
	stock = ht_catalog_by_name(cat, "i-1000")->service;
}

static void stop(void)
{
	world_stop();
	ht_load_free(load);
}

/* Capacity is short: routes of priority 1 are admitted, of those of priority 2 the share @admit;
 * the share @stay of the admitted flows goes to the own data centre. */
static void set_plan(double admit, bool delay, double stay)
{
	stock->plan = (struct ht_admission_plan){
		.short_of_room = true,
		.class_count = 2,
		.classes = {{.priority = 1}, {.priority = 2}},
		.admit = {1, admit},
		.delay = {false, delay},
		.dc_count = 2,
		.dcs = {ht_load_key("here"), ht_load_key("there")},
		.share = {stay, 1 - stay},
	};
}

static struct ht_steering_decision open_from(uint32_t caller, uint16_t port, uint32_t copy)
{
	struct ht_packet pkt = packet_of(1024, port);

	pkt.src.ip += caller;
	pkt.opens = true;
	pkt.acknowledged = copy;
	return ht_steering_packet(st, &pkt, now);
}

static unsigned int count_forwarded(uint16_t port, bool local)
{
	unsigned int n = 0;

	for (uint32_t i = 0; i < CALLERS; i++) {
		struct ht_steering_decision d = open_from(i, port, 0);

		n += d.action == HT_STEER_FORWARD && d.target->dc->local == local;
	}
	return n;
}

/* Guards against urgent flows that are turned away while others are admitted. */
START_TEST(less_urgent_flows_are_refused_at_once)
{
	struct ht_steering_decision d;

	set_plan(0, false, 1);
	d = open_flow(1024, STOCK_PORT, 0);
	ck_assert_int_eq(d.action, HT_STEER_RESET);
	ck_assert_int_eq(d.reason, HT_STEER_NO_ROOM);
	ck_assert_uint_eq(count_forwarded(STOCK_PORT + 1, true), CALLERS);
}
END_TEST

/* Guards against a reset where a later copy of the packet can still be served. */
START_TEST(flows_that_can_wait_are_left_to_a_later_copy)
{
	set_plan(0, true, 1);
	ck_assert_int_eq(open_flow(1024, STOCK_PORT, 0).action, HT_STEER_DROP);
	ck_assert_int_eq(open_flow(1024, STOCK_PORT, 1).action, HT_STEER_DROP);
	ck_assert_int_ne(open_flow(1024, STOCK_PORT, 2).action, HT_STEER_DROP);
}
END_TEST

/* Guards against an untrue reset, and against a caller that is left without any answer: the first
 * copy may have been placed by another instance before the routers changed their paths. */
START_TEST(flow_with_an_unknown_first_copy_is_not_reset)
{
	set_plan(0, false, 1);
	ck_assert_int_eq(open_flow(1024, STOCK_PORT, 1).action, HT_STEER_DROP);
	/* No further copy comes that could be admitted, so this one is. */
	ck_assert_int_eq(open_flow(1024, STOCK_PORT, 2).action, HT_STEER_FORWARD);
	/* The same if a copy in between is unknown. */
	set_plan(0, true, 1);
	ck_assert_int_eq(open_flow(1025, STOCK_PORT, 0).action, HT_STEER_DROP);
	ck_assert_int_eq(open_flow(1025, STOCK_PORT, 2).action, HT_STEER_FORWARD);
	/* The same port, but another flow. */
	ck_assert_int_eq(open_flow_at(1026, STOCK_PORT, 0, 1).action, HT_STEER_DROP);
	set_plan(0, false, 1);
	ck_assert_int_eq(open_flow_at(1026, STOCK_PORT, 1, 7000).action, HT_STEER_DROP);
}
END_TEST

/* Guards against callers that wait in vain: all copies so far were dropped by this instance. */
START_TEST(flow_whose_copies_were_all_dropped_here_is_reset)
{
	set_plan(0, true, 1);
	ck_assert_int_eq(open_flow(1024, STOCK_PORT, 0).action, HT_STEER_DROP);
	ck_assert_int_eq(open_flow(1025, STOCK_PORT, 0).action, HT_STEER_DROP);
	ck_assert_int_eq(open_flow(1025, STOCK_PORT, 1).action, HT_STEER_DROP);
	set_plan(0, false, 1);
	ck_assert_int_eq(open_flow(1024, STOCK_PORT, 1).action, HT_STEER_RESET);
	ck_assert_int_eq(open_flow(1025, STOCK_PORT, 2).action, HT_STEER_RESET);
}
END_TEST

/* Burst in one data centre: guards against flows that stay where they would have to wait. */
START_TEST(flows_go_where_the_plan_says)
{
	unsigned int here;

	set_plan(1, false, 0.25);
	here = count_forwarded(STOCK_PORT, true);
	ck_assert_uint_ge(here, CALLERS * 15 / 100);
	ck_assert_uint_le(here, CALLERS * 35 / 100);
}
END_TEST

/* Guards against all instances choosing the target that looks best in a view they share: of two
 * drawn at random the less loaded one is taken, so none gets all flows, and a full one the least.
 */
START_TEST(full_target_of_the_view_gets_fewest_flows)
{
	struct ht_target *full = ht_catalog_by_name(cat, "i-1001");
	struct ht_load_view view = {
		.count = 1,
		.dcs = {{.dc = ht_load_key("here"),
			 .instances = 9,
			 .target_count = 1,
			 .targets = {{.mark = full->marks[0].value, .open = 14, .flows = 14}}}}};
	unsigned int at_full = 0;

	ht_load_set_view(load, &view, now);
	set_plan(1, false, 1);
	for (uint32_t i = 0; i < CALLERS; i++) {
		struct ht_steering_decision d = open_from(i, STOCK_PORT, 0);

		at_full += d.target == full;
		now += 200;
		ht_load_set_view(load, &view, now);
		ht_steering_expire(st, now);
	}
	ck_assert_uint_eq(at_full, 0);
}
END_TEST

/* Guards against a dead target that looks idle: it is left out, while full ones that are suspected
 * because of their errors are not. */
START_TEST(silent_target_is_left_out)
{
	struct ht_target *silent = ht_catalog_by_name(cat, "i-1001");
	struct ht_target *failing = ht_catalog_by_name(cat, "i-1003");
	unsigned int at_failing = 0;

	set_plan(1, false, 1);
	ht_evidence_miss(&silent->evidence, now, now);
	failing->evidence.suspected_until = now + 1000;
	for (uint32_t i = 0; i < CALLERS; i++) {
		struct ht_target *t = open_from(i, STOCK_PORT, 0).target;

		ck_assert_ptr_ne(t, silent);
		at_failing += t == failing;
	}
	ck_assert_uint_gt(at_failing, 0);
}
END_TEST

/* Guards against more flows at a target than its service says it holds. */
START_TEST(limit_of_flows_is_kept)
{
	stock->flows_max = 10;
	for (uint32_t i = 0; i < CALLERS; i++)
		open_from(i, STOCK_PORT, 0);
	for (int i = 0; i < TARGETS; i++) {
		char name[16];

		snprintf(name, sizeof(name), "i-%x", 0x1000 + i);
		ck_assert_uint_le(ht_catalog_by_name(cat, name)->flows, 10);
	}
}
END_TEST

/* Guards against a change of decisions for services that are not short of capacity. */
START_TEST(without_shortage_decisions_are_as_before)
{
	struct ht_steering_params plain = params;
	struct ht_steering *before;

	plain.overload.load = NULL;
	before = ht_steering_new(&plain);
	ht_steering_set_view_complete(before, true);
	for (uint32_t i = 0; i < CALLERS; i++) {
		struct ht_packet pkt = packet_of((uint16_t)(1024 + i), STOCK_PORT);
		struct ht_steering_decision a, b;

		pkt.opens = true;
		a = ht_steering_packet(st, &pkt, now);
		ht_steering_expire(st, now + 10000);
		b = ht_steering_packet(before, &pkt, now);
		ht_steering_expire(before, now + 10000);
		now += 10;
		ck_assert_int_eq(a.action, b.action);
		ck_assert_ptr_eq(a.target, b.target);
	}
	ht_steering_free(before);
}
END_TEST

/* Guards against a plan that stays in force for good: a new configuration, or one from an instance
 * of an earlier build, gives all routes of the service the same terms. */
START_TEST(plan_ends_when_routes_no_longer_differ)
{
	struct ht_route_entry entries[] = {
		{.at = {ADDRESS, STOCK_PORT}, .service = "stock", .priority = 2},
		{.at = {ADDRESS, STOCK_PORT + 1}, .service = "stock", .priority = 2},
	};
	struct ht_route_table table = {.id = {2, rev(2)}, .count = 2, .entries = entries};

	set_plan(0, false, 1);
	ht_catalog_set_routes(cat, &table);
	ck_assert(!stock->has_classes);
	ht_steering_update_load(st, now);
	ck_assert_int_eq(open_flow(1024, STOCK_PORT, 0).action, HT_STEER_FORWARD);
}
END_TEST

/* Guards against the plan of a service that has lost its last target: it would refuse flows for
 * want of room when targets return. */
START_TEST(plan_ends_with_the_last_target)
{
	set_plan(0, false, 1);
	ht_catalog_put_evacuation(cat, "here", true, rev(++revision), now);
	ht_catalog_put_evacuation(cat, "there", true, rev(++revision), now);
	ck_assert_uint_eq(stock->count, 0);
	ht_steering_update_load(st, now);
	ck_assert(!stock->plan.short_of_room);
	ck_assert_int_ne(open_flow(1024, STOCK_PORT, 0).reason, HT_STEER_NO_ROOM);
}
END_TEST

/* A release during a burst: guards against a broken target that answers each request with an error
 * at once and is taken for a full one, so that its short queue attracts most flows. */
START_TEST(target_that_serves_nothing_is_avoided)
{
	struct ht_target *broken = ht_catalog_by_name(cat, "i-1001");
	unsigned int at_broken = 0;
	uint16_t caller = 1024;

	for (int i = 0; i < 40; i++, now += 20)
		request(caller++, STOCK_PORT, 4000, 40);
	set_plan(1, false, 1);
	for (int i = 0; i < 120; i++, now += 20) {
		struct ht_steering_decision d = open_flow(++caller, STOCK_PORT, 0);
		uint32_t bytes = d.target == broken ? 150 : 4000;

		at_broken += d.target == broken;
		now += 4;
		send_marked(caller, STOCK_PORT, d.mark, 100, 50);
		now += d.target == broken ? 1 : 40;
		send_marked(caller, STOCK_PORT, d.mark, 100 + bytes, 0);
		close_flow(caller, STOCK_PORT, d.mark, 100 + bytes);
	}
	ck_assert_uint_gt(at_broken, 0);
	ck_assert_uint_le(at_broken, 12);
	ck_assert(broken->evidence.error_rate > 0);
}
END_TEST

/* Guards against full targets that are left out as suspected: they refuse some requests, and what
 * they would serve goes to the others. */
START_TEST(target_that_refuses_some_requests_is_not_suspected)
{
	uint16_t caller = 1024;

	for (int i = 0; i < 40; i++, now += 20)
		request(caller++, STOCK_PORT, 4000, 40);
	set_plan(1, false, 1);
	for (int i = 0; i < 200; i++, now += 20)
		request(caller++, STOCK_PORT, i % 2 ? 150 : 4000, i % 2 ? 1 : 40);
	for (int i = 1; i < TARGETS; i += 2) {
		char name[16];

		snprintf(name, sizeof(name), "i-%x", 0x1000 + i);
		ck_assert_uint_eq(ht_catalog_by_name(cat, name)->evidence.error_suspicions, 0);
	}
}
END_TEST

/* Guards against an untrue reset: the first copies of the opening packet were placed, and all
 * targets have reached their limit of flows meanwhile. */
START_TEST(placed_flow_is_not_reset_at_the_limit_of_flows)
{
	stock->flows_max = 5;
	ck_assert_int_eq(open_flow(1024, STOCK_PORT, 0).action, HT_STEER_FORWARD);
	for (uint32_t i = 1; i < CALLERS; i++)
		open_from(i, STOCK_PORT, 0);
	now += 200;
	ck_assert_int_ne(open_flow(1024, STOCK_PORT, 1).action, HT_STEER_RESET);
	now += 400;
	ck_assert_int_ne(open_flow(1024, STOCK_PORT, 2).action, HT_STEER_RESET);
	/* Nor if another instance may have placed them. */
	ck_assert_int_ne(open_flow(1025, STOCK_PORT, 2).action, HT_STEER_RESET);
}
END_TEST

/* Limits of cold targets: guards against a plan that sends a cold target more than its service
 * states. */
START_TEST(limit_of_cold_targets_is_kept_by_plans)
{
	unsigned int at_cold = 0;
	struct ht_target *cold;

	stock->warmup_rate = 1000;
	stock->warmup = 10000;
	ck_assert(ht_steering_set_peers(st, 1, NULL, 0));
	ht_steering_set_bounds(st, &(struct ht_steering_bounds){.routes = HT_NEVER,
								.targets = HT_NEVER,
								.warmup_overage = 1});
	cold = ht_catalog_by_name(cat, "i-1001");
	cold->warmup_ends_at = now + 10000;
	set_plan(1, false, 1);
	for (uint32_t i = 0; i < CALLERS; i++)
		at_cold += open_from(i, STOCK_PORT, 0).target == cold;
	ck_assert_uint_eq(at_cold, 1);
}
END_TEST

/* The view says that each target holds @flows and has @open requests in flight, which it attributes
 * to the other data centre; the places are those of the own one. */
static void share_targets(uint32_t flows, uint32_t open, double open_here)
{
	struct ht_load_view view = {
		.count = 2,
		.dcs = {{.dc = ht_load_key("here"),
			 .instances = 1,
			 .service_count = 1,
			 .services = {{.service = stock->key,
				       .place_count = 1,
				       .places = {{.dc = ht_load_key("here"),
						   .open = open_here}}}}},
			{.dc = ht_load_key("there"), .instances = 1, .target_count = TARGETS}}};

	for (int i = 0; i < TARGETS; i++) {
		char name[16];

		snprintf(name, sizeof(name), "i-%x", 0x1000 + i);
		view.dcs[1].targets[i] = (struct ht_load_target){
			.mark = ht_catalog_by_name(cat, name)->marks[0].value,
			.flows = flows,
			.open = open};
	}
	ht_load_set_view(load, &view, now);
}

/* Failure: another data centre reports absurd numbers of flows. Guards against a service that is
 * closed by them; a number that can be true counts. */
START_TEST(absurd_numbers_of_flows_do_not_close_a_service)
{
	stock->flows_max = 100;
	share_targets(4000000000U, 0, 0);
	ck_assert_int_eq(open_flow(1024, STOCK_PORT, 0).action, HT_STEER_FORWARD);
	share_targets(100, 0, 0);
	ck_assert_int_eq(open_flow(1025, STOCK_PORT, 0).action, HT_STEER_DROP);
	share_targets(99, 0, 0);
	ck_assert_int_eq(open_flow(1026, STOCK_PORT, 0).action, HT_STEER_FORWARD);
}
END_TEST

/* Failure: the same of requests in flight. Guards against targets that look empty because what
 * exceeds the intended depth at a full one is taken off. */
START_TEST(absurd_queues_do_not_hide_the_load)
{
	double occupancy;

	for (int i = 0; i < 12; i++, now += 500) {
		struct ht_load_sum out;
		struct ht_target *t = ht_catalog_by_name(cat, "i-1001");

		ht_load_begin_report(load);
		ht_load_add_target(load, stock->key, ht_load_key("here"),
				   &(struct ht_load_target){.mark = t->marks[0].value, .open = 18});
		ht_load_end_report(load, &out, now);
	}
	share_targets(0, 0, 18);
	occupancy = ht_steering_occupancy(st, now);
	ck_assert(occupancy > 1.9 && occupancy < 2.1);
	share_targets(0, 4000000000U, 18);
	ck_assert(ht_steering_occupancy(st, now) > 1.9);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("overload");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, less_urgent_flows_are_refused_at_once);
	tcase_add_test(tc, flows_that_can_wait_are_left_to_a_later_copy);
	tcase_add_test(tc, flow_with_an_unknown_first_copy_is_not_reset);
	tcase_add_test(tc, flow_whose_copies_were_all_dropped_here_is_reset);
	tcase_add_test(tc, flows_go_where_the_plan_says);
	tcase_add_test(tc, full_target_of_the_view_gets_fewest_flows);
	tcase_add_test(tc, silent_target_is_left_out);
	tcase_add_test(tc, limit_of_flows_is_kept);
	tcase_add_test(tc, without_shortage_decisions_are_as_before);
	tcase_add_test(tc, plan_ends_when_routes_no_longer_differ);
	tcase_add_test(tc, plan_ends_with_the_last_target);
	tcase_add_test(tc, target_that_serves_nothing_is_avoided);
	tcase_add_test(tc, target_that_refuses_some_requests_is_not_suspected);
	tcase_add_test(tc, placed_flow_is_not_reset_at_the_limit_of_flows);
	tcase_add_test(tc, limit_of_cold_targets_is_kept_by_plans);
	tcase_add_test(tc, absurd_numbers_of_flows_do_not_close_a_service);
	tcase_add_test(tc, absurd_queues_do_not_hide_the_load);
	return run_case("overload", tc);
}
