/* Tests of the limit on new flows of cold targets: a data centre that returns cold, targets that
 * may have restarted, services whose targets are all cold. */
#include "base/hash.h"
#include "tests/core/steering_world.h"
#include "tests/suite.h"

#define RATE 4 /* of a cold target, per second */
#define OVERAGE 1.5
#define SLACK 2
#define LIMIT 8 /* RATE * OVERAGE + SLACK */
#define WARMUP 2000
#define INSTANCES 20

static uint16_t next_caller;

static void limit_cold(uint64_t version, const char *service, bool unreadable)
{
	struct ht_service_entry services[] = {{.warmup_rate = RATE * 1000, .warmup = WARMUP}};
	struct ht_route_entry entries[] = {
		{.at = {ADDRESS, STOCK_PORT}, .service = "stock", .idempotent = true}};
	struct ht_route_table table = {.id = {version, rev(version)},
				       .count = 1,
				       .entries = entries,
				       .service_count = service ? 1 : 0,
				       .services = services};

	services[0].unreadable = unreadable;
	services[0].name = service ? service : "";
	ht_catalog_set_routes(cat, &table);
}

static void start(void)
{
	world_start();
	limit_cold(10, "stock", false);
	ht_steering_set_bounds(st, &(struct ht_steering_bounds){.routes = HT_NEVER,
								.targets = HT_NEVER,
								.warmup_overage = OVERAGE,
								.warmup_slack = SLACK});
	ht_steering_set_peers(st, 1, NULL, 0);
	next_caller = 1;
}

static struct ht_target *put_cold(int i, const char *dc)
{
	struct ht_target_entry e = entry_of(i, "stock", dc);

	e.warmup = WARMUP;
	ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
	return ht_catalog_by_name(cat, e.name);
}

/* Number of @flows new flows, spread over @duration, that reach @t. */
static unsigned int flows_to(const struct ht_target *t, unsigned int flows, ht_ms duration)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < flows; i++) {
		n += open_flow(next_caller++, STOCK_PORT, 0).target == t;
		now += duration / flows;
	}
	return n;
}

START_TEST(cold_target_gets_its_limit_and_no_more)
{
	const struct ht_target *t = put_cold(1, "here");

	ck_assert_uint_eq(flows_to(t, 200, 1000), LIMIT);
}
END_TEST

START_TEST(other_targets_take_what_a_cold_one_must_not_get)
{
	const struct ht_target *cold = put_cold(1, "here");
	unsigned int n = 0;

	put_target(2, "stock", "there");
	for (int i = 0; i < 100; i++)
		n += open_flow(next_caller++, STOCK_PORT, 0).target == cold;
	ck_assert_uint_le(n, LIMIT);
	ck_assert_uint_gt(n, 0);
}
END_TEST

START_TEST(limit_ends_with_the_warm_up)
{
	const struct ht_target *t = put_cold(1, "here");

	now += WARMUP;
	ck_assert_uint_eq(flows_to(t, 100, 1000), 100);
}
END_TEST

/* Copies of an opening packet count like any other, and a last copy gets no exception. */
START_TEST(callers_of_cold_targets_wait_for_a_permit_and_are_refused_in_the_end)
{
	struct ht_steering_decision d;

	put_cold(1, "here");
	for (int i = 0; i < LIMIT; i++)
		open_flow(next_caller++, STOCK_PORT, 0);
	d = open_flow(900, STOCK_PORT, 0);
	ck_assert_int_eq(d.action, HT_STEER_DROP);
	ck_assert_int_eq(d.reason, HT_STEER_ALL_COLD);
	now += 200;
	ck_assert_int_eq(open_flow(900, STOCK_PORT, 1).reason, HT_STEER_ALL_COLD);
	now += 400;
	d = open_flow(900, STOCK_PORT, 2);
	ck_assert_int_eq(d.action, HT_STEER_RESET);
	ck_assert_int_eq(d.reason, HT_STEER_NO_TARGET);
	now += 600;
	ck_assert_int_eq(open_flow(901, STOCK_PORT, 0).action, HT_STEER_FORWARD);
}
END_TEST

/* A copy that was queued with the one before says nothing about the target. */
START_TEST(queued_copy_beyond_the_limit_is_no_miss)
{
	const struct ht_target *t = put_cold(1, "here");

	for (int i = 0; i < LIMIT; i++)
		open_flow(next_caller++, STOCK_PORT, 0);
	now += 10;
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 1).reason, HT_STEER_ALL_COLD);
	ck_assert_uint_eq(t->evidence.misses, 0);
}
END_TEST

