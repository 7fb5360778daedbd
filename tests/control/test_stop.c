/* Planned stop of an instance (design, section 3.9). */
#include "tests/control/net.h"

/* Runs until node @i may exit; returns the time taken in ms, or -1. */
static int run_until_stopped(struct net *net, int i, int limit)
{
	for (int ms = 0; ms <= limit; ms++) {
		if (net->nodes[i].stopped)
			return ms;
		net_step(net);
	}
	return -1;
}

/* Guards against an exit before late packets have been forwarded to their new homes. */
START_TEST(lingers_after_the_last_request)
{
	struct net *net = net_dc(40, 3);
	int ms;

	ht_core_stop(net->nodes[0].core);
	ms = run_until_stopped(net, 0, 10000);
	ck_assert_int_ge(ms, 3000);
	ck_assert_int_le(ms, 3000 + MAX_RUN_MS + 200);
	ck_assert_int_ge(net->nodes[0].path->handed_over, 1);
	net_free(net);
}
END_TEST

/* Guards against an exit while a ledger batch is unacknowledged or an answer is pending. */
START_TEST(waits_for_the_ledger_and_for_answers)
{
	struct net *net = net_dc(41, 3);

	net->nodes[0].path->ack_missing = true;
	net->nodes[0].path->pending = 1;
	ht_core_stop(net->nodes[0].core);
	ck_assert_int_eq(run_until_stopped(net, 0, 8000), -1);
	net->nodes[0].path->ack_missing = false;
	ck_assert_int_eq(run_until_stopped(net, 0, 2000), -1);
	net->nodes[0].path->pending = 0;
	ck_assert_int_ge(run_until_stopped(net, 0, 4000), 2900);
	net_free(net);
}
END_TEST

/* Guards against a stop that never ends as a peer does not acknowledge the ledger. */
START_TEST(gives_up_after_the_limit)
{
	struct net *net = net_dc(42, 3);

	net->nodes[0].path->ack_missing = true;
	ht_core_stop(net->nodes[0].core);
	ck_assert_int_ge(run_until_stopped(net, 0, 20000), 15000);
	net_free(net);
}
END_TEST

/* Guards against targets without an owner while instances are restarted one after the other. */
START_TEST(rolling_restart_keeps_all_targets_in_service)
{
	struct net *net = net_dc(43, 4);

	for (int i = 0; i < 4; i++) {
		ht_core_stop(net->nodes[i].core);
		ck_assert_int_ge(run_until_stopped(net, i, 10000), 0);
		net_kill(net, i, true);
		net_start(net, i);
		net_run(net, 3000);
		ck_assert_int_eq(net_served(net), 6);
	}
	/* At a hand-over the former owner may use all slots until its longest request ends. */
	ck_assert_int_le(net->longest_gap, MAX_RUN_MS);
	for (int i = 0; i < 4; i++)
		ck_assert_uint_eq(net->nodes[i].events[35], 0);
	net_free(net);
}
END_TEST

/*
 * Guards against a takeover hold on a target that its owner has released, when the new owner has
 * just restarted and does not know the former owner.
 */
START_TEST(release_to_a_restarted_instance_has_no_hold)
{
	struct net *net = net_dc(44, 3);

	net->load = false;
	ht_core_stop(net->nodes[0].core);
	ck_assert_int_ge(run_until_stopped(net, 0, 10000), 0);
	net_kill(net, 0, true);
	net_start(net, 0);
	net_run(net, 1000);
	net->longest_gap = 0;
	ht_core_stop(net->nodes[1].core);
	net_run(net, 3000);
	ck_assert_int_eq(net_served(net), 6);
	ck_assert_int_le(net->longest_gap, 600);
	net_free(net);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("stop");
	TCase *tc = tcase_create("stop");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, lingers_after_the_last_request);
	tcase_add_test(tc, waits_for_the_ledger_and_for_answers);
	tcase_add_test(tc, gives_up_after_the_limit);
	tcase_add_test(tc, rolling_restart_keeps_all_targets_in_service);
	tcase_add_test(tc, release_to_a_restarted_instance_has_no_hold);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
