/*
 * Tests of the list of neighbours: the order of readers of the store, the sources of snapshots, and
 * the receivers and contents of greetings.
 */
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

static void heard(unsigned int i, const char *dc, uint32_t size, uint64_t revision)
{
	struct ht_view_state view = {
		.usable = revision > 0, .routes = {0, rev(revision)}, .targets = rev(revision)};
	char name[16];

	snprintf(name, sizeof(name), "n%u", i);
	ht_neighbours_heard(nb, name, dc, at(i), size, &view, now);
}

/* As heard(), from an instance whose view was proven @age ago, or never (HT_NEVER). */
static void heard_with_age(unsigned int i, const char *dc, uint64_t revision, ht_ms age)
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

static void count_neighbour(void *ctx, const struct ht_neighbour *n, bool fresh)
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
	heard(1, "here", 50, 9);
	ck_assert(!ht_neighbours_on_standby(nb, now));
	heard(2, "there", 500, 9);
	ck_assert(!ht_neighbours_on_standby(nb, now));
	heard(3, "here", 500, 0);
	ck_assert(!ht_neighbours_on_standby(nb, now));
	heard(3, "here", 500, 9);
	ck_assert(ht_neighbours_on_standby(nb, now));
	/* The reader is silent: this instance reads the store itself. */
	now += 5000;
	ck_assert(!ht_neighbours_on_standby(nb, now));
	ck_assert_uint_eq(ht_neighbours_local_count(nb, now), 1);
}
END_TEST

/* Guards against members that report to different collectors although they know the same instances,
 * and against an order that ends before the own instance. */
START_TEST(ranks_follow_the_order_of_readers)
{
	const struct ht_neighbour *last, *n;

	ck_assert_ptr_null(ht_neighbours_ranked(nb, 0, now));
	ck_assert_ptr_null(ht_neighbours_ranked(nb, 3, now));
	heard(1, "here", 300, 0);
	heard(2, "here", 500, 9);
	heard(3, "there", 900, 9);
	heard(4, "here", 50, 9);
	heard(5, "here", 50, 9);
	ht_neighbours_add_address(nb, at(6), now);
	ck_assert_str_eq(ht_neighbours_ranked(nb, 0, now)->name, "n2");
	ck_assert_str_eq(ht_neighbours_ranked(nb, 1, now)->name, "n1");
	ck_assert_ptr_null(ht_neighbours_ranked(nb, 2, now));
	n = ht_neighbours_ranked(nb, 3, now);
	last = ht_neighbours_ranked(nb, 4, now);
	ck_assert_uint_eq(n->size + last->size, 100);
	ck_assert_ptr_ne(n, last);
	ck_assert(ht_neighbours_precedes(nb, n, last) && !ht_neighbours_precedes(nb, last, n));
	ck_assert(ht_neighbours_precedes(nb, NULL, n) && !ht_neighbours_precedes(nb, n, NULL));
	ck_assert_str_eq(ht_neighbours_ranked(nb, 5, now)->name, "n2");
	/* A mention is enough, as in a large data centre most are heard rarely. */
	now += 5000;
	ck_assert_ptr_null(ht_neighbours_ranked(nb, 0, now));
	ht_neighbours_add(nb, "n1", "here", at(1), 300, now);
	ck_assert_str_eq(ht_neighbours_ranked(nb, 0, now)->name, "n1");
	ck_assert(ht_neighbours_any_local(nb, now));
	ck_assert(!ht_neighbours_any_local(nb, now + 30000));
}
END_TEST

START_TEST(first_elsewhere_is_live_and_largest)
{
	const struct ht_neighbour *out[HT_REPRESENTATIVES_MAX];

	ck_assert(!ht_neighbours_any_local(nb, now));
	heard(1, "there", 900, 9);
	heard(2, "beyond", 10, 9);
	now += 5000;
	heard(3, "there", 300, 9);
	heard(4, "there", 500, 9);
	heard(5, "here", 500, 9);
	ck_assert_uint_eq(ht_neighbours_first_elsewhere(nb, out, now), 2);
	ck_assert_str_eq(out[strcmp(out[0]->dc, "there") ? 1 : 0]->name, "n4");
	ck_assert_str_eq(out[strcmp(out[0]->dc, "there") ? 0 : 1]->name, "n2");
	ck_assert_str_eq(ht_neighbours_find(nb, (uint32_t)out[0]->id)->name, out[0]->name);
	ck_assert_ptr_null(ht_neighbours_find(nb, 1));
}
END_TEST

