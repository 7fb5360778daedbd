/* Tests of snapshot messages: what they carry, and that applying them never overwrites newer
 * objects. */
#include "entry/snapshot.h"
#include "tests/revision.h"
#include "tests/suite.h"
#include "wire/frame.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

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

static struct ht_target_entry entry(int i, uint64_t number)
{
	char name[32];
	struct ht_target_entry e = {
		.id = 0x1000U + (unsigned int)i,
		.at = {.ip = 0x0a000001U + (unsigned int)i, .port = 8080},
		.service = "stock",
		.dc = "north",
		.slots = 3,
		.started = 1700000000000 + i,
		.revision = rev(number),
	};

	snprintf(name, sizeof(name), "i-%x", 0x1000 + i);
	e.name = g_intern_string(name);
	return e;
}

static void put(struct ht_catalog *cat, int i, uint64_t revision, bool draining)
{
	struct ht_target_entry e = entry(i, revision);

	e.draining = draining;
	ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, 0);
}

#define LONG_SERVICE "cooperativa-plumeros-del-litoral.almacen.existencias-y-envios.version-2"
#define LONG_DC "litoral.departamento-de-paysandu.centro-de-datos-del-puerto.edificio-sur"
#define LONG_NAME "litoral.almacen.existencias-y-envios.maquina-del-deposito-de-plumas-i-1009"

static void put_long(struct ht_catalog *cat, int i, uint64_t number)
{
	struct ht_target_entry e = entry(i, number);

	e.service = LONG_SERVICE;
	ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, 0);
}

static void put_route_to(struct ht_catalog *cat, uint64_t version, uint16_t port,
			 const char *service)
{
	struct ht_route_entry e = {.at = {.ip = 1, .port = port}, .service = service};
	struct ht_route_table table = {.id = {version, rev(version)}, .count = 1, .entries = &e};

	ht_catalog_set_routes(cat, &table);
}

static void put_routes(struct ht_catalog *cat, uint64_t version, uint16_t port)
{
	put_route_to(cat, version, port, "stock");
}

static struct ht_snapshot *make_snapshot(uint64_t have_routes, uint64_t have_targets,
					 uint64_t targets)
{
	const struct ht_view_id have = {.routes = {have_routes, rev(have_routes)},
					.targets = rev(have_targets)};

	return ht_snapshot_new(from, &have, rev(targets), 0);
}

/* Encodes what @from knows beyond the given revisions, decodes it and applies it to @to; returns
 * the number of changed objects. */
static size_t copy_changes(uint64_t have_routes, uint64_t have_targets, uint64_t revision)
{
	struct ht_snapshot *snap = make_snapshot(have_routes, have_targets, revision);
	struct ht_buffer buf = {0};
	ProtobufCMessage *msg;
	struct ht_snapshot_result result;
	struct ht_err err;

	ck_assert_ptr_nonnull(snap);
	ck_assert(ht_frame_put(&buf, &ht_snapshot_message(snap)->base, &err));
	ht_snapshot_free(snap);
	ck_assert_int_eq(
		ht_frame_take(&buf, HT_FRAME_MAX, &ht__entry_snapshot__descriptor, &msg, &err),
		HT_FRAME_OK);
	result = ht_snapshot_apply(to, (const Ht__EntrySnapshot *)msg, rev(have_targets), 0, 0);
	ck_assert(!result.malformed);
	protobuf_c_message_free_unpacked(msg, NULL);
	ht_buffer_clear(&buf);
	return result.changed;
}

static size_t copy_all(uint64_t revision)
{
	return copy_changes(0, 0, revision);
}

START_TEST(full_snapshot_carries_routes_and_targets)
{
	const struct ht_target *t;

	put_routes(from, 7, 443);
	put(from, 1, 5, false);
	put(from, 2, 6, true);
	ck_assert_uint_eq(copy_all(6), 3);
	ck_assert_uint_eq(ht_catalog_routes(to).version, 7);
	ck_assert_ptr_nonnull(ht_catalog_route(to, (struct ht_endpoint){.ip = 1, .port = 443}));
	t = ht_catalog_by_name(to, "i-1001");
	ck_assert_ptr_nonnull(t);
	ck_assert_uint_eq(t->id, 0x1001);
	ck_assert_uint_eq(t->slots, 3);
	ck_assert_int_eq(t->started, 1700000000001);
	ck_assert_str_eq(t->service->name, "stock");
	ck_assert(t->eligible);
	ck_assert(!ht_catalog_by_name(to, "i-1002")->eligible);
	/* Applying the same snapshot again changes nothing. */
	ck_assert_uint_eq(copy_all(6), 0);
}
END_TEST

