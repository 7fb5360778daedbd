/* Tests of the catalogue as a message: what it carries, and that nothing newer is taken back. */
#include "entry/snapshot.h"
#include "wire/frame.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

static struct ht_catalog *from, *to;

static void start(void)
{
	from = ht_catalog_new("north");
	to = ht_catalog_new("south");
}

static void stop(void)
{
	ht_catalog_free(from);
	ht_catalog_free(to);
}

static struct ht_target_entry entry(int i, uint64_t revision)
{
	struct ht_target_entry e = {
		.id = 0x1000U + (unsigned int)i,
		.at = {.ip = 0x0a000001U + (unsigned int)i, .port = 8080},
		.service = "stock",
		.dc = "north",
		.slots = 3,
		.started = 1700000000000 + i,
		.revision = revision,
	};

	snprintf(e.name, sizeof(e.name), "i-%x", 0x1000 + i);
	return e;
}

static void put(struct ht_catalog *cat, int i, uint64_t revision, bool draining)
{
	struct ht_target_entry e = entry(i, revision);

	e.draining = draining;
	ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, 0);
}

static void put_routes(struct ht_catalog *cat, uint64_t version, uint16_t port)
{
	struct ht_route_entry e = {.at = {.ip = 1, .port = port}, .service = "stock"};
	struct ht_route_table table = {
		.version = version, .revision = version, .count = 1, .entries = &e};

	ht_catalog_set_routes(cat, &table);
}

static size_t copy(uint64_t revision, ht_ms held_until)
{
	struct ht_buffer buf = {0};
	ProtobufCMessage *msg;
	struct ht_err err;
	size_t changed;

	ck_assert(ht_snapshot_write(&buf, from, revision, 0, &err));
	ck_assert_int_eq(
		ht_frame_take(&buf, HT_FRAME_MAX, &ht__entry_snapshot__descriptor, &msg, &err),
		HT_FRAME_OK);
	changed = ht_snapshot_apply(to, (const Ht__EntrySnapshot *)msg, 0, held_until);
	protobuf_c_message_free_unpacked(msg, NULL);
	ht_buffer_clear(&buf);
	return changed;
}

START_TEST(carries_the_whole_view)
{
	const struct ht_target *t;

	put_routes(from, 7, 443);
	put(from, 1, 5, false);
	put(from, 2, 6, true);
	ck_assert_uint_eq(copy(6, 0), 3);
	ck_assert_uint_eq(ht_catalog_version(to), 7);
	ck_assert_ptr_nonnull(ht_catalog_route(to, (struct ht_endpoint){.ip = 1, .port = 443}));
	t = ht_catalog_by_name(to, "i-1001");
	ck_assert_ptr_nonnull(t);
	ck_assert_uint_eq(t->id, 0x1001);
	ck_assert_uint_eq(t->slots, 3);
	ck_assert_int_eq(t->started, 1700000000001);
	ck_assert_str_eq(t->service->name, "stock");
	ck_assert(t->listed);
	ck_assert(!ht_catalog_by_name(to, "i-1002")->listed);
	/* The same view again changes nothing. */
	ck_assert_uint_eq(copy(6, 0), 0);
}
END_TEST

START_TEST(takes_back_nothing_newer)
{
	put_routes(to, 9, 8443);
	put_routes(from, 7, 443);
	put(from, 1, 5, false);
	put(to, 1, 8, true);
	put(to, 2, 9, false);
	put(to, 3, 4, false);
	copy(6, 0);
	ck_assert_uint_eq(ht_catalog_version(to), 9);
	ck_assert(ht_catalog_by_name(to, "i-1001")->draining);
	/* Newer than the snapshot, so it may only be unknown there. */
	ck_assert(ht_catalog_by_name(to, "i-1002")->listed);
	ck_assert(!ht_catalog_by_name(to, "i-1003")->listed);
}
END_TEST

/* Guards against a snapshot that ends the listing of the store which is under way. */
START_TEST(leaves_a_listing_of_the_store_alone)
{
	put_routes(from, 7, 443);
	put(to, 1, 5, false);
	put(from, 1, 5, false);
	ht_catalog_begin_listing(to, HT_CATALOG_STORE);
	put(to, 1, 5, false);
	copy(6, 0);
	ck_assert_uint_eq(ht_catalog_end_listing(to, HT_CATALOG_STORE, 10, 0, 0), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("snapshot");
	TCase *tc = tcase_create("snapshot");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, carries_the_whole_view);
	tcase_add_test(tc, takes_back_nothing_newer);
	tcase_add_test(tc, leaves_a_listing_of_the_store_alone);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
