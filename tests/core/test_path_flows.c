/* Flows keep their target while target sets, homes and instances change. A deflected flow is one
 * whose target is not its candidate 1. */
#include "tests/core/path_calls.h"

static uint64_t next_handle = 1;

/* Sends a GET of @flow through @node, answers it and returns the index of its target. */
static int serve_get(struct net *net, int node, uint64_t flow)
{
	uint64_t h = next_handle++;
	char token[16];
	int before = net->sent_count;

	snprintf(token, sizeof(token), "%x", (unsigned int)h);
	request(net, node, h, (struct call){.flow = flow, .token = token, .method = HT_GET});
	net_run(net, 30);
	ck_assert_int_eq(net->sent_count, before + 1);
	target_result(net, &net->sent[before], HT_TARGET_ANSWERED, "ok", false);
	net_run(net, 10);
	expect(net, h, HT_CONTENT, HT_RAN);
	return target_index(net->sent[before].target);
}

/* Occupies all slots of target @t with requests of other flows. */
static void fill_slots(struct net *net, int t)
{
	for (int i = 0; i < 3; i++) {
		uint64_t h = next_handle++;

		request(net, net->home[t], h,
			(struct call){.flow = flow_at(net->cfg, t, -1),
				      .token = "f",
				      .method = HT_GET,
				      .deadline = 5000});
	}
}

static struct net *start_net(int first, int last)
{
	next_handle = 1;
	return net_new(4, make_config(1, first, last, -1, HT_AFFINITY_FLOW), net_params());
}

/* Guards against a deflected flow that returns to candidate 1 when that is idle again. */
START_TEST(deflected_flow_stays)
{
	struct net *net = start_net(0, 5);
	uint64_t flow = flow_at(net->cfg, 1, 2);

	fill_slots(net, 1);
	ck_assert_int_eq(serve_get(net, 0, flow), 2);
	answer_all(net);
	for (int node = 0; node < 4; node++)
		ck_assert_int_eq(serve_get(net, node, flow), 2);
	net_run(net, 5000); /* the forwarded jobs have expired */
	ck_assert_int_eq(serve_get(net, 0, flow), 2);
	ck_assert_uint_eq(net->nodes[1].env.counters.values[HT_C_deflections], 1);
	net_free(net);
}
END_TEST

/* Guards against deflection to a target whose wait is not shorter. */
START_TEST(deflection_to_equal_wait_is_returned)
{
	struct net *net = start_net(0, 5);
	uint64_t flow = flow_at(net->cfg, 1, 2);

	fill_slots(net, 1);
	fill_slots(net, 2);
	request(net, 0, 900, (struct call){.flow = flow, .token = "q", .method = HT_GET});
	net_run(net, 20);
	ck_assert_uint_eq(net->nodes[1].env.counters.values[HT_C_deflections_returned], 1);
	answer_all(net);
	net_run(net, 5);
	answer_all(net);
	net_run(net, 5);
	expect(net, 900, HT_CONTENT, HT_RAN);
	ck_assert_int_eq(serve_get(net, 0, flow), 1);
	net_free(net);
}
END_TEST

/* Guards against flows that move because targets were added, up to four times in a row. */
START_TEST(target_sets_change)
{
	struct net *net = start_net(0, 1);
	uint64_t flow[40];
	int at[40];

	for (int i = 0; i < 40; i++) {
		flow[i] = (uint64_t)i * 7919 + 5;
		at[i] = serve_get(net, i % 4, flow[i]);
	}
	for (int last = 2; last <= 5; last++) {
		adopt_all(net, make_config((uint64_t)last, 0, last, -1, HT_AFFINITY_FLOW));
		net_run(net, 1000);
	}
	for (int i = 0; i < 40; i++)
		ck_assert_int_eq(serve_get(net, (i + 1) % 4, flow[i]), at[i]);
	for (int k = 0; k < 4; k++) /* earlier sets are dropped after flow_idle */
		for (int n = 0; n < 4; n++)
			net->nodes[n].prev_sets[k] = NULL;
	net_run(net, 3000);
	for (int i = 0; i < 40; i++)
		ck_assert_int_eq(serve_get(net, i % 4, flow[i]), at[i]);
	net_free(net);
}
END_TEST

