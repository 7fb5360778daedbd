/* Tests of the scheduling of reads: limits on the age of the view and on the number of calls. */
#include "core/reading.h"
#include "tests/revision.h"
#include "tests/suite.h"

#include <string.h>

#define WAIT 1500
#define STANDBY_AGE 1800
#define HOLD 2500
#define NEIGHBOUR_WAIT 300
#define PAGES_WAIT 900

static struct ht_reading r;
static struct ht_reading_call call;
static ht_ms now, due;

static void start(void)
{
	const struct ht_reading_params params = {.seed = 3,
						 .pause = 700,
						 .wait = WAIT,
						 .hold = HOLD,
						 .neighbour_wait = NEIGHBOUR_WAIT,
						 .pages_wait = PAGES_WAIT};

	now = 1000;
	ht_reading_init(&r, &params, now);
}

static void expect_call(bool watch, bool cheap)
{
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(call.watch, watch);
	ck_assert_int_eq(call.stale_ok, cheap);
}

static void list_all(uint64_t number)
{
	expect_call(false, true);
	ck_assert_int_eq(ht_reading_page(&r, rev(number), false, "z", now), HT_READING_COMPLETE);
}

START_TEST(cheap_listing_is_confirmed_by_an_exact_read)
{
	list_all(40);
	ck_assert(!ht_reading_complete(&r));
	expect_call(true, false);
	ck_assert_uint_eq(call.since, 40);
	ck_assert_int_eq(call.wait, 1);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	now += 5;
	ht_reading_changes(&r, rev(42), true, now);
	ck_assert(ht_reading_complete(&r));
	/* The pause combines successive changes. */
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now + 700);
	now = due;
	expect_call(true, false);
	ck_assert_uint_eq(call.since, 42);
}
END_TEST

START_TEST(listing_continues_after_the_last_name)
{
	expect_call(false, true);
	ck_assert_int_eq(ht_reading_page(&r, rev(40), true, "m", now), HT_READING_MORE);
	expect_call(false, true);
	ck_assert_str_eq(call.after, "m");
	ck_assert_int_eq(ht_reading_page(&r, rev(44), false, "z", now), HT_READING_COMPLETE);
	/* The next read returns changes made between the pages. */
	ck_assert_uint_eq(r.revision.number, 40);
	ck_assert_int_eq(r.proven_at, HT_NEVER);
}
END_TEST

/* Guards against targets that keep getting new flows while they drain: the second page comes from
 * an older copy of the store than the first, so it lacks changes that the first page's revision
 * covers (docs/incidents/pages-of-different-ages.md). */
START_TEST(watch_starts_at_the_oldest_page)
{
	const uint64_t pages[] = {162, 161, 164, 158, 163};
	const char *const last[] = {"a", "b", "c", "d", "e"};

	for (size_t i = 0; i < 4; i++) {
		expect_call(false, true);
		ck_assert_int_eq(ht_reading_page(&r, rev(pages[i]), true, last[i], now),
				 HT_READING_MORE);
	}
	expect_call(false, true);
	ck_assert_int_eq(ht_reading_page(&r, rev(pages[4]), false, last[4], now),
			 HT_READING_COMPLETE);
	ck_assert_uint_eq(r.list_revision.number, 158);
	expect_call(true, false);
	ck_assert_uint_eq(call.since, 158);
}
END_TEST

/* Guards against targets that had left and are used again: neither a page that arrives after a
 * neighbour's view nor one that is older than the known view may be applied. */
START_TEST(late_and_stale_pages_are_not_usable)
{
	expect_call(false, true);
	ht_reading_adopt(&r, rev(50), true, now);
	ck_assert(!ht_reading_usable(ht_reading_page(&r, rev(40), true, "m", now)));
	ht_reading_history_gone(&r, now);
	expect_call(false, false);
	ck_assert(!ht_reading_usable(ht_reading_page(&r, rev(45), false, "z", now)));
	expect_call(false, false);
	ck_assert(ht_reading_usable(ht_reading_page(&r, rev(51), false, "z", now)));
}
END_TEST

