/* Tests of requests in open flows whose target has died: who is told, and when. */
#include "tests/core/steering_callers.h"
#include "tests/suite.h"

/* Waits of a caller before it sends its data again: PROTOCOL of flows, doubled each time. */
#define FIRST_WAIT 200
#define SECOND_WAIT 400

/* @n callers ask the only target, which falls silent, and send again once. */
static void stop_answering(struct caller *callers, uint16_t n, uint16_t service)
{
	for (uint16_t i = 0; i < n; i++) {
		callers[i] = connect_to((uint16_t)(i + 1), service);
		send_request(&callers[i]);
		now += 4;
		receive_answer(&callers[i], ANSWER);
	}
	now += 1000;
	for (uint16_t i = 0; i < n; i++)
		send_request(&callers[i]);
	now += FIRST_WAIT;
	for (uint16_t i = 0; i < n; i++)
		ck_assert_int_eq(resend_request(&callers[i]).action, HT_STEER_FORWARD);
	now += SECOND_WAIT;
}

/* Pattern: targets crash while callers keep flows open to them. Who may ask again learns it. */
START_TEST(callers_of_a_silent_target_are_told)
{
	struct caller callers[4];
	int told = 0;

	put_target(0, "stock", "here");
	stop_answering(callers, 4, STOCK_PORT);
	for (int i = 0; i < 4; i++) {
		struct ht_steering_decision d = resend_request(&callers[i]);

		told += d.action == HT_STEER_RESET && d.reason == HT_STEER_DEAD_TARGET;
	}
	ck_assert_int_eq(told, 4);
}
END_TEST

/* Guards against a posting that fails although its target, behind a cut, would have answered. */
START_TEST(requests_that_run_once_wait_while_their_target_may_live)
{
	struct caller callers[4];

	put_target(0, "stock", "here");
	stop_answering(callers, 4, STOCK_PORT + 1);
	for (int i = 0; i < 4; i++)
		ck_assert_int_eq(resend_request(&callers[i]).action, HT_STEER_FORWARD);
	/* The platform says that it is gone: it will not answer. */
	ht_catalog_remove_target(cat, "i-1000", rev(++revision), now, now);
	now += 2 * SECOND_WAIT;
	for (int i = 0; i < 4; i++)
		ck_assert_int_eq(resend_request(&callers[i]).reason, HT_STEER_DEAD_TARGET);
}
END_TEST

/* Guards against a reset of a flow to a target whose entry has only lapsed. */
START_TEST(held_target_counts_as_alive)
{
	struct caller callers[2];

	put_target(0, "stock", "here");
	stop_answering(callers, 2, STOCK_PORT + 1);
	ht_catalog_remove_target(cat, "i-1000", rev(++revision), now, now + 2500);
	ck_assert_int_eq(resend_request(&callers[0]).action, HT_STEER_FORWARD);
	now += 2500;
	ck_assert_int_eq(resend_request(&callers[0]).action, HT_STEER_RESET);
}
END_TEST

/* Pattern: a lossy network. One flow loses its packets, its target serves the others. */
START_TEST(lost_packets_of_one_flow_reset_nothing)
{
	struct caller c;

	put_target(0, "stock", "here");
	c = connect_caller(1);
	send_request(&c);
	for (ht_ms wait = FIRST_WAIT; wait <= 1600; wait *= 2) {
		now += wait;
		ck_assert_int_eq(resend_request(&c).action, HT_STEER_FORWARD);
	}
}
END_TEST

/* Guards against misses from before a sign of life that are taken for misses since: both came in
 * one turn of the loop, which has one time. */
START_TEST(misses_before_a_sign_of_life_do_not_count)
{
	struct ht_target *t = put_target(0, "stock", "here");
	struct caller alone = connect_caller(1), other = connect_caller(2);

	send_request(&alone);
	now += 4;
	receive_answer(&alone, ANSWER);
	send_request(&other);
	now += 4;
	for (int i = 0; i < 5; i++)
		ht_evidence_miss(&t->evidence, now, now);
	send_request(&alone);
	receive_answer(&other, ANSWER);
	for (ht_ms wait = FIRST_WAIT; wait <= 1600; wait *= 2) {
		now += wait;
		ck_assert_int_eq(resend_request(&alone).action, HT_STEER_FORWARD);
	}
}
END_TEST

START_TEST(target_that_answers_others_is_alive)
{
	struct caller callers[4];

	put_target(0, "stock", "here");
	stop_answering(callers, 4, STOCK_PORT);
	receive_answer(&callers[3], ANSWER);
	for (int i = 0; i < 3; i++)
		ck_assert_int_eq(resend_request(&callers[i]).action, HT_STEER_FORWARD);
}
END_TEST

/* Pattern: the instance stands still, and finds what callers have sent again meanwhile all at once.
 */