/* Guards against losing a deflected flow when its candidate 1 leaves the configuration. */
START_TEST(first_candidate_is_removed)
{
	struct net *net = start_net(0, 5);
	uint64_t flow = flow_at(net->cfg, 0, 3);

	fill_slots(net, 0);
	ck_assert_int_eq(serve_get(net, 2, flow), 3);
	answer_all(net);
	adopt_all(net, make_config(2, 1, 5, -1, HT_AFFINITY_FLOW));
	net_run(net, 3000);
	ck_assert_int_eq(serve_get(net, 1, flow), 3);
	net_free(net);
}
END_TEST

/* Guards against flows that move when the home of their target or of candidate 1 changes. */
START_TEST(homes_change)
{
	struct net *net = start_net(0, 5);
	uint64_t plain = flow_at(net->cfg, 1, 2), deflected = flow_at(net->cfg, 1, 2);

	ck_assert_int_eq(serve_get(net, 0, plain), 1);
	fill_slots(net, 1);
	ck_assert_int_eq(serve_get(net, 0, deflected), 2);
	answer_all(net);
	move_home(net, 1, 3);
	ck_assert_int_eq(serve_get(net, 0, plain), 1);
	ck_assert_int_eq(serve_get(net, 0, deflected), 2);
	ck_assert_int_eq(net->sent[net->sent_count - 2].node, 3);
	move_home(net, 2, 0);
	ck_assert_int_eq(serve_get(net, 3, deflected), 2);
	ck_assert_int_eq(serve_get(net, 0, deflected), 2);
	ck_assert_int_eq(net->sent[net->sent_count - 1].node, 0);
	net_free(net);
}
END_TEST

/* Guards against a deflected flow that moves when the home of its candidate 1 fails. */
START_TEST(home_of_deflected_flow_fails)
{
	struct net *net = start_net(0, 5);
	uint64_t flow = flow_at(net->cfg, 1, 2);

	fill_slots(net, 1);
	ck_assert_int_eq(serve_get(net, 0, flow), 2);
	answer_all(net);
	net_run(net, 3000);
	move_home(net, 5, 3);
	net->home[1] = 3;
	node_kill(net, 1);
	net->nodes[3].taken_over[1] = net->now;
	target_up(net, 3, 1);
	ck_assert_int_eq(serve_get(net, 0, flow), 2);
	ck_assert_int_eq(serve_get(net, 2, flow), 2);
	net_free(net);
}
END_TEST

/* Guards against new work at a target drained by a rule, and against losing its open requests. */
START_TEST(drain_by_rule)
{
	struct net *net = start_net(0, 5);
	uint64_t flow = flow_at(net->cfg, 1, 2);
	int other;

	ck_assert_int_eq(serve_get(net, 0, flow), 1);
	request(net, 0, 900, (struct call){.flow = flow, .token = "o", .method = HT_GET});
	net_run(net, 10);
	adopt_all(net, make_config(2, 0, 5, 1, HT_AFFINITY_FLOW));
	other = serve_get(net, 0, flow);
	ck_assert_int_eq(other, 2);
	answer_all(net);
	net_run(net, 10);
	expect(net, 900, HT_CONTENT, HT_RAN);
	for (int i = 0; i < 20; i++)
		ck_assert_int_ne(serve_get(net, i % 4, flow_at(net->cfg, 1, -1)), 1);
	ck_assert_int_eq(serve_get(net, 3, flow), 2);
	net_free(net);
}
END_TEST

/* Guards against queued requests that are lost, or run there, when a target signals its drain. */
START_TEST(drain_by_signal)
{
	struct net *net = start_net(0, 5);
	uint64_t flow = flow_at(net->cfg, 1, 2);
	struct node *n = &net->nodes[1];

	ck_assert_int_eq(serve_get(net, 0, flow), 1);
	fill_slots(net, 1);
	request(net, 0, 900, (struct call){.flow = flow, .token = "q", .method = HT_GET});
	request(net, 2, 901, (struct call){.flow = flow, .token = "q", .method = HT_GET});
	net_run(net, 10);
	n->router->target_state(n->router->ctx, target_id(1), HT_TARGET_DRAINING);
	net_run(net, 20);
	ck_assert_uint_eq(last_sent(net)->target, target_id(2));
	answer_all(net);
	net_run(net, 20);
	expect(net, 900, HT_CONTENT, HT_RAN);
	expect(net, 901, HT_CONTENT, HT_RAN);
	ck_assert_int_eq(serve_get(net, 3, flow), 2);
	net_free(net);
}
END_TEST

