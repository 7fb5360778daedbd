/*
 * Tests of a store that comes back from an older copy: what it has forgotten, what it has brought
 * back, and when it is read.
 */
#include "core/neighbours.h"
#include "core/reading.h"
#include "tests/core/steering_world.h"
#include "tests/suite.h"

#define LAPSE 4800
#define WAIT 1500
#define COVER 1800
#define PATIENCE 300

static struct ht_target_entry entry_at(int i, struct ht_revision at, bool draining)
{
	struct ht_target_entry e = entry_of(i, "stock", "here");

	e.revision = at;
	e.draining = draining;
	return e;
}

static enum ht_catalog_change put_at(int i, struct ht_revision at, bool draining)
{
	struct ht_target_entry e = entry_at(i, at, draining);

	return ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
}

static const struct ht_target *target(int i)
{
	char name[HT_CATALOG_NAME];

	snprintf(name, sizeof(name), "i-%x", 0x1000 + i);
	return ht_catalog_by_name(cat, name);
}

static bool in_use(int i)
{
	return target(i) && target(i)->eligible;
}

static bool is_gone(int i)
{
	return target(i)->gone_at != HT_NEVER;
}

/* Era 1: number 1 serves, 2 drains, 3 has left; everything is known up to 40. */
static void know_first_era(void)
{
	ht_catalog_begin_era(cat, 1, 0, now);
	put_at(1, rev_of(1, 20), false);
	put_at(2, rev_of(1, 21), false);
	put_at(3, rev_of(1, 22), false);
	put_at(2, rev_of(1, 30), true);
	ht_catalog_remove_target(cat, "i-1003", rev_of(1, 31), now, now);
	now += 5000;
}

/* Era 2, first seen at revision @at; the copy is from before 30. */
static void begin_second_era(uint64_t at)
{
	ht_catalog_begin_era(cat, 2, 40, now);
	ht_catalog_note_era_revision(cat, rev_of(2, at));
	ht_catalog_begin_listing(cat, HT_CATALOG_STORE);
	put_at(1, rev_of(2, 20), false);
	put_at(2, rev_of(2, 21), false);
	put_at(3, rev_of(2, 22), false);
	ht_catalog_end_listing(cat, HT_CATALOG_STORE, rev_of(2, at), now, now + 2500);
}

START_TEST(the_pair_of_era_and_number_orders)
{
	char text[HT_REVISION_TEXT];

	ck_assert(ht_revision_before(rev_of(1, 99), rev_of(2, 3)));
	ck_assert(ht_revision_before(rev_of(2, 3), rev_of(2, 4)));
	ck_assert(!ht_revision_before(rev_of(2, 4), rev_of(2, 4)));
	ck_assert(ht_revision_before(rev_of(7, 7), HT_REVISION_NEVER));
	ck_assert_str_eq(ht_revision_text(text, rev(17)), "17");
	ck_assert_str_eq(ht_revision_text(text, rev_of(2, 17)), "2.17");
}
END_TEST

/* Pattern: a target that had left is back in the copy. */
START_TEST(target_that_had_left_is_not_used_until_it_writes_again)
{
	know_first_era();
	begin_second_era(28);
	ck_assert(in_use(1));
	ck_assert(!in_use(3) && target(3)->restored);
	ck_assert_uint_eq(ht_catalog_restored(cat), 1);
	/* The same entry once more, from a neighbour or a later listing. */
	ck_assert_int_eq(put_at(3, rev_of(2, 22), false), HT_CATALOG_SAME);
	ck_assert(!in_use(3));
	/* Its mark is still known: packets of its flows go nowhere else. */
	ck_assert_ptr_eq(ht_catalog_by_mark(cat, target(3)->marks[0].value), target(3));
	ck_assert_int_eq(put_at(3, rev_of(2, 29), false), HT_CATALOG_CHANGED);
	ck_assert(in_use(3) && !target(3)->restored);
	ck_assert_uint_eq(ht_catalog_restored(cat), 0);
}
END_TEST

