/* Tests of the other instances: who reads for whom, and whose view is taken. */
#include "core/neighbours.h"
#include "tests/revision.h"
#include "tests/suite.h"

#include <stdio.h>
#include <string.h>

static struct ht_neighbours *nb;
static struct ht_neighbours_params params;
static ht_ms now;

static void start(void)
{
	ht_neighbours_params_default(&params);
	params.name = "self";
	params.dc = "here";
	params.size = 100;
	now = 5000;
	nb = ht_neighbours_new(&params, now - params.startup_standby);
}

static void stop(void)
{
	ht_neighbours_free(nb);
}

static struct ht_endpoint at(unsigned int i)
{
	return (struct ht_endpoint){.ip = 0x0a000000U + i, .port = 7720};
}

static void hear(unsigned int i, const char *dc, uint32_t size, uint64_t revision)
{
	struct ht_view_state view = {
		.usable = revision > 0, .routes = {0, rev(revision)}, .targets = rev(revision)};
	char name[16];

	snprintf(name, sizeof(name), "n%u", i);
	ht_neighbours_heard(nb, name, dc, at(i), size, &view, now);
}

/* As hear(), of an instance whose view was proven @age ago, or HT_NEVER. */
static void hear_aged(unsigned int i, const char *dc, uint64_t revision, ht_ms age)
{
	struct ht_view_state view = {.usable = revision > 0,
				     .routes = {0, rev(revision)},
				     .targets = rev(revision),
				     .routes_age = age,
				     .targets_age = age};
	char name[16];

	snprintf(name, sizeof(name), "n%u", i);
	ht_neighbours_heard(nb, name, dc, at(i), 50, &view, now);
}

static void count_one(void *ctx, const struct ht_neighbour *n, bool fresh)
{
	(void)n;
	(void)fresh;
	++*(size_t *)ctx;
}

static void count_fresh(void *ctx, const struct ht_neighbour *n, bool fresh)
{
	(void)n;
	*(size_t *)ctx += fresh;
}

START_TEST(larger_live_neighbour_reads_first)
{
	ck_assert(!ht_neighbours_on_standby(nb, now));
	hear(1, "here", 50, 9);
	ck_assert(!ht_neighbours_on_standby(nb, now));
	hear(2, "there", 500, 9);
	ck_assert(!ht_neighbours_on_standby(nb, now));
	hear(3, "here", 500, 0);
	ck_assert(!ht_neighbours_on_standby(nb, now));
	hear(3, "here", 500, 9);
	ck_assert(ht_neighbours_on_standby(nb, now));
	/* A reader that has fallen silent covers nobody. */
	now += 5000;
	ck_assert(!ht_neighbours_on_standby(nb, now));
	ck_assert_uint_eq(ht_neighbours_local_count(nb, now), 1);
}
END_TEST

START_TEST(new_instance_leaves_reading_to_others_for_a_moment)
{
	struct ht_neighbours *fresh = ht_neighbours_new(&params, now);

	ck_assert(ht_neighbours_on_standby(fresh, now + params.startup_standby - 1));
	ck_assert(!ht_neighbours_on_standby(fresh, now + params.startup_standby));
	ht_neighbours_free(fresh);
}
END_TEST

START_TEST(exactly_one_of_equals_reads)
{
	static const char *const names[] = {"a", "b", "c", "d"};
	int readers = 0;

	for (int i = 0; i < 4; i++) {
		struct ht_neighbours_params p = params;
		struct ht_neighbours *one;

		p.name = names[i];
		one = ht_neighbours_new(&p, now - p.startup_standby);
		for (unsigned int k = 0; k < 4; k++) {
			struct ht_view_state view = {.usable = true};

			ht_neighbours_heard(one, names[k], "here", at(k), p.size, &view, now);
		}
		readers += !ht_neighbours_on_standby(one, now);
		ht_neighbours_free(one);
	}
	ck_assert_int_eq(readers, 1);
}
END_TEST

