/* Tests of when the store is read: bounds on the age of what is known, and the cost of calls. */
#include "core/reading.h"
#include "tests/revision.h"
#include "tests/suite.h"

#define WAIT 1500
#define COVER 1800
#define SETTLE 2500
#define PATIENCE 300

static struct ht_reading r;
static struct ht_reading_call call;
static ht_ms now, due;

static void start(void)
{
	const struct ht_reading_params params = {
		.seed = 3, .pause = 700, .wait = WAIT, .settle = SETTLE, .patience = PATIENCE};

	now = 1000;
	ht_reading_init(&r, &params, now);
}

static void expect_call(bool watch, bool cheap)
{
	ck_assert(ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(call.watch, watch);
	ck_assert_int_eq(call.cheap, cheap);
}

static void list_whole(uint64_t number)
{
	expect_call(false, true);
	ck_assert_int_eq(ht_reading_page(&r, rev(number), false, "z", now), HT_READING_WHOLE);
}

START_TEST(cheap_listing_is_confirmed_by_an_exact_read)
{
	list_whole(40);
	ck_assert(!ht_reading_complete(&r));
	expect_call(true, false);
	ck_assert_uint_eq(call.since, 40);
	ck_assert_int_eq(call.wait, 1);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	now += 5;
	ht_reading_changes(&r, rev(42), true, now);
	ck_assert(ht_reading_complete(&r));
	/* Changes that come in a row are gathered. */
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now + 700);
	now = due;
	expect_call(true, false);
	ck_assert_uint_eq(call.since, 42);
}
END_TEST

START_TEST(pages_go_on_after_the_last_name)
{
	expect_call(false, true);
	ck_assert_int_eq(ht_reading_page(&r, rev(40), true, "m", now), HT_READING_MORE);
	expect_call(false, true);
	ck_assert_str_eq(call.after, "m");
	ck_assert_int_eq(ht_reading_page(&r, rev(44), false, "z", now), HT_READING_WHOLE);
	/* Changes between the pages are heard again. */
	ck_assert_uint_eq(r.revision.number, 40);
	ck_assert_int_eq(r.proven_at, HT_NEVER);
}
END_TEST

/* Guards against a listing that asks for the same page for ever. */
START_TEST(page_that_leads_nowhere_is_a_failure)
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

/* Guards against a proof that grows older than one wait while the store answers. */
START_TEST(proofs_come_at_even_intervals)
{
	ht_ms oldest = 0;

	list_whole(40);
	expect_call(true, false);
	ht_reading_changes(&r, rev(40), false, now);
	for (int i = 0; i < 40; i++) {
		while (!ht_reading_next(&r, now, &call, &due))
			now = due;
		/* Every third watch is ended by a change halfway. */
		now += i % 3 ? call.wait : call.wait / 2;
		if (ht_reading_age(&r, now) > oldest)
			oldest = ht_reading_age(&r, now);
		ht_reading_changes(&r, rev(40 + (uint64_t)i), i % 3 == 0, now);
	}
	ck_assert_int_le(oldest, WAIT);
}
END_TEST

START_TEST(covered_instance_reads_when_the_proof_is_old)
{
	list_whole(40);
	ht_reading_set_due_age(&r, COVER);
	/* Its neighbours get time to prove the first listing. */
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now + COVER - WAIT);
	ht_reading_learn(&r, now - 100);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now - 100 + COVER);
	/* An older proof takes nothing back. */
	ht_reading_learn(&r, now - 900);
	ck_assert_int_eq(ht_reading_age(&r, now), 100);
	now = due;
	expect_call(true, false);
	ck_assert_int_eq(call.wait, 1);
}
END_TEST

START_TEST(neighbours_view_replaces_the_listing)
{
	expect_call(false, true);
	ht_reading_adopt(&r, rev(70), now);
	ck_assert_int_eq(ht_reading_page(&r, rev(60), false, "z", now), HT_READING_IGNORED);
	ck_assert_uint_eq(r.revision.number, 70);
	expect_call(true, false);
	ck_assert_uint_eq(call.since, 70);
	ht_reading_adopt(&r, rev(65), now);
	ck_assert_uint_eq(r.revision.number, 70);
}
END_TEST

/* Guards against a listing from a replica that is behind, after the history was dropped. */
/* Pattern: hundreds of instances start together and thousands of targets are listed page by page.
 */
