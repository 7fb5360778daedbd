/* Flows whose candidates drain by rules: substitutes serve them when no candidate can. */
#include "tests/core/path_calls.h"
#include "tests/suite.h"

/* The targets 0 to DRAINED - 1 drain, the others are free. */
#define DRAINED 5
#define ALL 8
#define NODES_USED 4

static uint64_t next_handle = 1;

static const struct ht_service_conf *service(const struct ht_config *cfg)
{
	return ht_config_service(cfg, ht_hash_str("svc"));
}

/* The targets 0 to @drained - 1 drain. */
static struct ht_config *drain_config(uint64_t version, int drained)
{
	struct ht_config *cfg = make_config(version, 0, ALL - 1, -1, HT_AFFINITY_FLOW);

	for (size_t i = 0; i < cfg->target_count; i++)
		cfg->targets[i].draining = target_index(cfg->targets[i].id) < drained;
	return cfg;
}

static struct net *start_net(int drained)
{
	next_handle = 1;
	return net_new(NODES_USED, drain_config(1, drained), net_params());
}

static bool drains(int target)
{
	return target < DRAINED;
}

/* A new flow whose three candidates are all below DRAINED. */
static uint64_t drained_flow(void)
{
	struct ht_config *cfg = drain_config(1, 0);
	static uint64_t next = 1;

	for (;; next++) {
		struct ht_candidates row;
		bool all = true;

		ht_placement_candidates(&row, service(cfg), next);
		for (unsigned int i = 0; i < row.count; i++)
			all &= drains(target_index(row.target[i]->id));
		if (all)
			break;
	}
	ht_config_put(cfg);
	return next++;
}

static uint64_t send_get(struct net *net, int node, uint64_t flow)
{
	uint64_t h = next_handle++;
	char token[16];

	snprintf(token, sizeof(token), "%x", (unsigned int)h);
	request(net, node, h, (struct call){.flow = flow, .token = token, .method = HT_GET});
	return h;
}

/* Sends a GET of @flow through @node, answers it and returns the index of its target. */
static int serve_get(struct net *net, int node, uint64_t flow)
{
	int before = net->sent_count;
	uint64_t h = send_get(net, node, flow);

	net_run(net, 30);
	ck_assert_int_eq(net->sent_count, before + 1);
	target_result(net, &net->sent[before], HT_TARGET_ANSWERED, "ok", false);
	net_run(net, 10);
	expect(net, h, HT_CONTENT, HT_RAN);
	return target_index(net->sent[before].target);
}

/* Obtains a ticket for a POST request, uses it through all nodes, and returns the target. */
static int serve_post(struct net *net, uint64_t flow)
{
	int before = net->sent_count;
	uint8_t ticket[HT_TICKET_LEN];
	uint64_t first;

	get_ticket(net, 0, next_handle++, flow, ticket);
	first = next_handle;
	for (int node = 0; node < NODES_USED; node++)
		request(net, node, next_handle++,
			(struct call){
				.flow = flow, .token = "p", .method = HT_POST, .ticket = ticket});
	net_run(net, 30);
	ck_assert_int_eq(net->sent_count, before + 1);
	target_result(net, &net->sent[before], HT_TARGET_ANSWERED, "ok", false);
	net_run(net, 10);
	for (uint64_t h = first; h < next_handle; h++)
		expect(net, h, HT_CONTENT, HT_RAN);
	return target_index(net->sent[before].target);
}

/* Guards against flows that move because some of their candidates drain. */
START_TEST(candidates_stay_in_front)
{
	struct ht_config *plain = drain_config(1, 0), *drained = drain_config(2, DRAINED);

	for (uint64_t flow = 1; flow <= 2000; flow++) {
		struct ht_candidates before, after;
		unsigned int draining = 0;

		ht_placement_candidates(&before, service(plain), flow);
		ht_placement_candidates(&after, service(drained), flow);
		ck_assert_uint_eq(before.count, HT_CANDIDATES_MAX);
		for (unsigned int i = 0; i < HT_CANDIDATES_MAX; i++) {
			ck_assert_uint_eq(before.target[i]->id, after.target[i]->id);
			draining += after.target[i]->draining;
		}
		ck_assert_uint_eq(after.count, HT_CANDIDATES_MAX + draining);
		for (unsigned int i = HT_CANDIDATES_MAX; i < after.count; i++) {
			ck_assert(!after.target[i]->draining);
			ck_assert_uint_eq(ht_candidates_index(&after, after.target[i]->id), i);
		}
		ck_assert_uint_eq(ht_candidates_index(&after, 1), HT_ROW_MAX);
	}
	ht_config_put(plain);
	ht_config_put(drained);
}
END_TEST

