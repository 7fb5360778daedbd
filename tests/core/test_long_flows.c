/* Tests of flows with many consecutive requests and pauses between them. */
#include "tests/core/steering_callers.h"
#include "tests/suite.h"

START_TEST(each_answer_is_counted)
{
	const struct ht_target *t = put_target(0, "stock", "here");
	struct caller c = connect_caller(1);

	for (int i = 0; i < 5; i++) {
		send_request(&c);
		now += 40;
		receive_answer(&c, ANSWER / 2);
		receive_answer(&c, ANSWER / 2);
		now += 300;
	}
	ck_assert_uint_eq(t->answers, 5);
	ck_assert_int_eq(t->answers_ms, 200);
}
END_TEST

/* Callers keep a flow open for a minute with few requests. The pauses must not count as load. */
START_TEST(idle_flows_are_no_load)
{
	const struct ht_target *t = put_target(0, "stock", "here");
	struct caller callers[60];

	/* Requests are sequential, so that there is never more than one at a time. */
	for (uint16_t i = 0; i < 60; i++) {
		callers[i] = connect_caller((uint16_t)(i + 1));
		send_request(&callers[i]);
		now += 5;
		receive_answer(&callers[i], ANSWER);
		now += params.timeouts.answered;
	}
	ht_steering_expire(st, now);
	ck_assert_uint_eq(t->open, 0);
	send_request(&callers[59]);
	ck_assert_uint_eq(t->open, 1);
	for (uint16_t i = 100; i < 110; i++)
		ck_assert_int_eq(open_flow(i, STOCK_PORT, 0).action, HT_STEER_FORWARD);
}
END_TEST

/* A steady load in long-lived flows that the targets can serve: no flow is deferred. */
START_TEST(steady_requests_of_open_flows_defer_no_flow)
{
	struct caller callers[40];
	int deferred = 0;

	for (int i = 0; i < 2; i++)
		put_target(i, "stock", "here");
	for (uint16_t i = 0; i < 40; i++)
		callers[i] = connect_caller((uint16_t)(i + 1));
	now += params.timeouts.open;
	/* 100 requests of 40 ms per second; two targets with three slots can serve 150. */
	for (int i = 0; i < 400; i++) {
		struct caller *c = &callers[i % 40];

		if (i >= 4)
			receive_answer(&callers[(i - 4) % 40], ANSWER);
		send_request(c);
		now += 10;
		deferred +=
			open_flow((uint16_t)(1000 + i), STOCK_PORT, 0).reason == HT_STEER_DEFERRED;
		close_flow((uint16_t)(1000 + i), STOCK_PORT, c->mark, 0);
	}
	ck_assert_int_eq(deferred, 0);
}
END_TEST

/* A target hangs between two requests of a flow. */
START_TEST(later_request_without_an_answer_is_a_miss)
{
	struct ht_target *t = put_target(0, "stock", "here");
	struct caller c = connect_caller(1);

	send_request(&c);
	now += 40;
	receive_answer(&c, ANSWER);
	now += 1000;
	send_request(&c);
	now += 200;
	send_data(&c, c.sequence - REQUEST, REQUEST);
	ck_assert(ht_evidence_suspected(&t->evidence, now));
	ck_assert_uint_eq(t->answers, 1);
}
END_TEST

/* Guards against counting a retransmitted part of a request as a new request. */
START_TEST(repeated_data_is_no_new_request)
{
	const struct ht_target *t = put_target(0, "stock", "here");
	struct caller c = connect_caller(1);

	send_request(&c);
	now += 40;
	receive_answer(&c, ANSWER);
	send_data(&c, c.sequence - REQUEST, REQUEST);
	now += 100;
	receive_answer(&c, 10);
	ck_assert_uint_eq(t->answers, 1);
}
END_TEST

/* An upload of many packets gets one answer, whose time includes the upload. */
START_TEST(upload_is_one_request)
{
	const struct ht_target *t = put_target(0, "stock", "here");
	struct caller c = connect_caller(1);

	for (int i = 0; i < 70; i++) {
		send_data(&c, c.sequence, 1200);
		c.sequence += 1200;
		now += 2;
	}
	ck_assert_uint_eq(t->open, 1);
	receive_answer(&c, 300);
	ck_assert_uint_eq(t->answers, 1);
	ck_assert_int_eq(t->answers_ms, 140);
}
END_TEST

/* A target answers all requests of its flows immediately with errors. */
START_TEST(errors_in_open_flows_are_detected)
{
	struct ht_target *failing;

	put_target(0, "stock", "here");
	for (uint16_t i = 1; i <= 30; i++)
		request(i, STOCK_PORT, ANSWER, 40);
	failing = put_target(1, "stock", "here");
	for (uint16_t i = 1; i <= 40; i++) {
		struct caller c = connect_caller((uint16_t)(100 + i));

		for (int k = 0; k < 3; k++) {
			bool fails = ht_catalog_by_mark(cat, c.mark) == failing;

			send_request(&c);
			now += fails ? 1 : 40;
			receive_answer(&c, fails ? 60 : ANSWER);
			now += 20;
		}
	}
	ck_assert(failing->evidence.error_rate > 0.4);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("long_flows");

	tcase_add_checked_fixture(tc, world_start, world_stop);
	tcase_add_test(tc, each_answer_is_counted);
	tcase_add_test(tc, idle_flows_are_no_load);
	tcase_add_test(tc, steady_requests_of_open_flows_defer_no_flow);
	tcase_add_test(tc, later_request_without_an_answer_is_a_miss);
	tcase_add_test(tc, repeated_data_is_no_new_request);
	tcase_add_test(tc, upload_is_one_request);
	tcase_add_test(tc, errors_in_open_flows_are_detected);
	return run_case("long_flows", tc);
}