/* Guards against a listing that never gets past an object with a long name. */
START_TEST(listing_continues_after_a_long_name)
{
	char name[1001];

	memset(name, 'n', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	expect_call(false, true);
	ck_assert_int_eq(ht_reading_page(&r, rev(40), true, name, now), HT_READING_MORE);
	expect_call(false, true);
	ck_assert_str_eq(call.after, name);
	ck_assert_int_eq(ht_reading_page(&r, rev(40), true, name, now), HT_READING_NO_PROGRESS);
	ht_reading_history_gone(&r, now);
	expect_call(false, false);
	ck_assert_str_eq(call.after, "");
}
END_TEST

/* Guards against a view of an earlier build that stays in force although it lacks changes: it is
 * used, but the objects are listed at once, whoever proves the view meanwhile. */
START_TEST(view_of_a_lower_level_is_listed_again)
{
	ht_reading_set_max_age(&r, STANDBY_AGE);
	ht_reading_set_deferred(&r, true);
	ht_reading_adopt(&r, rev(50), false, now);
	ht_reading_proven_by_neighbour(&r, now);
	ck_assert(r.listed && !r.verified);
	expect_call(false, false);
	/* Neither a difference nor a proof by a neighbour of the same build verifies the rest. */
	ht_reading_adopt(&r, rev(51), true, now);
	ck_assert(!r.verified);
	ck_assert_int_eq(ht_reading_page(&r, rev(52), true, "m", now), HT_READING_MORE);
	expect_call(false, false);
	ck_assert_int_eq(ht_reading_page(&r, rev(53), false, "z", now), HT_READING_COMPLETE);
	ck_assert(r.verified);
	ck_assert_uint_eq(r.revision.number, 52);
	ht_reading_adopt(&r, rev(60), true, now);
	ck_assert(r.verified);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
}
END_TEST

START_TEST(view_of_a_lower_level_does_not_interrupt_a_listing)
{
	expect_call(false, true);
	ck_assert_int_eq(ht_reading_page(&r, rev(50), true, "m", now), HT_READING_MORE);
	expect_call(false, true);
	ht_reading_adopt(&r, rev(45), false, now);
	ck_assert(r.listed && !r.verified);
	ck_assert_int_eq(ht_reading_page(&r, rev(50), false, "z", now), HT_READING_COMPLETE);
	ck_assert(r.verified);
	/* It is older than the view that was taken over meanwhile. */
	ht_reading_init(&r, &(struct ht_reading_params){.seed = 3, .wait = WAIT}, now);
	expect_call(false, true);
	ht_reading_adopt(&r, rev(60), false, now);
	ck_assert_int_eq(ht_reading_page(&r, rev(50), false, "z", now), HT_READING_STALE);
	expect_call(false, false);
}
END_TEST

/* The listing must not request the same page forever. */
START_TEST(page_without_progress_is_a_failure)
{
	expect_call(false, true);
	ck_assert_int_eq(ht_reading_page(&r, rev(40), true, "", now), HT_READING_NO_PROGRESS);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	now = due;
	expect_call(false, true);
	ck_assert_int_eq(ht_reading_page(&r, rev(40), true, "m", now), HT_READING_MORE);
	expect_call(false, true);
	ck_assert_int_eq(ht_reading_page(&r, rev(40), true, "m", now), HT_READING_NO_PROGRESS);
}
END_TEST

/* While the store answers, the last proof must not be older than one wait. */
START_TEST(proofs_come_at_regular_intervals)
{
	ht_ms oldest = 0;

	list_all(40);
	expect_call(true, false);
	ht_reading_changes(&r, rev(40), false, now);
	for (int i = 0; i < 40; i++) {
		while (!ht_reading_next(&r, now, &call, &due))
			now = due;
		/* Every third watch ends halfway because of a change. */
		now += i % 3 ? call.wait : call.wait / 2;
		if (ht_reading_age(&r, now) > oldest)
			oldest = ht_reading_age(&r, now);
		ht_reading_changes(&r, rev(40 + (uint64_t)i), i % 3 == 0, now);
	}
	ck_assert_int_le(oldest, WAIT);
}
END_TEST

START_TEST(standby_reads_when_the_proof_is_old)
{
	list_all(40);
	ht_reading_set_max_age(&r, STANDBY_AGE);
	/* Its neighbours have time to prove the first listing. */
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now + STANDBY_AGE - WAIT);
	ht_reading_proven_by_neighbour(&r, now - 100);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now - 100 + STANDBY_AGE);
	/* An older proof is ignored. */
	ht_reading_proven_by_neighbour(&r, now - 900);
	ck_assert_int_eq(ht_reading_age(&r, now), 100);
	now = due;
	expect_call(true, false);
	ck_assert_int_eq(call.wait, 1);
}
END_TEST

START_TEST(view_of_a_neighbour_replaces_the_listing)
{
	expect_call(false, true);
	ht_reading_adopt(&r, rev(70), true, now);
	ck_assert_int_eq(ht_reading_page(&r, rev(60), false, "z", now), HT_READING_IGNORED);
	ck_assert_uint_eq(r.revision.number, 70);
	expect_call(true, false);
	ck_assert_uint_eq(call.since, 70);
	ht_reading_adopt(&r, rev(65), true, now);
	ck_assert_uint_eq(r.revision.number, 70);
}
END_TEST

/* When hundreds of instances start together and thousands of targets are listed page by page, most
 * instances must get their view from the few that list. */
START_TEST(deferred_listing_waits_before_and_after_its_first_page)
{
	ht_reading_set_deferred(&r, true);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now + NEIGHBOUR_WAIT);
	now = due;
	expect_call(false, true);
	ck_assert_int_eq(ht_reading_page(&r, rev(40), true, "m", now), HT_READING_MORE);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now + PAGES_WAIT);
	/* No neighbour has supplied a view in time. */
	now = due;
	expect_call(false, true);
	ck_assert_str_eq(call.after, "m");
	ck_assert_int_eq(ht_reading_page(&r, rev(40), true, "q", now), HT_READING_MORE);
	expect_call(false, true);
	ck_assert_int_eq(ht_reading_page(&r, rev(40), false, "z", now), HT_READING_COMPLETE);
}
END_TEST

