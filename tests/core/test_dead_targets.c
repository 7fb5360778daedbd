/* Tests of open flows whose target has died: which of them are reset, and when. */
#include "tests/core/steering_callers.h"
#include "tests/suite.h"

/* Retransmission timeouts of a caller, as the flow protocol sets them; doubled each time. */
#define FIRST_WAIT 200
#define SECOND_WAIT 400

/* The only target stops answering; @n callers send a request and retransmit it once. */
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

/* Targets crash while callers have open flows. Flows on idempotent routes are reset, so that the
 * callers can retry. */
START_TEST(flows_of_a_silent_target_are_reset)
{
	struct caller callers[4];
	int resets = 0;

	put_target(0, "stock", "here");
	stop_answering(callers, 4, STOCK_PORT);
	for (int i = 0; i < 4; i++) {
		struct ht_steering_decision d = resend_request(&callers[i]);

		resets += d.action == HT_STEER_RESET && d.reason == HT_STEER_DEAD_TARGET;
	}
	ck_assert_int_eq(resets, 4);
}
END_TEST

/* Guards against a posting that fails although its target, cut off by the network, answers later.
 */
START_TEST(postings_wait_while_their_target_may_be_alive)
{
	struct caller callers[4];

	put_target(0, "stock", "here");
	stop_answering(callers, 4, STOCK_PORT + 1);
	for (int i = 0; i < 4; i++)
		ck_assert_int_eq(resend_request(&callers[i]).action, HT_STEER_FORWARD);
	/* The platform reports the target as gone: it cannot answer any more. */
	ht_catalog_remove_target(cat, "i-1000", rev(++revision), now, now);
	now += 2 * SECOND_WAIT;
	for (int i = 0; i < 4; i++)
		ck_assert_int_eq(resend_request(&callers[i]).reason, HT_STEER_DEAD_TARGET);
}
END_TEST

/* Guards against the reset of a flow whose target's entry has expired while it may still run. */
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

/* A lossy network: one flow loses its packets, while its target has no other misses. */
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

/* Guards against counting misses from before a sign of life as later ones: both are handled in one
 * event loop iteration and have the same time stamp. */
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

/* The instance is paused and then reads all retransmissions of that time at once. */
START_TEST(copies_read_after_a_pause_are_no_misses)
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

/* An instance starts and reads the opening packets of the last second from its socket. Guards
 * against suspicion of targets that have had no time to answer. */
START_TEST(opening_packets_read_at_once_are_no_misses)
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

/* The same for a request that was forwarded before the instance was paused. */
START_TEST(repeated_data_read_at_once_counts_once)
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

/* The packets of a flow start to arrive here after it was opened through another instance. */
START_TEST(flow_of_another_instance_is_tracked)
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

/* An instance starts or stops, and the routers move nearly all flows to other instances. Guards
 * against suspicion of targets whose answers are acknowledged elsewhere. */
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
	/* Flows that sent their request before the move may continue elsewhere: none is overdue. */
	ck_assert_uint_eq(t->evidence.misses, 0);
	here[0] = connect_caller(50);
	now += 10;
	send_request(&here[0]);
	now += 1000;
	ht_steering_expire(st, now);
	ck_assert_uint_eq(t->evidence.misses, 1);
}
END_TEST

START_TEST(nothing_is_reset_without_a_complete_view)
{
	struct caller callers[4];

	put_target(0, "stock", "here");
	stop_answering(callers, 4, STOCK_PORT);
	ht_steering_set_view_complete(st, false);
	ck_assert_int_eq(resend_request(&callers[0]).action, HT_STEER_FORWARD);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("dead_targets");

	tcase_add_checked_fixture(tc, world_start, world_stop);
	tcase_add_test(tc, flows_of_a_silent_target_are_reset);
	tcase_add_test(tc, postings_wait_while_their_target_may_be_alive);
	tcase_add_test(tc, held_target_counts_as_alive);
	tcase_add_test(tc, lost_packets_of_one_flow_reset_nothing);
	tcase_add_test(tc, misses_before_a_sign_of_life_do_not_count);
	tcase_add_test(tc, target_that_answers_others_is_alive);
	tcase_add_test(tc, copies_read_after_a_pause_are_no_misses);
	tcase_add_test(tc, opening_packets_read_at_once_are_no_misses);
	tcase_add_test(tc, repeated_data_read_at_once_counts_once);
	tcase_add_test(tc, flow_of_another_instance_is_tracked);
	tcase_add_test(tc, flows_that_moved_away_are_not_overdue);
	tcase_add_test(tc, nothing_is_reset_without_a_complete_view);
	return run_case("dead_targets", tc);
}