START_TEST(outdated_views_are_taken_from_who_knows_most)
{
	struct ht_view_state own = {0};

	hear_aged(1, "here", 7, params.stale_after);
	hear_aged(2, "there", 9, params.stale_after);
	hear_aged(3, "here", 9, params.stale_after);
	hear_aged(4, "here", 0, params.stale_after);
	ck_assert_str_eq(ht_neighbours_snapshot_source(nb, &own, now)->name, "n3");
	/* Without a view the next best is asked when the best one gives nothing. */
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	now += params.retry_pause;
	ck_assert_str_eq(ht_neighbours_snapshot_source(nb, &own, now)->name, "n2");
	now += params.retry_pause;
	ck_assert_str_eq(ht_neighbours_snapshot_source(nb, &own, now)->name, "n1");
	now += params.retry_pause;
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	own = (struct ht_view_state){.usable = true, .targets = rev(9), .routes = {0, rev(9)}};
	now += 2000;
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	own.targets = rev(8);
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	own.targets_age = params.stale_after;
	ck_assert_ptr_nonnull(ht_neighbours_snapshot_source(nb, &own, now));
}
END_TEST

/* Guards against a view from an instance that is cut off from the store while others are not. */
START_TEST(proven_view_goes_before_newer_numbers)
{
	const struct ht_view_state none = {0};

	hear_aged(1, "here", 9, params.stale_after);
	hear_aged(2, "here", 7, HT_NEVER);
	hear(3, "there", 50, 8);
	ck_assert_str_eq(ht_neighbours_snapshot_source(nb, &none, now)->name, "n3");
	now += params.retry_pause;
	ck_assert_str_eq(ht_neighbours_snapshot_source(nb, &none, now)->name, "n2");
	/* What was proven long ago no longer is. */
	now += params.stale_after;
	hear_aged(2, "here", 0, HT_NEVER);
	ck_assert_str_eq(ht_neighbours_snapshot_source(nb, &none, now)->name, "n1");
}
END_TEST

/* Pattern: news reaches hundreds of instances one after the other; those that hear of it first must
 * not all fetch it from the one that has read it. */
START_TEST(news_on_its_way_is_not_fetched)
{
	struct ht_view_state own = {
		.usable = true, .standby = true, .targets = rev(8), .routes = {0, rev(8)}};

	hear(1, "here", 500, 9);
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	now += params.lag_max - 1;
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	/* It has come, and there is more. */
	own.targets = own.routes.revision = rev(9);
	hear(1, "here", 500, 10);
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	now += params.lag_max - 1;
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	/* It is late. */
	now++;
	ck_assert_str_eq(ht_neighbours_snapshot_source(nb, &own, now)->name, "n1");
	now += params.snapshot_pause - 1;
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	now++;
	ck_assert_ptr_nonnull(ht_neighbours_snapshot_source(nb, &own, now));
}
END_TEST

START_TEST(other_data_centres_ahead_are_left_to_the_reader)
{
	struct ht_view_state own = {
		.usable = true, .standby = true, .targets = rev(8), .routes = {0, rev(8)}};

	hear(1, "there", 500, 9);
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	now += 2 * params.lag_max;
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	own.targets_age = params.stale_after;
	ck_assert_ptr_nonnull(ht_neighbours_snapshot_source(nb, &own, now));
}
END_TEST

/* Pattern: the store's reader is in another data centre, of which only its news is heard. */
START_TEST(news_of_a_reader_covers)
{
	ck_assert(!ht_neighbours_on_standby(nb, now));
	ht_neighbours_heard_reader(nb, "n1", 50, now);
	ck_assert(!ht_neighbours_on_standby(nb, now));
	ht_neighbours_heard_reader(nb, "n2", 500, now);
	ck_assert(ht_neighbours_on_standby(nb, now));
	/* One that reads for a moment besides does not take its place. */
	ht_neighbours_heard_reader(nb, "n1", 50, now);
	ck_assert(ht_neighbours_on_standby(nb, now));
	now += 5000;
	ck_assert(!ht_neighbours_on_standby(nb, now));
}
END_TEST