START_TEST(target_that_drained_drains_on)
{
	know_first_era();
	begin_second_era(28);
	ck_assert(!in_use(2) && !is_gone(2));
	ck_assert_int_eq(put_at(2, rev_of(2, 21), false), HT_CATALOG_SAME);
	ck_assert(!in_use(2));
	put_at(2, rev_of(2, 30), true);
	ck_assert(!in_use(2));
	/* What it writes itself counts. */
	put_at(2, rev_of(2, 31), false);
	ck_assert(in_use(2));
}
END_TEST

START_TEST(next_lifetime_is_used_at_once)
{
	struct ht_target_entry e;

	know_first_era();
	ht_catalog_begin_era(cat, 2, 40, now);
	ht_catalog_note_era_revision(cat, rev_of(2, 28));
	e = entry_at(3, rev_of(2, 25), false);
	e.started++;
	ck_assert_int_eq(ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now), HT_CATALOG_CHANGED);
	ck_assert(in_use(3));
}
END_TEST

/* Guards against the entry of an earlier lifetime, at another address, which the copy holds. */
START_TEST(later_lifetime_keeps_its_address)
{
	struct ht_target_entry e = entry_at(4, rev_of(1, 33), false);

	know_first_era();
	ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
	begin_second_era(28);
	e.started--;
	e.at.port = 9999;
	e.revision = rev_of(2, 24);
	ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
	ck_assert_uint_eq(target(4)->at.port, 8080);
}
END_TEST

/* Guards against an instance that knows of the departure by the target's absence only. */
START_TEST(entry_that_was_known_to_be_gone_by_its_absence_is_not_used)
{
	know_first_era();
	begin_second_era(28);
	/* Registered and gone again before this instance started: revision 26 was known. */
	put_at(5, rev_of(2, 26), false);
	ck_assert(!in_use(5) && target(5)->restored);
	/* Later than all that was known: the copy may know more. */
	ht_catalog_begin_era(cat, 3, 27, now);
	ht_catalog_note_era_revision(cat, rev_of(3, 29));
	put_at(6, rev_of(3, 28), false);
	ck_assert(in_use(6));
}
END_TEST

/* Pattern: a live target's entry lapsed; since the return its reports change nothing there. */
START_TEST(entry_that_outlives_the_lapse_of_silent_ones_is_used_again)
{
	know_first_era();
	begin_second_era(28);
	ck_assert_uint_eq(ht_catalog_readmit_restored(cat, now + LAPSE - 1, LAPSE, now), 0);
	ck_assert(!in_use(3));
	now += LAPSE;
	ck_assert_uint_eq(ht_catalog_readmit_restored(cat, now, LAPSE, now), 1);
	ck_assert(in_use(3) && !is_gone(3));
	ck_assert(!in_use(2));
	/* A neighbour that has not seen as much takes nothing back. */
	{
		struct ht_target_entry e = entry_at(3, rev_of(2, 22), false);

		e.restored = true;
		ht_catalog_put_target(cat, &e, HT_CATALOG_NEIGHBOUR, now);
		ck_assert(in_use(3));
	}
}
END_TEST

START_TEST(entry_that_lapses_is_gone_for_good)
{
	know_first_era();
	begin_second_era(28);
	ht_catalog_remove_target(cat, "i-1003", rev_of(2, 33), now, now);
	ck_assert(!target(3)->restored);
	ck_assert_uint_eq(ht_catalog_readmit_restored(cat, now + LAPSE, LAPSE, now), 0);
	ck_assert(!in_use(3));
	/* Also when a listing shows it. */
	begin_second_era(28);
	ht_catalog_begin_listing(cat, HT_CATALOG_STORE);
	ht_catalog_end_listing(cat, HT_CATALOG_STORE, rev_of(2, 40), now, now);
	ck_assert_uint_eq(ht_catalog_restored(cat), 0);
}
END_TEST

