/* Slots, queues, deadlines, cold targets, retry budget, cancellation and hand-over of queues. */
#include "tests/core/path_calls.h"

static struct net *start_net(enum ht_affinity affinity)
{
	return net_new(3, make_config(1, 0, 5, -1, affinity), net_params());
}

static void get(struct net *net, int node, uint64_t handle, uint64_t flow, ht_ms deadline)
{
	char token[16];

	snprintf(token, sizeof(token), "%x", (unsigned int)handle);
	request(net, node, handle,
		(struct call){
			.flow = flow, .token = token, .method = HT_GET, .deadline = deadline});
}

static unsigned int counter(struct net *net, enum ht_counter id)
{
	unsigned int sum = 0;

	for (int i = 0; i < net->node_count; i++)
		sum += (unsigned int)net->nodes[i].env.counters.values[id];
	return sum;
}

static int in_flight(const struct net *net, int t)
{
	int count = 0;

	for (int i = 0; i < net->sent_count; i++)
		count += !net->sent[i].done && net->sent[i].target == target_id(t);
	return count;
}

/* Guards against more requests at a target than it has slots, and against reordered queues. */
START_TEST(slots_and_order)
{
	struct net *net = net_new(1, make_config(1, 0, 0, -1, HT_AFFINITY_FLOW), net_params());

	for (int i = 1; i <= 8; i++)
		get(net, 0, (uint64_t)i, (uint64_t)i, 1000);
	ck_assert_int_eq(in_flight(net, 0), 3);
	for (int i = 0; i < 8; i++) {
		ck_assert_int_ge(net->sent_count, i + 1);
		target_result(net, &net->sent[i], HT_TARGET_ANSWERED, "x", false);
		ck_assert_int_le(in_flight(net, 0), 3);
		ck_assert_int_eq(net->got[i + 1].count, 1);
	}
	net_free(net);
}
END_TEST

/* Guards against queuing requests that cannot be served within their deadline. */
START_TEST(admission_by_deadline)
{
	struct net *net = net_new(1, make_config(1, 0, 0, -1, HT_AFFINITY_FLOW), net_params());

	for (int i = 1; i <= 9; i++)
		get(net, 0, (uint64_t)i, (uint64_t)i, 1000);
	/* 6 wait for 3 slots of 10 ms: the next one waits some 23 ms and takes 10 ms. */
	get(net, 0, 20, 20, 30);
	expect(net, 20, HT_SERVICE_UNAVAILABLE, HT_NOT_RUN);
	ck_assert_int_ge((int)net->got[20].a.retry_after, 1000);
	get(net, 0, 21, 21, 40);
	ck_assert_int_eq(net->got[21].count, 0);
	net_run(net, 40);
	expect(net, 21, HT_SERVICE_UNAVAILABLE, HT_NOT_RUN);
	ck_assert_int_eq(net->sent_count, 3);
	net_free(net);
}
END_TEST

/* Guards against an unbounded queue. */
START_TEST(queue_is_bounded)
{
	struct net *net = net_new(1, make_config(1, 0, 0, -1, HT_AFFINITY_FLOW), net_params());

	for (int i = 1; i <= 67; i++)
		get(net, 0, (uint64_t)i, (uint64_t)i, 60000);
	ck_assert_int_eq(net->got[67].count, 0);
	get(net, 0, 100, 100, 60000);
	expect(net, 100, HT_TOO_MANY_REQUESTS, HT_NOT_RUN);
	net_free(net);
}
END_TEST

/* Guards against a target deadline beyond the caller's deadline or target_deadline. */
START_TEST(deadline_at_target)
{
	struct net *net = start_net(HT_AFFINITY_FLOW);

	get(net, 1, 1, flow_at(net->cfg, 1, -1), 300);
	get(net, 1, 2, flow_at(net->cfg, 1, -1), 9000);
	ck_assert_int_eq((int)net->sent[0].deadline, 300);
	ck_assert_int_eq((int)net->sent[1].deadline, 2000);
	net_free(net);
}
END_TEST