START_TEST(copies_after_a_freeze_prove_nothing)
{
	struct caller callers[4];

	put_target(0, "stock", "here");
	for (uint16_t i = 0; i < 4; i++)
		callers[i] = connect_caller((uint16_t)(i + 1));
	now += 4000;
	for (int i = 0; i < 4; i++) {
		send_request(&callers[i]);
		for (int copy = 0; copy < 3; copy++)
			ck_assert_int_eq(resend_request(&callers[i]).action, HT_STEER_FORWARD);
	}
}
END_TEST

/* Pattern: an instance starts, and finds the opening packets of the last second in its socket.
 * Guards against doubt about targets that have not had time to answer. */
START_TEST(opening_packets_found_at_once_prove_nothing)
{
	struct ht_target *targets[2] = {put_target(0, "stock", "here"),
					put_target(1, "stock", "here")};

	for (uint16_t i = 1; i <= 5; i++) {
		const struct ht_target *t = open_flow(i, STOCK_PORT, 0).target;

		now += 2;
		for (uint32_t copy = 1; copy <= 2; copy++)
			ck_assert_ptr_eq(open_flow(i, STOCK_PORT, copy).target, t);
	}
	for (int i = 0; i < 2; i++)
		ck_assert_uint_eq(targets[i]->evidence.misses, 0);
	ck_assert_uint_eq(reports.count, 0);
	now += 200;
	ck_assert_int_eq(open_flow(5, STOCK_PORT, 2).reason, HT_STEER_REPLACED);
	ck_assert_uint_eq(reports.count, 1);
}
END_TEST

/* The same, of a request that was sent before the instance stood still. */
START_TEST(repeated_data_found_at_once_counts_once)
{
	struct ht_target *t = put_target(0, "stock", "here");
	struct caller c = connect_caller(1);

	send_request(&c);
	now += 4000;
	for (int copy = 0; copy < 4; copy++)
		resend_request(&c);
	ck_assert_uint_eq(t->evidence.misses, 1);
}
END_TEST

/* Pattern: a flow's packets begin to come through this instance, which has not seen it open. */
START_TEST(flow_of_another_instance_is_followed)
{
	const struct ht_target *t = put_target(0, "stock", "here");
	struct caller c = {.port = 9,
			   .service = STOCK_PORT,
			   .mark = t->marks[0].value,
			   .sequence = 70000,
			   .acknowledged = 5000};

	send_request(&c);
	ck_assert_uint_eq(t->open, 1);
	now += 40;
	receive_answer(&c, ANSWER);
	ck_assert_uint_eq(t->answers, 1);
	ck_assert_int_eq(t->answers_ms, 40);
}
END_TEST

/* Pattern: an instance starts or stops, and the routers send nearly all flows through others.
 * Guards against doubt about targets whose answers are seen elsewhere. */
START_TEST(flows_that_moved_away_are_not_overdue)
{
	const struct ht_target *t = put_target(0, "stock", "here");
	struct caller here[3], moved = {.port = 99,
					.service = STOCK_PORT,
					.mark = t->marks[0].value,
					.sequence = 70000,
					.acknowledged = 5000};

	for (uint16_t i = 0; i < 3; i++) {
		here[i] = connect_caller((uint16_t)(i + 1));
		send_request(&here[i]);
	}
	now += 100;
	send_request(&moved);
	now += 1000;
	ht_steering_expire(st, now);
	/* Only the one that has come here is known to wait here. */
	ck_assert_uint_eq(t->evidence.misses, 0);
	here[0] = connect_caller(50);
	now += 10;
	send_request(&here[0]);
	now += 1000;
	ht_steering_expire(st, now);
	ck_assert_uint_eq(t->evidence.misses, 1);
}
END_TEST

START_TEST(nothing_is_reset_without_a_confirmed_view)
{
	struct caller callers[4];

	put_target(0, "stock", "here");
	stop_answering(callers, 4, STOCK_PORT);
	ht_steering_set_complete(st, false);
	ck_assert_int_eq(resend_request(&callers[0]).action, HT_STEER_FORWARD);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("dead_targets");

	tcase_add_checked_fixture(tc, world_start, world_stop);
	tcase_add_test(tc, callers_of_a_silent_target_are_told);
	tcase_add_test(tc, requests_that_run_once_wait_while_their_target_may_live);
	tcase_add_test(tc, held_target_counts_as_alive);
	tcase_add_test(tc, lost_packets_of_one_flow_reset_nothing);
	tcase_add_test(tc, misses_before_a_sign_of_life_do_not_count);
	tcase_add_test(tc, target_that_answers_others_is_alive);
	tcase_add_test(tc, copies_after_a_freeze_prove_nothing);
	tcase_add_test(tc, opening_packets_found_at_once_prove_nothing);
	tcase_add_test(tc, repeated_data_found_at_once_counts_once);
	tcase_add_test(tc, flow_of_another_instance_is_followed);
	tcase_add_test(tc, flows_that_moved_away_are_not_overdue);
	tcase_add_test(tc, nothing_is_reset_without_a_confirmed_view);
	return run_case("dead_targets", tc);
}