START_TEST(target_that_the_copy_lacks_is_held_for_a_while)
{
	know_first_era();
	put_at(7, rev_of(1, 35), false);
	begin_second_era(28);
	ck_assert(in_use(7));
	/* Its flows go on in any case. */
	ck_assert_ptr_eq(ht_catalog_by_mark(cat, target(7)->marks[0].value), target(7));
	ht_catalog_expire(cat, now + 2500, 60000);
	ck_assert(!in_use(7));
	put_at(7, rev_of(2, 29), false);
	ck_assert(in_use(7));
}
END_TEST

/* Pattern: entries lapse in an outage, and the store comes back from before it. */
START_TEST(held_entry_that_the_copy_has_stays_in_use)
{
	know_first_era();
	ht_catalog_remove_target(cat, "i-1001", rev_of(1, 38), now, now + 2500);
	begin_second_era(28);
	ht_catalog_expire(cat, now + 2500, 60000);
	ck_assert(in_use(1) && !target(1)->restored);
}
END_TEST

START_TEST(what_an_earlier_era_tells_is_ignored)
{
	know_first_era();
	begin_second_era(28);
	ck_assert_int_eq(put_at(1, rev_of(1, 99), true), HT_CATALOG_OLDER);
	ck_assert_int_eq(put_at(9, rev_of(1, 99), false), HT_CATALOG_OLDER);
	ck_assert_ptr_null(target(9));
	ck_assert_int_eq(ht_catalog_remove_target(cat, "i-1001", rev_of(1, 99), now, now),
			 HT_CATALOG_OLDER);
	ht_catalog_begin_listing(cat, HT_CATALOG_NEIGHBOUR);
	ck_assert_uint_eq(
		ht_catalog_end_listing(cat, HT_CATALOG_NEIGHBOUR, rev_of(1, 99), now, now), 0);
	ck_assert(in_use(1));
}
END_TEST

static enum ht_catalog_change put_version(uint64_t version, struct ht_revision at, uint16_t port)
{
	struct ht_route_entry e = {.at = {ADDRESS, port}, .service = "stock"};
	struct ht_route_table table = {.id = {version, at}, .count = 1, .entries = &e};

	return ht_catalog_set_routes(cat, &table);
}

static bool has_route(uint16_t port)
{
	return ht_catalog_route(cat, (struct ht_endpoint){ADDRESS, port});
}

/* Pattern: the operator's changes after the copy are lost, and written again one after the other.
 */
START_TEST(highest_version_stays_in_force)
{
	put_version(8, rev_of(1, 50), 8000);
	put_version(10, rev_of(1, 55), 8010);
	ht_catalog_begin_era(cat, 2, 60, now);
	ck_assert_int_eq(put_version(8, rev_of(2, 50), 8000), HT_CATALOG_OLDER);
	ck_assert(has_route(8010) && !has_route(8000));
	ck_assert_int_eq(put_version(9, rev_of(2, 52), 8009), HT_CATALOG_OLDER);
	ck_assert(has_route(8010));
	/* Written again it bears a revision of the era, from which differences can be told. */
	ck_assert_int_eq(put_version(10, rev_of(2, 53), 8010), HT_CATALOG_CHANGED);
	ck_assert_int_eq(put_version(10, rev_of(2, 53), 8010), HT_CATALOG_SAME);
	ck_assert_uint_gt(ht_catalog_routes_number(cat, rev_of(2, 53)), 0);
	ck_assert_int_eq(put_version(11, rev_of(2, 54), 8011), HT_CATALOG_CHANGED);
	ck_assert(has_route(8011) && !has_route(8010));
}
END_TEST

