/* Duplicates of idempotent requests at one home: verdicts and blocks. Found by tests/property. */
#include "tests/core/path_calls.h"

static void get(struct net *net, int node, uint64_t handle, uint64_t flow, ht_ms deadline)
{
	char token[16];

	snprintf(token, sizeof(token), "%x", (unsigned int)handle);
	request(net, node, handle,
		(struct call){
			.flow = flow, .token = token, .method = HT_GET, .deadline = deadline});
}

/* Occupies all slots of targets 0 and 1 with requests that stay open. */
static void fill_slots(struct net *net)
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
 * A request is queued at home 1. Its retry starts at candidate 2, is lost and attaches to the
 * queued one. Guards against the verdict "not run" when the queued request is refused.
 */
START_TEST(lost_retry_attaches_to_queued_request)
{
	struct net *net = net_new(2, make_config(1, 0, 1, -1, HT_AFFINITY_FLOW), net_params());
	struct sent *retry;

	fill_slots(net);
	get(net, 0, 10, flow_at(net->cfg, 1, 0), 1000);
	net_run(net, 20);
	ck_assert_int_eq(net->sent_count, 6);
	/* Frees a slot of target 0, so that the retry starts there after half of the deadline. */
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

/* Guards against sending block 0 to an attached request for a later block. */
START_TEST(attached_request_gets_its_block)
{
	struct net *net = net_new(3, make_config(1, 0, 1, -1, HT_AFFINITY_FLOW), net_params());
	uint64_t flow = flow_at(net->cfg, 1, 0);
	char body[2501];

	memset(body, 'x', 2500);
	body[2500] = 0;
	for (int b = 0; b < 3; b++) {
		request(net, b, (uint64_t)b + 1,
			(struct call){
				.flow = flow, .token = "t", .method = HT_GET, .block = b + 1});
		net_run(net, 10);
	}
	ck_assert_int_eq(net->sent_count, 1);
	target_result(net, &net->sent[0], HT_TARGET_ANSWERED, body, false);
	net_run(net, 10);
	for (int b = 0; b < 3; b++) {
		ck_assert_int_eq(net->got[b + 1].count, 1);
		ck_assert_uint_eq(net->got[b + 1].a.block_num, (unsigned int)b);
		ck_assert_int_eq(net->got[b + 1].a.block_more, b < 2);
	}
	net_free(net);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("path_attach");
	TCase *tc = tcase_create("all");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, lost_retry_attaches_to_queued_request);
	tcase_add_test(tc, attached_request_gets_its_block);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
