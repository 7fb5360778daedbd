/*
 * Ownership and lease under failures and planned changes (design, sections 3.2, 3.12 and 3.14).
 * net_step() checks the slot bound at each millisecond of all tests.
 */
#include "tests/control/net.h"

/* Guards against targets without an owner after a cold start of a data centre. */
START_TEST(cold_start_serves_all)
{
	for (int n = 1; n <= 5; n++) {
		struct net *net = net_dc(7, n);

		for (int i = 0; i < n; i++)
			ck_assert_uint_eq(net->nodes[i].events[20], 0);
		net_free(net);
	}
}
END_TEST

/* Guards against two homes sending while requests of a crashed home still run. */
START_TEST(proven_death_is_taken_over_after_the_hold)
{
	struct net *net = net_dc(11, 3);
	int before = net_owned(net, 0);

	ck_assert_int_gt(before, 0);
	net_kill(net, 0, true);
	net_run(net, 1900);
	ck_assert_int_eq(net_served(net), 6 - before);
	net_run(net, 200);
	ck_assert_int_eq(net_served(net), 6);
	net_free(net);
}
END_TEST

/* Guards against a takeover before the lease of a silent home has ended, or no takeover at all. */
START_TEST(silent_death_is_taken_over_after_lease_and_margin)
{
	struct net *net = net_dc(12, 3);

	net_kill(net, 0, false);
	net_run(net, 1900);
	ck_assert_int_eq(net->nodes[1].events[12] + net->nodes[2].events[12], 0);
	net_run(net, 3200);
	ck_assert_int_eq(net_served(net), 6);
	ck_assert_int_eq(net->nodes[1].events[12] + net->nodes[2].events[12], 2);
	net_free(net);
}
END_TEST

/* Guards against the loss of an instance's targets when its only peer restarts. */
START_TEST(restart_of_the_only_peer_keeps_own_targets)
{
	struct net *net = net_dc(13, 2);
	int own = net_owned(net, 0);

	net_kill(net, 1, true);
	for (int i = 0; i < 3000; i++) {
		net_step(net);
		ck_assert_int_ge(net_owned(net, 0), own);
	}
	net_start(net, 1);
	net_run(net, 4000);
	ck_assert_int_eq(net_served(net), 6);
	ck_assert_uint_eq(net->nodes[0].events[20] + net->nodes[0].events[35], 0);
	net_free(net);
}
END_TEST

/* Guards against a paused home that sends requests after its lease has ended. */
START_TEST(paused_home_has_lost_ownership_on_resume)
{
	for (ht_ms pause = 2000; pause <= 6000; pause += 500) {
		struct net *net = net_dc(14 + (uint64_t)pause, 3);

		net_freeze(net, 0, true);
		net_run(net, pause);
		net_freeze(net, 0, false);
		ck_assert_int_eq(net_owned(net, 0), 0);
		ck_assert_uint_ge(net->nodes[0].events[20], 1);
		net_run(net, 6000);
		ck_assert_int_eq(net_served(net), 6);
		net_free(net);
	}
}
END_TEST

/* Guards against moving targets after a pause shorter than the lease. */
START_TEST(short_pause_changes_nothing)
{
	struct net *net = net_dc(15, 3);
	int own = net_owned(net, 0);

	net_freeze(net, 0, true);
	net_run(net, 900);
	net_freeze(net, 0, false);
	ck_assert_int_eq(net_owned(net, 0), own);
	net_run(net, 3000);
	ck_assert_int_eq(net_owned(net, 0), own);
	ck_assert_int_eq(net_served(net), 6);
	net_free(net);
}
END_TEST

/* Guards against two owners when packets pass in one direction only. */
START_TEST(asymmetric_cut_keeps_one_owner)
{
	for (int drop = 0; drop < 2; drop++) {
		struct net *net = net_dc(16, 3);

		net->drop = drop;
		net_cut(net, 0, 1, true);
		net_run(net, 12000);
		ck_assert_int_eq(net_served(net), 6);
		net_cut(net, 0, 1, false);
		net_run(net, 6000);
		ck_assert_int_eq(net_served(net), 6);
		net_free(net);
	}
}
END_TEST

/* Guards against a live home losing targets when only the link between two members fails. */
START_TEST(pairwise_cut_moves_nothing)
{
	struct net *net = net_dc(17, 3);

	net_cut_both(net, 0, 1, true);
	net_run(net, 12000);
	ck_assert_int_eq(net->longest_gap, 0);
	net_cut_both(net, 0, 1, false);
	net_run(net, 6000);
	ck_assert_int_eq(net_served(net), 6);
	net_free(net);
}
END_TEST

/* Guards against a gap in service, or slots used twice, while a joining instance takes targets. */
START_TEST(joiner_takes_over_without_a_gap)
{
	struct net *net = net_dc(18, 3);

	net_add(net, "d", "salto");
	net_publish_list(net);
	net_start(net, 3);
	net_run(net, 3000);
	ck_assert_int_gt(net_owned(net, 3), 0);
	ck_assert_int_eq(net_served(net), 6);
	/* At the hand-over all three slots may be in use by the former owner. */
	ck_assert_int_le(net->longest_gap, MAX_RUN_MS);
	net_free(net);
}
END_TEST

