/* Tests of the catalogue: revisions, listings, holds and marks. */
#include "tests/core/steering_world.h"
#include "tests/suite.h"

START_TEST(older_revisions_are_ignored)
{
	struct ht_target_entry ready = entry_of(1, "stock", "here");
	struct ht_target_entry leaving = entry_of(1, "stock", "here");

	leaving.draining = true;
	ck_assert_int_eq(ht_catalog_put_target(cat, &leaving, HT_CATALOG_STORE, now),
			 HT_CATALOG_CHANGED);
	ck_assert_int_eq(ht_catalog_put_target(cat, &ready, HT_CATALOG_STORE, now),
			 HT_CATALOG_OLDER);
	ck_assert(ht_catalog_by_name(cat, "i-1001")->draining);
	ht_catalog_remove_target(cat, "i-1001", rev(++revision), now, now);
	ck_assert_int_eq(ht_catalog_put_target(cat, &leaving, HT_CATALOG_STORE, now),
			 HT_CATALOG_OLDER);
	ck_assert_int_ne(ht_catalog_by_name(cat, "i-1001")->gone_at, HT_NEVER);
	put_routes(5);
	put_routes(3);
	ck_assert_uint_eq(ht_catalog_routes(cat).version, 5);
	ck_assert_int_eq(ht_catalog_remove_target(cat, "i-9999", rev(1), now, now),
			 HT_CATALOG_SAME);
}
END_TEST

/* Regression found by prop_steering: a second deletion did not raise the revision. */
START_TEST(second_deletion_raises_the_revision)
{
	struct ht_target_entry between;

	put_target(1, "stock", "here");
	ht_catalog_remove_target(cat, "i-1001", rev(++revision), now, now);
	between = entry_of(1, "stock", "here");
	ht_catalog_remove_target(cat, "i-1001", rev(++revision), now, now);
	ck_assert_int_eq(ht_catalog_put_target(cat, &between, HT_CATALOG_STORE, now),
			 HT_CATALOG_OLDER);
	ck_assert(!ht_catalog_by_name(cat, "i-1001")->eligible);
}
END_TEST

/* Guards against a target that stays out of use because an instance of an earlier build, which
 * could not read its entry, has told of its removal. */
START_TEST(store_has_the_entry_that_was_told_to_be_gone)
{
	struct ht_target_entry e;

	put_target(1, "stock", "here");
	e = entry_of(1, "docs", "here");
	ht_catalog_remove_target(cat, "i-1001", e.revision, now, now);
	ck_assert_int_eq(ht_catalog_put_target(cat, &e, HT_CATALOG_NEIGHBOUR, now),
			 HT_CATALOG_SAME);
	ck_assert_int_eq(ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now), HT_CATALOG_CHANGED);
	ck_assert(ht_catalog_by_name(cat, "i-1001")->eligible);
	ck_assert_str_eq(ht_catalog_by_name(cat, "i-1001")->service->name, "docs");
}
END_TEST

/* A newer object revision must not replace a configuration of a higher version. */
START_TEST(lower_version_is_ignored)
{
	struct ht_route_table table = {.id = {4, rev(50)}};

	put_routes(5);
	ck_assert_int_eq(ht_catalog_set_routes(cat, &table), HT_CATALOG_OLDER);
	ck_assert_uint_eq(ht_catalog_route_count(cat), 3);
}
END_TEST

START_TEST(routes_missing_in_a_new_configuration_are_removed)
{
	struct ht_route_entry e = {.at = {ADDRESS, 9000}, .service = "docs"};
	struct ht_route_table table = {.id = {9, rev(90)}, .count = 1, .entries = &e};

	ck_assert_ptr_nonnull(ht_catalog_route(cat, (struct ht_endpoint){ADDRESS, STOCK_PORT}));
	ck_assert_int_eq(ht_catalog_set_routes(cat, &table), HT_CATALOG_CHANGED);
	ck_assert_ptr_null(ht_catalog_route(cat, (struct ht_endpoint){ADDRESS, STOCK_PORT}));
	ck_assert_ptr_nonnull(ht_catalog_route(cat, e.at));
	ck_assert_uint_eq(ht_catalog_route_count(cat), 1);
}
END_TEST

