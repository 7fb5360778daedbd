/*
 * Tests of a store that is restored from an older backup, which begins a new era: entries that the
 * backup lacks, entries of removed targets that it contains again, and when the store is read.
 */
#include "core/neighbours.h"
#include "core/reading.h"
#include "tests/core/steering_world.h"
#include "tests/suite.h"

#define LAPSE 4800
#define WAIT 1500
#define STANDBY_MAX_AGE 1800
#define NEIGHBOUR_WAIT 300

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
	char name[32];

	snprintf(name, sizeof(name), "i-%x", 0x1000 + i);
	return ht_catalog_by_name(cat, name);
}

static bool in_use(int i)
{
	return target(i) && target(i)->eligible;
}

static bool is_removed(int i)
{
	return target(i)->gone_at != HT_NEVER;
}

/* Era 1: target 1 serves, 2 drains, 3 was removed; all changes up to revision 40 are known. */
static void set_up_first_era(void)
{
	ht_catalog_begin_era(cat, 1, 0, now);
	put_at(1, rev_of(1, 20), false);
	put_at(2, rev_of(1, 21), false);
	put_at(3, rev_of(1, 22), false);
	put_at(2, rev_of(1, 30), true);
	ht_catalog_remove_target(cat, "i-1003", rev_of(1, 31), now, now);
	now += 5000;
}

/* Era 2, first seen at revision @at; the backup was taken before revision 30. */
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

START_TEST(revisions_are_ordered_by_era_then_number)
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

/* Guards against new flows for a removed target whose entry is in the backup. */
START_TEST(removed_target_is_not_used_until_it_writes_again)
{
	set_up_first_era();
	begin_second_era(28);
	ck_assert(in_use(1));
	ck_assert(!in_use(3) && target(3)->restored);
	ck_assert_uint_eq(ht_catalog_restored(cat), 1);
	/* The same entry arrives again, from a neighbour or a later listing. */
	ck_assert_int_eq(put_at(3, rev_of(2, 22), false), HT_CATALOG_SAME);
	ck_assert(!in_use(3));
	/* Its mark stays known: packets of its flows are not sent to another target. */
	ck_assert_ptr_eq(ht_catalog_by_mark(cat, target(3)->marks[0].value), target(3));
	ck_assert_int_eq(put_at(3, rev_of(2, 29), false), HT_CATALOG_CHANGED);
	ck_assert(in_use(3) && !target(3)->restored);
	ck_assert_uint_eq(ht_catalog_restored(cat), 0);
}
END_TEST

START_TEST(draining_target_stays_draining)
{
	set_up_first_era();
	begin_second_era(28);
	ck_assert(!in_use(2) && !is_removed(2));
	ck_assert_int_eq(put_at(2, rev_of(2, 21), false), HT_CATALOG_SAME);
	ck_assert(!in_use(2));
	put_at(2, rev_of(2, 30), true);
	ck_assert(!in_use(2));
	/* An entry that the target wrote in the new era counts. */
	put_at(2, rev_of(2, 31), false);
	ck_assert(in_use(2));
}
END_TEST

START_TEST(restarted_target_is_used_at_once)
{
	struct ht_target_entry e;

	set_up_first_era();
	ht_catalog_begin_era(cat, 2, 40, now);
	ht_catalog_note_era_revision(cat, rev_of(2, 28));
	e = entry_at(3, rev_of(2, 25), false);
	e.started++;
	ck_assert_int_eq(ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now), HT_CATALOG_CHANGED);
	ck_assert(in_use(3));
}
END_TEST

/* Guards against taking an address from the backup: it contains the entry of an earlier start of
 * the target, at another address. */
START_TEST(restarted_target_keeps_its_address)
{
	struct ht_target_entry e = entry_at(4, rev_of(1, 33), false);

	set_up_first_era();
	ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
	begin_second_era(28);
	e.started--;
	e.at.port = 9999;
	e.revision = rev_of(2, 24);
	ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
	ck_assert_uint_eq(target(4)->at.port, 8080);
}
END_TEST

/* Guards against using a removed target of which this instance has never seen an entry: it knows of
 * the removal only because the entry was missing in a complete listing. */
START_TEST(entry_missing_in_earlier_listing_is_not_used)
{
	set_up_first_era();
	begin_second_era(28);
	/* Registered and removed before this instance started: all changes up to revision 26 were
	 * known. */
	put_at(5, rev_of(2, 26), false);
	ck_assert(!in_use(5) && target(5)->restored);
	/* The entry is later than all known changes: the backup may be newer than the view. */
	ht_catalog_begin_era(cat, 3, 27, now);
	ht_catalog_note_era_revision(cat, rev_of(3, 29));
	put_at(6, rev_of(3, 28), false);
	ck_assert(in_use(6));
}
END_TEST