/* Pattern: the reader is lost, and all proofs grow old at the same time. */
START_TEST(one_after_the_other_reads_for_a_lost_reader)
{
	bool taken[30] = {false};

	for (unsigned int self = 0; self < 30; self++) {
		struct ht_neighbours_params p = params;
		struct ht_neighbours *one;
		char name[16];
		size_t rank;

		snprintf(name, sizeof(name), "n%u", self);
		p.name = name;
		one = ht_neighbours_new(&p, now - p.startup_standby);
		/* Some are heard, most are only named by others. */
		for (unsigned int k = 0; k < 30; k++) {
			struct ht_view_state view = {.usable = true};

			snprintf(name, sizeof(name), "n%u", k);
			if (k % 5 == 0)
				ht_neighbours_heard(one, name, "here", at(k), p.size, &view, now);
			else
				ht_neighbours_add(one, name, "here", at(k), p.size, now);
		}
		rank = ht_neighbours_reader_rank(one, now);
		ck_assert_uint_lt(rank, 30);
		ck_assert(!taken[rank]);
		taken[rank] = true;
		ck_assert_int_eq(ht_neighbours_on_standby(one, now), rank > 0);
		ht_neighbours_free(one);
	}
}
END_TEST

START_TEST(age_of_the_readers_news_is_known)
{
	ck_assert_int_eq(ht_neighbours_announcement_age(nb, now), HT_NEVER);
	ht_neighbours_heard_reader(nb, "n1", 50, now);
	ck_assert_int_eq(ht_neighbours_announcement_age(nb, now), HT_NEVER);
	ht_neighbours_heard_reader(nb, "n2", 500, now);
	ck_assert_int_eq(ht_neighbours_announcement_age(nb, now + 700), 700);
}
END_TEST

/* Pattern: dozens of instances read at once and tell hundreds; each passes on what is new only. */
START_TEST(same_news_again_is_not_passed_on)
{
	const struct ht_view_state before = {.usable = true,
					     .routes = {1, rev(5)},
					     .targets = rev(7),
					     .routes_age = 1000,
					     .targets_age = 1000};
	struct ht_view_state after = before;

	ck_assert(!ht_view_improves(&before, &after));
	after.targets_age = after.routes_age = 900;
	ck_assert(!ht_view_improves(&before, &after));
	after.targets_age = 100;
	ck_assert(ht_view_improves(&before, &after));
	after = before;
	after.targets.number++;
	ck_assert(ht_view_improves(&before, &after));
	after = before;
	after.routes.revision.number++;
	ck_assert(ht_view_improves(&before, &after));
	after = before;
	ck_assert(ht_view_improves(&(struct ht_view_state){.targets_age = HT_NEVER}, &after));
}
END_TEST

START_TEST(each_other_data_centre_has_a_representative)
{
	const struct ht_neighbour *out[HT_REPRESENTATIVES_MAX];
	bool seen[40] = {false};
	int count = 0;

	for (unsigned int i = 0; i < 10; i++) {
		hear(i, "here", 50, 1);
		hear(10 + i, "there", 50, 1);
		hear(20 + i, "elsewhere", 50, 1);
	}
	ht_neighbours_add_address(nb, at(39), now);
	for (uint64_t seed = 0; seed < 100; seed++) {
		size_t n = ht_neighbours_representatives(nb, seed, out, now);

		ck_assert_uint_eq(n, 2);
		ck_assert_str_ne(out[0]->dc, out[1]->dc);
		for (size_t i = 0; i < n; i++)
			seen[out[i]->at.ip & 0xff] = true;
	}
	for (int i = 10; i < 30; i++)
		count += seen[i];
	ck_assert_int_eq(count, 20);
	ck_assert(!seen[39]);
	/* Silent ones only when there is no other. */
	now += 6000;
	hear(15, "there", 50, 1);
	for (uint64_t seed = 0; seed < 20; seed++) {
		size_t n = ht_neighbours_representatives(nb, seed, out, now);

		ck_assert_uint_eq(n, 2);
		for (size_t i = 0; i < n; i++)
			ck_assert(strcmp(out[i]->dc, "there") != 0 ||
				  strcmp(out[i]->name, "n15") == 0);
	}
}
END_TEST

