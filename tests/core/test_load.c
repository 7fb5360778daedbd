/* Load and faults on many simulated instances, without network. */
#include "bench/flowsim.h"
#include "tests/suite.h"

#define WARM_MS 3500

static struct flowsim_params params;
static struct flowsim *sim;
static struct flowsim_sums sums;

static void start_and_warm_up(void)
{
	sim = flowsim_new(&params);
	flowsim_run(sim, WARM_MS);
	flowsim_clear(sim);
}

static void measure(ht_ms ms)
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

/* Twice the capacity of all targets, for longer than any timeout. */
START_TEST(overload_keeps_the_targets_busy)
{
	params.load = 2;
	start_and_warm_up();
	measure(6000);
	ck_assert(sums.served >= 0.9 * sums.capacity);
}
END_TEST

/* A burst of three times the capacity for a second, then normal load. */
START_TEST(burst_has_no_lasting_effect)
{
	start_and_warm_up();
	flowsim_set_load(sim, 3);
	flowsim_run(sim, 1000);
	flowsim_set_load(sim, 0.4);
	flowsim_run(sim, params.deadline);
	measure(3000);
	ck_assert_uint_eq(sums.failed, 0);
	ck_assert(sums.wait_p99 <= 4 * params.work_ms);
}
END_TEST

/* Half of the targets die; the load is 0.8 of the capacity of the others. */
START_TEST(half_of_the_targets_carry_the_load)
{
	start_and_warm_up();
	flowsim_set_fault(sim, params.targets / 2, FLOWSIM_DEAD);
	measure(3000);
	/* A request that was running at a dead target can only be retried by its caller. */
	ck_assert(share(sums.failed, sums.asked) <= 0.02);
	measure(3000);
	ck_assert(share(sums.failed, sums.asked) <= 0.002);
	ck_assert(share(sums.lost, sums.asked) <= 0.02);
}
END_TEST

/* The dead half restarts cold: it is used again, but not overloaded. */
START_TEST(restarted_cold_targets_are_used_again)
{
	start_and_warm_up();
	flowsim_set_fault(sim, params.targets / 2, FLOWSIM_DEAD);
	flowsim_run(sim, 3000);
	flowsim_restart(sim, params.targets / 2);
	measure(3000);
	ck_assert_uint_eq(sums.failed, 0);
	ck_assert_uint_eq(sums.shed, 0);
}
END_TEST

/* Targets with 0.6 to 1.7 times the normal speed, at 0.8 of the total capacity. */
START_TEST(slow_targets_get_less)
{
	params.load = 0.8;
	params.speed_min = 0.6;
	params.speed_max = 1.7;
	start_and_warm_up();
	measure(5000);
	ck_assert_uint_eq(sums.failed, 0);
	ck_assert_uint_eq(sums.shed, 0);
	ck_assert(sums.wait_p99 <= 6 * params.work_ms);
}
END_TEST

/* No faults: healthy targets are hardly ever suspected. */
START_TEST(healthy_targets_are_not_suspected)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		params.seed = seed;
		params.load = 0.7;
		start_and_warm_up();
		measure(3000);
		ck_assert(sums.doubted <= 0.01);
		flowsim_free(sim);
		sim = NULL;
	}
}
END_TEST

static struct flowsim_sums with_fault(enum flowsim_belief belief, enum flowsim_fault fault)
{
	params.belief = belief;
	start_and_warm_up();
	flowsim_set_fault(sim, 4, fault);
	measure(5000);
	flowsim_free(sim);
	sim = NULL;
	return sums;
}

/* Four of 18 targets are dead, hang, or alternate between up and down. */
START_TEST(shared_reports_detect_silent_targets_first)
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

/* Targets with successful health probes answer with errors, or take five times as long. */
START_TEST(successful_probe_hides_no_fault)
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

/*
 * A large fleet before many targets with short work, of which some answer 0.4 of their requests by
 * an error at once. Each instance meets a target once in seconds, and the time of an answer is
 * mostly that of the network, so such targets must not look like the fastest ones.
 */
START_TEST(targets_that_fail_at_once_are_not_preferred)
{
	double errors;

	params.instances = 80;
	params.targets = 120;
	params.load = 0.05;
	params.work_ms = 15;
	params.one_way = 3;
	params.error_share = 0.4;
	params.speed_min = 0.6;
	params.speed_max = 1.6;
	start_and_warm_up();
	flowsim_run(sim, 4000);
	flowsim_set_fault(sim, 18, FLOWSIM_ERRORS);
	measure(6000);
	/* If all targets got the same share, 0.4 of 15 % of the requests would fail. */
	errors = share(sums.errors, sums.asked);

	ck_assert_msg(errors <= 0.03, "%.4f", errors);
	ck_assert(share(sums.failed, sums.asked) <= 0.002);
}
END_TEST

/* The health probe fails although the target works. */
START_TEST(failed_probe_alone_has_no_effect)
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
	tcase_add_test(tc, overload_keeps_the_targets_busy);
	tcase_add_test(tc, burst_has_no_lasting_effect);
	tcase_add_test(tc, half_of_the_targets_carry_the_load);
	tcase_add_test(tc, restarted_cold_targets_are_used_again);
	tcase_add_test(tc, slow_targets_get_less);
	tcase_add_test(tc, healthy_targets_are_not_suspected);
	tcase_add_test(tc, shared_reports_detect_silent_targets_first);
	tcase_add_test(tc, successful_probe_hides_no_fault);
	tcase_add_test(tc, targets_that_fail_at_once_are_not_preferred);
	tcase_add_test(tc, failed_probe_alone_has_no_effect);
	return run_case("load", tc);
}
