/* Tests of where packets go. Each names the failure that it guards against. */
#include "tests/core/steering_world.h"
#include "tests/suite.h"

/* Guards against flow state that an instance started a moment ago does not have. */
START_TEST(any_instance_finds_the_target_by_the_mark)
{
	struct ht_steering_decision d;
	struct ht_steering *other;
	struct ht_packet pkt;

	for (int i = 0; i < 5; i++)
		put_target(i, "stock", "here");
	d = open_flow(1, STOCK_PORT, 0);
	other = ht_steering_new(&params);
	pkt = packet_of(1, STOCK_PORT);
	pkt.mark = d.mark;
	ck_assert_ptr_eq(ht_steering_packet(other, &pkt, now).target, d.target);
	ht_steering_free(other);
}
END_TEST

START_TEST(copy_goes_to_another_target)
{
	struct ht_target *first, *second, *third;

	for (int i = 0; i < 3; i++)
		put_target(i, "stock", "here");
	first = open_flow(1, STOCK_PORT, 0).target;
	now += 200;
	second = open_flow(1, STOCK_PORT, 1).target;
	now += 400;
	third = open_flow(1, STOCK_PORT, 2).target;
	ck_assert(first != second && second != third && first != third);
}
END_TEST

START_TEST(late_copy_joins_the_open_flow)
{
	struct ht_steering_decision d, copy;

	for (int i = 0; i < 8; i++)
		put_target(i, "stock", "here");
	d = open_flow(1, STOCK_PORT, 0);
	send_marked(1, STOCK_PORT, d.mark, 100, 0);
	copy = open_flow(1, STOCK_PORT, 1);
	ck_assert_ptr_eq(copy.target, d.target);
	ck_assert_int_eq(copy.reason, HT_STEER_MARKED);
}
END_TEST

/* Pattern: a caller uses a port again, and the first packet of the new flow was lost. */
START_TEST(new_flow_on_a_used_port_is_placed)
{
	struct ht_steering_decision d, copy;
	struct ht_target *t;

	for (int i = 0; i < 8; i++)
		put_target(i, "stock", "here");
	d = open_flow_at(1, STOCK_PORT, 0, 0);
	send_marked(1, STOCK_PORT, d.mark, 100, 0);
	copy = open_flow_at(1, STOCK_PORT, 1, 0x70000000);
	ck_assert_int_eq(copy.reason, HT_STEER_PLACED);
	/* The former flow's target is not blamed when it had not opened yet. */
	t = copy.target;
	now += 200;
	copy = open_flow_at(1, STOCK_PORT, 1, 0x11000000);
	ck_assert_int_eq(copy.reason, HT_STEER_PLACED);
	ck_assert_uint_eq(t->evidence.misses, 0);
	/* One that came from another instance is known by its data only. */
	send_marked(2, STOCK_PORT, d.mark, 100, 10);
	ck_assert_int_eq(open_flow_at(2, STOCK_PORT, 2, 0).reason, HT_STEER_MARKED);
	ck_assert_int_eq(open_flow_at(2, STOCK_PORT, 2, 0x70000000).reason, HT_STEER_PLACED);
}
END_TEST

/* Guards against a forged or stale mark that leads a packet to the other service. */
START_TEST(never_to_a_service_the_route_never_led_to)
{
	struct ht_target *docs = put_target(9, "docs", "here");
	struct ht_steering_decision d;

	put_target(1, "stock", "here");
	d = send_marked(1, STOCK_PORT, docs->marks[0].value, 1, 0);
	ck_assert_int_eq(d.action, HT_STEER_DROP);
	ck_assert_int_eq(d.reason, HT_STEER_FOREIGN_TARGET);
	d = send_marked(1, STOCK_PORT, 0x12345, 1, 0);
	ck_assert_int_eq(d.action, HT_STEER_DROP);
	ck_assert_int_eq(d.reason, HT_STEER_UNKNOWN_MARK);
}
END_TEST