START_TEST(helpful_is_who_has_a_view_or_reads_first)
{
	struct ht_view_state failing = {.failing = true};
	struct ht_view_state outdated = {
		.usable = true, .targets_age = params.stale_after, .routes_age = 0};

	ck_assert(!ht_neighbours_can_supply_view(nb, now));
	hear(1, "here", 50, 0);
	ck_assert(!ht_neighbours_can_supply_view(nb, now));
	hear(2, "there", 500, 0);
	ck_assert(ht_neighbours_can_supply_view(nb, now));
	/* Its calls fail: it will have no view soon. */
	ht_neighbours_heard(nb, "n2", "there", at(2), 500, &failing, now);
	ck_assert(!ht_neighbours_can_supply_view(nb, now));
	/* It is cut off from the store: its view is old. */
	ht_neighbours_heard(nb, "n2", "there", at(2), 500, &outdated, now);
	ck_assert(!ht_neighbours_can_supply_view(nb, now));
	hear(1, "here", 50, 7);
	ck_assert(ht_neighbours_can_supply_view(nb, now));
	now += 5000;
	ck_assert(!ht_neighbours_can_supply_view(nb, now));
	hear_aged(3, "here", 9, HT_NEVER);
	ck_assert(ht_neighbours_can_supply_view(nb, now));
}
END_TEST

/* Pattern: all start together and few have a view: not all may ask the same one. */
START_TEST(instances_without_a_view_are_spread)
{
	const struct ht_view_state none = {0};
	unsigned int asked[8] = {0}, most = 0;

	for (int i = 0; i < 64; i++) {
		const struct ht_neighbour *n;
		char name[16];

		snprintf(name, sizeof(name), "self%d", i);
		ht_neighbours_free(nb);
		params.name = name;
		nb = ht_neighbours_new(&params, now - 1000);
		/* All have just listed, one a little later than the others. */
		for (unsigned int k = 0; k < 8; k++)
			hear_aged(k, "here", k ? 9 : 10, HT_NEVER);
		n = ht_neighbours_snapshot_source(nb, &none, now);
		ck_assert_ptr_nonnull(n);
		asked[n->at.ip & 7]++;
	}
	for (int k = 0; k < 8; k++)
		if (asked[k] > most)
			most = asked[k];
	ck_assert_uint_le(most, 64 / 8 * 3);
}
END_TEST

START_TEST(same_neighbour_is_asked_again_after_a_pause)
{
	const struct ht_view_state none = {0};

	hear(1, "here", 100, 9);
	ck_assert_ptr_nonnull(ht_neighbours_snapshot_source(nb, &none, now));
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &none, now));
	now += params.retry_pause;
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &none, now));
	now += params.same_source_pause;
	ck_assert_ptr_nonnull(ht_neighbours_snapshot_source(nb, &none, now));
}
END_TEST

/* Pattern: hundreds start together and know the same three addresses. */
START_TEST(addresses_without_a_name_are_asked_until_one_answers)
{
	const struct ht_neighbour *out[HT_GREETING_FANOUT];

	for (unsigned int i = 1; i <= 3; i++)
		ht_neighbours_add_address(nb, at(i), now);
	ck_assert_uint_eq(ht_neighbours_greet(nb, out, now), 3);
	hear(7, "here", 50, 1);
	now += 100;
	ck_assert_uint_eq(ht_neighbours_greet(nb, out, now), 1);
	ck_assert_str_eq(out[0]->name, "n7");
	/* All have fallen silent. */
	now += 5000;
	ck_assert_uint_eq(ht_neighbours_greet(nb, out, now), 3);
}
END_TEST

START_TEST(greetings_go_round_mostly_near)
{
	const struct ht_neighbour *out[HT_GREETING_FANOUT];
	int near[10] = {0}, far = 0;

	for (unsigned int i = 0; i < 10; i++) {
		hear(i, "here", 50, 1);
		hear(20 + i, "there", 50, 1);
	}
	for (int round = 0; round < 10; round++) {
		size_t n = ht_neighbours_greet(nb, out, now);

		ck_assert_uint_eq(n, HT_GREETING_FANOUT);
		for (size_t i = 0; i < n; i++) {
			if (out[i]->local)
				near[out[i]->at.ip & 0xff]++;
			else
				far++;
		}
		now += 1000;
	}
	ck_assert_int_eq(far, 10);
	/* Those greeted together are in any order the next time: one more or one less. */
	for (int i = 0; i < 10; i++) {
		ck_assert_int_ge(near[i], 2);
		ck_assert_int_le(near[i], 4);
	}
}
END_TEST

