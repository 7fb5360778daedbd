/* Tests of the observer callbacks for flow events and changes of target health. */
#include "tests/core/steering_world.h"
#include "tests/suite.h"

static unsigned int events[HT_FLOW_EVENTS], health_changes[HT_HEALTH_CAUSES],
	dc_health_changes[HT_HEALTH_CAUSES];
static struct ht_flow_info last;

static void on_flow(void *ctx, const struct ht_flow_info *facts, ht_ms at)
{
	(void)ctx;
	ck_assert_int_eq(at, now);
	events[facts->event]++;
	last = *facts;
}

static void on_health_change(void *ctx, const struct ht_target *t, bool whole_dc,
			     enum ht_health_cause cause, ht_ms at)
{
	(void)ctx;
	(void)t;
	ck_assert_int_eq(at, now);
	(whole_dc ? dc_health_changes : health_changes)[cause]++;
}

static void start(void)
{
	world_start();
	memset(events, 0, sizeof(events));
	memset(health_changes, 0, sizeof(health_changes));
	memset(dc_health_changes, 0, sizeof(dc_health_changes));
	ht_steering_free(st);
	params.observer =
		(struct ht_steering_observer){.flow = on_flow, .health_changed = on_health_change};
	st = ht_steering_new(&params);
	ht_steering_set_view_complete(st, true);
}

START_TEST(each_step_of_a_request_is_reported)
{
	struct ht_target *t = put_target(0, "stock", "here");

	request(1, STOCK_PORT, 500, 30);
	ck_assert_uint_eq(events[HT_FLOW_OPENED], 1);
	ck_assert_uint_eq(events[HT_FLOW_REQUESTED], 1);
	ck_assert_uint_eq(events[HT_FLOW_ANSWERED], 1);
	ck_assert_uint_eq(events[HT_FLOW_ENDED], 1);
	ck_assert_ptr_eq(last.target, t);
	ck_assert_uint_eq(t->answers, 1);
	ck_assert_int_eq(t->answers_ms, 30);
	ck_assert_uint_eq(t->service->answer_time.count, 1);
}
END_TEST

/* The target dies during a request; the caller retransmits it, then resets the flow. */
START_TEST(request_without_an_answer_is_reported)
{
	struct ht_steering_decision d;
	struct ht_packet pkt = packet_of(1, STOCK_PORT);

	put_target(0, "stock", "here");
	d = open_flow(1, STOCK_PORT, 0);
	now += 4;
	send_marked(1, STOCK_PORT, d.mark, 100, 50);
	now += 200;
	send_marked(1, STOCK_PORT, d.mark, 100, 50);
	ck_assert_uint_eq(events[HT_FLOW_REPEATED], 1);
	ck_assert_int_eq(last.waited, 200);
	ck_assert_int_eq(last.open_for, 204);
	ck_assert_uint_eq(health_changes[HT_HEALTH_SILENT], 1);
	now += 500;
	pkt.mark = d.mark;
	pkt.resets = true;
	ht_steering_packet(st, &pkt, now);
	ck_assert_uint_eq(events[HT_FLOW_ABANDONED], 1);
	ck_assert_int_eq(last.waited, 700);
}
END_TEST

START_TEST(unanswered_opening_names_the_previous_target)
{
	struct ht_target *first, *second;

	put_target(0, "stock", "here");
	put_target(1, "stock", "here");
	first = open_flow(1, STOCK_PORT, 0).target;
	now += 200;
	second = open_flow(1, STOCK_PORT, 1).target;
	ck_assert_uint_eq(events[HT_FLOW_UNANSWERED], 1);
	ck_assert_ptr_eq(last.target, first);
	ck_assert_ptr_ne(last.target, second);
	ck_assert_uint_eq(last.copies, 0);
}
END_TEST