/* Guards against using all slots of a target that has just connected. */
START_TEST(cold_ramp)
{
	struct net *net = net_new(1, make_config(1, 0, 0, -1, HT_AFFINITY_FLOW), net_params());
	struct node *n = &net->nodes[0];

	n->router->target_state(n->router->ctx, target_id(0), HT_TARGET_DOWN);
	n->router->target_state(n->router->ctx, target_id(0), HT_TARGET_UP);
	for (int i = 1; i <= 20; i++)
		get(net, 0, (uint64_t)i, (uint64_t)i, 60000);
	for (int i = 0; i < 10; i++) {
		ck_assert_int_eq(in_flight(net, 0), i < 4 ? 1 : i < 8 ? 2 : 3);
		target_result(net, &net->sent[i], HT_TARGET_ANSWERED, "x", false);
	}
	net_free(net);
}
END_TEST

/* Guards against a flow with affinity "request" whose GET waits while another target is free. */
START_TEST(affinity_request)
{
	struct net *net = start_net(HT_AFFINITY_REQUEST);
	uint64_t flow = flow_at(net->cfg, 1, 2);
	uint8_t ticket[HT_TICKET_LEN];

	get(net, 0, 1, flow, 1000);
	net_run(net, 10);
	answer_all(net);
	get_ticket(net, 0, 2, flow, ticket);
	for (int i = 0; i < 3; i++)
		get(net, 1, (uint64_t)i + 10, flow_at(net->cfg, 1, -1), 1000);
	get(net, 0, 3, flow, 1000);
	net_run(net, 20);
	ck_assert_int_eq(in_flight(net, 2), 1);
	request(net, 0, 4,
		(struct call){.flow = flow, .token = "p", .method = HT_POST, .ticket = ticket});
	net_run(net, 20);
	ck_assert_int_eq(net->sent_count, 5); /* the POST waits at its flow's target */
	answer_all(net);
	answer_all(net);
	net_run(net, 10);
	expect(net, 3, HT_CONTENT, HT_RAN);
	expect(net, 4, HT_CONTENT, HT_RAN);
	get(net, 0, 5, flow, 1000);
	net_run(net, 20);
	ck_assert_int_eq(in_flight(net, 1), 1);
	net_free(net);
}
END_TEST

/* Guards against more retries than a tenth of the first attempts plus the burst of 10 per home. */
START_TEST(retry_budget)
{
	struct net *net = start_net(HT_AFFINITY_FLOW);
	int first = 0;

	for (int i = 0; i < 200; i++) {
		get(net, 0, (uint64_t)i + 1, flow_at(net->cfg, i % 6, -1), 200);
		net_run(net, 10);
		for (struct sent *s = last_sent(net); s; s = last_sent(net))
			target_result(net, s, HT_TARGET_LOST, NULL, false);
		net_run(net, 10);
		for (int t = 0; t < 6; t++) /* undo the health check, not tested here */
			target_up(net, net->home[t], t);
		first++;
	}
	net_run(net, 500);
	for (int i = 0; i < 200; i++) {
		ck_assert_int_eq(net->got[i + 1].count, 1);
		ck_assert_int_eq(net->got[i + 1].a.verdict, HT_MAY_HAVE_RUN);
	}
	ck_assert_int_gt(net->sent_count, first);
	/* Each of the 3 homes has its own bucket. */
	ck_assert_int_le(net->sent_count, first + first / 10 + 3 * 10);
	ck_assert_uint_gt(counter(net, HT_C_retries_denied), 0);
	net_free(net);
}
END_TEST

/* Guards against sending work to a target that loses all requests, and against not probing it. */
START_TEST(unhealthy_target_is_probed)
{
	struct net *net = start_net(HT_AFFINITY_FLOW);
	uint64_t flow = flow_at(net->cfg, 1, 2);

	for (int i = 0; i < 3; i++) {
		get(net, 1, (uint64_t)i + 1, flow_at(net->cfg, 1, -1), 1000);
		target_result(net, last_sent(net), HT_TARGET_LOST, NULL, false);
	}
	net_run(net, 20);
	answer_all(net);
	get(net, 1, 10, flow, 1000);
	net_run(net, 20);
	ck_assert_int_eq(in_flight(net, 1), 0);
	answer_all(net);
	net_run(net, 1000);
	for (int i = 0; i < 3; i++)
		get(net, 1, (uint64_t)i + 20, flow_at(net->cfg, 1, -1), 1000);
	net_run(net, 20);
	ck_assert_int_eq(in_flight(net, 1), 1); /* one request probes it */
	answer_all(net);
	net_run(net, 20);
	for (int i = 0; i < 3; i++)
		get(net, 1, (uint64_t)i + 30, flow_at(net->cfg, 1, -1), 1000);
	net_run(net, 20);
	ck_assert_int_gt(in_flight(net, 1), 1);
	net_free(net);
}
END_TEST

