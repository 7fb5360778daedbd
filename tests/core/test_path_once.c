/* POST requests run at most once and verdicts are right, with failures at each step. */
#include "tests/core/path_calls.h"

static struct net *start_net(void)
{
	return net_new(3, make_config(1, 0, 5, -1, HT_AFFINITY_FLOW), net_params());
}

static void post(struct net *net, int node, uint64_t handle, uint64_t flow, const uint8_t *ticket)
{
	request(net, node, handle,
		(struct call){.flow = flow, .token = "p1", .method = HT_POST, .ticket = ticket});
	net_run(net, 10);
}

/* Guards against a GET that gets no answer, or the answer of another request. */
START_TEST(get_is_answered)
{
	struct net *net = start_net();
	uint64_t flow = flow_at(net->cfg, 1, -1);

	request(net, 0, 1, (struct call){.flow = flow, .token = "a", .method = HT_GET});
	net_run(net, 10);
	ck_assert_int_eq(net->sent_count, 1);
	ck_assert_uint_eq(net->sent[0].target, target_id(1));
	ck_assert_int_eq(net->sent[0].node, 1);
	ck_assert_str_eq(net->sent[0].service, "svc");
	target_result(net, &net->sent[0], HT_TARGET_ANSWERED, "hello", false);
	net_run(net, 10);
	expect(net, 1, HT_CONTENT, HT_RAN);
	ck_assert_str_eq(net->got[1].payload, "hello");
	net_free(net);
}
END_TEST

/* Guards against a second run when a caller repeats a GET through another ingress. */
START_TEST(repeated_get_attaches_and_replays)
{
	struct net *net = start_net();
	struct call c = {.flow = flow_at(net->cfg, 1, -1), .token = "a", .method = HT_GET};

	request(net, 0, 1, c);
	net_run(net, 10);
	request(net, 2, 2, c);
	net_run(net, 10);
	answer_all(net);
	net_run(net, 10);
	request(net, 1, 3, c);
	net_run(net, 10);
	for (int h = 1; h <= 3; h++)
		expect(net, h, HT_CONTENT, HT_RAN);
	ck_assert_int_eq(net->sent_count, 1);
	net_free(net);
}
END_TEST

/* Guards against replaying an old answer to a new request with a reused token. */
START_TEST(token_used_again_is_a_new_request)
{
	struct net *net = start_net();
	uint64_t flow = flow_at(net->cfg, 1, -1);

	request(net, 0, 1,
		(struct call){.flow = flow, .token = "a", .method = HT_GET, .path = "one"});
	net_run(net, 10);
	answer_all(net);
	request(net, 0, 2,
		(struct call){.flow = flow, .token = "a", .method = HT_GET, .path = "two"});
	net_run(net, 10);
	ck_assert_int_eq(net->sent_count, 2);
	ck_assert_str_eq(net->sent[1].path, "two");
	net_free(net);
}
END_TEST

/* Guards against a POST that runs without a ticket, or twice with one. */
START_TEST(post_runs_once)
{
	struct net *net = start_net();
	uint64_t flow = flow_at(net->cfg, 1, -1);
	uint8_t ticket[HT_TICKET_LEN];

	get_ticket(net, 0, 1, flow, ticket);
	ck_assert_int_eq(net->sent_count, 0);
	post(net, 0, 2, flow, ticket);
	post(net, 2, 3, flow, ticket);
	ck_assert_int_eq(net->sent_count, 1);
	answer_all(net);
	net_run(net, 10);
	post(net, 1, 4, flow, ticket);
	for (int h = 2; h <= 4; h++) {
		expect(net, h, HT_CONTENT, HT_RAN);
		ck_assert(net->got[h].a.has_ticket);
	}
	ck_assert_int_eq(net->sent_count, 1);
	net_free(net);
}
END_TEST

/* Guards against an answer that cannot be fetched any more after its ingress has failed. */
START_TEST(ingress_fails)
{
	struct net *net = start_net();
	uint64_t flow = flow_at(net->cfg, 1, -1);
	uint8_t ticket[HT_TICKET_LEN];

	get_ticket(net, 0, 1, flow, ticket);
	post(net, 0, 2, flow, ticket);
	node_kill(net, 0);
	answer_all(net);
	net_run(net, 10);
	post(net, 2, 3, flow, ticket);
	expect(net, 3, HT_CONTENT, HT_RAN);
	ck_assert_int_eq(net->sent_count, 1);
	net_free(net);
}
END_TEST