/* Guards against a deflected flow that stays with a target that is down, because the home of its
 * candidate 1 has an outdated entry for it. */
START_TEST(deflected_flow_leaves_failed_target)
{
	struct net *net = start_net(0, 5);
	uint64_t flow = flow_at(net->cfg, 1, 2);
	struct node *n = &net->nodes[2];
	int at;

	fill_slots(net, 1);
	ck_assert_int_eq(serve_get(net, 0, flow), 2);
	answer_all(net);
	n->router->target_state(n->router->ctx, target_id(2), HT_TARGET_DOWN);
	at = serve_get(net, 0, flow);
	ck_assert_int_eq(at, 1);
	ck_assert_int_eq(serve_get(net, 2, flow), 1);
	net_free(net);
}
END_TEST

/* Guards against an endless forwarding loop between instances whose views differ. */
START_TEST(forwarding_loop_ends)
{
	struct net *net = start_net(0, 5);
	uint64_t flow = flow_at(net->cfg, 1, 2);
	unsigned int before;

	for (int n = 0; n < 4; n++)
		net->nodes[n].home_view[1] = (n + 1) % 4; /* each names the next node */
	before = net->frames_sent;
	request(net, 0, 900, (struct call){.flow = flow, .token = "c", .method = HT_GET});
	net_run(net, 20);
	ck_assert_int_eq(net->got[900].count, 1);
	ck_assert_int_eq(net->got[900].a.verdict, HT_NOT_RUN);
	ck_assert_uint_le(net->frames_sent - before, HT_HOP_LIMIT + 1);
	net->nodes[2].home_view[1] = net->nodes[3].home_view[1] = -2;
	net->nodes[0].home_view[1] = 2; /* one view is outdated: the request still arrives */
	net->nodes[1].home_view[1] = -2;
	ck_assert_int_eq(serve_get(net, 0, flow), 1);
	net_free(net);
}
END_TEST

/* Guards against serving under an outdated configuration, and against refusing a request because
 * its sender has one. */
START_TEST(config_versions_differ)
{
	struct net *net = start_net(0, 5);
	struct ht_config *next = make_config(2, 1, 5, -1, HT_AFFINITY_FLOW);
	uint64_t flow = flow_at(net->cfg, 0, -1);
	uint64_t lagging;

	/* The home is behind: it serves the request after it has pulled the new version. */
	adopt(net, 0, next);
	lagging = flow_at(next, 1, -1);
	request(net, 0, 900, (struct call){.flow = lagging, .token = "n", .method = HT_GET});
	net_run(net, 20);
	ck_assert_int_eq(net->sent_count, 0);
	ck_assert_uint_ge(net->nodes[1].versions_seen, 1);
	adopt(net, 1, next);
	ck_assert_int_eq(net->sent_count, 1);
	/* The sender is behind: it retries after it has pulled the version without target 0. */
	request(net, 2, 901, (struct call){.flow = flow, .token = "o", .method = HT_GET});
	net_run(net, 20);
	ck_assert_int_eq(net->sent_count, 1);
	ck_assert_uint_ge(net->nodes[2].versions_seen, 1);
	adopt(net, 2, next);
	adopt(net, 3, next);
	net_run(net, 20);
	ck_assert_int_eq(net->sent_count, 2);
	ck_assert_uint_ne(net->sent[1].target, target_id(0));
	answer_all(net);
	net_run(net, 20);
	expect(net, 900, HT_CONTENT, HT_RAN);
	expect(net, 901, HT_CONTENT, HT_RAN);
	net->old[net->old_count++] = net->cfg;
	net->cfg = next;
	net_free(net);
}
END_TEST

/* Guards against a request without an answer when the attempt after the wait for a newer
 * configuration is lost, and against an answer after its deadline. */
