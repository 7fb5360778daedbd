/* Tests of evacuated data centres: no new flow reaches their targets, open flows go on. */
#include "tests/core/steering_world.h"
#include "tests/suite.h"

#define LAPSE 4800

static void evacuate(const char *dc, bool on)
{
	ht_catalog_put_evacuation(cat, dc, on, rev(++revision), now);
}

static void begin_era(uint64_t era, uint64_t known)
{
	ht_catalog_begin_era(cat, era, known, now);
}

START_TEST(evacuated_targets_get_no_new_flow)
{
	put_target(1, "stock", "here");
	put_target(2, "stock", "there");
	evacuate("here", true);
	for (uint16_t i = 1; i <= 10; i++)
		ck_assert_str_eq(open_flow(i, STOCK_PORT, 0).target->dc->name, "there");
	evacuate("here", false);
	ck_assert_str_eq(open_flow(50, STOCK_PORT, 0).target->dc->name, "here");
}
END_TEST

/* Neither the copies of an opening packet nor a last resort may lead there. */
START_TEST(copies_of_opening_packets_avoid_evacuated_targets)
{
	put_target(1, "stock", "here");
	put_target(2, "stock", "there");
	ck_assert_str_eq(open_flow(1, STOCK_PORT, 0).target->dc->name, "here");
	evacuate("here", true);
	for (uint32_t copy = 1; copy <= 2; copy++) {
		now += 300;
		ck_assert_str_eq(open_flow(1, STOCK_PORT, copy).target->dc->name, "there");
	}
}
END_TEST

START_TEST(open_flows_of_evacuated_targets_go_on)
{
	struct ht_steering_decision d;

	put_target(1, "stock", "here");
	d = open_flow(1, STOCK_PORT, 0);
	evacuate("here", true);
	ck_assert_int_eq(send_marked(1, STOCK_PORT, d.mark, 100, 50).action, HT_STEER_FORWARD);
}
END_TEST

/* Nothing is to be sent there, so the caller is told at once. */
START_TEST(flow_is_refused_if_all_data_centres_are_evacuated)
{
	struct ht_steering_decision d;

	put_target(1, "stock", "here");
	put_target(2, "stock", "there");
	evacuate("here", true);
	evacuate("there", true);
	d = open_flow(1, STOCK_PORT, 0);
	ck_assert_int_eq(d.action, HT_STEER_RESET);
	ck_assert_int_eq(d.reason, HT_STEER_NO_TARGET);
}
END_TEST

START_TEST(target_that_comes_up_in_an_evacuated_data_centre_waits)
{
	const struct ht_target *t;

	evacuate("here", true);
	t = put_target(1, "stock", "here");
	ck_assert(!t->eligible);
	evacuate("here", false);
	ck_assert(t->eligible);
}
END_TEST

START_TEST(draining_and_gone_targets_stay_out_after_an_evacuation)
{
	struct ht_target_entry leaving = entry_of(1, "stock", "here");

	leaving.draining = true;
	ht_catalog_put_target(cat, &leaving, HT_CATALOG_STORE, now);
	put_target(2, "stock", "here");
	evacuate("here", true);
	ht_catalog_remove_target(cat, "i-1002", rev(++revision), now, now);
	evacuate("here", false);
	ck_assert(!ht_catalog_by_name(cat, "i-1001")->eligible);
	ck_assert(!ht_catalog_by_name(cat, "i-1002")->eligible);
}
END_TEST

START_TEST(late_answers_do_not_take_an_evacuation_back)
{
	const struct ht_target *t = put_target(1, "stock", "here");
	uint64_t before = ++revision;

	evacuate("here", true);
	ck_assert_int_eq(ht_catalog_put_evacuation(cat, "here", false, rev(before), now),
			 HT_CATALOG_OLDER);
	ht_catalog_begin_evacuations(cat);
	ht_catalog_end_evacuations(cat, rev(before), now);
	ck_assert(!t->eligible);
	ht_catalog_begin_evacuations(cat);
	ht_catalog_end_evacuations(cat, rev(++revision), now);
	ck_assert(t->eligible);
	ck_assert_uint_eq(ht_catalog_evacuations(cat).number, revision);
}
END_TEST

/* The operator writes it again; until then it must not look as if it had been taken back. */
START_TEST(evacuation_that_a_backup_lacks_stays_until_it_could_be_written_again)
{
	const struct ht_target *t = put_target(1, "stock", "here");

	evacuate("here", true);
	begin_era(1, revision);
	ht_catalog_begin_evacuations(cat);
	ht_catalog_end_evacuations(cat, rev_of(1, 50), now);
	ck_assert(!t->eligible);
	ck_assert_uint_eq(ht_catalog_evacuations(cat).era, 1);
	now += LAPSE;
	ht_catalog_readmit_restored(cat, now, LAPSE, now);
	ck_assert(t->eligible);
}
END_TEST