/* Guards against the verdict "not run", or a second run, when the home fails with an open POST. */
START_TEST(home_fails_with_open_post)
{
	struct net *net = start_net();
	uint64_t flow = flow_at(net->cfg, 1, 2);
	uint8_t ticket[HT_TICKET_LEN];

	get_ticket(net, 0, 1, flow, ticket);
	post(net, 0, 2, flow, ticket);
	ck_assert_int_eq(net->sent_count, 1);
	net->home[1] = net->home[4] = 2;
	node_kill(net, 1);
	target_up(net, 2, 1);
	net_run(net, 5);
	expect(net, 2, HT_GATEWAY_TIMEOUT, HT_MAY_HAVE_RUN);
	post(net, 2, 3, flow, ticket);
	expect(net, 3, HT_GATEWAY_TIMEOUT, HT_MAY_HAVE_RUN);
	ck_assert_int_eq(net->sent_count, 1);
	net_free(net);
}
END_TEST

/* Guards against a POST without a ticket that gets no answer when the home fails. */
START_TEST(home_fails_before_issuing_ticket)
{
	struct net *net = start_net();
	uint64_t flow = flow_at(net->cfg, 1, 2);

	request(net, 0, 1, (struct call){.flow = flow, .token = "p", .method = HT_POST});
	net->home[1] = 2;
	target_up(net, 2, 1);
	node_kill(net, 1);
	net_run(net, 20);
	ck_assert_int_eq(net->got[1].count, 1);
	ck_assert_int_eq(net->got[1].a.code, HT_UNAUTHORIZED);
	net_free(net);
}
END_TEST

/* Guards against a GET that is refused when its home fails though another candidate is usable. */
START_TEST(home_fails_with_open_get)
{
	struct net *net = start_net();
	uint64_t flow = flow_at(net->cfg, 1, 2);

	request(net, 0, 1, (struct call){.flow = flow, .token = "a", .method = HT_GET});
	net_run(net, 10);
	net->home[1] = -1;
	node_kill(net, 1);
	net_run(net, 10);
	ck_assert_int_eq(net->sent_count, 2);
	ck_assert_uint_eq(net->sent[1].target, target_id(2));
	answer_all(net);
	net_run(net, 10);
	expect(net, 1, HT_CONTENT, HT_RAN);
	net_free(net);
}
END_TEST

/* Guards against a missing answer at the deadline when the target does not answer. */
START_TEST(target_silent_until_deadline)
{
	struct net *net = start_net();
	uint64_t flow = flow_at(net->cfg, 1, -1);
	uint8_t ticket[HT_TICKET_LEN];

	get_ticket(net, 0, 1, flow, ticket);
	request(net, 0, 2,
		(struct call){.flow = flow,
			      .token = "p",
			      .method = HT_POST,
			      .ticket = ticket,
			      .deadline = 500});
	net_run(net, 500);
	expect(net, 2, HT_GATEWAY_TIMEOUT, HT_MAY_HAVE_RUN);
	answer_all(net);
	post(net, 2, 3, flow, ticket);
	expect(net, 3, HT_CONTENT, HT_RAN);
	net_free(net);
}
END_TEST

/* Guards against retrying a POST whose target connection was lost after it was sent. */
START_TEST(connection_lost_after_post)
{
	struct net *net = start_net();
	uint64_t flow = flow_at(net->cfg, 1, -1);
	uint8_t ticket[HT_TICKET_LEN];

	get_ticket(net, 0, 1, flow, ticket);
	post(net, 0, 2, flow, ticket);
	target_result(net, &net->sent[0], HT_TARGET_LOST, NULL, false);
	net_run(net, 5);
	expect(net, 2, HT_GATEWAY_TIMEOUT, HT_MAY_HAVE_RUN);
	post(net, 2, 3, flow, ticket);
	expect(net, 3, HT_GATEWAY_TIMEOUT, HT_MAY_HAVE_RUN);
	ck_assert_int_eq(net->sent_count, 1);
	net_free(net);
}
END_TEST