/* An instance that has started since knows the copy's version only. */
START_TEST(higher_version_of_an_earlier_era_wins)
{
	ht_catalog_begin_era(cat, 2, 0, now);
	put_version(8, rev_of(2, 50), 8000);
	ck_assert_int_eq(put_version(10, rev_of(1, 55), 8010), HT_CATALOG_CHANGED);
	ck_assert(has_route(8010) && !has_route(8000));
	ck_assert_int_eq(put_version(9, rev_of(2, 70), 8009), HT_CATALOG_OLDER);
	/* Configurations count in the order in which they came into force. */
	ck_assert_uint_gt(ht_catalog_routes_number(cat, rev_of(1, 55)),
			  ht_catalog_routes_number(cat, rev_of(2, 50)));
}
END_TEST

static struct ht_reading r;
static struct ht_reading_call call;
static ht_ms due;

static void start_reading(ht_ms due_age)
{
	const struct ht_reading_params reading_params = {
		.seed = 3, .pause = 700, .wait = WAIT, .hold = 2500, .neighbour_wait = PATIENCE};

	ht_reading_init(&r, &reading_params, now);
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(ht_reading_answered(&r, 4, now), HT_READING_CURRENT_ERA);
	ck_assert_int_eq(ht_reading_page(&r, rev_of(4, 90), false, "z", now), HT_READING_COMPLETE);
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ht_reading_changes(&r, rev_of(4, 90), false, now);
	ht_reading_set_max_age(&r, due_age);
}

static void expect_listing(void)
{
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ck_assert(!call.watch && !call.stale_ok);
	ck_assert_str_eq(call.after, "");
}

/* Pattern: the new counter has passed the revision that a watch starts from, so that it is answered
 * as if nothing had happened. */
START_TEST(watch_that_ends_in_a_newer_era_lists_again)
{
	start_reading(0);
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ck_assert(call.watch);
	now += 400;
	ck_assert_int_eq(ht_reading_answered(&r, 5, now), HT_READING_NEW_ERA);
	expect_listing();
	/* What was known is still in use, and its proof grows older. */
	ck_assert(ht_reading_complete(&r));
	ck_assert_int_eq(ht_reading_age(&r, now), 400);
	ck_assert_int_eq(ht_reading_hold_until(&r, now), now + 2500);
	ck_assert_int_eq(ht_reading_answered(&r, 5, now), HT_READING_CURRENT_ERA);
	ck_assert_int_eq(ht_reading_page(&r, rev_of(5, 70), false, "z", now), HT_READING_COMPLETE);
	ck_assert_int_eq(ht_reading_age(&r, now), 0);
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ck_assert(call.watch);
	ck_assert_uint_eq(call.since, 70);
}
END_TEST

START_TEST(era_between_two_pages_begins_the_listing_anew)
{
	start_reading(0);
	ht_reading_history_gone(&r, now);
	expect_listing();
	ck_assert_int_eq(ht_reading_answered(&r, 4, now), HT_READING_CURRENT_ERA);
	ck_assert_int_eq(ht_reading_page(&r, rev_of(4, 95), true, "m", now), HT_READING_MORE);
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ck_assert_str_eq(call.after, "m");
	ck_assert_int_eq(ht_reading_answered(&r, 5, now), HT_READING_NEW_ERA);
	expect_listing();
	/* A first page of the next era is one as well. */
	ck_assert_int_eq(ht_reading_answered(&r, 6, now), HT_READING_CURRENT_ERA);
	ck_assert_int_eq(ht_reading_page(&r, rev_of(6, 60), true, "m", now), HT_READING_MORE);
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(ht_reading_page(&r, rev_of(6, 61), false, "z", now), HT_READING_COMPLETE);
	ck_assert(ht_revision_equal(r.revision, rev_of(6, 60)));
}
END_TEST

START_TEST(answer_of_an_earlier_era_counts_as_failed)
{
	start_reading(0);
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(ht_reading_answered(&r, 3, now), HT_READING_OLD_ERA);
	ck_assert_int_eq(ht_reading_age(&r, now), 0);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_gt(due, now);
	now = due;
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ck_assert_uint_eq(call.since, 90);
}
END_TEST