START_TEST(newer_objects_are_not_overwritten)
{
	put_routes(to, 9, 8443);
	put_routes(from, 7, 443);
	put(from, 1, 5, false);
	put(to, 1, 8, true);
	put(to, 2, 9, false);
	put(to, 3, 4, false);
	copy_all(6);
	ck_assert_uint_eq(ht_catalog_routes(to).version, 9);
	ck_assert(ht_catalog_by_name(to, "i-1001")->draining);
	/* Newer than the snapshot, so its absence there does not mean that it has been removed. */
	ck_assert(ht_catalog_by_name(to, "i-1002")->eligible);
	ck_assert(!ht_catalog_by_name(to, "i-1003")->eligible);
}
END_TEST

/* Applying a snapshot must not end a store listing that is in progress, or the listing removes
 * targets. */
START_TEST(snapshot_does_not_end_store_listing)
{
	put_routes(from, 7, 443);
	put(to, 1, 5, false);
	put(from, 1, 5, false);
	ht_catalog_begin_listing(to, HT_CATALOG_STORE);
	put(to, 1, 5, false);
	copy_all(6);
	ck_assert_uint_eq(ht_catalog_end_listing(to, HT_CATALOG_STORE, rev(10), 0, 0), 0);
}
END_TEST

START_TEST(difference_carries_only_changes)
{
	put_routes(from, 7, 443);
	ht_catalog_begin_listing(from, HT_CATALOG_STORE);
	put(from, 1, 5, false);
	put(from, 2, 6, false);
	put(from, 3, 7, false);
	ht_catalog_end_listing(from, HT_CATALOG_STORE, rev(7), 0, 0);
	copy_all(7);
	put(from, 1, 9, true);
	ht_catalog_remove_target(from, "i-1002", rev(10), 0, 0);
	ck_assert_uint_eq(copy_changes(7, 7, 10), 2);
	ck_assert(ht_catalog_by_name(to, "i-1001")->draining);
	ck_assert(!ht_catalog_by_name(to, "i-1002")->eligible);
	ck_assert(ht_catalog_by_name(to, "i-1003")->eligible);
}
END_TEST

/* A difference would lack deletions that precede the sender's history, so a full snapshot must
 * be sent. */
START_TEST(full_snapshot_if_history_is_too_short)
{
	put_routes(from, 7, 443);
	ht_catalog_begin_listing(from, HT_CATALOG_STORE);
	put(from, 1, 5, false);
	ht_catalog_end_listing(from, HT_CATALOG_STORE, rev(20), 0, 0);
	put(to, 2, 6, false); /* removed before the sender's first listing */
	copy_changes(0, 8, 20);
	ck_assert(!ht_catalog_by_name(to, "i-1002")->eligible);
	ck_assert(ht_catalog_by_name(to, "i-1001")->eligible);
}
END_TEST

static void put_route_list(struct ht_catalog *cat, uint64_t version, uint16_t first, uint16_t end)
{
	struct ht_route_entry entries[64];
	struct ht_route_table table = {.id = {version, rev(version)}, .entries = entries};

	for (uint16_t port = first; port < end; port++)
		entries[table.count++] =
			(struct ht_route_entry){.at = {.ip = 1, .port = port}, .service = "stock"};
	ck_assert_int_eq(ht_catalog_set_routes(cat, &table), HT_CATALOG_CHANGED);
}

static bool has_route(uint16_t port)
{
	return ht_catalog_route(to, (struct ht_endpoint){.ip = 1, .port = port});
}

/* Models a large configuration that changes often, a few routes at a time. */
START_TEST(routes_are_sent_as_differences)
{
	struct ht_snapshot *snap;

	put_route_list(from, 7, 100, 150);
	copy_changes(0, 0, 1);
	put_route_list(from, 8, 101, 152);
	put_route_list(from, 9, 101, 151);
	snap = make_snapshot(7, 1, 1);
	ck_assert_uint_eq(ht_snapshot_message(snap)->n_routes, 1);
	ck_assert_uint_eq(ht_snapshot_message(snap)->n_routes_gone, 2);
	ht_snapshot_free(snap);
	copy_changes(7, 0, 1);
	ck_assert_uint_eq(ht_catalog_routes(to).version, 9);
	ck_assert_uint_eq(ht_catalog_route_count(to), 50);
	ck_assert(!has_route(100) && has_route(101) && has_route(150) && !has_route(151));
	/* The sender never had version 6, so it sends all routes. */
	snap = make_snapshot(6, 1, 1);
	ck_assert_uint_eq(ht_snapshot_message(snap)->n_routes, 50);
	ck_assert_uint_eq(ht_snapshot_message(snap)->routes_base, 0);
	ht_snapshot_free(snap);
}
END_TEST

