/* Tests of routes that split their flows between services, and of routes that cannot be read. */
#include "core/split.h"
#include "tests/core/steering_world.h"
#include "tests/suite.h"

#include <math.h>

#define FLOWS 20000

/* Four standard deviations of a binomial share: exceeded once in 16,000 times. */
#define SIGMAS 4

static const struct ht_endpoint stock_at = {ADDRESS, STOCK_PORT};

static void put_split(uint64_t version, const struct ht_share_entry *shares, size_t count)
{
	struct ht_route_entry e = {.at = stock_at, .share_count = count};
	struct ht_route_table table = {
		.id = {version, rev(version)},
		.count = 1,
		.entries = &e,
		.share_count = count,
		.shares = (struct ht_share_entry *)shares,
	};

	ck_assert_int_eq(ht_catalog_set_routes(cat, &table), HT_CATALOG_CHANGED);
}

static void put_stock_and_docs(uint64_t version, uint32_t stock, uint32_t docs)
{
	const struct ht_share_entry shares[] = {{"stock", stock}, {"docs", docs}};

	put_split(version, shares, 2);
}

static struct ht_service *pick(uint32_t flow)
{
	return ht_split_pick(ht_catalog_route(cat, stock_at),
			     (struct ht_endpoint){.ip = 0x64400000 + flow / 50000,
						  .port = (uint16_t)(1024 + flow % 50000)});
}

static double share_of(const char *service)
{
	int n = 0;

	for (uint32_t i = 0; i < FLOWS; i++)
		n += strcmp(pick(i)->name, service) == 0;
	return (double)n / FLOWS;
}

START_TEST(flows_are_split_in_proportion_to_weights)
{
	static const uint32_t weights[][2] = {{90, 10}, {1, 1}, {1, 999}, {7, 4}, {100, 0}, {3, 0}};

	put_target(1, "stock", "here");
	put_target(2, "docs", "here");
	for (size_t i = 0; i < sizeof(weights) / sizeof(weights[0]); i++) {
		uint32_t stock = weights[i][0], docs = weights[i][1];
		double want = (double)stock / (stock + docs);

		put_stock_and_docs(i + 2, stock, docs);
		ck_assert_double_le(fabs(share_of("stock") - want),
				    SIGMAS * sqrt(want * (1 - want) / FLOWS));
	}
}
END_TEST

/* Routers send the copies of an opening packet to any instance, and instances know of the targets
 * at different times. */
START_TEST(instances_agree_on_the_service_of_a_flow)
{
	struct ht_service *first[100];

	put_target(1, "stock", "here");
	put_target(2, "docs", "here");
	put_stock_and_docs(2, 50, 50);
	for (uint32_t i = 0; i < 100; i++)
		first[i] = pick(i);
	put_target(3, "stock", "there");
	put_target(4, "docs", "there");
	for (uint32_t i = 0; i < 100; i++)
		ck_assert_ptr_eq(pick(i), first[i]);
}
END_TEST

START_TEST(service_without_targets_leaves_its_share_to_the_others)
{
	put_target(1, "docs", "here");
	put_stock_and_docs(2, 99, 1);
	ck_assert_double_eq(share_of("docs"), 1);
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 0).action, HT_STEER_FORWARD);
}
END_TEST

/* The operator has said that a service of weight 0 is to get nothing. */
START_TEST(weight_of_zero_gets_no_flow_even_without_another_target)
{
	put_target(1, "docs", "here");
	put_stock_and_docs(2, 100, 0);
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 0).reason, HT_STEER_NO_TARGET);
	put_stock_and_docs(3, 0, 0);
	ck_assert_int_eq(open_flow(2, STOCK_PORT, 0).reason, HT_STEER_NO_TARGET);
	ck_assert_int_eq(open_flow(2, STOCK_PORT, 0).action, HT_STEER_RESET);
}
END_TEST