START_TEST(names_neighbours_of_the_receivers_data_centre_first)
{
	const struct ht_neighbour *out[HT_GREETING_NEIGHBOURS_MAX];
	bool named[30] = {false};
	int count = 0;

	for (unsigned int i = 0; i < 30; i++)
		hear(i, i % 2 ? "here" : "there", 50, 1);
	for (int round = 0; round < 12; round++) {
		ck_assert_uint_eq(ht_neighbours_to_advertise(nb, "there", out,
							     HT_GREETING_NEIGHBOURS_MAX, now),
				  HT_GREETING_NEIGHBOURS_MAX);
		for (size_t i = 0; i < HT_GREETING_NEIGHBOURS_MAX; i++) {
			ck_assert_str_eq(out[i]->dc, "there");
			named[out[i]->at.ip & 0xff] = true;
		}
	}
	for (int i = 0; i < 30; i++)
		count += named[i];
	ck_assert_int_eq(count, 15);
}
END_TEST

/* Pattern: thousands of instances; those of the own data centre must all be told. */
START_TEST(those_of_other_data_centres_make_room)
{
	size_t local = 0;

	ht_neighbours_free(nb);
	params.max = 40;
	nb = ht_neighbours_new(&params, now);
	for (unsigned int i = 0; i < 30; i++)
		hear(i, "here", 100, 9);
	for (unsigned int i = 100; i < 200; i++)
		hear(i, "there", 100, 9);
	ck_assert_uint_eq(ht_neighbours_count(nb), 40);
	ht_neighbours_each_local(nb, now, count_one, &local);
	ck_assert_uint_eq(local, 30);
}
END_TEST

/* Pattern: a part of the instances is gone; the others must not get their news through them. */
START_TEST(silent_ones_are_told_apart)
{
	size_t told = 0, fresh = 0;

	hear(1, "here", 100, 9);
	hear(2, "here", 100, 9);
	now += 6000;
	hear(2, "here", 100, 9);
	ht_neighbours_add(nb, "n3", "here", at(3), 100, now);
	ht_neighbours_each_local(nb, now, count_one, &told);
	ht_neighbours_each_local(nb, now, count_fresh, &fresh);
	ck_assert_uint_eq(told, 3);
	ck_assert_uint_eq(fresh, 2);
}
END_TEST

START_TEST(list_is_bounded_and_forgets)
{
	for (unsigned int i = 0; i < 2 * (unsigned int)params.max; i++)
		hear(i, "here", 50, 1);
	ck_assert_uint_eq(ht_neighbours_count(nb), params.max);
	ht_neighbours_expire(nb, now + params.forget_after);
	ck_assert_uint_eq(ht_neighbours_count(nb), 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("neighbours");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, larger_live_neighbour_reads_first);
	tcase_add_test(tc, new_instance_leaves_reading_to_others_for_a_moment);
	tcase_add_test(tc, exactly_one_of_equals_reads);
	tcase_add_test(tc, outdated_views_are_taken_from_who_knows_most);
	tcase_add_test(tc, proven_view_goes_before_newer_numbers);
	tcase_add_test(tc, news_on_its_way_is_not_fetched);
	tcase_add_test(tc, other_data_centres_ahead_are_left_to_the_reader);
	tcase_add_test(tc, news_of_a_reader_covers);
	tcase_add_test(tc, one_after_the_other_reads_for_a_lost_reader);
	tcase_add_test(tc, age_of_the_readers_news_is_known);
	tcase_add_test(tc, same_news_again_is_not_passed_on);
	tcase_add_test(tc, each_other_data_centre_has_a_representative);
	tcase_add_test(tc, addresses_without_a_name_are_asked_until_one_answers);
	tcase_add_test(tc, helpful_is_who_has_a_view_or_reads_first);
	tcase_add_test(tc, instances_without_a_view_are_spread);
	tcase_add_test(tc, same_neighbour_is_asked_again_after_a_pause);
	tcase_add_test(tc, greetings_go_round_mostly_near);
	tcase_add_test(tc, names_neighbours_of_the_receivers_data_centre_first);
	tcase_add_test(tc, those_of_other_data_centres_make_room);
	tcase_add_test(tc, silent_ones_are_told_apart);
	tcase_add_test(tc, list_is_bounded_and_forgets);
	return run_case("neighbours", tc);
}