/* Guards against substitutes that all flows share, that have no weight, or that are not the flow's
 * best by the hash over the free targets alone. */
START_TEST(substitutes_follow_the_hash)
{
	struct ht_config *drained = drain_config(1, DRAINED);
	struct ht_config *rest = make_config(1, DRAINED, ALL - 1, -1, HT_AFFINITY_FLOW);
	unsigned int first[TARGETS] = {0};

	for (int i = 0; i < 300; i++) {
		uint64_t flow = drained_flow();
		struct ht_candidates row, want;

		ht_placement_candidates(&row, service(drained), flow);
		ht_placement_candidates(&want, service(rest), flow);
		ck_assert_uint_eq(row.count, HT_CANDIDATES_MAX + want.count);
		for (unsigned int k = 0; k < want.count; k++)
			ck_assert_uint_eq(row.target[HT_CANDIDATES_MAX + k]->id,
					  want.target[k]->id);
		first[target_index(row.target[HT_CANDIDATES_MAX]->id)]++;
	}
	for (int t = DRAINED; t < ALL; t++)
		ck_assert_uint_ge(first[t], 60);
	for (size_t i = 0; i < drained->target_count; i++)
		if (!drained->targets[i].draining)
			drained->targets[i].weight = 0;
	for (int i = 0; i < 50; i++) {
		struct ht_candidates row;

		ht_placement_candidates(&row, service(drained), drained_flow());
		ck_assert_uint_eq(row.count, HT_CANDIDATES_MAX);
	}
	ht_config_put(drained);
	ht_config_put(rest);
}
END_TEST

/* Guards against requests that are refused although targets are free, and against a flow that has
 * another target at each instance that its packets reach. */
START_TEST(new_flow_is_served_by_a_free_target)
{
	struct net *net = start_net(DRAINED);

	for (int i = 0; i < 20; i++) {
		uint64_t flow = drained_flow();
		int at = serve_get(net, i % NODES_USED, flow);

		ck_assert(!drains(at));
		for (int node = 0; node < NODES_USED; node++)
			ck_assert_int_eq(serve_get(net, node, flow), at);
	}
	net_free(net);
}
END_TEST

/* Guards against a POST request without a target, and against one that runs twice. */
START_TEST(posting_of_a_new_flow_runs_once)
{
	struct net *net = start_net(DRAINED);

	for (int i = 0; i < 10; i++)
		ck_assert(!drains(serve_post(net, drained_flow())));
	net_free(net);
}
END_TEST

/* Guards against a flow that is refused when its target begins to drain, one that moves a second
 * time when the drain ends, and a request in flight that is lost or run again. */
START_TEST(open_flow_moves_once)
{
	struct net *net = start_net(0);
	uint64_t flow = drained_flow(), open;
	int at = serve_get(net, 0, flow), other;

	ck_assert(drains(at));
	open = send_get(net, 1, flow);
	net_run(net, 10);
	adopt_all(net, drain_config(2, DRAINED));
	other = serve_get(net, 2, flow);
	ck_assert(!drains(other));
	answer_all(net);
	net_run(net, 10);
	expect(net, open, HT_CONTENT, HT_RAN);
	adopt_all(net, drain_config(3, 0));
	for (int node = 0; node < NODES_USED; node++)
		ck_assert_int_eq(serve_get(net, node, flow), other);
	net_free(net);
}
END_TEST