START_TEST(evacuation_written_again_in_a_new_era_stays)
{
	const struct ht_target *t = put_target(1, "stock", "here");

	evacuate("here", true);
	begin_era(1, revision);
	ht_catalog_begin_evacuations(cat);
	ht_catalog_put_evacuation(cat, "here", true, rev_of(1, 40), now);
	ht_catalog_end_evacuations(cat, rev_of(1, 50), now);
	now += LAPSE;
	ht_catalog_readmit_restored(cat, now, LAPSE, now);
	ck_assert(!t->eligible);
	ck_assert_int_eq(ht_catalog_put_evacuation(cat, "here", false, rev(9000), now),
			 HT_CATALOG_OLDER);
}
END_TEST

/* The operator takes it back again; until then it must not look as if it had been requested. */
START_TEST(evacuation_that_a_backup_brings_back_waits)
{
	const struct ht_target *t = put_target(1, "stock", "here");

	evacuate("here", true);
	evacuate("here", false);
	begin_era(1, revision);
	ht_catalog_note_era_revision(cat, rev_of(1, 300));
	ht_catalog_begin_evacuations(cat);
	ht_catalog_put_evacuation(cat, "here", true, rev_of(1, revision - 1), now);
	ht_catalog_end_evacuations(cat, rev_of(1, 300), now);
	ck_assert(t->eligible);
	now += LAPSE;
	ht_catalog_readmit_restored(cat, now, LAPSE, now);
	ck_assert(!t->eligible);
}
END_TEST

/* Found by the soak: one data centre's evacuation was lost with the store, and another one's was
 * requested before it could have been written again. */
START_TEST(unconfirmed_evacuation_does_not_take_the_last_targets)
{
	const struct ht_target *here = put_target(1, "stock", "here");
	const struct ht_target *there = put_target(2, "stock", "there");

	evacuate("here", true);
	begin_era(1, revision);
	ht_catalog_begin_evacuations(cat);
	ht_catalog_put_evacuation(cat, "there", true, rev_of(1, 40), now);
	ht_catalog_end_evacuations(cat, rev_of(1, 50), now);
	ck_assert(here->eligible && !there->eligible);
}
END_TEST

static void miss_all(struct ht_target *t, int times)
{
	for (int i = 0; i < times; i++)
		ht_evidence_miss(&t->dc->evidence, now, now);
}

/* The own data centre is evacuated, and then cut off from the others: the routers can send its
 * callers through other data centres only if this instance leaves the rotation. */
START_TEST(instance_is_stranded_if_all_other_data_centres_are_silent)
{
	struct ht_target *there = put_target(2, "stock", "there"), *far;

	put_target(1, "stock", "here");
	far = put_target(3, "stock", "far");
	miss_all(there, 5);
	miss_all(far, 5);
	ck_assert(!ht_catalog_is_stranded(cat, now));
	evacuate("here", true);
	ck_assert(ht_catalog_is_stranded(cat, now));
	ht_evidence_set_alive(&far->dc->evidence, now);
	ck_assert(!ht_catalog_is_stranded(cat, now));
	miss_all(far, 2);
	ck_assert(!ht_catalog_is_stranded(cat, now));
	miss_all(far, 2);
	ck_assert(ht_catalog_is_stranded(cat, now));
	now += 60000;
	ck_assert(!ht_catalog_is_stranded(cat, now));
}
END_TEST

/* It answers its callers with a refusal then. */
START_TEST(instance_without_any_target_is_not_stranded)
{
	put_target(1, "stock", "here");
	evacuate("here", true);
	ck_assert(!ht_catalog_is_stranded(cat, now));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("evacuation");

	tcase_add_checked_fixture(tc, world_start, world_stop);
	tcase_add_test(tc, evacuated_targets_get_no_new_flow);
	tcase_add_test(tc, copies_of_opening_packets_avoid_evacuated_targets);
	tcase_add_test(tc, open_flows_of_evacuated_targets_go_on);
	tcase_add_test(tc, flow_is_refused_if_all_data_centres_are_evacuated);
	tcase_add_test(tc, target_that_comes_up_in_an_evacuated_data_centre_waits);
	tcase_add_test(tc, draining_and_gone_targets_stay_out_after_an_evacuation);
	tcase_add_test(tc, late_answers_do_not_take_an_evacuation_back);
	tcase_add_test(tc, evacuation_that_a_backup_lacks_stays_until_it_could_be_written_again);
	tcase_add_test(tc, evacuation_written_again_in_a_new_era_stays);
	tcase_add_test(tc, instance_is_stranded_if_all_other_data_centres_are_silent);
	tcase_add_test(tc, instance_without_any_target_is_not_stranded);
	tcase_add_test(tc, evacuation_that_a_backup_brings_back_waits);
	tcase_add_test(tc, unconfirmed_evacuation_does_not_take_the_last_targets);
	return run_case("evacuation", tc);
}