/* Guards against a planned stop that leaves targets without an owner. */
START_TEST(leaver_hands_over_and_stops)
{
	for (int n = 2; n <= 4; n++) {
		struct net *net = net_dc(19, n);

		ht_core_stop(net->nodes[0].core);
		net_run(net, 100);
		ck_assert_int_eq(net_owned(net, 0), 0);
		net_run(net, 2200);
		ck_assert_int_eq(net_served(net), 6);
		ck_assert(!net->nodes[0].stopped);
		net_run(net, 3200);
		ck_assert(net->nodes[0].stopped);
		net_kill(net, 0, true);
		net_run(net, 3000);
		ck_assert_int_eq(net_served(net), 6);
		for (int i = 1; i < n; i++)
			ck_assert_uint_eq(net->nodes[i].events[20], 0);
		net_free(net);
	}
}
END_TEST

/* Guards against a stop that waits for a successor when the whole data centre stops. */
START_TEST(whole_data_centre_stops)
{
	struct net *net = net_dc(20, 3);

	for (int i = 0; i < 3; i++)
		ht_core_stop(net->nodes[i].core);
	net->load = false;
	net_run(net, 6000);
	for (int i = 0; i < 3; i++)
		ck_assert(net->nodes[i].stopped);
	net_free(net);
}
END_TEST

/* Guards against two owners when members disagree about which instances are live. */
START_TEST(claimants_with_different_views)
{
	for (uint64_t seed = 30; seed < 36; seed++) {
		struct net *net = net_dc(seed, 5);
		int b = 1 + (int)(seed % 3);

		net_cut_both(net, b, b + 1, true);
		net_run(net, seed % 2 ? 2600 : 100);
		net_kill(net, 0, seed % 2);
		net_run(net, 12000);
		net_cut_both(net, b, b + 1, false);
		net_run(net, 7000);
		ck_assert_int_eq(net_served(net), 6);
		net_free(net);
	}
}
END_TEST

/* Guards against more than one extra slot per isolated instance. */
START_TEST(isolated_minority_serves_one_slot_each)
{
	struct net *net = net_dc(21, 3);

	net_cut_both(net, 2, 0, true);
	net_cut_both(net, 2, 1, true);
	net_run(net, 5500);
	ck_assert_int_eq(net_served(net), 6);
	ck_assert_int_eq(net_owned(net, 2), 0);
	net_run(net, 8000);
	ck_assert_uint_eq(net->nodes[2].events[22], 1);
	for (int t = 0; t < 6; t++)
		ck_assert_uint_eq(node_slots(&net->nodes[2], t), 1);
	ck_assert_int_eq(net->peak, SLOTS + 1);
	net_cut_both(net, 2, 0, false);
	net_cut_both(net, 2, 1, false);
	net_run(net, 6000);
	ck_assert_uint_eq(net->nodes[2].events[23], 1);
	ck_assert_int_eq(net_served(net), 6);
	net_free(net);
}
END_TEST

/* Guards against two owners when outdated lists omit a live owner. */
START_TEST(unequal_lists_keep_the_bound)
{
	struct net *net = net_dc(22, 4);

	net->hidden[0][3] = net->hidden[1][2] = true;
	net_publish_list(net);
	net_run(net, 5000);
	ck_assert_int_eq(net_served(net), 6);
	net_kill(net, 3, false);
	net_run(net, 6000);
	ck_assert_int_eq(net_served(net), 6);
	net_start(net, 3);
	net_run(net, 6000);
	ck_assert_int_eq(net_served(net), 6);
	net_free(net);
}
END_TEST

static TCase *failures(void)
{
	TCase *tc = tcase_create("failures");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, proven_death_is_taken_over_after_the_hold);
	tcase_add_test(tc, silent_death_is_taken_over_after_lease_and_margin);
	tcase_add_test(tc, restart_of_the_only_peer_keeps_own_targets);
	tcase_add_test(tc, paused_home_has_lost_ownership_on_resume);
	tcase_add_test(tc, short_pause_changes_nothing);
	tcase_add_test(tc, asymmetric_cut_keeps_one_owner);
	tcase_add_test(tc, pairwise_cut_moves_nothing);
	tcase_add_test(tc, claimants_with_different_views);
	tcase_add_test(tc, isolated_minority_serves_one_slot_each);
	tcase_add_test(tc, unequal_lists_keep_the_bound);
	return tc;
}

static TCase *changes(void)
{
	TCase *tc = tcase_create("planned changes");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, cold_start_serves_all);
	tcase_add_test(tc, joiner_takes_over_without_a_gap);
	tcase_add_test(tc, leaver_hands_over_and_stops);
	tcase_add_test(tc, whole_data_centre_stops);
	return tc;
}

int main(void)
{
	Suite *s = suite_create("ownership");
	SRunner *sr = srunner_create(s);
	int failed;

	suite_add_tcase(s, failures());
	suite_add_tcase(s, changes());
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed != 0;
}