/* Guards against queued requests that are refused or run twice when all candidates drain. */
START_TEST(queued_requests_move)
{
	struct net *net = start_net(0);
	uint64_t flow = drained_flow(), first;
	int at = serve_get(net, 0, flow), before;
	uint8_t ticket[HT_TICKET_LEN];

	get_ticket(net, 0, next_handle++, flow, ticket);
	first = next_handle;
	for (int i = 0; i < 5; i++)
		send_get(net, i % NODES_USED, flow);
	request(net, 0, next_handle++,
		(struct call){.flow = flow, .token = "q", .method = HT_POST, .ticket = ticket});
	net_run(net, 10);
	before = net->sent_count;
	for (int i = 1; i < before; i++)
		ck_assert_int_eq(target_index(net->sent[i].target), at);
	ck_assert_int_eq(before, 4); /* three slots */
	adopt_all(net, drain_config(2, DRAINED));
	net_run(net, 10);
	ck_assert_int_eq(net->sent_count, before + 2);
	for (int i = before; i < net->sent_count; i++)
		ck_assert(!drains(target_index(net->sent[i].target)));
	answer_all(net);
	net_run(net, 10);
	for (uint64_t h = first; h < first + 5; h++)
		expect(net, h, HT_CONTENT, HT_RAN);
	/* The POST request has not run: the new home issues a ticket of its own. */
	expect(net, first + 5, HT_UNAUTHORIZED, HT_NOT_RUN);
	ck_assert(net->got[first + 5].a.has_ticket);
	ck_assert(!drains(serve_post(net, flow)));
	net_free(net);
}
END_TEST

/* Guards against a refusal while the first free target is down but a second one is up. */
START_TEST(next_free_target_is_tried)
{
	struct net *net = start_net(DRAINED);

	for (int i = 0; i < 10; i++) {
		uint64_t flow = drained_flow(), id;
		struct node *n;
		int at = serve_get(net, 0, flow), other;

		id = target_id(at);
		n = &net->nodes[net->home[at]];
		n->router->target_state(n->router->ctx, id, HT_TARGET_DOWN);
		other = serve_get(net, 1, flow);
		ck_assert(!drains(other));
		ck_assert_int_ne(other, at);
		target_up(net, net->home[at], at);
		for (int node = 0; node < NODES_USED; node++)
			ck_assert_int_eq(serve_get(net, node, flow), other);
	}
	net_free(net);
}
END_TEST

/* A new flow whose candidates are a target that drains, one that does not, and one that drains. */
static uint64_t half_drained_flow(const struct ht_config *drained)
{
	for (;;) {
		struct ht_candidates row;
		uint64_t flow = flow_at(drained, 0, DRAINED);

		ht_placement_candidates(&row, service(drained), flow);
		if (row.target[2]->draining)
			return flow;
	}
}

/* Guards against a refusal when two candidates drain and the third is down, and against flows that
 * leave a candidate that is only busy. */
START_TEST(substitutes_are_used_last)
{
	struct net *net = start_net(DRAINED);
	uint64_t flow = half_drained_flow(net->cfg), moved;
	struct node *n = &net->nodes[net->home[DRAINED]];
	int other;

	for (int i = 0; i < 4; i++)
		send_get(net, i % NODES_USED, half_drained_flow(net->cfg));
	net_run(net, 10);
	ck_assert_int_eq(net->sent_count, 3);
	answer_all(net);
	net_run(net, 10);
	answer_all(net);
	net_run(net, 10);
	for (int i = 0; i < net->sent_count; i++)
		ck_assert_int_eq(target_index(net->sent[i].target), DRAINED);
	ck_assert_int_eq(serve_get(net, 0, flow), DRAINED);
	n->router->target_state(n->router->ctx, target_id(DRAINED), HT_TARGET_DOWN);
	moved = half_drained_flow(net->cfg);
	other = serve_get(net, 1, moved);
	ck_assert_int_gt(other, DRAINED);
	ck_assert_int_gt(serve_get(net, 2, flow), DRAINED);
	target_up(net, net->home[DRAINED], DRAINED);
	for (int node = 0; node < NODES_USED; node++)
		ck_assert_int_eq(serve_get(net, node, moved), other);
	net_free(net);
}
END_TEST

/* Guards against a refusal when the instances of the drained data centre have gone, too. */
START_TEST(homes_of_drained_targets_are_not_needed)
{
	struct net *net = start_net(DRAINED);
	uint64_t flow[10];
	int at[10];

	for (int t = 0; t < ALL; t++)
		net->home[t] = drains(t) ? 3 : t % 3;
	for (int t = 0; t < ALL; t++)
		target_up(net, net->home[t], t);
	node_kill(net, 3);
	for (int i = 0; i < 10; i++) {
		flow[i] = drained_flow();
		at[i] = serve_get(net, i % 3, flow[i]);
		ck_assert(!drains(at[i]));
	}
	for (int i = 0; i < 10; i++)
		for (int node = 0; node < 3; node++)
			ck_assert_int_eq(serve_get(net, node, flow[i]), at[i]);
	net_free(net);
}
END_TEST