/* Guards against a reset of an open flow, or of a new one, by an instance that knows too little. */
START_TEST(no_reset_before_the_whole_view)
{
	ht_steering_set_complete(st, false);
	ck_assert_int_eq(open_flow(1, 9999, 0).action, HT_STEER_DROP);
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 0).action, HT_STEER_DROP);
	ck_assert_int_eq(send_marked(1, STOCK_PORT, 77, 1, 0).action, HT_STEER_DROP);
	ht_steering_set_complete(st, true);
	ck_assert_int_eq(open_flow(1, 9999, 0).action, HT_STEER_RESET);
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 0).reason, HT_STEER_NO_TARGET);
	/* An open flow is never reset here, whatever is known. */
	ck_assert_int_eq(send_marked(1, STOCK_PORT, 77, 1, 0).action, HT_STEER_DROP);
}
END_TEST

/* Pattern: the store is down, and the route or the target that a caller needs came meanwhile. */
START_TEST(no_refusal_by_a_view_that_is_older_than_its_bound)
{
	ht_steering_set_bounds(st, &(struct ht_steering_bounds){.routes = 3000, .targets = 2000});
	ht_steering_set_proofs(st, now, now);
	now += 2000;
	ck_assert_int_eq(open_flow(1, 9999, 0).action, HT_STEER_RESET);
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 0).action, HT_STEER_RESET);
	now += 1;
	ck_assert_int_eq(open_flow(1, 9999, 0).reason, HT_STEER_NO_ROUTE);
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 0).action, HT_STEER_DROP);
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 1).reason, HT_STEER_STALE_VIEW);
	/* The caller sends no further copy. */
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 2).action, HT_STEER_RESET);
	now += 1000;
	ck_assert_int_eq(open_flow(1, 9999, 0).reason, HT_STEER_STALE_VIEW);
	ck_assert_int_eq(open_flow(1, 9999, 2).reason, HT_STEER_NO_ROUTE);
	/* No target as far as is known rests on the route as well. */
	ht_steering_set_proofs(st, now - 3001, now);
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 0).reason, HT_STEER_STALE_VIEW);
	ht_steering_set_proofs(st, now, now);
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 0).reason, HT_STEER_NO_TARGET);
}
END_TEST

START_TEST(leaving_target_keeps_its_flows_and_gets_no_new_ones)
{
	struct ht_target_entry e = entry_of(1, "stock", "here");
	struct ht_steering_decision d;

	put_target(1, "stock", "here");
	d = open_flow(1, STOCK_PORT, 0);
	put_target(2, "stock", "here");
	e.draining = true;
	e.revision = rev(++revision);
	ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
	for (uint16_t i = 10; i < 60; i++)
		ck_assert_str_eq(open_flow(i, STOCK_PORT, 2).target->name, "i-1002");
	ck_assert_ptr_eq(send_marked(1, STOCK_PORT, d.mark, 1, 5).target, d.target);
	ht_catalog_remove_target(cat, e.name, rev(++revision), now, now);
	ck_assert_ptr_eq(send_marked(1, STOCK_PORT, d.mark, 1, 5).target, d.target);
}
END_TEST

/* Pattern: a target dies silently under load; each flow that meets it loses 200 ms. */
START_TEST(dead_target_gets_single_trials_only)
{
	struct ht_target *dead = put_target(0, "stock", "here");
	int met = 0;

	for (int i = 1; i < 6; i++)
		put_target(i, "stock", "here");
	for (uint16_t i = 1; i <= 600; i++) {
		struct ht_steering_decision d = open_flow(i, STOCK_PORT, 0);

		if (d.target == dead) {
			met++;
			now += 200;
			d = open_flow(i, STOCK_PORT, 1);
			ck_assert_ptr_ne(d.target, dead);
		}
		send_marked(i, STOCK_PORT, d.mark, 100, 10);
		now += 10;
		close_flow(i, STOCK_PORT, d.mark, 300);
	}
	/* 100 of 600 would meet it without memory; the doubt doubles from half a second. */
	ck_assert_int_ge(met, 2);
	ck_assert_int_le(met, 8);
	ck_assert_uint_gt(reports.count, 0);
	/* Life ends the doubt. */
	ht_evidence_set_alive(&dead->evidence, now);
	ck_assert(!ht_evidence_doubted(&dead->evidence, now));
}
END_TEST

