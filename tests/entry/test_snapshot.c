/* Tests of the catalogue as a message: what it carries, and that nothing newer is taken back. */
#include "entry/snapshot.h"
#include "tests/suite.h"
#include "wire/frame.h"

#include <stdio.h>

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

/* Passes what @from knows beyond the given revisions through the wire to @to. */
static size_t copy_since(uint64_t have_routes, uint64_t have_targets, uint64_t revision)
{
	struct ht_snapshot *snap = ht_snapshot_new(from, have_routes, have_targets, revision, 0);
	struct ht_buffer buf = {0};
	ProtobufCMessage *msg;
	struct ht_err err;
	size_t changed;

	ck_assert_ptr_nonnull(snap);
	ck_assert(ht_frame_put(&buf, &ht_snapshot_message(snap)->base, &err));
	ht_snapshot_free(snap);
	ck_assert_int_eq(
		ht_frame_take(&buf, HT_FRAME_MAX, &ht__entry_snapshot__descriptor, &msg, &err),
		HT_FRAME_OK);
	changed = ht_snapshot_apply(to, (const Ht__EntrySnapshot *)msg, 0, 0);
	protobuf_c_message_free_unpacked(msg, NULL);
	ht_buffer_clear(&buf);
	return changed;
}

static size_t copy(uint64_t revision)
{
	return copy_since(0, 0, revision);
}

START_TEST(carries_the_whole_view)
{
	const struct ht_target *t;

	put_routes(from, 7, 443);
	put(from, 1, 5, false);
	put(from, 2, 6, true);
	ck_assert_uint_eq(copy(6), 3);
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
	ck_assert_uint_eq(copy(6), 0);
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
	copy(6);
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
	copy(6);
	ck_assert_uint_eq(ht_catalog_end_listing(to, HT_CATALOG_STORE, 10, 0, 0), 0);
}
END_TEST

START_TEST(tells_only_what_changed)
{
	put_routes(from, 7, 443);
	ht_catalog_begin_listing(from, HT_CATALOG_STORE);
	put(from, 1, 5, false);
	put(from, 2, 6, false);
	put(from, 3, 7, false);
	ht_catalog_end_listing(from, HT_CATALOG_STORE, 7, 0, 0);
	copy(7);
	put(from, 1, 9, true);
	ht_catalog_remove_target(from, "i-1002", 10, 0, 0);
	ck_assert_uint_eq(copy_since(7, 7, 10), 2);
	ck_assert(ht_catalog_by_name(to, "i-1001")->draining);
	ck_assert(!ht_catalog_by_name(to, "i-1002")->listed);
	ck_assert(ht_catalog_by_name(to, "i-1003")->listed);
}
END_TEST

/* Guards against a difference that leaves out deletions which the sender has forgotten. */
START_TEST(tells_everything_to_one_that_knows_too_little)
{
	put_routes(from, 7, 443);
	ht_catalog_begin_listing(from, HT_CATALOG_STORE);
	put(from, 1, 5, false);
	ht_catalog_end_listing(from, HT_CATALOG_STORE, 20, 0, 0);
	put(to, 2, 6, false); /* gone before the sender's first listing */
	copy_since(0, 8, 20);
	ck_assert(!ht_catalog_by_name(to, "i-1002")->listed);
	ck_assert(ht_catalog_by_name(to, "i-1001")->listed);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("snapshot");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, carries_the_whole_view);
	tcase_add_test(tc, takes_back_nothing_newer);
	tcase_add_test(tc, leaves_a_listing_of_the_store_alone);
	tcase_add_test(tc, tells_only_what_changed);
	tcase_add_test(tc, tells_everything_to_one_that_knows_too_little);
	return run_case("snapshot", tc);
}