/* A difference must not be applied to a configuration other than its base. */
START_TEST(difference_from_unknown_configuration_is_ignored)
{
	struct ht_snapshot_result result;
	struct ht_snapshot *snap;

	put_route_list(from, 7, 100, 110);
	put_route_list(from, 9, 100, 111);
	put_route_list(to, 8, 90, 100);
	snap = make_snapshot(7, 1, 1);
	result = ht_snapshot_apply(to, ht_snapshot_message(snap), rev(1), 0, 0);
	ck_assert(!result.routes);
	ck_assert_uint_eq(ht_catalog_routes(to).version, 8);
	ck_assert(has_route(90) && !has_route(110));
	ht_snapshot_free(snap);
}
END_TEST

/* A difference must not be applied if its base is later than what is known here. */
START_TEST(difference_from_unknown_targets_is_ignored)
{
	struct ht_snapshot_result result;
	struct ht_snapshot *snap;

	put_routes(from, 7, 443);
	ht_catalog_begin_listing(from, HT_CATALOG_STORE);
	ht_catalog_end_listing(from, HT_CATALOG_STORE, rev(7), 0, 0);
	put(from, 1, 9, false);
	snap = make_snapshot(7, 8, 9);
	result = ht_snapshot_apply(to, ht_snapshot_message(snap), rev(7), 0, 0);
	ck_assert(!result.targets);
	ck_assert_ptr_null(ht_catalog_by_name(to, "i-1001"));
	result = ht_snapshot_apply(to, ht_snapshot_message(snap), rev(8), 0, 0);
	ck_assert(result.targets);
	ck_assert_ptr_nonnull(ht_catalog_by_name(to, "i-1001"));
	ht_snapshot_free(snap);
}
END_TEST

/* Covers names that do not end in the digits of their id, and ids of all lengths. */
START_TEST(names_of_any_form_survive_encoding)
{
	static const struct {
		const char *name;
		uint64_t id;
	} cases[] = {
		{"i-07fe04d0fe", 0x7fe04d0fe},
		{"i-7FE0", 0x7fe0},
		{"stock-7", 99},
		{"ffffffffffffffff", UINT64_MAX},
		{"deadbeef-0000000000000000001", 1},
		{"x", 5},
	};

	put_routes(from, 7, 443);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct ht_target_entry e = entry((int)i, 5 + i);

		e.name = cases[i].name;
		e.id = cases[i].id;
		ht_catalog_put_target(from, &e, HT_CATALOG_STORE, 0);
	}
	copy_all(20);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct ht_target *t = ht_catalog_by_name(to, cases[i].name);

		ck_assert_ptr_nonnull(t);
		ck_assert_uint_eq(t->id, cases[i].id);
		ck_assert_uint_eq(t->revision.number, 5 + i);
		ck_assert_int_eq(t->started, 1700000000000 + (int64_t)i);
	}
}
END_TEST

/* 21,000 targets must fit into one frame: the control budget of docs/CAPACITY.md. */
START_TEST(encoded_targets_are_compact)
{
	struct ht_snapshot *snap;
	size_t bytes;

	put_routes(from, 7, 443);
	for (int i = 0; i < 1000; i++) {
		struct ht_target_entry e = entry(i, 1000000U + (unsigned int)i);
		char name[32];

		e.id = 0xb69c97a000U + (unsigned int)i;
		snprintf(name, sizeof(name), "i-%010llx", (unsigned long long)e.id);
		e.name = name;
		ht_catalog_put_target(from, &e, HT_CATALOG_STORE, 0);
	}
	snap = make_snapshot(0, 0, 2000000);
	bytes = ht__entry_snapshot__get_packed_size(ht_snapshot_message(snap));
	ck_assert_uint_le(bytes * 21, HT_FRAME_MAX);
	ht_snapshot_free(snap);
}
END_TEST

/* An instance of another version must not mistake an answer that it cannot decode for an empty
 * view. */
START_TEST(other_formats_are_rejected)
{
	Ht__EntrySnapshotRequest request;
	struct ht_snapshot_result result;
	struct ht_snapshot *snap;

	ht_snapshot_request(&request, &(struct ht_view_id){0});
	ck_assert(ht_snapshot_readable(&request));
	request.format++;
	ck_assert(!ht_snapshot_readable(&request));
	put(to, 1, 5, false);
	put_routes(from, 7, 443);
	snap = make_snapshot(0, 0, 9);
	ht_snapshot_message(snap)->format++;
	result = ht_snapshot_apply(to, ht_snapshot_message(snap), rev(0), 0, 0);
	ck_assert(result.malformed && !result.routes && !result.targets);
	ck_assert(ht_catalog_by_name(to, "i-1001")->eligible);
	ht_snapshot_free(snap);
}
END_TEST

