/* Tests of the catalogue: revisions, listings, holds and marks. */
#include "tests/core/steering_world.h"
#include "tests/suite.h"

START_TEST(older_answers_take_nothing_back)
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

/* Found by prop_steering: a second deletion did not raise the revision. */
START_TEST(later_deletion_outweighs_what_came_before_it)
{
	struct ht_target_entry between;

	put_target(1, "stock", "here");
	ht_catalog_remove_target(cat, "i-1001", rev(++revision), now, now);
	between = entry_of(1, "stock", "here");
	ht_catalog_remove_target(cat, "i-1001", rev(++revision), now, now);
	ck_assert_int_eq(ht_catalog_put_target(cat, &between, HT_CATALOG_STORE, now),
			 HT_CATALOG_OLDER);
	ck_assert(!ht_catalog_by_name(cat, "i-1001")->listed);
}
END_TEST

/* Guards against a version that falls although the object's revision rises. */
START_TEST(version_never_falls)
{
	struct ht_route_table table = {.id = {4, rev(50)}};

	put_routes(5);
	ck_assert_int_eq(ht_catalog_set_routes(cat, &table), HT_CATALOG_OLDER);
	ck_assert_uint_eq(ht_catalog_route_count(cat), 3);
}
END_TEST

START_TEST(routes_that_leave_the_configuration_end)
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

START_TEST(listing_removes_only_what_it_proves_gone)
{
	uint64_t listed_at;

	put_target(1, "stock", "here");
	put_target(2, "stock", "here");
	listed_at = revision;
	ht_catalog_begin_listing(cat, HT_CATALOG_STORE);
	put_target(3, "stock", "here"); /* a change newer than the listing */
	ht_catalog_by_name(cat, "i-1003")->listing_sources = 0;
	ht_catalog_skip_target(cat, "i-1002", HT_CATALOG_STORE);
	ck_assert_uint_eq(ht_catalog_end_listing(cat, HT_CATALOG_STORE, rev(listed_at), now, now),
			  1);
	ck_assert(!ht_catalog_by_name(cat, "i-1001")->listed);
	ck_assert(ht_catalog_by_name(cat, "i-1002")->listed);
	ck_assert(ht_catalog_by_name(cat, "i-1003")->listed);
}
END_TEST

/* Guards against entries that lapsed while the store was away, of targets that live. */
START_TEST(lapsed_entry_is_held_for_a_while)
{
	const struct ht_target *t = put_target(1, "stock", "here");

	ht_catalog_remove_target(cat, "i-1001", rev(++revision), now, now + 2000);
	ck_assert(t->listed);
	ht_catalog_expire(cat, now + 1999, 60000);
	ck_assert(t->listed);
	ht_catalog_expire(cat, now + 2000, 60000);
	ck_assert(!t->listed);
	put_target(1, "stock", "here");
	ck_assert(t->listed);
}
END_TEST

START_TEST(gone_target_is_purged_when_no_flow_can_be_left)
{
	struct ht_revision before;

	put_target(1, "stock", "here");
	ht_catalog_begin_listing(cat, HT_CATALOG_STORE);
	put_target(1, "stock", "here");
	ht_catalog_end_listing(cat, HT_CATALOG_STORE, rev(revision), now, now);
	before = ht_catalog_history(cat);
	ht_catalog_remove_target(cat, "i-1001", rev(++revision), now, now);
	ht_catalog_expire(cat, now + 59999, 60000);
	ck_assert_ptr_nonnull(ht_catalog_by_name(cat, "i-1001"));
	ck_assert(ht_revision_equal(ht_catalog_history(cat), before));
	ht_catalog_expire(cat, now + 60000, 60000);
	ck_assert_ptr_null(ht_catalog_by_name(cat, "i-1001"));
	/* The deletion can no longer be told as a difference. */
	ck_assert(ht_revision_equal(ht_catalog_history(cat), rev(revision)));
}
END_TEST

/* Guards against a verdict on an earlier lifetime that sticks to the next. */
START_TEST(restarted_target_starts_anew)
{
	struct ht_target *t = put_target(1, "stock", "here");
	struct ht_target_entry e = entry_of(1, "stock", "here");

	ht_evidence_miss(&t->evidence, now, now);
	e.started += 5000;
	ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
	ck_assert(!ht_evidence_doubted(&t->evidence, now));
}
END_TEST

static int by_mark(const void *a, const void *b)
{
	const uint64_t *x = a, *y = b;

	return *x < *y ? -1 : *x > *y;
}

#define IDS 200000

/* Guards against two targets whose numbers give the same mark. */
START_TEST(marks_of_two_targets_never_meet)
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
	ck_assert_uint_ne(ht_catalog_mark(cat, a), ht_catalog_mark(cat, b));
	ck_assert_ptr_eq(ht_catalog_by_mark(cat, ht_catalog_mark(cat, a)), a);
	ck_assert_ptr_eq(ht_catalog_by_mark(cat, ht_catalog_mark(cat, b)), b);
	/* Flows from before the second came belong to the one that started first. */
	ck_assert_ptr_eq(ht_catalog_by_mark(cat, a->marks[0].value), a);
}
END_TEST

static void check_sums(const struct ht_service *s)
{
	uint64_t open = 0, slots = 0;

	for (size_t i = 0; i < s->count; i++) {
		const struct ht_target *t = s->targets[i];

		ck_assert_ptr_eq(t->service, s);
		ck_assert_uint_eq(t->place, i);
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

/* Guards against sums that drift when targets change while flows are open. */
START_TEST(sums_of_a_service_follow_its_targets)
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
	tcase_add_test(tc, older_answers_take_nothing_back);
	tcase_add_test(tc, later_deletion_outweighs_what_came_before_it);
	tcase_add_test(tc, version_never_falls);
	tcase_add_test(tc, routes_that_leave_the_configuration_end);
	tcase_add_test(tc, listing_removes_only_what_it_proves_gone);
	tcase_add_test(tc, lapsed_entry_is_held_for_a_while);
	tcase_add_test(tc, gone_target_is_purged_when_no_flow_can_be_left);
	tcase_add_test(tc, restarted_target_starts_anew);
	tcase_add_test(tc, marks_of_two_targets_never_meet);
	tcase_add_test(tc, sums_of_a_service_follow_its_targets);
	return run_case("catalog", tc);
}