/* Guards against refusing a request that one target refused while other targets are free. */
START_TEST(target_refusal)
{
	struct net *net = start_net(HT_AFFINITY_FLOW);

	get(net, 0, 1, flow_at(net->cfg, 1, 2), 1000);
	net_run(net, 10);
	target_result(net, &net->sent[0], HT_TARGET_REFUSED, NULL, false);
	net_run(net, 10);
	ck_assert_int_eq(net->sent_count, 2);
	ck_assert_uint_eq(net->sent[1].target, target_id(2));
	answer_all(net);
	net_run(net, 10);
	expect(net, 1, HT_CONTENT, HT_RAN);
	net_free(net);
}
END_TEST

/* Guards against a delayed refusal when no candidate can take the request. */
START_TEST(no_usable_candidate)
{
	struct net *net = start_net(HT_AFFINITY_FLOW);

	for (int t = 0; t < 6; t++) {
		struct node *n = &net->nodes[net->home[t]];

		n->router->target_state(n->router->ctx, target_id(t), HT_TARGET_DOWN);
	}
	get(net, 0, 1, flow_at(net->cfg, 1, -1), 1000);
	net_run(net, 12);
	expect(net, 1, HT_SERVICE_UNAVAILABLE, HT_NOT_RUN);
	ck_assert_int_ge((int)net->got[1].a.retry_after, 1000);
	net_free(net);
}
END_TEST

/* Guards against a request that is lost with its forward: a GET is retried at half its deadline. */
START_TEST(lost_forward_is_retried)
{
	struct net *net = start_net(HT_AFFINITY_FLOW);
	uint64_t flow = flow_at(net->cfg, 1, 2);

	get(net, 0, 1, flow, 1000);
	net->cut[0][1] = true; /* drops the frame in flight */
	net_run(net, 510);
	ck_assert_int_eq(net->sent_count, 1);
	ck_assert_uint_eq(net->sent[0].target, target_id(2));
	answer_all(net);
	net_run(net, 10);
	expect(net, 1, HT_CONTENT, HT_RAN);
	/* Without a link, the next candidate serves the request at once. */
	get(net, 0, 2, flow, 1000);
	net_run(net, 10);
	ck_assert_int_eq(net->sent_count, 2);
	net_free(net);
}
END_TEST

static void cancel(struct net *net, int node, uint64_t handle, uint64_t flow, const char *token,
		   const uint8_t *ticket)
{
	request(net, node, handle,
		(struct call){.flow = flow,
			      .token = token,
			      .method = ticket ? HT_POST : HT_GET,
			      .ticket = ticket,
			      .cancel = true});
	net_run(net, 10);
}

/* Guards against cancelled requests that run, get no answer, or a wrong verdict. */
START_TEST(cancellation)
{
	struct net *net = start_net(HT_AFFINITY_FLOW);
	uint64_t flow = flow_at(net->cfg, 1, -1);
	uint8_t ticket[HT_TICKET_LEN], unused[HT_TICKET_LEN];

	get_ticket(net, 0, 1, flow, ticket);
	get_ticket(net, 0, 2, flow, unused);
	for (int i = 0; i < 3; i++)
		get(net, 1, (uint64_t)i + 10, flow_at(net->cfg, 1, -1), 5000);
	request(net, 0, 3, (struct call){.flow = flow, .token = "q", .method = HT_GET});
	request(net, 0, 4,
		(struct call){.flow = flow, .token = "p", .method = HT_POST, .ticket = ticket});
	net_run(net, 10);
	cancel(net, 2, 5, flow, "q", NULL); /* queued */
	expect(net, 5, HT_DELETED, HT_NOT_RUN);
	expect(net, 3, HT_SERVICE_UNAVAILABLE, HT_NOT_RUN);
	cancel(net, 2, 6, flow, "p", ticket);
	expect(net, 6, HT_DELETED, HT_NOT_RUN);
	expect(net, 4, HT_SERVICE_UNAVAILABLE, HT_NOT_RUN);
	cancel(net, 2, 7, flow, "u", unused); /* its request was never sent */
	expect(net, 7, HT_DELETED, HT_NOT_RUN);
	answer_all(net);
	request(net, 0, 8,
		(struct call){.flow = flow, .token = "u", .method = HT_POST, .ticket = unused});
	net_run(net, 10);
	expect(net, 8, HT_UNAUTHORIZED, HT_NOT_RUN);
	ck_assert_int_eq(net->sent_count, 3);
	request(net, 0, 20, (struct call){.flow = flow, .token = "s", .method = HT_GET});
	net_run(net, 10);
	cancel(net, 2, 21, flow, "s", NULL); /* sent */
	expect(net, 21, HT_DELETED, HT_MAY_HAVE_RUN);
	expect(net, 20, HT_GATEWAY_TIMEOUT, HT_MAY_HAVE_RUN);
	ck_assert(net->sent[3].cancelled);
	net_free(net);
}
END_TEST