/* The entry of a live target expired, and the backup contains it again, so that the reports of the
 * target no longer change the entry. Guards against never using the target again. */
START_TEST(restored_entry_still_present_after_lapse_is_used)
{
	set_up_first_era();
	begin_second_era(28);
	ck_assert_uint_eq(ht_catalog_readmit_restored(cat, now + LAPSE - 1, LAPSE, now), 0);
	ck_assert(!in_use(3));
	now += LAPSE;
	ck_assert_uint_eq(ht_catalog_readmit_restored(cat, now, LAPSE, now), 1);
	ck_assert(in_use(3) && !is_removed(3));
	ck_assert(!in_use(2));
	/* The update of a neighbour that still has it as restored changes nothing. */
	{
		struct ht_target_entry e = entry_at(3, rev_of(2, 22), false);

		e.restored = true;
		ht_catalog_put_target(cat, &e, HT_CATALOG_NEIGHBOUR, now);
		ck_assert(in_use(3));
	}
}
END_TEST

START_TEST(restored_entry_that_is_deleted_stays_removed)
{
	set_up_first_era();
	begin_second_era(28);
	ht_catalog_remove_target(cat, "i-1003", rev_of(2, 33), now, now);
	ck_assert(!target(3)->restored);
	ck_assert_uint_eq(ht_catalog_readmit_restored(cat, now + LAPSE, LAPSE, now), 0);
	ck_assert(!in_use(3));
	/* The same if a listing no longer contains it. */
	begin_second_era(28);
	ht_catalog_begin_listing(cat, HT_CATALOG_STORE);
	ht_catalog_end_listing(cat, HT_CATALOG_STORE, rev_of(2, 40), now, now);
	ck_assert_uint_eq(ht_catalog_restored(cat), 0);
}
END_TEST

START_TEST(target_missing_in_backup_is_held_for_a_while)
{
	set_up_first_era();
	put_at(7, rev_of(1, 35), false);
	begin_second_era(28);
	ck_assert(in_use(7));
	/* Its existing flows continue in any case. */
	ck_assert_ptr_eq(ht_catalog_by_mark(cat, target(7)->marks[0].value), target(7));
	ht_catalog_expire(cat, now + 2500, 60000);
	ck_assert(!in_use(7));
	put_at(7, rev_of(2, 29), false);
	ck_assert(in_use(7));
}
END_TEST

/* Entries expire during an outage, and the store is restored from a backup taken before it. */
START_TEST(held_entry_in_backup_stays_in_use)
{
	set_up_first_era();
	ht_catalog_remove_target(cat, "i-1001", rev_of(1, 38), now, now + 2500);
	begin_second_era(28);
	ht_catalog_expire(cat, now + 2500, 60000);
	ck_assert(in_use(1) && !target(1)->restored);
}
END_TEST