START_TEST(suspicion_is_reported_when_it_grows_and_ends)
{
	struct ht_steering_decision d;

	put_target(0, "stock", "here");
	d = open_flow(1, STOCK_PORT, 0);
	now += 200;
	open_flow(1, STOCK_PORT, 1);
	ck_assert_uint_eq(health_changes[HT_HEALTH_SILENT], 1);
	now += 10;
	send_marked(1, STOCK_PORT, d.mark, 100, 50);
	ck_assert_uint_eq(health_changes[HT_HEALTH_ALIVE], 1);
	/* A sign of life of a target that is not suspected is no change. */
	now += 10;
	send_marked(1, STOCK_PORT, d.mark, 200, 0);
	ck_assert_uint_eq(health_changes[HT_HEALTH_ALIVE], 1);
}
END_TEST

/* A dead target causes many misses; once the suspicion has its maximum length, further misses are
 * not reported as changes. */
START_TEST(lasting_suspicion_is_reported_a_few_times)
{
	struct ht_steering_decision d;

	put_target(0, "stock", "here");
	d = open_flow(1, STOCK_PORT, 0);
	now += 4;
	send_marked(1, STOCK_PORT, d.mark, 100, 50);
	for (int i = 0; i < 20; i++) {
		now += 200;
		send_marked(1, STOCK_PORT, d.mark, 100, 50);
	}
	ck_assert_uint_eq(events[HT_FLOW_REPEATED], 20);
	ck_assert_uint_ge(health_changes[HT_HEALTH_SILENT], 4);
	ck_assert_uint_le(health_changes[HT_HEALTH_SILENT], 6);
}
END_TEST

START_TEST(suspicion_of_a_data_centre_is_reported_separately)
{
	put_target(0, "stock", "there");
	open_flow(1, STOCK_PORT, 0);
	now += 200;
	open_flow(1, STOCK_PORT, 1);
	ck_assert_uint_eq(health_changes[HT_HEALTH_SILENT], 1);
	ck_assert_uint_eq(dc_health_changes[HT_HEALTH_SILENT], 1);
}
END_TEST

START_TEST(remote_reports_have_their_own_cause)
{
	struct ht_target *t = put_target(0, "stock", "here");
	struct ht_report misses = {.mark = t->marks[0].value, .misses = 3};

	ht_steering_apply_report(st, &misses, now);
	ck_assert_uint_eq(health_changes[HT_HEALTH_REPORTED], 1);
}
END_TEST

START_TEST(overdue_answer_is_reported_once)
{
	struct ht_steering_decision d;

	put_target(0, "stock", "here");
	d = open_flow(1, STOCK_PORT, 0);
	send_marked(1, STOCK_PORT, d.mark, 100, 50);
	now += 1000;
	ht_steering_expire(st, now);
	now += 500;
	ht_steering_expire(st, now);
	ck_assert_uint_eq(events[HT_FLOW_OVERDUE], 1);
}
END_TEST

START_TEST(deferral_has_open_flows_and_limit)
{
	struct ht_steering_decision d;
	uint16_t caller = 1;

	put_target(0, "stock", "here");
	do
		d = open_flow(caller++, STOCK_PORT, 0);
	while (d.action == HT_STEER_FORWARD && caller < 200);
	ck_assert_int_eq(d.reason, HT_STEER_DEFERRED);
	ck_assert(d.open >= d.capacity + 1);
	ck_assert(d.capacity > 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("observer");

	tcase_add_checked_fixture(tc, start, world_stop);
	tcase_add_test(tc, each_step_of_a_request_is_reported);
	tcase_add_test(tc, request_without_an_answer_is_reported);
	tcase_add_test(tc, unanswered_opening_names_the_previous_target);
	tcase_add_test(tc, suspicion_is_reported_when_it_grows_and_ends);
	tcase_add_test(tc, lasting_suspicion_is_reported_a_few_times);
	tcase_add_test(tc, suspicion_of_a_data_centre_is_reported_separately);
	tcase_add_test(tc, remote_reports_have_their_own_cause);
	tcase_add_test(tc, overdue_answer_is_reported_once);
	tcase_add_test(tc, deferral_has_open_flows_and_limit);
	return run_case("observer", tc);
}
