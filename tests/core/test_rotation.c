/* Tests of leaving the routers' rotation: an evacuated data centre, one that is cut off besides,
 * and one whose instances are the last that live. */
#include "core/rotation.h"
#include "tests/core/steering_world.h"
#include "tests/suite.h"

#define FRESH 1000
#define OLD 9000

static struct ht_neighbours *nb;

static void start(void)
{
	struct ht_neighbours_params np;

	world_start();
	ht_neighbours_params_default(&np);
	np.name = "own";
	np.dc = "here";
	np.size = 10;
	nb = ht_neighbours_new(&np, now);
	put_target(1, "stock", "here");
	put_target(2, "stock", "there");
}

static void stop(void)
{
	ht_neighbours_free(nb);
	world_stop();
}

static void hear(const char *name, const char *dc)
{
	struct ht_view_state view = {.usable = true};

	ht_neighbours_heard(nb, name, dc, (struct ht_endpoint){(uint32_t)name[0], 1}, 10, &view,
			    now);
}

static void evacuate(const char *dc, bool on)
{
	ht_catalog_put_evacuation(cat, dc, on, rev(++revision), now);
}

static enum ht_rotation decide(ht_ms view_age)
{
	return ht_rotation_decide(cat, nb, view_age, now);
}

START_TEST(evacuated_data_centre_leaves_while_another_one_serves)
{
	hear("a", "there");
	ck_assert_int_eq(decide(FRESH), HT_ROTATION_IN);
	evacuate("here", true);
	ck_assert_int_eq(decide(FRESH), HT_ROTATION_EVACUATED);
	evacuate("here", false);
	ck_assert_int_eq(decide(FRESH), HT_ROTATION_IN);
}
END_TEST

START_TEST(it_stays_if_no_target_is_left_elsewhere)
{
	hear("a", "there");
	evacuate("here", true);
	evacuate("there", true);
	ck_assert_int_eq(decide(FRESH), HT_ROTATION_IN);
}
END_TEST

/* The data centre is cut off: it hears nobody and its view grows old. */
START_TEST(it_stays_out_when_it_is_cut_off)
{
	hear("a", "there");
	evacuate("here", true);
	now += 20000;
	ck_assert_int_eq(decide(OLD), HT_ROTATION_EVACUATED);
}
END_TEST

/* Any number of instances may die; the routers then have no others. */
START_TEST(it_comes_back_when_all_instances_elsewhere_are_dead)
{
	hear("a", "there");
	hear("b", "here");
	evacuate("here", true);
	now += 5000;
	ck_assert_int_eq(decide(FRESH), HT_ROTATION_EVACUATED);
	now += 4000;
	hear("b", "here");
	ck_assert_int_eq(decide(FRESH), HT_ROTATION_IN);
	hear("a", "there");
	ck_assert_int_eq(decide(FRESH), HT_ROTATION_EVACUATED);
}
END_TEST

/* Instances whose own data centre is evacuated as well do not take over. */
START_TEST(instances_without_targets_near_them_do_not_count)
{
	put_target(3, "stock", "far");
	hear("a", "there");
	evacuate("here", true);
	evacuate("there", true);
	now += 10000;
	ck_assert_int_eq(decide(FRESH), HT_ROTATION_IN);
	hear("c", "far");
	ck_assert_int_eq(decide(FRESH), HT_ROTATION_EVACUATED);
}
END_TEST

/* An instance that starts while its data centre is cut off takes its view, which is still fresh,
 * from a neighbour. If it was ready, the routers would send it all callers of its data centre. */
START_TEST(instance_that_has_just_started_waits_for_the_others)
{
	hear("b", "here");
	evacuate("here", true);
	ck_assert_int_eq(decide(FRESH), HT_ROTATION_EVACUATED);
	now += 3000;
	ck_assert_int_eq(decide(FRESH), HT_ROTATION_EVACUATED);
	now += 6000;
	ck_assert_int_eq(decide(OLD), HT_ROTATION_EVACUATED);
	ck_assert_int_eq(decide(FRESH), HT_ROTATION_IN);
}
END_TEST

/* Here no greeting had come for a while before the cut. */
START_TEST(silence_before_a_cut_does_not_count)
{
	hear("a", "there");
	evacuate("here", true);
	now += 7500;
	ck_assert_int_eq(decide(3500), HT_ROTATION_EVACUATED);
	now += 3000;
	ck_assert_int_eq(decide(6500), HT_ROTATION_EVACUATED);
}
END_TEST

/* Its entries are there on purpose. */
START_TEST(data_centre_that_never_had_targets_stays)
{
	hear("a", "there");
	ht_catalog_remove_target(cat, "i-1001", rev(++revision), now, now);
	ck_assert_int_eq(decide(FRESH), HT_ROTATION_IN);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("rotation");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, evacuated_data_centre_leaves_while_another_one_serves);
	tcase_add_test(tc, it_stays_if_no_target_is_left_elsewhere);
	tcase_add_test(tc, it_stays_out_when_it_is_cut_off);
	tcase_add_test(tc, it_comes_back_when_all_instances_elsewhere_are_dead);
	tcase_add_test(tc, instances_without_targets_near_them_do_not_count);
	tcase_add_test(tc, instance_that_has_just_started_waits_for_the_others);
	tcase_add_test(tc, silence_before_a_cut_does_not_count);
	tcase_add_test(tc, data_centre_that_never_had_targets_stays);
	return run_case("rotation", tc);
}