START_TEST(listing_removes_only_older_targets_that_it_lacks)
{
	uint64_t listed_at;

	put_target(1, "stock", "here");
	put_target(2, "stock", "here");
	listed_at = revision;
	ht_catalog_begin_listing(cat, HT_CATALOG_STORE);
	put_target(3, "stock", "here"); /* changed after the listing */
	ht_catalog_by_name(cat, "i-1003")->listing_sources = 0;
	ht_catalog_mark_present(cat, "i-1002", HT_CATALOG_STORE);
	ck_assert_uint_eq(ht_catalog_end_listing(cat, HT_CATALOG_STORE, rev(listed_at), now, now),
			  1);
	ck_assert(!ht_catalog_by_name(cat, "i-1001")->eligible);
	ck_assert(ht_catalog_by_name(cat, "i-1002")->eligible);
	ck_assert(ht_catalog_by_name(cat, "i-1003")->eligible);
}
END_TEST

/* Entries of live targets expire while they cannot reach the store; these stay in use. */
START_TEST(target_with_expired_entry_is_used_until_the_hold_ends)
{
	const struct ht_target *t = put_target(1, "stock", "here");

	ht_catalog_remove_target(cat, "i-1001", rev(++revision), now, now + 2000);
	ck_assert(t->eligible);
	ht_catalog_expire(cat, now + 1999, 60000);
	ck_assert(t->eligible);
	ht_catalog_expire(cat, now + 2000, 60000);
	ck_assert(!t->eligible);
	put_target(1, "stock", "here");
	ck_assert(t->eligible);
}
END_TEST

START_TEST(missing_target_is_freed_after_the_keep_time)
{
	struct ht_revision before;

	put_target(1, "stock", "here");
	ht_catalog_begin_listing(cat, HT_CATALOG_STORE);
	put_target(1, "stock", "here");
	ht_catalog_end_listing(cat, HT_CATALOG_STORE, rev(revision), now, now);
	before = ht_catalog_history_start(cat);
	ht_catalog_remove_target(cat, "i-1001", rev(++revision), now, now);
	ht_catalog_expire(cat, now + 59999, 60000);
	ck_assert_ptr_nonnull(ht_catalog_by_name(cat, "i-1001"));
	ck_assert(ht_revision_equal(ht_catalog_history_start(cat), before));
	ht_catalog_expire(cat, now + 60000, 60000);
	ck_assert_ptr_null(ht_catalog_by_name(cat, "i-1001"));
	/* Differences can no longer include this deletion. */
	ck_assert(ht_revision_equal(ht_catalog_history_start(cat), rev(revision)));
}
END_TEST

/* Failures of the previous process of a target must not count against the new one. */
START_TEST(restart_resets_the_evidence_of_a_target)
{
	struct ht_target *t = put_target(1, "stock", "here");
	struct ht_target_entry e = entry_of(1, "stock", "here");

	ht_evidence_miss(&t->evidence, now, now);
	e.started += 5000;
	ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
	ck_assert(!ht_evidence_suspected(&t->evidence, now));
}
END_TEST

static int by_mark(const void *a, const void *b)
{
	const uint64_t *x = a, *y = b;

	return *x < *y ? -1 : *x > *y;
}

#define IDS 200000