/* Guards against a view of an earlier build that undoes what this one has read: such an instance is
 * neither the reader of the store nor a source while the own view is up to date. */
START_TEST(instances_of_a_lower_level_are_not_relied_on)
{
	struct ht_view_state own = {.usable = true,
				    .standby = true,
				    .level = 2,
				    .targets = rev(7),
				    .routes = {0, rev(7)}};

	heard(1, "here", 500, 9);
	ck_assert(ht_neighbours_on_standby(nb, now));
	ht_neighbours_set_level(nb, own.level);
	ck_assert(!ht_neighbours_on_standby(nb, now));
	ck_assert(!ht_neighbours_accepts(nb, &own, 1));
	ck_assert(ht_neighbours_accepts(nb, &own, 2));
	ck_assert(ht_neighbours_accepts(nb, &own, 3));
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	now += params.lag_max;
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	/* Better than none: the own view is outdated. */
	own.targets_age = params.accept_after;
	ck_assert(ht_neighbours_accepts(nb, &own, 0));
	ck_assert_str_eq(ht_neighbours_snapshot_source(nb, &own, now)->name, "n1");
}
END_TEST

/* Guards against listings without end beside instances of an earlier build: where changes may take
 * long to be applied, the own view is read less often than every params.stale_after. */
START_TEST(long_bounds_do_not_make_lower_levels_acceptable)
{
	struct ht_view_state own = {.usable = true,
				    .standby = true,
				    .level = 2,
				    .targets = rev(7),
				    .routes = {0, rev(7)},
				    .targets_age = 5999,
				    .routes_age = 5999};
	struct ht_neighbours *slow;

	params.accept_after = 6000;
	slow = ht_neighbours_new(&params, now);
	ck_assert(!ht_neighbours_accepts(slow, &own, 1));
	own.routes_age = 6000;
	ck_assert(ht_neighbours_accepts(slow, &own, 1));
	own.routes_age = HT_NEVER;
	ck_assert(ht_neighbours_accepts(slow, &own, 1));
	ht_neighbours_free(slow);
}
END_TEST

START_TEST(first_view_is_taken_from_the_highest_level)
{
	struct ht_view_state view = {.usable = true, .targets = rev(9), .routes = {0, rev(9)}};
	struct ht_view_state own = {0};

	for (unsigned int i = 1; i < 9; i++)
		heard(i, "here", 50, 9);
	view.level = 1;
	ht_neighbours_heard(nb, "n9", "there", at(9), 50, &view, now);
	ck_assert_str_eq(ht_neighbours_snapshot_source(nb, &own, now)->name, "n9");
}
END_TEST

START_TEST(new_instance_starts_on_standby)
{
	struct ht_neighbours *fresh = ht_neighbours_new(&params, now);

	ck_assert(ht_neighbours_on_standby(fresh, now + params.startup_standby - 1));
	ck_assert(!ht_neighbours_on_standby(fresh, now + params.startup_standby));
	ht_neighbours_free(fresh);
}
END_TEST

START_TEST(exactly_one_of_equal_instances_reads)
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