/* Guards against hundreds of listings at once. */
START_TEST(covered_instance_takes_the_new_era_from_its_neighbours)
{
	start_reading(COVER);
	ck_assert(ht_reading_begin_era(&r, 5, now));
	ck_assert(!ht_reading_begin_era(&r, 5, now));
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now + PATIENCE + COVER - WAIT);
	now += 100;
	ht_reading_adopt(&r, rev_of(5, 70), now);
	ht_reading_proven_by_neighbour(&r, now - 20);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now - 20 + COVER);
	ck_assert(ht_revision_equal(r.revision, rev_of(5, 70)));
	/* Without one it lists by itself. */
	ht_reading_begin_era(&r, 6, now);
	ht_reading_adopt(&r, rev_of(5, 99), now);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	now = due;
	expect_listing();
}
END_TEST

/* An era that no read has shown is not believed: it costs a read each wait at most. */
START_TEST(era_that_a_neighbour_alone_tells_is_proven_by_a_read)
{
	int reads = 0;
	ht_ms end;

	start_reading(COVER);
	ht_reading_verify_era(&r, now);
	ck_assert_uint_eq(r.era, 4);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_le(due, now + WAIT);
	for (end = now + 10 * WAIT; now < end; now += 50) {
		ht_reading_verify_era(&r, now);
		ht_reading_proven_by_neighbour(&r, now);
		if (!ht_reading_next(&r, now, &call, &due))
			continue;
		reads++;
		ck_assert_int_eq(ht_reading_answered(&r, 4, now), HT_READING_CURRENT_ERA);
		ht_reading_changes(&r, rev_of(4, 90), false, now);
	}
	ck_assert_int_ge(reads, 5);
	ck_assert_int_le(reads, 10);
}
END_TEST

/* Instances that read one kind of objects, of which the first reads for all. */
#define FLEET_MAX 300
#define PAGES 6
#define NEWS_MS 400 /* until the last instance has heard what the first one has read */
#define AFTER_MS 10000

static struct ht_reading fleet[FLEET_MAX];
static ht_ms answer_due[FLEET_MAX];

static void start_fleet(int count)
{
	for (int i = 0; i < count; i++) {
		const struct ht_reading_params reading_params = {.seed = (uint64_t)i,
								 .pause = 700,
								 .wait = WAIT,
								 .hold = 2500,
								 .neighbour_wait = 500};
		ht_ms delay = (ht_ms)i * 100 < 310 ? (ht_ms)i * 100 : 310;

		ht_reading_init(&fleet[i], &reading_params, now);
		ht_reading_adopt(&fleet[i], rev_of(1, 90), now);
		ht_reading_proven_by_neighbour(&fleet[i], now);
		ht_reading_set_max_age(&fleet[i], i ? COVER + delay : 0);
		answer_due[i] = HT_NEVER;
	}
}

/* The store answers at once, a watch at its end. Returns true if everything is known as of now. */
static bool answer_of_second_era(struct ht_reading *one, int page)
{
	struct ht_revision at = rev_of(2, 60);
	char last[16];

	if (ht_reading_answered(one, 2, now) != HT_READING_CURRENT_ERA)
		return false;
	if (one->call.watch) {
		ht_reading_changes(one, at, false, now);
		return true;
	}
	snprintf(last, sizeof(last), "t%d", page);
	return ht_reading_page(one, at, page < PAGES, last, now) == HT_READING_COMPLETE;
}