/* A snapshot with one malformed object is rejected as a whole. */
START_TEST(malformed_snapshots_change_nothing)
{
	struct ht_snapshot *snap;
	Ht__EntrySnapshot *msg;

	put_routes(from, 7, 443);
	put(from, 1, 5, false);
	put_long(from, 3, 6);
	put(to, 2, 4, false);
	snap = make_snapshot(0, 0, 9);
	msg = ht_snapshot_message(snap);
	msg->targets[0]->service = 99;
	ck_assert(ht_snapshot_apply(to, msg, rev(0), 0, 0).malformed);
	msg->targets[0]->service = 0;
	msg->targets[0]->revision_before = msg->newest_revision + 1;
	ck_assert(ht_snapshot_apply(to, msg, rev(0), 0, 0).malformed);
	msg->targets[0]->revision_before = 0;
	msg->targets[0]->name->digits = 99;
	ck_assert(ht_snapshot_apply(to, msg, rev(0), 0, 0).malformed);
	msg->targets[0]->name->digits = 4;
	ck_assert_uint_gt(msg->long_names.len, 0);
	msg->long_names.len--;
	ck_assert(ht_snapshot_apply(to, msg, rev(0), 0, 0).malformed);
	ck_assert_uint_eq(ht_catalog_routes(to).version, 0);
	ck_assert(ht_catalog_by_name(to, "i-1002")->eligible);
	ht_snapshot_free(snap);
}
END_TEST

static void put_at(struct ht_catalog *cat, int i, struct ht_revision at)
{
	struct ht_target_entry e = entry(i, 0);

	e.revision = at;
	ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, 0);
}

static struct ht_snapshot_result transfer(const struct ht_view_id *have, struct ht_revision targets)
{
	struct ht_snapshot *snap = ht_snapshot_new(from, have, targets, 0);
	struct ht_snapshot_result result =
		ht_snapshot_apply(to, ht_snapshot_message(snap), have->targets, 0, 0);

	ht_snapshot_free(snap);
	return result;
}

/* In era 1, @from knew i-1001 and i-1002 and that i-1002 was removed. The backup restored in era
 * 2 holds both. */
static void restore_store_from_backup(void)
{
	ht_catalog_begin_era(from, 1, 0, 0);
	put_at(from, 1, rev_of(1, 20));
	put_at(from, 2, rev_of(1, 21));
	ht_catalog_end_listing(from, HT_CATALOG_STORE, rev_of(1, 21), 0, 0);
	ht_catalog_remove_target(from, "i-1002", rev_of(1, 30), 0, 0);
	ht_catalog_begin_era(from, 2, 30, 0);
	ht_catalog_note_era_revision(from, rev_of(2, 25));
	ht_catalog_begin_listing(from, HT_CATALOG_STORE);
	put_at(from, 1, rev_of(2, 20));
	put_at(from, 2, rev_of(2, 21));
	ht_catalog_end_listing(from, HT_CATALOG_STORE, rev_of(2, 25), 0, 0);
}

/* An instance that starts must not use removed targets that an older backup of the store has
 * brought back. */
START_TEST(full_snapshot_marks_restored_targets)
{
	const struct ht_view_id nothing = {0};
	const struct ht_target *t;

	restore_store_from_backup();
	ht_catalog_begin_era(to, 2, 0, 0);
	ck_assert(transfer(&nothing, rev_of(2, 25)).targets);
	t = ht_catalog_by_name(to, "i-1002");
	ck_assert(t && t->restored && !t->eligible);
	ck_assert(ht_catalog_by_name(to, "i-1001")->eligible);
	ck_assert_uint_eq(ht_catalog_era_start(to), 25);
	/* Listing the restored entry again does not make the target usable; a later write of the
	 * target does. */
	put_at(to, 2, rev_of(2, 21));
	ck_assert(!t->eligible);
	put_at(to, 2, rev_of(2, 26));
	ck_assert(t->eligible);
}
END_TEST

/* Such targets must also be removed at an instance that listed the restored store before it
 * heard from a neighbour. */