/* Pattern: targets answer at once with errors, look idle and fast, and draw all load. */
START_TEST(failing_target_does_not_draw_load)
{
	struct ht_target *bad = put_target(0, "stock", "here");
	int met = 0;

	for (int i = 1; i < 6; i++)
		put_target(i, "stock", "here");
	for (uint16_t i = 1; i <= 60; i++)
		request(i, STOCK_PORT, 1000, 50);
	for (uint16_t i = 100; i <= 400; i++) {
		struct ht_steering_decision d = open_flow(i, STOCK_PORT, 0);
		bool failing = d.target == bad;

		met += failing;
		now += 4;
		send_marked(i, STOCK_PORT, d.mark, 100, 50);
		now += failing ? 1 : 50;
		send_marked(i, STOCK_PORT, d.mark, failing ? 200 : 1100, 0);
		close_flow(i, STOCK_PORT, d.mark, failing ? 200 : 1100);
	}
	ck_assert_int_ge(met, 1);
	ck_assert_int_le(met, 15);
}
END_TEST

/* Guards against doubt that leaves fewer targets than can carry the load. */
START_TEST(doubt_leaves_out_half_of_the_targets_at_most)
{
	struct ht_target *t[6];
	bool used[6] = {false};

	for (int i = 0; i < 6; i++) {
		t[i] = put_target(i, "stock", "here");
		if (i < 4)
			ht_evidence_miss(&t[i]->evidence, now, now);
	}
	for (uint16_t i = 1; i < 400; i++) {
		const struct ht_target *got = open_flow(i, STOCK_PORT, 2).target;

		for (int k = 0; k < 6; k++)
			used[k] |= got == t[k];
	}
	for (int k = 0; k < 6; k++)
		ck_assert(used[k]);
}
END_TEST

/* Pattern: the other data centres are cut off while the own one is busy. */
START_TEST(cut_data_centre_is_used_last)
{
	struct ht_target *far = put_target(1, "stock", "there");

	put_target(0, "stock", "here");
	put_target(2, "stock", "there");
	ht_evidence_miss(&far->dc->evidence, now, now);
	for (uint16_t i = 1; i < 15; i++)
		ck_assert(open_flow(i, STOCK_PORT, 0).target->dc->local);
}
END_TEST

/* Pattern: all instances return at once and every waiting caller sends again. */
START_TEST(overload_defers_copies_but_not_the_last)
{
	int placed = 0, deferred = 0;

	put_target(0, "stock", "here");
	put_target(1, "stock", "here");
	ht_steering_set_sharers(st, 2);
	for (uint16_t i = 1; i <= 100; i++) {
		struct ht_steering_decision d = open_flow(i, STOCK_PORT, 0);

		placed += d.action == HT_STEER_FORWARD;
		deferred += d.reason == HT_STEER_DEFERRED;
	}
	ck_assert_int_eq(placed + deferred, 100);
	/* Half of two targets with three slots, six flows a slot. */
	ck_assert_int_le(placed, 19);
	ck_assert_int_ge(placed, 12);
	ck_assert_int_eq(open_flow(200, STOCK_PORT + 1, 0).action, HT_STEER_FORWARD);
	ck_assert_int_eq(open_flow(201, STOCK_PORT, 2).action, HT_STEER_FORWARD);
}
END_TEST

/* Pattern: routers move flows to other instances, which see them end. */
START_TEST(flows_without_packets_do_not_fill_the_instance)
{
	const struct ht_target *t = put_target(0, "stock", "here");

	for (uint16_t i = 1; i <= 10; i++)
		open_flow(i, STOCK_PORT, 0);
	ck_assert_uint_eq(t->open, 10);
	now += 500;
	open_flow(50, STOCK_PORT, 0);
	ck_assert_uint_eq(t->open, 1);
	now += 5000;
	ht_steering_expire(st, now);
	ck_assert_uint_eq(t->open, 0);
	ck_assert_uint_eq(ht_steering_flow_count(st), 0);
}
END_TEST