START_TEST(outdated_views_are_fetched_by_highest_revision)
{
	struct ht_view_state own = {0};

	heard_with_age(1, "here", 7, params.stale_after);
	heard_with_age(2, "there", 9, params.stale_after);
	heard_with_age(3, "here", 9, params.stale_after);
	heard_with_age(4, "here", 0, params.stale_after);
	ck_assert_str_eq(ht_neighbours_snapshot_source(nb, &own, now)->name, "n3");
	/* Without a view, the next best neighbour is selected after retry_pause if no snapshot has
	 * arrived. */
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

/* Guards against fetching the view of an instance that has lost the store while other instances
 * still reach it. */
START_TEST(proven_view_precedes_higher_revision)
{
	const struct ht_view_state none = {0};

	heard_with_age(1, "here", 9, params.stale_after);
	heard_with_age(2, "here", 7, HT_NEVER);
	heard(3, "there", 50, 8);
	ck_assert_str_eq(ht_neighbours_snapshot_source(nb, &none, now)->name, "n3");
	now += params.retry_pause;
	ck_assert_str_eq(ht_neighbours_snapshot_source(nb, &none, now)->name, "n2");
	/* The proof has become outdated: now the highest revision counts. */
	now += params.stale_after;
	heard_with_age(2, "here", 0, HT_NEVER);
	ck_assert_str_eq(ht_neighbours_snapshot_source(nb, &none, now)->name, "n1");
}
END_TEST

/* An announcement reaches hundreds of instances one after the other. Guards against all of them
 * requesting a snapshot from the reader when a greeting shows its newer revision first. */
START_TEST(no_snapshot_before_announcement_is_late)
{
	struct ht_view_state own = {
		.usable = true, .standby = true, .targets = rev(8), .routes = {0, rev(8)}};

	heard(1, "here", 500, 9);
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	now += params.lag_max - 1;
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	/* The announcement has arrived, and a newer revision is known to the reader. */
	own.targets = own.routes.revision = rev(9);
	heard(1, "here", 500, 10);
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	now += params.lag_max - 1;
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	/* The announcement is late. */
	now++;
	ck_assert_str_eq(ht_neighbours_snapshot_source(nb, &own, now)->name, "n1");
	now += params.snapshot_pause - 1;
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	now++;
	ck_assert_ptr_nonnull(ht_neighbours_snapshot_source(nb, &own, now));
}
END_TEST

START_TEST(newer_view_of_other_data_centre_is_not_fetched)
{
	struct ht_view_state own = {
		.usable = true, .standby = true, .targets = rev(8), .routes = {0, rev(8)}};

	heard(1, "there", 500, 9);
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	now += 2 * params.lag_max;
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &own, now));
	own.targets_age = params.stale_after;
	ck_assert_ptr_nonnull(ht_neighbours_snapshot_source(nb, &own, now));
}
END_TEST

/* The reader is in another data centre: only its announcements arrive, no greetings. */
START_TEST(announcements_of_larger_reader_cause_standby)
{
	ck_assert(!ht_neighbours_on_standby(nb, now));
	ht_neighbours_heard_reader(nb, "n1", 50, now);
	ck_assert(!ht_neighbours_on_standby(nb, now));
	ht_neighbours_heard_reader(nb, "n2", 500, now);
	ck_assert(ht_neighbours_on_standby(nb, now));
	/* A smaller instance that also reads for a short time does not replace it. */
	ht_neighbours_heard_reader(nb, "n1", 50, now);
	ck_assert(ht_neighbours_on_standby(nb, now));
	now += 5000;
	ck_assert(!ht_neighbours_on_standby(nb, now));
}
END_TEST

/* The reader is lost, and the proofs of all instances become outdated at the same time. Each has a
 * different rank, so that they do not all read at once. */
START_TEST(ranks_of_readers_are_distinct)
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
		/* Some have sent a greeting, most are only mentioned in the greetings of others. */
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

START_TEST(announcement_age_counts_from_preceding_reader)
{
	ck_assert_int_eq(ht_neighbours_announcement_age(nb, now), HT_NEVER);
	ht_neighbours_heard_reader(nb, "n1", 50, now);
	ck_assert_int_eq(ht_neighbours_announcement_age(nb, now), HT_NEVER);
	ht_neighbours_heard_reader(nb, "n2", 500, now);
	ck_assert_int_eq(ht_neighbours_announcement_age(nb, now + 700), 700);
}
END_TEST

/* Dozens of instances may read at once and announce the same changes to hundreds of others, which
 * must relay only what is new. */
