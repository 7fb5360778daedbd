/* What entry instances send to each other: greetings with changes, and snapshots. */
#include "entry/snapshot.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const struct ht_revision none = {0};
static const struct ht_view_id nothing = {0};

/* What was taken over can be told to the next instance, which then knows as much. */
static void pass_on(struct ht_catalog *from)
{
	struct ht_revision targets = {.era = ht_catalog_era(from), .number = 1};
	struct ht_snapshot *snap = ht_snapshot_new(from, &nothing, targets, 0);
	struct ht_catalog *to = ht_catalog_new("there");

	if (!snap || !to ||
	    ht_snapshot_apply(to, ht_snapshot_message(snap), none, 0, 0).malformed ||
	    ht_catalog_route_count(to) != ht_catalog_route_count(from) ||
	    ht_routes_compare(ht_catalog_routes(to), ht_catalog_routes(from)) != 0)
		__builtin_trap();
	ht_snapshot_free(snap);
	ht_catalog_free(to);
}

/* An era that a view tells of begins before the view is taken over, as in entry/views.c; a
 * catalogue of a later one takes no targets from it. */
static void apply(const Ht__EntrySnapshot *msg)
{
	struct ht_catalog *cat = ht_catalog_new("here"), *later = ht_catalog_new("here");
	struct ht_snapshot_result result;

	/* Once to an instance that knows nothing, and once more on top. */
	ht_catalog_begin_era(cat, msg->era, 0, 0);
	result = ht_snapshot_apply(cat, msg, none, 0, 0);
	if (!result.malformed) {
		ht_snapshot_apply(cat, msg, ht_snapshot_view(msg).targets, 0, 0);
		pass_on(cat);
	}
	ht_catalog_begin_era(later, UINT64_MAX, 0, 0);
	if (msg->era < UINT64_MAX &&
	    (ht_snapshot_apply(later, msg, none, 0, 0).targets || ht_catalog_target_count(later)))
		__builtin_trap();
	ht_catalog_free(later);
	ht_catalog_free(cat);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	Ht__EntryGreeting *greeting;
	Ht__EntrySnapshot *snap;

	if (!size)
		return 0;
	if (data[0] % 2) {
		snap = ht__entry_snapshot__unpack(NULL, size - 1, data + 1);
		if (snap)
			apply(snap);
		ht__entry_snapshot__free_unpacked(snap, NULL);
		return 0;
	}
	greeting = ht__entry_greeting__unpack(NULL, size - 1, data + 1);
	if (greeting && greeting->changes)
		apply(greeting->changes);
	ht__entry_greeting__free_unpacked(greeting, NULL);
	return 0;
}