/* Pattern: hundreds of instances start together; most get their view from those that list. */
START_TEST(patient_listing_waits_before_and_after_its_first_page)
{
	ht_reading_set_patient(&r, true);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now + PATIENCE);
	now = due;
	expect_call(false, true);
	ck_assert_int_eq(ht_reading_page(&r, rev(40), true, "m", now), HT_READING_MORE);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now + PATIENCE);
	/* Nobody has helped in time. */
	now = due;
	expect_call(false, true);
	ck_assert_str_eq(call.after, "m");
	ck_assert_int_eq(ht_reading_page(&r, rev(40), true, "q", now), HT_READING_MORE);
	expect_call(false, true);
	ck_assert_int_eq(ht_reading_page(&r, rev(40), false, "z", now), HT_READING_WHOLE);
}
END_TEST

/* A neighbour that is up may answer before the first call. */
START_TEST(first_listing_asks_neighbours_first)
{
	r.params.ask = 30;
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ck_assert_int_eq(due, now + 30);
	ht_reading_adopt(&r, rev(40), now);
	expect_call(true, false);
	ck_assert_uint_eq(call.since, 40);
}
END_TEST

START_TEST(patience_ends_with_the_neighbour_or_its_view)
{
	expect_call(false, true);
	ht_reading_page(&r, rev(40), true, "m", now);
	ht_reading_set_patient(&r, true);
	ck_assert(!ht_reading_next(&r, now, &call, &due));
	ht_reading_set_patient(&r, false);
	expect_call(false, true);
	ht_reading_set_patient(&r, true);
	ht_reading_adopt(&r, rev(44), now);
	ck_assert_int_eq(ht_reading_page(&r, rev(40), true, "q", now), HT_READING_IGNORED);
	expect_call(true, false);
	ck_assert_uint_eq(call.since, 44);
}
END_TEST

START_TEST(listing_after_lost_history_is_exact)
{
	list_whole(40);
	expect_call(true, false);
	ht_reading_history_gone(&r, now);
	expect_call(false, false);
	ck_assert_int_eq(ht_reading_page(&r, rev(30), false, "z", now), HT_READING_STALE);
	expect_call(false, false);
	ck_assert_int_eq(ht_reading_page(&r, rev(80), false, "z", now), HT_READING_WHOLE);
	ck_assert(ht_reading_complete(&r));
}
END_TEST

START_TEST(failures_back_off_within_a_second)
{
	int calls = 0;
	ht_ms end;

	list_whole(40);
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

/* Pattern: the store is down, and every instance asks it again and again. */
START_TEST(covered_instance_tries_less_in_an_outage)
{
	int calls = 0;
	ht_ms end;

	list_whole(40);
	ht_reading_set_due_age(&r, COVER);
	for (end = now + 10000; now < end; calls++) {
		while (!ht_reading_next(&r, now, &call, &due))
			now = due;
		ht_reading_failed(&r, now);
		/* It still tries often enough to be in time after the outage. */
		ck_assert_int_le(r.due - now, COVER);
	}
	ck_assert_int_ge(calls, 5);
	ck_assert_int_le(calls, 10);
}
END_TEST

/* Pattern: all instances list at once, and a store that is too busy answers some calls late. */
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

START_TEST(missing_entries_are_held_after_trouble_only)
{
	list_whole(40);
	ck_assert_int_eq(ht_reading_hold(&r, now), now);
	expect_call(true, false);
	ht_reading_failed(&r, now);
	ck_assert_int_eq(ht_reading_hold(&r, now + 100), now + SETTLE);
	ck_assert_int_eq(ht_reading_hold(&r, now + SETTLE), now + SETTLE);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("reading");

	tcase_add_checked_fixture(tc, start, NULL);
	tcase_add_test(tc, cheap_listing_is_confirmed_by_an_exact_read);
	tcase_add_test(tc, pages_go_on_after_the_last_name);
	tcase_add_test(tc, page_that_leads_nowhere_is_a_failure);
	tcase_add_test(tc, proofs_come_at_even_intervals);
	tcase_add_test(tc, covered_instance_reads_when_the_proof_is_old);
	tcase_add_test(tc, neighbours_view_replaces_the_listing);
	tcase_add_test(tc, patient_listing_waits_before_and_after_its_first_page);
	tcase_add_test(tc, first_listing_asks_neighbours_first);
	tcase_add_test(tc, patience_ends_with_the_neighbour_or_its_view);
	tcase_add_test(tc, listing_after_lost_history_is_exact);
	tcase_add_test(tc, failures_back_off_within_a_second);
	tcase_add_test(tc, covered_instance_tries_less_in_an_outage);
	tcase_add_test(tc, listing_resumes_at_the_page_that_failed);
	tcase_add_test(tc, missing_entries_are_held_after_trouble_only);
	return run_case("reading", tc);
}
