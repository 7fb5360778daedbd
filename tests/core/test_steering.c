/* Tests of steering decisions. */
#include "tests/core/steering_world.h"
#include "tests/suite.h"

/* Guards against steering by flow state, which a newly started instance does not have. */
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

START_TEST(late_copy_goes_to_the_target_of_the_open_flow)
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

/* A caller reuses its port, and the first packet of the new flow is lost, so only copies arrive. */
START_TEST(new_flow_on_a_reused_port_is_placed)
{
	struct ht_steering_decision d, copy;
	struct ht_target *t;

	for (int i = 0; i < 8; i++)
		put_target(i, "stock", "here");
	d = open_flow_at(1, STOCK_PORT, 0, 0);
	send_marked(1, STOCK_PORT, d.mark, 100, 0);
	copy = open_flow_at(1, STOCK_PORT, 1, 0x70000000);
	ck_assert_int_eq(copy.reason, HT_STEER_PLACED);
	/* A new flow on the port is no miss of a previous flow that had not opened. */
	t = copy.target;
	now += 200;
	copy = open_flow_at(1, STOCK_PORT, 1, 0x11000000);
	ck_assert_int_eq(copy.reason, HT_STEER_PLACED);
	ck_assert_uint_eq(t->evidence.misses, 0);
	/* Of a flow opened through another instance, only data sequence numbers are known. */
	send_marked(2, STOCK_PORT, d.mark, 100, 10);
	ck_assert_int_eq(open_flow_at(2, STOCK_PORT, 2, 0).reason, HT_STEER_MARKED);
	ck_assert_int_eq(open_flow_at(2, STOCK_PORT, 2, 0x70000000).reason, HT_STEER_PLACED);
}
END_TEST

/* Guards against a forged or outdated mark that directs a packet to another service. */
START_TEST(mark_of_another_service_is_dropped)
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

/* Guards against resets by an instance that has not read all routes and targets yet. */
START_TEST(no_reset_before_the_view_is_complete)
{
	ht_steering_set_view_complete(st, false);
	ck_assert_int_eq(open_flow(1, 9999, 0).action, HT_STEER_DROP);
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 0).action, HT_STEER_DROP);
	ck_assert_int_eq(send_marked(1, STOCK_PORT, 77, 1, 0).action, HT_STEER_DROP);
	ht_steering_set_view_complete(st, true);
	ck_assert_int_eq(open_flow(1, 9999, 0).action, HT_STEER_RESET);
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 0).reason, HT_STEER_NO_TARGET);
	/* An open flow with an unknown mark is never reset, even with the complete view. */
	ck_assert_int_eq(send_marked(1, STOCK_PORT, 77, 1, 0).action, HT_STEER_DROP);
}
END_TEST

/* The store is unreachable, and a route or target that a caller needs may have been added since. */
START_TEST(no_refusal_from_a_stale_view)
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
	/* This is the last copy that the caller sends. */
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 2).action, HT_STEER_RESET);
	now += 1000;
	ck_assert_int_eq(open_flow(1, 9999, 0).reason, HT_STEER_STALE_VIEW);
	ck_assert_int_eq(open_flow(1, 9999, 2).reason, HT_STEER_NO_ROUTE);
	/* A refusal for lack of a target depends on the route as well. */
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

/* A target stops responding under load; each flow placed there loses 200 ms. */
START_TEST(dead_target_gets_few_flows)
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
	/* Without suspicion 100 of the 600 flows would go there; its time doubles from 500 ms. */
	ck_assert_int_ge(met, 2);
	ck_assert_int_le(met, 8);
	ck_assert_uint_gt(reports.count, 0);
	/* A sign of life ends the suspicion. */
	ht_evidence_set_alive(&dead->evidence, now);
	ck_assert(!ht_evidence_suspected(&dead->evidence, now));
}
END_TEST

/* A target answers immediately with errors; it looks idle and fast and must not attract load. */
START_TEST(failing_target_does_not_attract_load)
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

/* Guards against suspicions that leave too few targets for the load. */
START_TEST(at_most_half_of_the_targets_are_skipped_as_suspected)
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

/* The other data centre is unreachable while the local one is busy. */
START_TEST(unreachable_data_centre_is_used_last)
{
	struct ht_target *far = put_target(1, "stock", "there");

	put_target(0, "stock", "here");
	put_target(2, "stock", "there");
	ht_evidence_miss(&far->dc->evidence, now, now);
	for (uint16_t i = 1; i < 15; i++)
		ck_assert(open_flow(i, STOCK_PORT, 0).target->dc->local);
}
END_TEST