/* A running neighbour may supply its view before the first call. */
START_TEST(first_listing_waits_for_neighbours)
{
	r.params.start_delay = 30;
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now + 30);
	ht_reading_adopt(&r, rev(40), true, now);
	expect_call(true, false);
	ck_assert_uint_eq(call.since, 40);
}
END_TEST

START_TEST(deferral_ends_with_the_neighbour_or_its_view)
{
	expect_call(false, true);
	ht_reading_page(&r, rev(40), true, "m", now);
	ht_reading_set_deferred(&r, true);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ht_reading_set_deferred(&r, false);
	expect_call(false, true);
	ht_reading_set_deferred(&r, true);
	ht_reading_adopt(&r, rev(44), true, now);
	ck_assert_int_eq(ht_reading_page(&r, rev(40), true, "q", now), HT_READING_IGNORED);
	expect_call(true, false);
	ck_assert_uint_eq(call.since, 44);
}
END_TEST

/* After the history was dropped, a replica that is behind must not supply the listing. */
START_TEST(listing_after_lost_history_is_exact)
{
	list_all(40);
	expect_call(true, false);
	ht_reading_history_gone(&r, now);
	expect_call(false, false);
	ck_assert_int_eq(ht_reading_page(&r, rev(30), false, "z", now), HT_READING_STALE);
	expect_call(false, false);
	ck_assert_int_eq(ht_reading_page(&r, rev(80), false, "z", now), HT_READING_COMPLETE);
	ck_assert(ht_reading_complete(&r));
}
END_TEST

START_TEST(retry_delay_is_at_most_a_second)
{
	int calls = 0;
	ht_ms end;

	list_all(40);
	for (end = now + 10000; now < end; calls++) {
		while (!ht_reading_next(&r, now, &call, &due))
			now = due;
		ht_reading_failed(&r, now);
		ck_assert_int_le(r.due - now, 1000);
	}
	ck_assert_int_ge(calls, 10);
	ck_assert_int_le(calls, 25);
}
END_TEST

/* In an outage of the store, the retries of all instances add up. */
START_TEST(standby_retries_less_in_an_outage)
{
	int calls = 0;
	ht_ms end;

	list_all(40);
	ht_reading_set_max_age(&r, STANDBY_AGE);
	for (end = now + 10000; now < end; calls++) {
		while (!ht_reading_next(&r, now, &call, &due))
			now = due;
		ht_reading_failed(&r, now);
		/* It still retries often enough to keep the time limits after the outage. */
		ck_assert_int_le(r.due - now, STANDBY_AGE);
	}
	ck_assert_int_ge(calls, 5);
	ck_assert_int_le(calls, 10);
}
END_TEST

/* When all instances list at the same time, an overloaded store lets some calls time out. */
START_TEST(listing_resumes_at_the_page_that_failed)
{
	expect_call(false, true);
	ht_reading_page(&r, rev(40), true, "m", now);
	for (int i = 0; i < 5; i++) {
		while (!ht_reading_next(&r, now, &call, &due))
			now = due;
		ck_assert_str_eq(call.after, "m");
		ht_reading_failed(&r, now);
	}
}
END_TEST

START_TEST(missing_entries_are_held_after_failures_only)
{
	list_all(40);
	ck_assert_int_eq(ht_reading_hold_until(&r, now), now);
	expect_call(true, false);
	ht_reading_failed(&r, now);
	ck_assert_int_eq(ht_reading_hold_until(&r, now + 100), now + HOLD);
	ck_assert_int_eq(ht_reading_hold_until(&r, now + HOLD), now + HOLD);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("reading");

	tcase_add_checked_fixture(tc, start, NULL);
	tcase_add_test(tc, cheap_listing_is_confirmed_by_an_exact_read);
	tcase_add_test(tc, listing_continues_after_the_last_name);
	tcase_add_test(tc, listing_continues_after_a_long_name);
	tcase_add_test(tc, watch_starts_at_the_oldest_page);
	tcase_add_test(tc, late_and_stale_pages_are_not_usable);
	tcase_add_test(tc, view_of_a_lower_level_is_listed_again);
	tcase_add_test(tc, view_of_a_lower_level_does_not_interrupt_a_listing);
	tcase_add_test(tc, page_without_progress_is_a_failure);
	tcase_add_test(tc, proofs_come_at_regular_intervals);
	tcase_add_test(tc, standby_reads_when_the_proof_is_old);
	tcase_add_test(tc, view_of_a_neighbour_replaces_the_listing);
	tcase_add_test(tc, deferred_listing_waits_before_and_after_its_first_page);
	tcase_add_test(tc, first_listing_waits_for_neighbours);
	tcase_add_test(tc, deferral_ends_with_the_neighbour_or_its_view);
	tcase_add_test(tc, listing_after_lost_history_is_exact);
	tcase_add_test(tc, retry_delay_is_at_most_a_second);
	tcase_add_test(tc, standby_retries_less_in_an_outage);
	tcase_add_test(tc, listing_resumes_at_the_page_that_failed);
	tcase_add_test(tc, missing_entries_are_held_after_failures_only);
	return run_case("reading", tc);
}
