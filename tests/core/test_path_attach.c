/* Verdicts of idempotent requests whose copies meet at one home; found by tests/property. */
#include "tests/core/path_calls.h"

static void get(struct net *net, int node, uint64_t handle, uint64_t flow, ht_ms deadline)
{
	char token[16];

	snprintf(token, sizeof(token), "%x", (unsigned int)handle);
	request(net, node, handle,
		(struct call){
			.flow = flow, .token = token, .method = HT_GET, .deadline = deadline});
}

/* Takes all slots of targets 0 and 1; their requests stay open. */
static void fill(struct net *net)
{
	for (int i = 0; i < 3; i++) {
		get(net, 1, 1 + (uint64_t)i, flow_at(net->cfg, 1, 0), 60000);
		net_run(net, 5);
	}
	for (int i = 0; i < 3; i++) {
		get(net, 0, 4 + (uint64_t)i, flow_at(net->cfg, 0, 1), 60000);
		net_run(net, 5);
	}
	ck_assert_int_eq(net->sent_count, 6);
}

/*
 * A request waits at home 1; its retry at candidate 2 starts, is lost and comes to home 1 too.
 * Guards against "not run" for both when the one that waits is refused.
 */
START_TEST(lost_retry_attaches)
{
	struct net *net = net_new(2, make_config(1, 0, 1, -1, HT_AFFINITY_FLOW), net_params());
	struct sent *retry;

	fill(net);
	get(net, 0, 10, flow_at(net->cfg, 1, 0), 1000);
	net_run(net, 20);
	ck_assert_int_eq(net->sent_count, 6);
	/* A slot of target 0 becomes free; half of the deadline passes, and the retry starts. */
	target_result(net, &net->sent[3], HT_TARGET_ANSWERED, "x", false);
	net_run(net, 500);
	ck_assert_int_eq(net->sent_count, 7);
	retry = &net->sent[6];
	ck_assert_uint_eq(retry->target, target_id(0));
	target_result(net, retry, HT_TARGET_LOST, NULL, false);
	net_run(net, 600);
	ck_assert_int_eq(net->got[10].count, 1);
	ck_assert_int_eq(net->got[10].a.verdict, HT_MAY_HAVE_RUN);
	net_free(net);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("path_attach");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, lost_retry_attaches);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