/* Calls in the ten seconds after the return; @news: others hear what the first has read. */
static int calls_after_return(int count, bool news)
{
	int calls = 0, page[FLEET_MAX] = {0};
	ht_ms read_at = HT_NEVER, end = now + AFTER_MS;

	start_fleet(count);
	for (; now < end; now += 10) {
		for (int i = 0; i < count; i++) {
			struct ht_reading *one = &fleet[i];

			if (ht_reading_next(one, now, &call, &due)) {
				calls++;
				page[i] = call.watch || !call.after[0] ? 1 : page[i] + 1;
				answer_due[i] = now + (call.watch ? call.wait : 0);
			}
			if (now >= answer_due[i]) {
				answer_due[i] = HT_NEVER;
				if (answer_of_second_era(one, page[i]) && !i)
					read_at = now;
			}
			if (!i || !news || read_at == HT_NEVER ||
			    now != read_at + 10 * (1 + i * NEWS_MS / 10 / FLEET_MAX))
				continue;
			if (ht_reading_begin_era(one, 2, now))
				answer_due[i] = HT_NEVER;
			ht_reading_adopt(one, rev_of(2, 60), now);
			ht_reading_proven_by_neighbour(one, read_at);
		}
	}
	return calls;
}

START_TEST(calls_after_a_return_do_not_grow_with_the_fleet)
{
	int few = calls_after_return(3, true), many = calls_after_return(FLEET_MAX, true);

	/* One listing, and a watch each wait. */
	ck_assert_int_le(few, PAGES + 2 + AFTER_MS / WAIT);
	ck_assert_int_eq(many, few);
	/* Where nobody hears of another, each lists once and keeps its own proof young. */
	many = calls_after_return(FLEET_MAX, false);
	ck_assert_int_le(many, FLEET_MAX * (PAGES + 2 + AFTER_MS / WAIT));
}
END_TEST

static struct ht_view_state view_of(struct ht_revision targets, uint64_t version)
{
	return (struct ht_view_state){
		.usable = true, .standby = true, .routes = {version, targets}, .targets = targets};
}

/* Pattern: a data centre that was cut off comes back with what the store had forgotten meanwhile.
 */
START_TEST(view_of_an_earlier_era_is_not_fetched)
{
	struct ht_view_state own = view_of(rev_of(2, 30), 7), told = view_of(rev_of(1, 99), 7);

	ck_assert(!ht_view_later(&told, &own));
	ck_assert(ht_view_later(&own, &told));
	ck_assert(!ht_view_improves(&own, &told));
	/* But for a configuration that was accepted. */
	told.routes.version = 8;
	ck_assert(ht_view_later(&told, &own));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("eras");

	tcase_add_checked_fixture(tc, world_start, world_stop);
	tcase_add_test(tc, the_pair_of_era_and_number_orders);
	tcase_add_test(tc, target_that_had_left_is_not_used_until_it_writes_again);
	tcase_add_test(tc, target_that_drained_drains_on);
	tcase_add_test(tc, next_lifetime_is_used_at_once);
	tcase_add_test(tc, later_lifetime_keeps_its_address);
	tcase_add_test(tc, entry_that_was_known_to_be_gone_by_its_absence_is_not_used);
	tcase_add_test(tc, entry_that_outlives_the_lapse_of_silent_ones_is_used_again);
	tcase_add_test(tc, entry_that_lapses_is_gone_for_good);
	tcase_add_test(tc, target_that_the_copy_lacks_is_held_for_a_while);
	tcase_add_test(tc, held_entry_that_the_copy_has_stays_in_use);
	tcase_add_test(tc, what_an_earlier_era_tells_is_ignored);
	tcase_add_test(tc, highest_version_stays_in_force);
	tcase_add_test(tc, higher_version_of_an_earlier_era_wins);
	tcase_add_test(tc, watch_that_ends_in_a_newer_era_lists_again);
	tcase_add_test(tc, era_between_two_pages_begins_the_listing_anew);
	tcase_add_test(tc, answer_of_an_earlier_era_counts_as_failed);
	tcase_add_test(tc, covered_instance_takes_the_new_era_from_its_neighbours);
	tcase_add_test(tc, era_that_a_neighbour_alone_tells_is_proven_by_a_read);
	tcase_add_test(tc, calls_after_a_return_do_not_grow_with_the_fleet);
	tcase_add_test(tc, view_of_an_earlier_era_is_not_fetched);
	return run_case("eras", tc);
}