/* Guards against a flow that moves when its candidate 1 gets another home by a planned change. */
START_TEST(flow_stays_when_the_home_of_its_first_candidate_changes)
{
	struct net *net = start_net(DRAINED);

	for (int i = 0; i < 5; i++) {
		struct ht_candidates row;
		uint64_t flow = drained_flow();
		int at = serve_get(net, 0, flow), first;

		ht_placement_candidates(&row, service(net->cfg), flow);
		first = target_index(row.target[0]->id);
		move_home(net, first, (net->home[first] + 1) % NODES_USED);
		for (int node = 0; node < NODES_USED; node++)
			ck_assert_int_eq(serve_get(net, node, flow), at);
	}
	net_free(net);
}
END_TEST

/* Guards against a flow that moves when the home of its candidate 1 ends: targets 0 and 4 are at
 * instance 0, 1 and 5 at instance 1. */
START_TEST(flow_stays_when_the_home_of_its_first_candidate_ends)
{
	struct net *net = start_net(DRAINED);

	for (int i = 0; i < 2; i++) {
		struct ht_candidates row;
		uint64_t flow;
		int at, first;

		/* A flow that has its target at an instance that stays. */
		do {
			flow = drained_flow();
			ht_placement_candidates(&row, service(net->cfg), flow);
			first = target_index(row.target[0]->id);
			at = target_index(row.target[HT_CANDIDATES_MAX]->id);
		} while (net->home[first] != i || net->home[at] <= i);
		ck_assert_int_eq(serve_get(net, 3, flow), at);
		node_kill(net, i);
		for (int t = 0; t < ALL; t++)
			if (net->home[t] == i)
				move_home(net, t, 3);
		for (int node = i + 1; node < NODES_USED; node++)
			ck_assert_int_eq(serve_get(net, node, flow), at);
	}
	net_free(net);
}
END_TEST

/* Guards against a lost forward that ends the request: the free target is tried at half time. */
START_TEST(lost_forward_is_retried_at_a_free_target)
{
	struct net *net = start_net(DRAINED);
	uint64_t flow, h;
	int home, from;

	/* Home of candidate 1 and ingress are different instances. */
	do {
		struct ht_candidates row;

		flow = drained_flow();
		ht_placement_candidates(&row, service(net->cfg), flow);
		home = net->home[target_index(row.target[0]->id)];
		from = net->home[target_index(row.target[HT_CANDIDATES_MAX]->id)];
	} while (home == from);
	h = send_get(net, from, flow);
	net->cut[from][home] = true; /* drops the frame in flight */
	net_run(net, 510);
	ck_assert_int_eq(net->sent_count, 1);
	ck_assert(!drains(target_index(net->sent[0].target)));
	answer_all(net);
	net_run(net, 10);
	expect(net, h, HT_CONTENT, HT_RAN);
	net_free(net);
}
END_TEST

/* Guards against a late or untrue refusal when no target is left. */
START_TEST(refused_when_all_targets_drain)
{
	struct net *net = start_net(ALL);
	uint64_t h = send_get(net, 0, 1);

	net_run(net, 12);
	expect(net, h, HT_SERVICE_UNAVAILABLE, HT_NOT_RUN);
	ck_assert_int_ge((int)net->got[h].a.retry_after, 1000);
	ck_assert_int_eq(net->sent_count, 0);
	net_free(net);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("all");

	tcase_add_test(tc, candidates_stay_in_front);
	tcase_add_test(tc, substitutes_follow_the_hash);
	tcase_add_test(tc, new_flow_is_served_by_a_free_target);
	tcase_add_test(tc, posting_of_a_new_flow_runs_once);
	tcase_add_test(tc, open_flow_moves_once);
	tcase_add_test(tc, queued_requests_move);
	tcase_add_test(tc, next_free_target_is_tried);
	tcase_add_test(tc, substitutes_are_used_last);
	tcase_add_test(tc, homes_of_drained_targets_are_not_needed);
	tcase_add_test(tc, flow_stays_when_the_home_of_its_first_candidate_changes);
	tcase_add_test(tc, flow_stays_when_the_home_of_its_first_candidate_ends);
	tcase_add_test(tc, lost_forward_is_retried_at_a_free_target);
	tcase_add_test(tc, refused_when_all_targets_drain);
	tcase_set_timeout(tc, 60);
	return run_case("drained_candidates", tc);
}