/* Guards against a flow that refers to a target which has been purged. */
START_TEST(target_is_kept_while_flows_refer_to_it)
{
	const struct ht_target *t = put_target(0, "stock", "here");
	uint32_t mark = open_flow(1, STOCK_PORT, 0).mark;

	ht_catalog_remove_target(cat, "i-1000", rev(++revision), now, now);
	now += 500;
	open_flow(2, STOCK_PORT, 0);
	ck_assert_uint_eq(t->open, 0);
	ht_catalog_expire(cat, now, 0);
	ck_assert_ptr_eq(send_marked(1, STOCK_PORT, mark, 1, 5).target, t);
	now += 5000;
	ht_steering_expire(st, now);
	now += 5000;
	ht_steering_expire(st, now);
	ht_catalog_expire(cat, now, 0);
	ck_assert_ptr_null(ht_catalog_by_name(cat, "i-1000"));
}
END_TEST

START_TEST(table_of_flows_is_bounded)
{
	struct ht_steering_params small = params;
	struct ht_steering *bounded;

	put_target(0, "stock", "here");
	small.flows_max = 16;
	bounded = ht_steering_new(&small);
	for (uint16_t i = 1; i <= 200; i++) {
		struct ht_packet pkt = packet_of(i, STOCK_PORT);

		pkt.opens = true;
		pkt.acknowledged = 2;
		ck_assert_int_eq(ht_steering_packet(bounded, &pkt, now).action, HT_STEER_FORWARD);
	}
	ck_assert_uint_eq(ht_steering_flow_count(bounded), 16);
	ht_steering_free(bounded);
}
END_TEST

/* Pattern: a target takes requests and never answers, while its flows open well. */
START_TEST(overdue_answers_speak_against_a_target)
{
	struct ht_target *silent = put_target(0, "stock", "here");

	for (uint16_t i = 1; i <= 3; i++) {
		struct ht_steering_decision d = open_flow(i, STOCK_PORT, 0);

		send_marked(i, STOCK_PORT, d.mark, 100, 50);
	}
	now += 1000;
	ht_steering_expire(st, now);
	ck_assert(ht_evidence_doubted(&silent->evidence, now));
	ck_assert_uint_eq(reports.count, 1);
}
END_TEST

START_TEST(hears_of_others_but_not_of_a_single_miss)
{
	struct ht_target *t = put_target(0, "stock", "here");
	struct ht_report one = {.mark = t->marks[0].value, .misses = 1};
	struct ht_report errors = {.mark = t->marks[0].value, .errors = 2};

	ht_steering_hear(st, &one, now);
	ck_assert(!ht_evidence_doubted(&t->evidence, now));
	ht_steering_hear(st, &one, now);
	ck_assert(ht_evidence_doubted(&t->evidence, now));
	now += 10000;
	ht_evidence_set_alive(&t->evidence, now);
	ht_steering_hear(st, &one, now);
	ck_assert_uint_eq(t->evidence.misses, 0);
	ht_steering_hear(st, &errors, now);
	ck_assert(ht_evidence_doubted(&t->evidence, now));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("steering");

	tcase_add_checked_fixture(tc, world_start, world_stop);
	tcase_add_test(tc, any_instance_finds_the_target_by_the_mark);
	tcase_add_test(tc, copy_goes_to_another_target);
	tcase_add_test(tc, late_copy_joins_the_open_flow);
	tcase_add_test(tc, new_flow_on_a_used_port_is_placed);
	tcase_add_test(tc, never_to_a_service_the_route_never_led_to);
	tcase_add_test(tc, no_reset_before_the_whole_view);
	tcase_add_test(tc, no_refusal_by_a_view_that_is_older_than_its_bound);
	tcase_add_test(tc, leaving_target_keeps_its_flows_and_gets_no_new_ones);
	tcase_add_test(tc, dead_target_gets_single_trials_only);
	tcase_add_test(tc, failing_target_does_not_draw_load);
	tcase_add_test(tc, doubt_leaves_out_half_of_the_targets_at_most);
	tcase_add_test(tc, cut_data_centre_is_used_last);
	tcase_add_test(tc, overload_defers_copies_but_not_the_last);
	tcase_add_test(tc, flows_without_packets_do_not_fill_the_instance);
	tcase_add_test(tc, target_is_kept_while_flows_refer_to_it);
	tcase_add_test(tc, table_of_flows_is_bounded);
	tcase_add_test(tc, overdue_answers_speak_against_a_target);
	tcase_add_test(tc, hears_of_others_but_not_of_a_single_miss);
	return run_case("steering", tc);
}
