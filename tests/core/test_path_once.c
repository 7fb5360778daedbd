/* At most once and honest verdicts, with a failure at each step of a request. */
#include "tests/core/path_calls.h"

static struct net *three(void)
{
	return net_new(3, make_config(1, 0, 5, -1, HT_AFFINITY_FLOW), net_params());
}

static void post(struct net *net, int node, uint64_t handle, uint64_t flow, const uint8_t *ticket)
{
	request(net, node, handle,
		(struct call){.flow = flow, .token = "p1", .method = HT_POST, .ticket = ticket});
	net_run(net, 10);
}

/* Guards against a GET that gets no answer, or another answer than its own. */
START_TEST(get_is_answered)
{
	struct net *net = three();
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
	struct net *net = three();
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

/* Guards against a replay of an old answer to a new request that uses the token again. */
START_TEST(token_used_again_is_a_new_request)
{
	struct net *net = three();
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

/* Guards against a posting that runs without a ticket, or twice with one. */
START_TEST(posting_runs_once)
{
	struct net *net = three();
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

/* Guards against an answer that is lost for good when the ingress dies. */
START_TEST(ingress_dies)
{
	struct net *net = three();
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

/* Guards against "not run", or a second run, when the home dies with a posting open. */
START_TEST(home_dies_with_posting)
{
	struct net *net = three();
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

/* Guards against a posting for a new ticket that is lost with the home that it was asked at. */
START_TEST(home_dies_before_ticket)
{
	struct net *net = three();
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

/* Guards against a GET that fails with its home although another candidate could serve it. */
START_TEST(home_dies_with_get)
{
	struct net *net = three();
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

/* Guards against silence at the deadline when the target does not answer. */
START_TEST(target_silent_until_deadline)
{
	struct net *net = three();
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

/* Guards against a retry of a posting whose connection was lost after it was sent. */
START_TEST(connection_lost_with_posting)
{
	struct net *net = three();
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

/* Guards against a refused posting that runs later with the same ticket. */
START_TEST(refused_posting_is_sealed)
{
	struct net *net = three();
	uint64_t flow = flow_at(net->cfg, 1, 2);
	uint8_t ticket[HT_TICKET_LEN];

	get_ticket(net, 0, 1, flow, ticket);
	post(net, 0, 2, flow, ticket);
	target_result(net, &net->sent[0], HT_TARGET_REFUSED, NULL, true);
	net_run(net, 10);
	/* It goes to the next candidate, which gives a ticket of its own. */
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

/* Guards against the wrong verdict at the ages 30 s and 120 s. */
START_TEST(ticket_ages)
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
		struct net *net = three();
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

/* Guards against a ticket that is valid for another caller's flow. */
START_TEST(ticket_of_another_flow)
{
	struct net *net = three();
	uint64_t flow = flow_at(net->cfg, 1, -1);
	uint8_t ticket[HT_TICKET_LEN];

	get_ticket(net, 0, 1, flow, ticket);
	post(net, 0, 2, flow_at(net->cfg, 1, -1), ticket);
	expect(net, 2, HT_GATEWAY_TIMEOUT, HT_MAY_HAVE_RUN);
	ck_assert_int_eq(net->sent_count, 0);
	net_free(net);
}
END_TEST

/* Guards against a second run, or a wrong body, when the kept answer was evicted. */
START_TEST(evicted_answer)
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

/* Guards against a large answer that arrives cut, or with blocks of two different answers. */
START_TEST(large_answer_in_blocks)
{
	struct net *net = three();
	uint64_t flow = flow_at(net->cfg, 1, -1);
	char body[2501], whole[4096] = "";
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
		len += (size_t)snprintf(whole + len, sizeof(whole) - len, "%s",
					net->got[b + 1].payload);
	}
	ck_assert_str_eq(whole, body);
	ck_assert_int_eq(net->sent_count, 1);
	net_free(net);
}
END_TEST

/* Guards against a send after the lease has lapsed. */
START_TEST(no_send_without_lease)
{
	struct net *net = three();
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

/* Guards against a refusal that a late copy of the request makes untrue. */
START_TEST(refusal_is_kept)
{
	struct net *net = three();
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
	tcase_add_test(tc, posting_runs_once);
	tcase_add_test(tc, ingress_dies);
	tcase_add_test(tc, home_dies_with_posting);
	tcase_add_test(tc, home_dies_before_ticket);
	tcase_add_test(tc, home_dies_with_get);
	tcase_add_test(tc, target_silent_until_deadline);
	tcase_add_test(tc, connection_lost_with_posting);
	tcase_add_test(tc, refused_posting_is_sealed);
	tcase_add_test(tc, ticket_ages);
	tcase_add_test(tc, ticket_of_another_flow);
	tcase_add_test(tc, evicted_answer);
	tcase_add_test(tc, large_answer_in_blocks);
	tcase_add_test(tc, no_send_without_lease);
	tcase_add_test(tc, refusal_is_kept);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