START_TEST(updates_of_earlier_era_are_ignored)
{
	set_up_first_era();
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

/* The operator's changes since the backup are lost and written again one after the other. Guards
 * against applying the older versions meanwhile. */
START_TEST(highest_version_stays_in_force)
{
	put_version(8, rev_of(1, 50), 8000);
	put_version(10, rev_of(1, 55), 8010);
	ht_catalog_begin_era(cat, 2, 60, now);
	ck_assert_int_eq(put_version(8, rev_of(2, 50), 8000), HT_CATALOG_OLDER);
	ck_assert(has_route(8010) && !has_route(8000));
	ck_assert_int_eq(put_version(9, rev_of(2, 52), 8009), HT_CATALOG_OLDER);
	ck_assert(has_route(8010));
	/* Written again, it has a revision of the new era, which can be the base of
	 * differences. */
	ck_assert_int_eq(put_version(10, rev_of(2, 53), 8010), HT_CATALOG_CHANGED);
	ck_assert_int_eq(put_version(10, rev_of(2, 53), 8010), HT_CATALOG_SAME);
	ck_assert_uint_gt(ht_catalog_routes_number(cat, rev_of(2, 53)), 0);
	ck_assert_int_eq(put_version(11, rev_of(2, 54), 8011), HT_CATALOG_CHANGED);
	ck_assert(has_route(8011) && !has_route(8010));
}
END_TEST

/* An instance that was started after the restore knows only the version of the backup. */
START_TEST(higher_version_of_earlier_era_is_applied)
{
	ht_catalog_begin_era(cat, 2, 0, now);
	put_version(8, rev_of(2, 50), 8000);
	ck_assert_int_eq(put_version(10, rev_of(1, 55), 8010), HT_CATALOG_CHANGED);
	ck_assert(has_route(8010) && !has_route(8000));
	ck_assert_int_eq(put_version(9, rev_of(2, 70), 8009), HT_CATALOG_OLDER);
	/* Configurations are numbered in the order in which they came into force. */
	ck_assert_uint_gt(ht_catalog_routes_number(cat, rev_of(1, 55)),
			  ht_catalog_routes_number(cat, rev_of(2, 50)));
}
END_TEST

static struct ht_reading r;
static struct ht_reading_call call;
static ht_ms due;

static void start_reading(ht_ms max_age)
{
	const struct ht_reading_params reading_params = {.seed = 3,
							 .pause = 700,
							 .wait = WAIT,
							 .hold = 2500,
							 .neighbour_wait = NEIGHBOUR_WAIT,
							 .pages_wait = NEIGHBOUR_WAIT};

	ht_reading_init(&r, &reading_params, now);
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(ht_reading_answered(&r, 4, now), HT_READING_CURRENT_ERA);
	ck_assert_int_eq(ht_reading_page(&r, rev_of(4, 90), false, "z", now), HT_READING_COMPLETE);
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ht_reading_changes(&r, rev_of(4, 90), false, now);
	ht_reading_set_max_age(&r, max_age);
}

static void expect_listing(void)
{
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ck_assert(!call.watch && !call.stale_ok);
	ck_assert_str_eq(call.after, "");
}

/* The revisions of the new era may already be higher than the one that a watch starts from, so that
 * the store answers it without an error. Guards against continuing from such an answer. */
START_TEST(watch_that_ends_in_newer_era_causes_listing)
{
	start_reading(0);
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ck_assert(call.watch);
	now += 400;
	ck_assert_int_eq(ht_reading_answered(&r, 5, now), HT_READING_NEW_ERA);
	expect_listing();
	/* The known view stays in use, and the age of its proof grows. */
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

START_TEST(new_era_between_two_pages_restarts_listing)
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
	/* The first page of the listing may already be of the next era. */
	ck_assert_int_eq(ht_reading_answered(&r, 6, now), HT_READING_CURRENT_ERA);
	ck_assert_int_eq(ht_reading_page(&r, rev_of(6, 60), true, "m", now), HT_READING_MORE);
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(ht_reading_page(&r, rev_of(6, 61), false, "z", now), HT_READING_COMPLETE);
	ck_assert(ht_revision_equal(r.revision, rev_of(6, 60)));
}
END_TEST

START_TEST(answer_of_earlier_era_counts_as_failed_call)
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

/* Guards against hundreds of instances listing at once when an era begins. */
START_TEST(standby_instance_takes_new_era_from_neighbours)
{
	start_reading(STANDBY_MAX_AGE);
	ck_assert(ht_reading_begin_era(&r, 5, now));
	ck_assert(!ht_reading_begin_era(&r, 5, now));
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now + NEIGHBOUR_WAIT + STANDBY_MAX_AGE - WAIT);
	now += 100;
	ht_reading_adopt(&r, rev_of(5, 70), true, now);
	ht_reading_proven_by_neighbour(&r, now - 20);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now - 20 + STANDBY_MAX_AGE);
	ck_assert(ht_revision_equal(r.revision, rev_of(5, 70)));
	/* Without a neighbour's view of the new era it lists itself. */
	ht_reading_begin_era(&r, 6, now);
	ht_reading_adopt(&r, rev_of(5, 99), true, now);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	now = due;
	expect_listing();
}
END_TEST

/* An era that only a neighbour reports is not adopted. Repeated reports cause at most one read per
 * WAIT. */