START_TEST(duplicate_announcement_is_not_relayed)
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
		heard(i, "here", 50, 1);
		heard(10 + i, "there", 50, 1);
		heard(20 + i, "elsewhere", 50, 1);
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
	/* A silent neighbour is selected only if its data centre has no live one. */
	now += 6000;
	heard(15, "there", 50, 1);
	for (uint64_t seed = 0; seed < 20; seed++) {
		size_t n = ht_neighbours_representatives(nb, seed, out, now);

		ck_assert_uint_eq(n, 2);
		for (size_t i = 0; i < n; i++)
			ck_assert(strcmp(out[i]->dc, "there") != 0 ||
				  strcmp(out[i]->name, "n15") == 0);
	}
}
END_TEST

START_TEST(view_is_supplied_by_current_view_or_preceding_reader)
{
	struct ht_view_state failing = {.failing = true};
	struct ht_view_state outdated = {
		.usable = true, .targets_age = params.stale_after, .routes_age = 0};

	ck_assert(!ht_neighbours_can_supply_view(nb, now));
	heard(1, "here", 50, 0);
	ck_assert(!ht_neighbours_can_supply_view(nb, now));
	heard(2, "there", 500, 0);
	ck_assert(ht_neighbours_can_supply_view(nb, now));
	/* Its calls to the store fail: it will not have a view soon. */
	ht_neighbours_heard(nb, "n2", "there", at(2), 500, &failing, now);
	ck_assert(!ht_neighbours_can_supply_view(nb, now));
	/* It has lost the store: its view is outdated. */
	ht_neighbours_heard(nb, "n2", "there", at(2), 500, &outdated, now);
	ck_assert(!ht_neighbours_can_supply_view(nb, now));
	heard(1, "here", 50, 7);
	ck_assert(ht_neighbours_can_supply_view(nb, now));
	now += 5000;
	ck_assert(!ht_neighbours_can_supply_view(nb, now));
	heard_with_age(3, "here", 9, HT_NEVER);
	ck_assert(ht_neighbours_can_supply_view(nb, now));
}
END_TEST

/* Many instances start together while few have a view. Guards against all of them requesting the
 * snapshot from the same one. */
START_TEST(snapshot_requests_are_spread_over_neighbours)
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
		/* All have just listed the store, one of them a little later than the others. */
		for (unsigned int k = 0; k < 8; k++)
			heard_with_age(k, "here", k ? 9 : 10, HT_NEVER);
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

START_TEST(same_neighbour_is_retried_after_a_pause)
{
	const struct ht_view_state none = {0};

	heard(1, "here", 100, 9);
	ck_assert_ptr_nonnull(ht_neighbours_snapshot_source(nb, &none, now));
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &none, now));
	now += params.retry_pause;
	ck_assert_ptr_null(ht_neighbours_snapshot_source(nb, &none, now));
	now += params.same_source_pause;
	ck_assert_ptr_nonnull(ht_neighbours_snapshot_source(nb, &none, now));
}
END_TEST

/* Hundreds of instances start together and know only the same three configured addresses. Guards
 * against greeting these without end once other instances are known. */
START_TEST(configured_addresses_are_greeted_until_one_answers)
{
	const struct ht_neighbour *out[HT_GREETING_FANOUT];

	for (unsigned int i = 1; i <= 3; i++)
		ht_neighbours_add_address(nb, at(i), now);
	ck_assert_uint_eq(ht_neighbours_greet(nb, out, now), 3);
	heard(7, "here", 50, 1);
	now += 100;
	ck_assert_uint_eq(ht_neighbours_greet(nb, out, now), 1);
	ck_assert_str_eq(out[0]->name, "n7");
	/* All neighbours are silent. */
	now += 5000;
	ck_assert_uint_eq(ht_neighbours_greet(nb, out, now), 3);
}
END_TEST