/* The ids of two targets may hash to the same mark. */
START_TEST(colliding_marks_are_not_used_for_new_flows)
{
	static uint64_t pairs[IDS];
	struct ht_target *a, *b;
	uint64_t found = 0;

	for (uint64_t i = 0; i < IDS; i++) {
		struct ht_target_entry e = entry_of(1, "stock", "here");

		e.id = i + 1;
		ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
		a = ht_catalog_by_name(cat, e.name);
		pairs[i] = (uint64_t)a->marks[0].value << 32 | (i + 1);
		ht_catalog_remove_target(cat, e.name, rev(++revision), now, now);
		ht_catalog_expire(cat, now + 1, 0);
	}
	qsort(pairs, IDS, sizeof(pairs[0]), by_mark);
	for (uint64_t i = 1; i < IDS && !found; i++)
		if (pairs[i] >> 32 == pairs[i - 1] >> 32)
			found = i;
	ck_assert_uint_gt(found, 0);
	for (int k = 0; k < 2; k++) {
		struct ht_target_entry e = entry_of(k, "stock", "here");

		e.id = (uint32_t)pairs[found - (unsigned int)k];
		ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
	}
	a = ht_catalog_by_name(cat, "i-1000");
	b = ht_catalog_by_name(cat, "i-1001");
	ck_assert_uint_eq(a->marks[0].value, b->marks[0].value);
	ck_assert_uint_ne(ht_catalog_unique_mark(cat, a), ht_catalog_unique_mark(cat, b));
	ck_assert_ptr_eq(ht_catalog_by_mark(cat, ht_catalog_unique_mark(cat, a)), a);
	ck_assert_ptr_eq(ht_catalog_by_mark(cat, ht_catalog_unique_mark(cat, b)), b);
	/* Flows opened before the second target was added belong to the first. */
	ck_assert_ptr_eq(ht_catalog_by_mark(cat, a->marks[0].value), a);
}
END_TEST

static void check_sums(const struct ht_service *s)
{
	uint64_t open = 0, slots = 0;

	for (size_t i = 0; i < s->count; i++) {
		const struct ht_target *t = s->targets[i];

		ck_assert_ptr_eq(t->service, s);
		ck_assert_uint_eq(t->service_index, i);
		open += t->open;
		slots += t->dc->local ? t->slots : 0;
	}
	ck_assert_uint_eq(s->open, open);
	ck_assert_uint_eq(s->local_slots, slots);
}

static void check_service(void *ctx, const struct ht_service *s)
{
	(void)ctx;
	check_sums(s);
}

/* The sums must stay correct when targets change while they have open flows. */
START_TEST(sums_of_a_service_match_its_targets)
{
	static const char *const services[] = {"stock", "docs"}, *const dcs[] = {"here", "there"};
	unsigned int random = 1;

	for (int i = 0; i < 20000; i++) {
		struct ht_target_entry e;
		struct ht_target *t;

		random = random * 1103515245U + 12345U;
		e = entry_of((int)(random >> 16) % 12, services[random >> 20 & 1],
			     dcs[random >> 21 & 1]);
		e.slots = 1 + (random >> 22) % 4;
		e.draining = (random >> 24) % 4 == 0;
		t = ht_catalog_by_name(cat, e.name);
		switch ((random >> 26) % 5) {
		case 0:
			ht_catalog_remove_target(cat, e.name, e.revision, now, now + 50);
			break;
		case 1:
			if (t)
				ht_target_count_open(t, 1);
			break;
		case 2:
			if (t && t->open)
				ht_target_count_open(t, -1);
			break;
		default:
			ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
		}
		now += 10;
		ht_catalog_expire(cat, now, 1000000000);
		ht_catalog_each_service(cat, check_service, NULL);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("catalog");

	tcase_add_checked_fixture(tc, world_start, world_stop);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, older_revisions_are_ignored);
	tcase_add_test(tc, second_deletion_raises_the_revision);
	tcase_add_test(tc, store_has_the_entry_that_was_told_to_be_gone);
	tcase_add_test(tc, lower_version_is_ignored);
	tcase_add_test(tc, routes_missing_in_a_new_configuration_are_removed);
	tcase_add_test(tc, listing_removes_only_older_targets_that_it_lacks);
	tcase_add_test(tc, target_with_expired_entry_is_used_until_the_hold_ends);
	tcase_add_test(tc, missing_target_is_freed_after_the_keep_time);
	tcase_add_test(tc, restart_resets_the_evidence_of_a_target);
	tcase_add_test(tc, colliding_marks_are_not_used_for_new_flows);
	tcase_add_test(tc, sums_of_a_service_match_its_targets);
	return run_case("catalog", tc);
}