START_TEST(targets_of_other_data_centres_are_left_to_their_instances)
{
	put_cold(1, "there");
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 0).reason, HT_STEER_ALL_COLD);
}
END_TEST

START_TEST(instance_that_does_not_know_its_peers_yet_sends_nothing)
{
	struct ht_steering *fresh = ht_steering_new(&params), *known = st;

	put_cold(1, "here");
	st = fresh;
	ht_steering_set_view_complete(st, true);
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 0).reason, HT_STEER_ALL_COLD);
	ht_steering_free(fresh);
	st = known;
}
END_TEST

START_TEST(data_centre_is_cold_when_its_evacuation_ends)
{
	const struct ht_target *t = put_target(1, "stock", "here");

	ht_catalog_put_evacuation(cat, "here", true, rev(++revision), now);
	now += 8000;
	ht_catalog_put_evacuation(cat, "here", false, rev(++revision), now);
	ck_assert_uint_eq(flows_to(t, 200, 1000), LIMIT);
}
END_TEST

START_TEST(target_that_answers_after_a_silence_may_have_restarted)
{
	const struct ht_target *t = put_target(1, "stock", "here");
	struct ht_steering_decision d;

	for (uint32_t copy = 0; copy <= 2; copy++) {
		d = open_flow(500, STOCK_PORT, copy);
		now += 300;
	}
	send_marked(500, STOCK_PORT, d.mark, 100, 50);
	ck_assert_int_gt(t->warmup_ends_at, now);
}
END_TEST

START_TEST(services_without_a_rate_have_no_limit)
{
	const struct ht_target *t = put_cold(1, "here");

	limit_cold(11, NULL, false);
	ck_assert_uint_eq(flows_to(t, 100, 1000), 100);
}
END_TEST

START_TEST(rate_that_cannot_be_read_keeps_its_former_value)
{
	const struct ht_target *t = put_cold(1, "here");

	limit_cold(11, "stock", true);
	ck_assert_uint_eq(flows_to(t, 100, 1000), LIMIT);
}
END_TEST

/* Instances whose sets differ, as one has just died or joined, but contain all that send. */
START_TEST(permits_of_all_instances_add_up_to_the_limit_at_most)
{
	uint64_t names[INSTANCES + 5];
	uint32_t sum = 0;

	for (uint64_t i = 0; i < INSTANCES + 5; i++)
		names[i] = ht_hash_pair(i, 77);
	for (size_t i = 0; i < INSTANCES; i++) {
		struct ht_warmup_peers peers = {.own = names[i]};
		uint64_t others[INSTANCES + 5];
		size_t n = 0;

		for (size_t k = 0; k < INSTANCES + i % 6; k++)
			if (k != i)
				others[n++] = names[k];
		ck_assert(ht_warmup_set_peers(&peers, others, n));
		sum += ht_warmup_permits(&peers, 4711, 30);
		ht_warmup_clear_peers(&peers);
	}
	ck_assert_uint_le(sum, 30);
	ck_assert_uint_gt(sum, 20);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("warmup");

	tcase_add_checked_fixture(tc, start, world_stop);
	tcase_add_test(tc, cold_target_gets_its_limit_and_no_more);
	tcase_add_test(tc, other_targets_take_what_a_cold_one_must_not_get);
	tcase_add_test(tc, limit_ends_with_the_warm_up);
	tcase_add_test(tc, callers_of_cold_targets_wait_for_a_permit_and_are_refused_in_the_end);
	tcase_add_test(tc, queued_copy_beyond_the_limit_is_no_miss);
	tcase_add_test(tc, targets_of_other_data_centres_are_left_to_their_instances);
	tcase_add_test(tc, instance_that_does_not_know_its_peers_yet_sends_nothing);
	tcase_add_test(tc, data_centre_is_cold_when_its_evacuation_ends);
	tcase_add_test(tc, target_that_answers_after_a_silence_may_have_restarted);
	tcase_add_test(tc, services_without_a_rate_have_no_limit);
	tcase_add_test(tc, rate_that_cannot_be_read_keeps_its_former_value);
	tcase_add_test(tc, permits_of_all_instances_add_up_to_the_limit_at_most);
	return run_case("warmup", tc);
}