/* All instances restart at the same time, and every waiting caller retransmits. */
START_TEST(overload_defers_copies_but_not_the_last)
{
	int placed = 0, deferred = 0;

	put_target(0, "stock", "here");
	put_target(1, "stock", "here");
	ht_steering_set_instance_count(st, 2);
	for (uint16_t i = 1; i <= 100; i++) {
		struct ht_steering_decision d = open_flow(i, STOCK_PORT, 0);

		placed += d.action == HT_STEER_FORWARD;
		deferred += d.reason == HT_STEER_DEFERRED;
	}
	ck_assert_int_eq(placed + deferred, 100);
	/* Two targets with three slots, six flows per slot, shared by two instances: 18. */
	ck_assert_int_le(placed, 19);
	ck_assert_int_ge(placed, 12);
	ck_assert_int_eq(open_flow(200, STOCK_PORT + 1, 0).action, HT_STEER_FORWARD);
	ck_assert_int_eq(open_flow(201, STOCK_PORT, 2).action, HT_STEER_FORWARD);
}
END_TEST

/* An instance that was paused places what waited in its socket in one instant; the callers have
 * long been served through others. New flows arrive right after that. */
START_TEST(flows_that_waited_during_a_pause_defer_no_new_one)
{
	int deferred = 0;

	put_target(0, "stock", "here");
	ht_steering_set_instance_count(st, 4);
	for (uint16_t i = 1; i <= 20; i++)
		open_flow(i, STOCK_PORT, 0);
	now += 150;
	for (uint16_t i = 101; i <= 103; i++)
		deferred += open_flow(i, STOCK_PORT, 0).reason == HT_STEER_DEFERRED;
	ck_assert_int_eq(deferred, 0);
}
END_TEST

/* Routers move flows to other instances, so their ends are not seen here. */
START_TEST(inactive_flows_do_not_count_as_open)
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

/* Guards against a flow with a dangling pointer to a target that the catalogue has freed. */
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

START_TEST(flow_table_is_bounded)
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

/* A target accepts flows and requests but never answers. */
START_TEST(overdue_answers_count_as_misses)
{
	struct ht_target *silent = put_target(0, "stock", "here");

	for (uint16_t i = 1; i <= 3; i++) {
		struct ht_steering_decision d = open_flow(i, STOCK_PORT, 0);

		send_marked(i, STOCK_PORT, d.mark, 100, 50);
	}
	now += 1000;
	ht_steering_expire(st, now);
	ck_assert(ht_evidence_suspected(&silent->evidence, now));
	ck_assert_uint_eq(reports.count, 1);
}
END_TEST

START_TEST(remote_reports_need_more_than_a_single_miss)
{
	struct ht_target *t = put_target(0, "stock", "here");
	struct ht_report one = {.mark = t->marks[0].value, .misses = 1};
	struct ht_report errors = {.mark = t->marks[0].value, .errors = 2};

	ht_steering_apply_report(st, &one, now);
	ck_assert(!ht_evidence_suspected(&t->evidence, now));
	ht_steering_apply_report(st, &one, now);
	ck_assert(ht_evidence_suspected(&t->evidence, now));
	now += 10000;
	ht_evidence_set_alive(&t->evidence, now);
	ht_steering_apply_report(st, &one, now);
	ck_assert_uint_eq(t->evidence.misses, 0);
	ht_steering_apply_report(st, &errors, now);
	ck_assert(ht_evidence_suspected(&t->evidence, now));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("steering");

	tcase_add_checked_fixture(tc, world_start, world_stop);
	tcase_add_test(tc, any_instance_finds_the_target_by_the_mark);
	tcase_add_test(tc, copy_goes_to_another_target);
	tcase_add_test(tc, late_copy_goes_to_the_target_of_the_open_flow);
	tcase_add_test(tc, new_flow_on_a_reused_port_is_placed);
	tcase_add_test(tc, mark_of_another_service_is_dropped);
	tcase_add_test(tc, no_reset_before_the_view_is_complete);
	tcase_add_test(tc, no_refusal_from_a_stale_view);
	tcase_add_test(tc, leaving_target_keeps_its_flows_and_gets_no_new_ones);
	tcase_add_test(tc, dead_target_gets_few_flows);
	tcase_add_test(tc, failing_target_does_not_attract_load);
	tcase_add_test(tc, at_most_half_of_the_targets_are_skipped_as_suspected);
	tcase_add_test(tc, unreachable_data_centre_is_used_last);
	tcase_add_test(tc, overload_defers_copies_but_not_the_last);
	tcase_add_test(tc, flows_that_waited_during_a_pause_defer_no_new_one);
	tcase_add_test(tc, inactive_flows_do_not_count_as_open);
	tcase_add_test(tc, target_is_kept_while_flows_refer_to_it);
	tcase_add_test(tc, flow_table_is_bounded);
	tcase_add_test(tc, overdue_answers_count_as_misses);
	tcase_add_test(tc, remote_reports_need_more_than_a_single_miss);
	return run_case("steering", tc);
}