START_TEST(open_flows_stay_when_weights_move)
{
	struct ht_steering_decision d;

	put_target(1, "stock", "here");
	put_target(2, "docs", "here");
	put_stock_and_docs(2, 100, 0);
	d = open_flow(1, STOCK_PORT, 0);
	for (uint64_t version = 3; version < 40; version++) {
		put_stock_and_docs(version, version % 2, 1);
		ck_assert_int_eq(send_marked(1, STOCK_PORT, d.mark, 100, 50).action,
				 HT_STEER_FORWARD);
	}
	put_routes(40);
	put_split(41, (const struct ht_share_entry[]){{"docs", 1}}, 1);
	ck_assert_int_eq(send_marked(1, STOCK_PORT, d.mark, 100, 50).action, HT_STEER_FORWARD);
}
END_TEST

START_TEST(mark_of_a_service_without_a_share_is_foreign)
{
	const struct ht_target *t = put_target(1, "other", "here");

	put_target(2, "stock", "here");
	put_stock_and_docs(2, 90, 10);
	ck_assert_int_eq(send_marked(1, STOCK_PORT, t->marks[0].value, 1, 1).reason,
			 HT_STEER_FOREIGN_TARGET);
}
END_TEST

static void put_unreadable(uint64_t version, bool incomplete, struct ht_endpoint at)
{
	struct ht_route_entry e = {.at = at, .unreadable = true};
	struct ht_route_table table = {.id = {version, rev(version)},
				       .count = !incomplete,
				       .entries = &e,
				       .incomplete = incomplete};

	ck_assert_int_eq(ht_catalog_set_routes(cat, &table), HT_CATALOG_CHANGED);
}

START_TEST(unreadable_route_keeps_its_former_meaning)
{
	put_target(1, "stock", "here");
	put_unreadable(5, false, stock_at);
	ck_assert_uint_eq(ht_catalog_routes(cat).version, 5);
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 0).action, HT_STEER_FORWARD);
	/* Routes that the readable configuration lacks are gone. */
	ck_assert_int_eq(open_flow(1, DOCS_PORT, 2).reason, HT_STEER_NO_ROUTE);
}
END_TEST

/* A reset would tell the caller that there is no such route. */
START_TEST(unknown_route_that_is_unreadable_is_not_refused)
{
	struct ht_endpoint new_at = {ADDRESS, 9000};
	struct ht_steering_decision d;

	put_target(1, "stock", "here");
	put_unreadable(5, false, new_at);
	d = open_flow(1, new_at.port, 2);
	ck_assert_int_eq(d.action, HT_STEER_DROP);
	ck_assert_int_eq(d.reason, HT_STEER_UNREADABLE_ROUTE);
}
END_TEST

START_TEST(incomplete_configuration_removes_and_refuses_nothing)
{
	put_target(1, "stock", "here");
	put_unreadable(5, true, stock_at);
	ck_assert_int_eq(open_flow(1, STOCK_PORT, 0).action, HT_STEER_FORWARD);
	ck_assert_int_eq(open_flow(1, 9000, 2).action, HT_STEER_DROP);
	put_routes(6);
	ck_assert_int_eq(open_flow(1, 9000, 2).action, HT_STEER_RESET);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("split");

	tcase_add_checked_fixture(tc, world_start, world_stop);
	tcase_add_test(tc, flows_are_split_in_proportion_to_weights);
	tcase_add_test(tc, instances_agree_on_the_service_of_a_flow);
	tcase_add_test(tc, service_without_targets_leaves_its_share_to_the_others);
	tcase_add_test(tc, weight_of_zero_gets_no_flow_even_without_another_target);
	tcase_add_test(tc, open_flows_stay_when_weights_move);
	tcase_add_test(tc, mark_of_a_service_without_a_share_is_foreign);
	tcase_add_test(tc, unreadable_route_keeps_its_former_meaning);
	tcase_add_test(tc, unknown_route_that_is_unreadable_is_not_refused);
	tcase_add_test(tc, incomplete_configuration_removes_and_refuses_nothing);
	return run_case("split", tc);
}