START_TEST(difference_removes_restored_targets)
{
	const struct ht_view_id before = {.targets = rev_of(1, 30)};

	restore_store_from_backup();
	ht_catalog_begin_era(to, 2, 0, 0);
	put_at(to, 1, rev_of(2, 20));
	put_at(to, 2, rev_of(2, 21));
	ck_assert(ht_catalog_by_name(to, "i-1002")->eligible);
	ck_assert(transfer(&before, rev_of(2, 25)).targets);
	ck_assert(!ht_catalog_by_name(to, "i-1002")->eligible);
	ck_assert(ht_catalog_by_name(to, "i-1001")->eligible);
}
END_TEST

START_TEST(snapshot_of_earlier_era_gives_configuration_only)
{
	const struct ht_view_id nothing = {0};
	struct ht_snapshot_result result;

	ht_catalog_begin_era(from, 1, 0, 0);
	put_at(from, 1, rev_of(1, 20));
	put_routes(from, 7, 443);
	ht_catalog_begin_era(to, 2, 0, 0);
	put_at(to, 3, rev_of(2, 5));
	result = transfer(&nothing, rev_of(1, 99));
	ck_assert(result.routes && !result.targets);
	ck_assert_uint_eq(ht_catalog_routes(to).version, 7);
	ck_assert_ptr_null(ht_catalog_by_name(to, "i-1001"));
	ck_assert(ht_catalog_by_name(to, "i-1003")->eligible);
}
END_TEST

/* During its first listing in a new era, an instance still serves its view of the previous era. */
START_TEST(snapshot_stays_in_old_era_while_next_is_listed)
{
	const struct ht_view_id nothing = {0};
	const struct ht_target *t;

	ht_catalog_begin_era(from, 1, 0, 0);
	put_at(from, 1, rev_of(1, 20));
	put_at(from, 2, rev_of(1, 21));
	ht_catalog_begin_era(from, 2, 30, 0);
	put_at(from, 1, rev_of(2, 24));
	ht_catalog_begin_era(to, 1, 0, 0);
	ck_assert(transfer(&nothing, rev_of(1, 30)).targets);
	t = ht_catalog_by_name(to, "i-1001");
	ck_assert(t->eligible && ht_revision_equal(t->revision, rev_of(1, 30)));
	ck_assert(ht_catalog_by_name(to, "i-1002")->eligible);
}
END_TEST

START_TEST(requests_carry_eras)
{
	const struct ht_view_id have = {.routes = {9, rev_of(3, 70)}, .targets = rev_of(4, 12)};
	Ht__EntrySnapshotRequest request;
	struct ht_view_id got;

	ht_snapshot_request(&request, &have);
	got = ht_snapshot_requested(&request);
	ck_assert_int_eq(ht_routes_compare(got.routes, have.routes), 0);
	ck_assert(ht_revision_equal(got.targets, have.targets));
}
END_TEST

static void put_split(struct ht_catalog *cat, uint64_t version)
{
	struct ht_share_entry shares[] = {{"docs", 10}, {"stock", 90}, {"old", 0}};
	struct ht_route_entry entries[] = {
		{.at = {1, 443}, .share_count = 3},
		{.at = {1, 80}, .unreadable = true},
	};
	struct ht_route_table table = {.id = {version, rev(version)},
				       .count = 2,
				       .entries = entries,
				       .share_count = 3,
				       .shares = shares,
				       .incomplete = true};

	ht_catalog_set_routes(cat, &table);
}

START_TEST(snapshot_carries_shares_and_unreadable_routes)
{
	const struct ht_route *r;

	put_split(from, 7);
	copy_all(6);
	r = ht_catalog_route(to, (struct ht_endpoint){1, 443});
	ck_assert_uint_eq(r->share_count, 3);
	ck_assert_str_eq(r->shares[1].service->name, "stock");
	ck_assert_uint_eq(r->shares[1].weight, 90);
	ck_assert_uint_eq(r->shares[2].weight, 0);
	ck_assert_uint_eq(ht_catalog_route(to, (struct ht_endpoint){1, 80})->share_count, 0);
	ck_assert(ht_catalog_routes_incomplete(to));
}
END_TEST

/* An earlier build knows one service per route: it gets the one of the largest weight, and no
 * route that it would take for one of a single service. */
START_TEST(earlier_builds_get_the_main_service)
{
	struct ht_snapshot *snap;
	const Ht__EntrySnapshot *msg;

	put_split(from, 7);
	snap = make_snapshot(0, 0, 6);
	msg = ht_snapshot_message(snap);
	ck_assert_uint_eq(msg->n_routes, 1);
	ck_assert_str_eq(msg->texts[msg->routes[0]->service], "stock");
	ht_snapshot_free(snap);
}
END_TEST

