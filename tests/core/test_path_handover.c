/* Hand-over of ledgers and targets: tickets keep a correct verdict when their issuer changes. */
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

static void hand_over(struct net *net, int from, int to)
{
	struct node *n = &net->nodes[from];

	n->env.stopping = true;
	for (int t = 0; t < TARGETS; t++) {
		if (net->home[t] != from || !ht_config_target(net->cfg, target_id(t)))
			continue;
		net->home[t] = to;
		n->targets->owner_changed(n->targets->ctx, target_id(t));
		n->ledger->hand_over(n->ledger->ctx, target_id(t), node_id(to));
		target_up(net, to, t);
	}
	n->ledger->hand_over_all(n->ledger->ctx);
	net_run(net, 10);
}

/* Guards against lost or wrong verdicts for tickets whose issuer has stopped as planned. */
START_TEST(ledger_is_handed_over)
{
	struct net *net = three();
	uint64_t ran = flow_at(net->cfg, 1, -1), open = flow_at(net->cfg, 1, -1),
		 unused = flow_at(net->cfg, 1, -1);
	uint8_t ticket[3][HT_TICKET_LEN];

	get_ticket(net, 0, 1, ran, ticket[0]);
	get_ticket(net, 0, 2, open, ticket[1]);
	get_ticket(net, 0, 3, unused, ticket[2]);
	post(net, 0, 4, ran, ticket[0]);
	answer_all(net);
	post(net, 0, 5, open, ticket[1]);
	hand_over(net, 1, 2);
	/* The open POST request may still change, so the ledger is not complete yet. */
	ck_assert(!net->nodes[1].ledger->handed_over(net->nodes[1].ledger->ctx));
	answer_all(net);
	net_run(net, 10);
	ck_assert(net->nodes[1].ledger->handed_over(net->nodes[1].ledger->ctx));
	expect(net, 5, HT_CONTENT, HT_RAN);
	node_kill(net, 1);
	post(net, 0, 6, ran, ticket[0]);
	expect(net, 6, HT_CONTENT, HT_RAN);
	ck_assert_str_eq(net->got[6].payload, "body");
	post(net, 0, 7, open, ticket[1]);
	expect(net, 7, HT_CONTENT, HT_RAN);
	post(net, 0, 8, unused, ticket[2]);
	expect(net, 8, HT_UNAUTHORIZED, HT_NOT_RUN);
	ck_assert_int_eq(net->sent_count, 2);
	net_run(net, 120000);
	post(net, 0, 9, unused, ticket[2]);
	expect(net, 9, HT_GATEWAY_TIMEOUT, HT_MAY_HAVE_RUN);
	net_free(net);
}
END_TEST

/* Guards against the verdict "not run" from a ledger whose hand-over was interrupted. */
START_TEST(incomplete_hand_over_gives_no_not_run)
{
	struct net *net = three();
	uint64_t flow = flow_at(net->cfg, 1, -1);
	uint8_t ticket[HT_TICKET_LEN];
	struct node *n = &net->nodes[1];

	get_ticket(net, 0, 1, flow, ticket);
	n->env.stopping = true;
	net->home[1] = 2;
	n->ledger->hand_over(n->ledger->ctx, target_id(1), node_id(2));
	target_up(net, 2, 1);
	net_run(net, 10);
	node_kill(net, 1);
	post(net, 0, 2, flow, ticket);
	expect(net, 2, HT_GATEWAY_TIMEOUT, HT_MAY_HAVE_RUN);
	net_free(net);
}
END_TEST

/* Guards against a POST request that runs at a former owner of the target because it issued the
 * ticket. */
START_TEST(issuer_lost_the_target)
{
	struct net *net = three();
	uint64_t flow = flow_at(net->cfg, 1, -1);
	uint8_t ticket[HT_TICKET_LEN];

	get_ticket(net, 0, 1, flow, ticket);
	net->home[1] = 2;
	target_up(net, 2, 1);
	post(net, 0, 2, flow, ticket);
	expect(net, 2, HT_UNAUTHORIZED, HT_NOT_RUN);
	ck_assert_int_eq(net->sent_count, 0);
	post(net, 0, 3, flow, net->got[2].a.ticket);
	ck_assert_int_eq(net->sent_count, 1);
	ck_assert_int_eq(net->sent[0].node, 2);
	net->home[1] = 1; /* the sealed ticket stays sealed when its issuer owns the target again */
	post(net, 0, 4, flow, ticket);
	ck_assert_int_eq(net->got[4].a.code, HT_UNAUTHORIZED);
	ck_assert_int_eq(net->sent_count, 1);
	net_free(net);
}
END_TEST

/* Guards against issuing tickets without end when the home of a POST request's flow is unreachable.
 */
START_TEST(posting_runs_when_home_of_flow_is_unreachable)
{
	struct net *net = net_new(2, make_config(1, 0, 1, -1, HT_AFFINITY_FLOW), net_params());
	uint64_t flow = flow_at(net->cfg, 0, 1);
	struct ht_router_if *router = net->nodes[0].router;
	uint8_t ticket[HT_TICKET_LEN];

	router->target_state(router->ctx, target_id(0), HT_TARGET_DOWN);
	request(net, 0, 1, (struct call){.flow = flow, .token = "g", .method = HT_GET});
	net_run(net, 10);
	ck_assert_int_eq(net->sent[0].node, 1);
	target_result(net, &net->sent[0], HT_TARGET_ANSWERED, "x", false);
	net_run(net, 10);
	target_up(net, 0, 0);
	net->cut[0][1] = net->cut[1][0] = true;
	get_ticket(net, 0, 2, flow, ticket);
	post(net, 0, 3, flow, ticket);
	ck_assert_int_eq(net->sent_count, 2);
	ck_assert_int_eq(net->sent[1].node, 0);
	net_free(net);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("path_handover");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, ledger_is_handed_over);
	tcase_add_test(tc, incomplete_hand_over_gives_no_not_run);
	tcase_add_test(tc, issuer_lost_the_target);
	tcase_add_test(tc, posting_runs_when_home_of_flow_is_unreachable);
	tcase_set_timeout(tc, 60);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