/* Guards against a refused POST that runs later with the same ticket. */
START_TEST(refused_post_never_runs)
{
	struct net *net = start_net();
	uint64_t flow = flow_at(net->cfg, 1, 2);
	uint8_t ticket[HT_TICKET_LEN];

	get_ticket(net, 0, 1, flow, ticket);
	post(net, 0, 2, flow, ticket);
	target_result(net, &net->sent[0], HT_TARGET_REFUSED, NULL, true);
	net_run(net, 10);
	/* It moves to the next candidate, whose home issues a new ticket. */
	expect(net, 2, HT_UNAUTHORIZED, HT_NOT_RUN);
	post(net, 0, 3, flow, ticket);
	ck_assert_int_eq(net->got[3].a.code, HT_UNAUTHORIZED);
	ck_assert_int_eq(net->sent_count, 1);
	post(net, 0, 4, flow, net->got[2].a.ticket);
	ck_assert_int_eq(net->sent_count, 2);
	ck_assert_uint_eq(net->sent[1].target, target_id(2));
	net_free(net);
}
END_TEST

/* Guards against a wrong verdict around the ticket ages of 30 s (fresh) and 120 s (retention). */
START_TEST(ticket_age_limits)
{
	static const struct {
		ht_ms age;
		int code;
		enum ht_verdict verdict;
	} cases[] = {
		{29990, HT_CONTENT, HT_RAN},
		{30000, HT_UNAUTHORIZED, HT_NOT_RUN},
		{119990, HT_UNAUTHORIZED, HT_NOT_RUN},
		{120000, HT_GATEWAY_TIMEOUT, HT_MAY_HAVE_RUN},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct net *net = start_net();
		uint64_t flow = flow_at(net->cfg, 1, -1);
		uint8_t ticket[HT_TICKET_LEN];
		struct ht_ticket t;

		get_ticket(net, 1, 1, flow, ticket);
		ht_ticket_unpack(&t, ticket);
		net_run(net, t.issued + cases[i].age - net->now);
		request(net, 1, 2,
			(struct call){
				.flow = flow, .token = "p", .method = HT_POST, .ticket = ticket});
		answer_all(net);
		net_run(net, 10);
		expect(net, 2, cases[i].code, cases[i].verdict);
		net_free(net);
	}
}
END_TEST

/* Guards against accepting a ticket for a flow other than its own. */
START_TEST(ticket_of_another_flow)
{
	struct net *net = start_net();
	uint64_t flow = flow_at(net->cfg, 1, -1);
	uint8_t ticket[HT_TICKET_LEN];

	get_ticket(net, 0, 1, flow, ticket);
	post(net, 0, 2, flow_at(net->cfg, 1, -1), ticket);
	expect(net, 2, HT_GATEWAY_TIMEOUT, HT_MAY_HAVE_RUN);
	ck_assert_int_eq(net->sent_count, 0);
	net_free(net);
}
END_TEST

/* Guards against a second run, or a wrong payload, after the stored answer was evicted. */
START_TEST(evicted_answer_is_not_run_again)
{
	struct ht_core_params params = net_params();
	struct net *net;
	uint8_t ticket[2][HT_TICKET_LEN];
	uint64_t flow[2];

	params.answer_cache_bytes = 6;
	net = net_new(3, make_config(1, 0, 5, -1, HT_AFFINITY_FLOW), params);
	for (int i = 0; i < 2; i++) {
		flow[i] = flow_at(net->cfg, 1, -1);
		get_ticket(net, 0, 1 + i, flow[i], ticket[i]);
		post(net, 0, 3 + i, flow[i], ticket[i]);
		answer_all(net);
		net_run(net, 10);
		expect(net, 3 + i, HT_CONTENT, HT_RAN);
	}
	post(net, 2, 5, flow[0], ticket[0]);
	expect(net, 5, HT_GATEWAY_TIMEOUT, HT_RAN);
	ck_assert_uint_eq(net->got[5].a.payload_len, 0);
	post(net, 2, 6, flow[1], ticket[1]);
	expect(net, 6, HT_CONTENT, HT_RAN);
	ck_assert_int_eq(net->sent_count, 2);
	net_free(net);
}
END_TEST