/* An earlier build takes routes with shares for malformed, so its routes may be incomplete. */
START_TEST(routes_of_earlier_builds_are_not_used)
{
	struct ht_snapshot *snap;
	struct ht_snapshot_result result;

	put_routes(from, 7, 443);
	put(from, 1, 5, false);
	snap = make_snapshot(0, 0, 6);
	ht_snapshot_message(snap)->content = 0;
	result = ht_snapshot_apply(to, ht_snapshot_message(snap), rev(0), 0, 0);
	ck_assert(!result.routes && !result.evacuations && result.targets);
	ck_assert_uint_eq(ht_catalog_route_count(to), 0);
	ck_assert_ptr_nonnull(ht_catalog_by_name(to, "i-1001"));
	ht_snapshot_free(snap);
}
END_TEST

static bool limited;

static void note_limit(void *ctx, const struct ht_service *service)
{
	(void)ctx;
	if (service->warmup_rate == 5000 && service->warmup == 2000)
		limited = true;
}

static bool limits_cold(struct ht_catalog *cat)
{
	limited = false;
	ht_catalog_each_service(cat, note_limit, NULL);
	return limited;
}

static void put_limit(struct ht_catalog *cat, uint64_t version, size_t count)
{
	struct ht_service_entry service = {.name = "stock", .warmup_rate = 5000, .warmup = 2000};
	struct ht_route_table table = {
		.id = {version, rev(version)}, .service_count = count, .services = &service};

	ht_catalog_set_routes(cat, &table);
}

/* Guards against a configuration of which an earlier build has misread a route: once this instance
 * has read the same one itself, that is in force, also after a difference. */
START_TEST(configuration_of_a_lower_level_is_replaced)
{
	struct ht_route_entry e = {.at = {.ip = 1, .port = 443}, .service = "docs"};
	struct ht_route_table table = {
		.id = {8, rev(8)}, .count = 1, .entries = &e, .verified = true};

	put_routes(from, 7, 443);
	copy_all(5);
	put_routes(from, 8, 443);
	copy_changes(7, 5, 5);
	ck_assert_uint_eq(ht_catalog_routes(to).version, 8);
	ck_assert_str_eq(ht_catalog_route(to, e.at)->shares[0].service->name, "stock");
	table.base = rev(7);
	ck_assert_int_eq(ht_catalog_set_routes(to, &table), HT_CATALOG_SAME);
	table.base = rev(0);
	ck_assert_int_eq(ht_catalog_set_routes(to, &table), HT_CATALOG_CHANGED);
	ck_assert_str_eq(ht_catalog_route(to, e.at)->shares[0].service->name, "docs");
	ck_assert_int_eq(ht_catalog_set_routes(to, &table), HT_CATALOG_SAME);
}
END_TEST

/* Guards against messages that overflow the stack of their receiver: no message holds itself. */
START_TEST(snapshots_cannot_be_nested)
{
	const ProtobufCMessageDescriptor *d = &ht__entry_snapshot__descriptor;

	for (unsigned int i = 0; i < d->n_fields; i++)
		ck_assert(d->fields[i].type != PROTOBUF_C_TYPE_MESSAGE ||
			  d->fields[i].descriptor != d);
}
END_TEST

/* What build 2897683 requires of a snapshot; it skips long_names. */
static bool taken_by_earlier_builds(const Ht__EntrySnapshot *msg)
{
	for (size_t i = 0; i < msg->n_texts; i++)
		if (strlen(msg->texts[i]) >= 64)
			return false;
	for (size_t i = 0; i < msg->n_routes; i++)
		if (msg->routes[i]->service >= msg->n_texts)
			return false;
	for (size_t i = 0; i < msg->n_targets; i++) {
		const Ht__EntryTarget *m = msg->targets[i];

		if (m->service >= msg->n_texts || m->dc >= msg->n_texts ||
		    strlen(m->name->whole) >= 64)
			return false;
	}
	for (size_t i = 0; i < msg->n_gone; i++)
		if (strlen(msg->gone[i]->name->whole) >= 64)
			return false;
	return true;
}

static void put_named(const char *name, const char *dc, uint64_t number)
{
	struct ht_target_entry e = entry(9, number);

	e.name = name;
	e.dc = dc;
	ht_catalog_put_target(from, &e, HT_CATALOG_STORE, 0);
}

/* Guards against a snapshot that instances of an earlier build refuse as a whole, and against
 * routes and targets with long names that are lost on the way. */