START_TEST(era_reported_by_neighbour_is_proven_by_a_read)
{
	int reads = 0;
	ht_ms end;

	start_reading(STANDBY_MAX_AGE);
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

/* Instances that read one kind of objects; the first reads for the others. */
#define INSTANCES_MAX 300
#define PAGES 6
#define ANNOUNCE_MS 400 /* until the first one's announcement has reached the last instance */
#define AFTER_MS 10000

static struct ht_reading instances[INSTANCES_MAX];
static ht_ms answer_due[INSTANCES_MAX];

static void start_instances(int count)
{
	for (int i = 0; i < count; i++) {
		const struct ht_reading_params reading_params = {.seed = (uint64_t)i,
								 .pause = 700,
								 .wait = WAIT,
								 .hold = 2500,
								 .neighbour_wait = 500,
								 .pages_wait = 500};
		ht_ms delay = (ht_ms)i * 100 < 310 ? (ht_ms)i * 100 : 310;

		ht_reading_init(&instances[i], &reading_params, now);
		ht_reading_adopt(&instances[i], rev_of(1, 90), true, now);
		ht_reading_proven_by_neighbour(&instances[i], now);
		ht_reading_set_max_age(&instances[i], i ? STANDBY_MAX_AGE + delay : 0);
		answer_due[i] = HT_NEVER;
	}
}

/* Handles an answer of era 2; the store answers a listing at once, a watch at its end. Returns true
 * if the view is complete and proven as of now. */
static bool handle_answer_of_second_era(struct ht_reading *one, int page)
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

/* Number of calls to the store in the AFTER_MS after the restore; @announced: the others receive
 * what the first has read. */
static int calls_after_restore(int count, bool announced)
{
	int calls = 0, page[INSTANCES_MAX] = {0};
	ht_ms read_at = HT_NEVER, end = now + AFTER_MS;

	start_instances(count);
	for (; now < end; now += 10) {
		for (int i = 0; i < count; i++) {
			struct ht_reading *one = &instances[i];

			if (ht_reading_next(one, now, &call, &due)) {
				calls++;
				page[i] = call.watch || !call.after[0] ? 1 : page[i] + 1;
				answer_due[i] = now + (call.watch ? call.wait : 0);
			}
			if (now >= answer_due[i]) {
				answer_due[i] = HT_NEVER;
				if (handle_answer_of_second_era(one, page[i]) && !i)
					read_at = now;
			}
			if (!i || !announced || read_at == HT_NEVER ||
			    now != read_at + 10 * (1 + i * ANNOUNCE_MS / 10 / INSTANCES_MAX))
				continue;
			if (ht_reading_begin_era(one, 2, now))
				answer_due[i] = HT_NEVER;
			ht_reading_adopt(one, rev_of(2, 60), true, now);
			ht_reading_proven_by_neighbour(one, read_at);
		}
	}
	return calls;
}

START_TEST(calls_after_restore_do_not_grow_with_instances)
{
	int few = calls_after_restore(3, true), many = calls_after_restore(INSTANCES_MAX, true);

	/* One listing, then one watch per WAIT. */
	ck_assert_int_le(few, PAGES + 2 + AFTER_MS / WAIT);
	ck_assert_int_eq(many, few);
	/* Without announcements, each instance lists once and renews its own proof. */
	many = calls_after_restore(INSTANCES_MAX, false);
	ck_assert_int_le(many, INSTANCES_MAX * (PAGES + 2 + AFTER_MS / WAIT));
}
END_TEST

static struct ht_view_state view_of(struct ht_revision targets, uint64_t version)
{
	return (struct ht_view_state){
		.usable = true, .standby = true, .routes = {version, targets}, .targets = targets};
}

/* A data centre that was cut off still has the view of the earlier era, with changes that the
 * restored store lacks. Guards against fetching these. */
START_TEST(view_of_earlier_era_is_not_fetched)
{
	struct ht_view_state own = view_of(rev_of(2, 30), 7), other = view_of(rev_of(1, 99), 7);

	ck_assert(!ht_view_later(&other, &own));
	ck_assert(ht_view_later(&own, &other));
	ck_assert(!ht_view_improves(&own, &other));
	/* Except for a higher version of the configuration, which was accepted. */
	other.routes.version = 8;
	ck_assert(ht_view_later(&other, &own));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("eras");

	tcase_add_checked_fixture(tc, world_start, world_stop);
	tcase_add_test(tc, revisions_are_ordered_by_era_then_number);
	tcase_add_test(tc, removed_target_is_not_used_until_it_writes_again);
	tcase_add_test(tc, draining_target_stays_draining);
	tcase_add_test(tc, restarted_target_is_used_at_once);
	tcase_add_test(tc, restarted_target_keeps_its_address);
	tcase_add_test(tc, entry_missing_in_earlier_listing_is_not_used);
	tcase_add_test(tc, restored_entry_still_present_after_lapse_is_used);
	tcase_add_test(tc, restored_entry_that_is_deleted_stays_removed);
	tcase_add_test(tc, target_missing_in_backup_is_held_for_a_while);
	tcase_add_test(tc, held_entry_in_backup_stays_in_use);
	tcase_add_test(tc, updates_of_earlier_era_are_ignored);
	tcase_add_test(tc, highest_version_stays_in_force);
	tcase_add_test(tc, higher_version_of_earlier_era_is_applied);
	tcase_add_test(tc, watch_that_ends_in_newer_era_causes_listing);
	tcase_add_test(tc, new_era_between_two_pages_restarts_listing);
	tcase_add_test(tc, answer_of_earlier_era_counts_as_failed_call);
	tcase_add_test(tc, standby_instance_takes_new_era_from_neighbours);
	tcase_add_test(tc, era_reported_by_neighbour_is_proven_by_a_read);
	tcase_add_test(tc, calls_after_restore_do_not_grow_with_instances);
	tcase_add_test(tc, view_of_earlier_era_is_not_fetched);
	return run_case("eras", tc);
}