/* Guards against queued requests that are lost when the target's home changes. */
START_TEST(queue_is_handed_over)
{
	struct net *net = start_net(HT_AFFINITY_FLOW);
	uint64_t flow = flow_at(net->cfg, 1, -1);
	uint8_t ticket[HT_TICKET_LEN];
	struct node *from = &net->nodes[1];

	get_ticket(net, 0, 1, flow, ticket);
	for (int i = 0; i < 3; i++)
		get(net, 1, (uint64_t)i + 10, flow_at(net->cfg, 1, -1), 5000);
	get(net, 0, 2, flow, 5000);
	request(net, 0, 3,
		(struct call){.flow = flow, .token = "p", .method = HT_POST, .ticket = ticket});
	net_run(net, 10);
	from->owner_state[1] = HT_OWNER_RELEASING;
	move_home(net, 1, 2);
	ck_assert_uint_eq(from->targets->open_requests(from->targets->ctx), 3);
	net_run(net, 10);
	ck_assert_int_eq(net->sent_count, 4);
	ck_assert_int_eq(net->sent[3].node, 2);
	expect(net, 3, HT_UNAUTHORIZED, HT_NOT_RUN); /* a ticket of the new home */
	answer_all(net);
	net_run(net, 10);
	expect(net, 2, HT_CONTENT, HT_RAN);
	for (int i = 0; i < 3; i++)
		expect(net, i + 10, HT_CONTENT, HT_RAN);
	net_free(net);
}
END_TEST

/* Guards against a request that is refused, or served twice, while a claim is pending. */
START_TEST(request_waits_for_claim)
{
	struct net *net = start_net(HT_AFFINITY_FLOW);
	uint64_t flow = flow_at(net->cfg, 1, 2);
	struct node *n = &net->nodes[1];

	n->owner_state[1] = HT_OWNER_CLAIMING;
	get(net, 0, 1, flow, 1000);
	net_run(net, 50);
	ck_assert_int_eq(net->sent_count, 0);
	n->owner_state[1] = HT_OWNER_OWNED;
	n->targets->owner_changed(n->targets->ctx, target_id(1));
	ck_assert_int_eq(net->sent_count, 1);
	n->owner_state[1] = HT_OWNER_CLAIMING;
	get(net, 0, 2, flow_at(net->cfg, 1, 2), 1000);
	net_run(net, 230);
	ck_assert_int_eq(net->sent_count, 2);
	ck_assert_uint_eq(net->sent[1].target, target_id(2));
	net_free(net);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("path_limits");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, slots_and_order);
	tcase_add_test(tc, admission_by_deadline);
	tcase_add_test(tc, queue_is_bounded);
	tcase_add_test(tc, deadline_at_target);
	tcase_add_test(tc, cold_ramp);
	tcase_add_test(tc, affinity_request);
	tcase_add_test(tc, retry_budget);
	tcase_add_test(tc, unhealthy_target_is_probed);
	tcase_add_test(tc, target_refusal);
	tcase_add_test(tc, no_usable_candidate);
	tcase_add_test(tc, lost_forward_is_retried);
	tcase_add_test(tc, cancellation);
	tcase_add_test(tc, queue_is_handed_over);
	tcase_add_test(tc, request_waits_for_claim);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