START_TEST(greetings_rotate_mostly_in_own_data_centre)
{
	const struct ht_neighbour *out[HT_GREETING_FANOUT];
	int near[10] = {0}, far = 0;

	for (unsigned int i = 0; i < 10; i++) {
		heard(i, "here", 50, 1);
		heard(20 + i, "there", 50, 1);
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
	/* Neighbours greeted at the same time are selected in any order the next time: the counts
	 * may deviate by one. */
	for (int i = 0; i < 10; i++) {
		ck_assert_int_ge(near[i], 2);
		ck_assert_int_le(near[i], 4);
	}
}
END_TEST

START_TEST(neighbours_of_receivers_data_centre_are_advertised_first)
{
	const struct ht_neighbour *out[HT_GREETING_NEIGHBOURS_MAX];
	bool named[30] = {false};
	int count = 0;

	for (unsigned int i = 0; i < 30; i++)
		heard(i, i % 2 ? "here" : "there", 50, 1);
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

/* With thousands of instances the list is full, but announcements must reach all instances of the
 * own data centre: neighbours of other data centres are replaced first. */
START_TEST(neighbours_of_other_data_centres_are_replaced_first)
{
	size_t local = 0;

	ht_neighbours_free(nb);
	params.max = 40;
	nb = ht_neighbours_new(&params, now);
	for (unsigned int i = 0; i < 30; i++)
		heard(i, "here", 100, 9);
	for (unsigned int i = 100; i < 200; i++)
		heard(i, "there", 100, 9);
	ck_assert_uint_eq(ht_neighbours_count(nb), 40);
	ht_neighbours_each_local(nb, now, count_neighbour, &local);
	ck_assert_uint_eq(local, 30);
}
END_TEST

/* Guards against relaying announcements through instances that are down: the callback gets @fresh
 * only for neighbours that were heard recently. */
START_TEST(silent_neighbours_are_not_fresh)
{
	size_t visited = 0, fresh = 0;

	heard(1, "here", 100, 9);
	heard(2, "here", 100, 9);
	now += 6000;
	heard(2, "here", 100, 9);
	ht_neighbours_add(nb, "n3", "here", at(3), 100, now);
	ht_neighbours_each_local(nb, now, count_neighbour, &visited);
	ht_neighbours_each_local(nb, now, count_fresh, &fresh);
	ck_assert_uint_eq(visited, 3);
	ck_assert_uint_eq(fresh, 2);
}
END_TEST

START_TEST(list_is_bounded_and_expires)
{
	for (unsigned int i = 0; i < 2 * (unsigned int)params.max; i++)
		heard(i, "here", 50, 1);
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
	tcase_add_test(tc, ranks_follow_the_order_of_readers);
	tcase_add_test(tc, first_elsewhere_is_live_and_largest);
	tcase_add_test(tc, instances_of_a_lower_level_are_not_relied_on);
	tcase_add_test(tc, long_bounds_do_not_make_lower_levels_acceptable);
	tcase_add_test(tc, first_view_is_taken_from_the_highest_level);
	tcase_add_test(tc, new_instance_starts_on_standby);
	tcase_add_test(tc, exactly_one_of_equal_instances_reads);
	tcase_add_test(tc, outdated_views_are_fetched_by_highest_revision);
	tcase_add_test(tc, proven_view_precedes_higher_revision);
	tcase_add_test(tc, no_snapshot_before_announcement_is_late);
	tcase_add_test(tc, newer_view_of_other_data_centre_is_not_fetched);
	tcase_add_test(tc, announcements_of_larger_reader_cause_standby);
	tcase_add_test(tc, ranks_of_readers_are_distinct);
	tcase_add_test(tc, announcement_age_counts_from_preceding_reader);
	tcase_add_test(tc, duplicate_announcement_is_not_relayed);
	tcase_add_test(tc, each_other_data_centre_has_a_representative);
	tcase_add_test(tc, configured_addresses_are_greeted_until_one_answers);
	tcase_add_test(tc, view_is_supplied_by_current_view_or_preceding_reader);
	tcase_add_test(tc, snapshot_requests_are_spread_over_neighbours);
	tcase_add_test(tc, same_neighbour_is_retried_after_a_pause);
	tcase_add_test(tc, greetings_rotate_mostly_in_own_data_centre);
	tcase_add_test(tc, neighbours_of_receivers_data_centre_are_advertised_first);
	tcase_add_test(tc, neighbours_of_other_data_centres_are_replaced_first);
	tcase_add_test(tc, silent_neighbours_are_not_fresh);
	tcase_add_test(tc, list_is_bounded_and_expires);
	return run_case("neighbours", tc);
}