START_TEST(long_names_do_not_harm_earlier_builds)
{
	struct ht_snapshot *snap;
	const Ht__EntrySnapshot *msg;
	const struct ht_route *r;

	put_route_to(from, 7, 443, LONG_SERVICE);
	put(from, 1, 5, false);
	put_long(from, 2, 6);
	put_named(LONG_NAME, LONG_DC, 7);
	ht_catalog_put_evacuation(from, LONG_DC, true, rev(8), 0);
	snap = make_snapshot(0, 0, 8);
	msg = ht_snapshot_message(snap);
	ck_assert(taken_by_earlier_builds(msg));
	ck_assert_uint_eq(msg->n_routes, 0);
	ck_assert_uint_eq(msg->n_routes_unreadable, 1);
	ck_assert_uint_eq(msg->n_targets, 1);
	ht_snapshot_free(snap);
	copy_all(8);
	r = ht_catalog_route(to, (struct ht_endpoint){1, 443});
	ck_assert_str_eq(r->shares[0].service->name, LONG_SERVICE);
	ck_assert_str_eq(ht_catalog_by_name(to, "i-1002")->service->name, LONG_SERVICE);
	ck_assert(ht_catalog_by_name(to, "i-1002")->eligible);
	ck_assert_str_eq(ht_catalog_by_name(to, LONG_NAME)->dc->name, LONG_DC);
	ck_assert(!ht_catalog_by_name(to, LONG_NAME)->eligible);
	ck_assert(ht_catalog_by_name(to, LONG_NAME)->dc->evacuated);
}
END_TEST

/* As above, for changes of what the receivers know by short names. */
START_TEST(changes_to_long_names_do_not_harm_earlier_builds)
{
	struct ht_snapshot *snap;
	const Ht__EntrySnapshot *msg;

	put_routes(from, 7, 443);
	put(from, 1, 5, false);
	put_named(LONG_NAME, "north", 6);
	ht_catalog_end_listing(from, HT_CATALOG_STORE, rev(6), 0, 0);
	copy_all(6);
	put_route_to(from, 8, 443, LONG_SERVICE);
	put_long(from, 1, 9);
	ht_catalog_remove_target(from, LONG_NAME, rev(10), 0, 0);
	snap = make_snapshot(7, 6, 10);
	msg = ht_snapshot_message(snap);
	ck_assert(taken_by_earlier_builds(msg));
	ck_assert_uint_eq(msg->n_targets, 0);
	ck_assert_uint_eq(msg->n_gone, 1);
	ht_snapshot_free(snap);
	copy_changes(7, 6, 10);
	ck_assert_str_eq(
		ht_catalog_route(to, (struct ht_endpoint){1, 443})->shares[0].service->name,
		LONG_SERVICE);
	ck_assert_str_eq(ht_catalog_by_name(to, "i-1001")->service->name, LONG_SERVICE);
	ck_assert(ht_catalog_by_name(to, "i-1001")->eligible);
	ck_assert(!ht_catalog_by_name(to, LONG_NAME)->eligible);
}
END_TEST

START_TEST(snapshot_carries_limits_of_cold_targets)
{
	struct ht_snapshot *snap;

	put_limit(from, 7, 1);
	copy_all(6);
	ck_assert(limits_cold(to));
	put_limit(from, 8, 0);
	/* An earlier build says nothing of them. */
	snap = make_snapshot(0, 0, 6);
	ht_snapshot_message(snap)->content = 1;
	ht_snapshot_apply(to, ht_snapshot_message(snap), rev(0), 0, 0);
	ht_snapshot_free(snap);
	ck_assert_uint_eq(ht_catalog_routes(to).version, 8);
	ck_assert(limits_cold(to));
	put_limit(from, 9, 0);
	copy_all(6);
	ck_assert(!limits_cold(to));
}
END_TEST

static uint32_t flows_max;

static void note_flows_max(void *ctx, const struct ht_service *service)
{
	(void)ctx;
	flows_max = service->flows_max;
}

