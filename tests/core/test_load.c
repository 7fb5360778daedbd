/* Loads and faults on many instances at once, without network. Each test names its pattern. */
#include "bench/flowsim.h"
#include "tests/suite.h"

#define WARM_MS 3500

static struct flowsim_params params;
static struct flowsim *sim;
static struct flowsim_sums sums;

static void begin(void)
{
	sim = flowsim_new(&params);
	flowsim_run(sim, WARM_MS);
	flowsim_clear(sim);
}

static void play(ht_ms ms)
{
	flowsim_clear(sim);
	flowsim_run(sim, ms);
	flowsim_sums(sim, &sums);
}

static void start(void)
{
	flowsim_params_default(&params);
	sim = NULL;
}

static void stop(void)
{
	if (sim)
		flowsim_free(sim);
}

static double share(uint64_t part, uint64_t whole)
{
	return (double)part / (double)whole;
}

/* Pattern: twice as many requests as all targets can serve, for longer than any time limit. */
START_TEST(overload_keeps_the_targets_at_work)
{
	params.load = 2;
	begin();
	play(6000);
	ck_assert(sums.served >= 0.9 * sums.capacity);
}
END_TEST

/* Pattern: a burst of three times the capacity for a second, then an ordinary load. */
START_TEST(burst_is_over_when_its_requests_are)
{
	begin();
	flowsim_set_load(sim, 3);
	flowsim_run(sim, 1000);
	flowsim_set_load(sim, 0.4);
	flowsim_run(sim, params.deadline);
	play(3000);
	ck_assert_uint_eq(sums.failed, 0);
	ck_assert(sums.wait_p99 <= 4 * params.work_ms);
}
END_TEST

/* Pattern: half of the targets die; the others can carry the load, at 0.8 of what they can do. */
START_TEST(half_of_the_targets_carry_the_load)
{
	begin();
	flowsim_set_fault(sim, params.targets / 2, FLOWSIM_DEAD);
	play(3000);
	/* Requests that ran at a dead target can only be begun again by their caller. */
	ck_assert(share(sums.failed, sums.asked) <= 0.02);
	play(3000);
	ck_assert(share(sums.failed, sums.asked) <= 0.002);
	ck_assert(share(sums.lost, sums.asked) <= 0.02);
}
END_TEST

/* Pattern: the dead half comes back, cold: it is used, but not flooded. */
START_TEST(targets_that_return_cold_are_taken_in)
{
	begin();
	flowsim_set_fault(sim, params.targets / 2, FLOWSIM_DEAD);
	flowsim_run(sim, 3000);
	flowsim_restart(sim, params.targets / 2);
	play(3000);
	ck_assert_uint_eq(sums.failed, 0);
	ck_assert_uint_eq(sums.shed, 0);
}
END_TEST

/* Pattern: speeds from 0.6 to 1.7 of the usual, at 0.8 of what all can do. */
START_TEST(slow_targets_get_less)
{
	params.load = 0.8;
	params.speed_min = 0.6;
	params.speed_max = 1.7;
	begin();
	play(5000);
	ck_assert_uint_eq(sums.failed, 0);
	ck_assert_uint_eq(sums.shed, 0);
	ck_assert(sums.wait_p99 <= 6 * params.work_ms);
}
END_TEST

/* Pattern: nothing is wrong; no good target is left out for long. */
START_TEST(good_targets_are_not_doubted)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		params.seed = seed;
		params.load = 0.7;
		begin();
		play(3000);
		ck_assert(sums.doubted <= 0.01);
		flowsim_free(sim);
		sim = NULL;
	}
}
END_TEST

static struct flowsim_sums with_fault(enum flowsim_belief belief, enum flowsim_fault fault)
{
	params.belief = belief;
	begin();
	flowsim_set_fault(sim, 4, fault);
	play(5000);
	flowsim_free(sim);
	sim = NULL;
	return sums;
}

/* Patterns: four of 18 targets are dead, hang, or go up and down. */
START_TEST(shared_evidence_finds_silent_targets_first)
{
	static const enum flowsim_fault faults[] = {FLOWSIM_DEAD, FLOWSIM_HANGS, FLOWSIM_FLAPS};

	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		struct flowsim_sums own = with_fault(FLOWSIM_OWN, faults[i]);
		struct flowsim_sums shared = with_fault(FLOWSIM_SHARED, faults[i]);
		struct flowsim_sums probe = with_fault(FLOWSIM_PROBE, faults[i]);

		ck_assert(shared.missed == 0);
		ck_assert(shared.detected <= 1000);
		ck_assert(shared.detected < own.detected);
		ck_assert_uint_lt(shared.lost, own.lost);
		ck_assert_uint_lt(shared.lost * 3, probe.lost);
		ck_assert(shared.doubted <= 0.01);
	}
}
END_TEST

/* Patterns: targets whose probe is good answer with errors or take five times as long. */
START_TEST(good_probe_hides_nothing)
{
	static const enum flowsim_fault faults[] = {FLOWSIM_ERRORS, FLOWSIM_SLOW};

	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		struct flowsim_sums shared = with_fault(FLOWSIM_SHARED, faults[i]);
		struct flowsim_sums probe = with_fault(FLOWSIM_PROBE, faults[i]);

		ck_assert_uint_lt(shared.lost * 5, probe.lost);
		ck_assert_uint_le(shared.failed, probe.failed);
	}
}
END_TEST

/* Pattern: the probe says ill, and the target works. */
START_TEST(bad_probe_costs_nothing)
{
	struct flowsim_sums shared = with_fault(FLOWSIM_SHARED, FLOWSIM_ILL_ONLY);

	ck_assert_uint_eq(shared.failed, 0);
	ck_assert(shared.doubted <= 0.01);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("load");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, overload_keeps_the_targets_at_work);
	tcase_add_test(tc, burst_is_over_when_its_requests_are);
	tcase_add_test(tc, half_of_the_targets_carry_the_load);
	tcase_add_test(tc, targets_that_return_cold_are_taken_in);
	tcase_add_test(tc, slow_targets_get_less);
	tcase_add_test(tc, good_targets_are_not_doubted);
	tcase_add_test(tc, shared_evidence_finds_silent_targets_first);
	tcase_add_test(tc, good_probe_hides_nothing);
	tcase_add_test(tc, bad_probe_costs_nothing);
	return run_case("load", tc);
}