/* Guards against a large answer that is truncated, or that mixes blocks of two answers. */
START_TEST(large_answer_in_blocks)
{
	struct net *net = start_net();
	uint64_t flow = flow_at(net->cfg, 1, -1);
	char body[2501], joined[4096] = "";
	size_t len = 0;

	for (int i = 0; i < 2500; i++)
		body[i] = (char)('a' + i % 26);
	body[2500] = 0;
	for (int b = 0; b < 3; b++) {
		char token[2] = {(char)('a' + b), 0};

		request(net, b, (uint64_t)b + 1,
			(struct call){.flow = flow,
				      .token = token,
				      .method = HT_GET,
				      .block = b ? b + 1 : 0});
		net_run(net, 10);
		if (last_sent(net))
			target_result(net, last_sent(net), HT_TARGET_ANSWERED, body, false);
		net_run(net, 10);
		expect(net, b + 1, HT_CONTENT, HT_RAN);
		ck_assert(net->got[b + 1].a.has_block);
		ck_assert_uint_eq(net->got[b + 1].a.block_num, (unsigned int)b);
		ck_assert_int_eq(net->got[b + 1].a.block_more, b < 2);
		ck_assert_mem_eq(net->got[b + 1].a.etag, net->got[1].a.etag, 8);
		len += (size_t)snprintf(joined + len, sizeof(joined) - len, "%s",
					net->got[b + 1].payload);
	}
	ck_assert_str_eq(joined, body);
	ck_assert_int_eq(net->sent_count, 1);
	net_free(net);
}
END_TEST

/* Guards against a request sent to a target after the lease has lapsed. */
START_TEST(no_send_without_lease)
{
	struct net *net = start_net();
	uint64_t flow = flow_at(net->cfg, 1, 2);
	uint8_t ticket[HT_TICKET_LEN];

	get_ticket(net, 0, 1, flow, ticket);
	net->nodes[1].no_lease = true;
	post(net, 0, 2, flow, ticket);
	request(net, 0, 3, (struct call){.flow = flow, .token = "g", .method = HT_GET});
	net_run(net, 10);
	for (int i = 0; i < net->sent_count; i++)
		ck_assert_int_ne(net->sent[i].node, 1);
	ck_assert_int_eq(net->got[2].a.code, HT_UNAUTHORIZED);
	net_free(net);
}
END_TEST

/* Guards against running a delayed duplicate of a request that was refused as not run. */
START_TEST(refusal_holds_until_retry_after)
{
	struct net *net = start_net();
	uint64_t flow = flow_at(net->cfg, 1, -1);
	struct call late = {.flow = flow, .token = "z", .method = HT_GET, .deadline = 12};

	for (int i = 0; i < 3; i++) {
		char token[2] = {(char)('a' + i), 0};

		request(net, 1, (uint64_t)i + 1,
			(struct call){.flow = flow, .token = token, .method = HT_GET});
	}
	request(net, 1, 9, late);
	expect(net, 9, HT_SERVICE_UNAVAILABLE, HT_NOT_RUN);
	ck_assert_int_ge((int)net->got[9].a.retry_after, 1000);
	answer_all(net);
	late.deadline = 500;
	request(net, 1, 10, late);
	net_run(net, 10);
	expect(net, 10, HT_SERVICE_UNAVAILABLE, HT_NOT_RUN);
	ck_assert_int_eq(net->sent_count, 3);
	net_run(net, 1000);
	request(net, 1, 11, late);
	ck_assert_int_eq(net->sent_count, 4);
	net_free(net);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("path_once");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, get_is_answered);
	tcase_add_test(tc, repeated_get_attaches_and_replays);
	tcase_add_test(tc, token_used_again_is_a_new_request);
	tcase_add_test(tc, post_runs_once);
	tcase_add_test(tc, ingress_fails);
	tcase_add_test(tc, home_fails_with_open_post);
	tcase_add_test(tc, home_fails_before_issuing_ticket);
	tcase_add_test(tc, home_fails_with_open_get);
	tcase_add_test(tc, target_silent_until_deadline);
	tcase_add_test(tc, connection_lost_after_post);
	tcase_add_test(tc, refused_post_never_runs);
	tcase_add_test(tc, ticket_age_limits);
	tcase_add_test(tc, ticket_of_another_flow);
	tcase_add_test(tc, evicted_answer_is_not_run_again);
	tcase_add_test(tc, large_answer_in_blocks);
	tcase_add_test(tc, no_send_without_lease);
	tcase_add_test(tc, refusal_holds_until_retry_after);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