/* Guards against plans that differ because one instance read the terms and another was told. */
START_TEST(snapshot_carries_terms)
{
	struct ht_route_entry e = {.at = {.ip = 1, .port = 443},
				   .service = "stock",
				   .priority = 1,
				   .aim_ms = 250,
				   .limit_ms = 2500};
	struct ht_service_entry service = {.name = "stock", .flows_max = 2000};
	struct ht_route_table table = {.id = {7, rev(7)},
				       .count = 1,
				       .entries = &e,
				       .service_count = 1,
				       .services = &service};
	struct ht_load_terms terms = {.priority = 1, .aim = 250, .limit = 2500};
	struct ht_snapshot *snap;

	ht_catalog_set_routes(from, &table);
	copy_all(6);
	ck_assert(ht_load_terms_equal(&ht_catalog_route(to, e.at)->terms, &terms));
	ht_catalog_each_service(to, note_flows_max, NULL);
	ck_assert_uint_eq(flows_max, 2000);
	/* A changed term is part of a difference. A build without the field states none. */
	e.aim_ms = 300;
	table.id = (struct ht_routes_id){8, rev(8)};
	ht_catalog_set_routes(from, &table);
	snap = make_snapshot(7, 6, 6);
	ck_assert_uint_eq(ht_snapshot_message(snap)->n_routes, 1);
	ht_snapshot_message(snap)->routes[0]->aim_ms = 0;
	ht_snapshot_apply(to, ht_snapshot_message(snap), rev(6), 0, 0);
	ht_snapshot_free(snap);
	ck_assert_int_eq(ht_catalog_route(to, e.at)->terms.aim, 0);
	ck_assert_uint_eq(ht_catalog_route(to, e.at)->terms.priority, 1);
}
END_TEST

START_TEST(snapshot_carries_evacuations)
{
	put(from, 1, 5, false);
	ht_catalog_put_evacuation(from, "north", true, rev(8), 0);
	copy_all(6);
	ck_assert(!ht_catalog_by_name(to, "i-1001")->eligible);
	ck_assert(ht_revision_equal(ht_catalog_evacuations(to), rev(8)));
	ht_catalog_put_evacuation(from, "north", false, rev(9), 0);
	/* A difference without any changed target carries the end of the evacuation. */
	ck_assert_uint_eq(copy_changes(0, 6, 6), 0);
	ck_assert(ht_catalog_by_name(to, "i-1001")->eligible);
}
END_TEST

/* The receivers know the evacuation from the earlier era themselves, or have just started. */
START_TEST(evacuations_of_an_earlier_era_are_not_sent)
{
	put(from, 1, 5, false);
	ht_catalog_put_evacuation(from, "north", true, rev(8), 0);
	ht_catalog_begin_era(from, 1, 8, 0);
	ht_catalog_begin_evacuations(from);
	ht_catalog_end_evacuations(from, rev_of(1, 20), 0);
	copy_all(6);
	ck_assert(!ht_catalog_by_name(from, "i-1001")->eligible);
	ck_assert(ht_revision_equal(ht_catalog_evacuations(to), rev_of(1, 20)));
	ck_assert(ht_catalog_by_name(to, "i-1001")->eligible);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("snapshot");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, full_snapshot_carries_routes_and_targets);
	tcase_add_test(tc, newer_objects_are_not_overwritten);
	tcase_add_test(tc, snapshot_does_not_end_store_listing);
	tcase_add_test(tc, difference_carries_only_changes);
	tcase_add_test(tc, full_snapshot_if_history_is_too_short);
	tcase_add_test(tc, routes_are_sent_as_differences);
	tcase_add_test(tc, difference_from_unknown_configuration_is_ignored);
	tcase_add_test(tc, difference_from_unknown_targets_is_ignored);
	tcase_add_test(tc, names_of_any_form_survive_encoding);
	tcase_add_test(tc, encoded_targets_are_compact);
	tcase_add_test(tc, other_formats_are_rejected);
	tcase_add_test(tc, malformed_snapshots_change_nothing);
	tcase_add_test(tc, full_snapshot_marks_restored_targets);
	tcase_add_test(tc, difference_removes_restored_targets);
	tcase_add_test(tc, snapshot_of_earlier_era_gives_configuration_only);
	tcase_add_test(tc, snapshot_stays_in_old_era_while_next_is_listed);
	tcase_add_test(tc, requests_carry_eras);
	tcase_add_test(tc, snapshot_carries_shares_and_unreadable_routes);
	tcase_add_test(tc, configuration_of_a_lower_level_is_replaced);
	tcase_add_test(tc, snapshots_cannot_be_nested);
	tcase_add_test(tc, long_names_do_not_harm_earlier_builds);
	tcase_add_test(tc, changes_to_long_names_do_not_harm_earlier_builds);
	tcase_add_test(tc, snapshot_carries_limits_of_cold_targets);
	tcase_add_test(tc, earlier_builds_get_the_main_service);
	tcase_add_test(tc, routes_of_earlier_builds_are_not_used);
	tcase_add_test(tc, snapshot_carries_terms);
	tcase_add_test(tc, snapshot_carries_evacuations);
	tcase_add_test(tc, evacuations_of_an_earlier_era_are_not_sent);
	return run_case("snapshot", tc);
}