START_TEST(attempt_after_the_wait_for_a_configuration_is_lost)
{
	struct net *net = start_net(0, 5);
	struct ht_config *next = make_config(2, 1, 5, -1, HT_AFFINITY_FLOW);
	uint64_t flow = flow_at(net->cfg, 0, -1);

	adopt(net, 0, next);
	request(net, 2, 900, (struct call){.flow = flow, .token = "g", .method = HT_GET});
	request(net, 2, 901, (struct call){.flow = flow, .token = "p", .method = HT_POST});
	request(net, 2, 902,
		(struct call){.flow = flow, .token = "s", .method = HT_GET, .deadline = 100});
	net_run(net, 110);
	expect(net, 902, HT_GATEWAY_TIMEOUT, HT_MAY_HAVE_RUN);
	for (unsigned int sent = net->frames_sent; net->frames_sent == sent;)
		net_run(net, 1);
	for (int i = 0; i < 4; i++)
		net->cut[2][i] = i != 2; /* drops the frames in flight */
	net_run(net, 1000);
	ck_assert_int_eq(net->sent_count, 0);
	expect(net, 900, HT_GATEWAY_TIMEOUT, HT_MAY_HAVE_RUN);
	expect(net, 901, HT_SERVICE_UNAVAILABLE, HT_NOT_RUN);
	net->old[net->old_count++] = next;
	net_free(net);
}
END_TEST

/* Guards against a flow table that grows without bound or evicts flows in use. */
START_TEST(table_is_bounded)
{
	struct ht_flows *f = ht_flows_new(2000, 600000);
	bool evicted, tentative;

	for (uint64_t i = 1; i <= 2000; i++)
		ck_assert(ht_flows_set(f, i, i + 7, 1000 + (ht_ms)i, i == 5, &evicted));
	ck_assert(!ht_flows_set(f, 5000, 1, 4000, false, &evicted));
	ck_assert_uint_eq(ht_flows_use(f, 1, 5000, &tentative), 8);
	ck_assert(!tentative);
	ck_assert_uint_eq(ht_flows_use(f, 5, 5000, &tentative), 12);
	ck_assert(tentative);
	ht_flows_confirm(f, 5, 12);
	ht_flows_use(f, 5, 5000, &tentative);
	ck_assert(!tentative);
	ck_assert(ht_flows_set(f, 5000, 1, 40000, false, &evicted));
	ck_assert(evicted);
	ck_assert_uint_eq(ht_flows_use(f, 2, 40000, NULL), 0);
	ck_assert_uint_eq(ht_flows_use(f, 1, 40000, NULL), 8);
	ck_assert_uint_eq(ht_flows_count(f), 2000);
	ht_flows_expire(f, 639000);
	ck_assert_uint_eq(ht_flows_count(f), 2);
	ht_flows_del(f, 1);
	ck_assert_uint_eq(ht_flows_use(f, 1, 640000, NULL), 0);
	ht_flows_free(f);
}
END_TEST

/* Guards against a full table that delays the refusal or runs the request without an entry. */
START_TEST(full_table_refuses_new_flows)
{
	struct ht_core_params params = net_params();
	struct net *net;
	uint64_t a, b;

	next_handle = 1;
	params.flow_table_max = 1;
	net = net_new(4, make_config(1, 0, 5, -1, HT_AFFINITY_FLOW), params);
	a = flow_at(net->cfg, 1, -1);
	b = flow_at(net->cfg, 1, -1);
	ck_assert_int_eq(serve_get(net, 1, a), 1);
	request(net, 1, 900, (struct call){.flow = b, .token = "n", .method = HT_GET});
	expect(net, 900, HT_SERVICE_UNAVAILABLE, HT_NOT_RUN);
	ck_assert_int_eq((int)net->got[900].a.retry_after, 1000);
	ck_assert_int_eq(serve_get(net, 1, a), 1);
	net_free(net);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("path_flows");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, deflected_flow_stays);
	tcase_add_test(tc, deflection_to_equal_wait_is_returned);
	tcase_add_test(tc, target_sets_change);
	tcase_add_test(tc, first_candidate_is_removed);
	tcase_add_test(tc, homes_change);
	tcase_add_test(tc, home_of_deflected_flow_fails);
	tcase_add_test(tc, drain_by_rule);
	tcase_add_test(tc, drain_by_signal);
	tcase_add_test(tc, deflected_flow_leaves_failed_target);
	tcase_add_test(tc, forwarding_loop_ends);
	tcase_add_test(tc, config_versions_differ);
	tcase_add_test(tc, attempt_after_the_wait_for_a_configuration_is_lost);
	tcase_add_test(tc, table_is_bounded);
	tcase_add_test(tc, full_table_refuses_new_flows);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
