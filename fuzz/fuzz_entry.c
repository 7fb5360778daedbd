/* What entry instances send to each other: greetings with changes, and snapshots. */
#include "entry/snapshot.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* What was taken over can be told to the next instance, which then knows as much. */
static void pass_on(struct ht_catalog *from)
{
	struct ht_snapshot *snap = ht_snapshot_new(from, 0, 0, 1, 0);
	struct ht_catalog *to = ht_catalog_new("there");

	if (!snap || !to || ht_snapshot_apply(to, ht_snapshot_message(snap), 0, 0, 0).malformed ||
	    ht_catalog_route_count(to) != ht_catalog_route_count(from) ||
	    ht_catalog_version(to) != ht_catalog_version(from))
		__builtin_trap();
	ht_snapshot_free(snap);
	ht_catalog_free(to);
}

static void apply(const Ht__EntrySnapshot *msg)
{
	struct ht_catalog *cat = ht_catalog_new("here");
	struct ht_snapshot_result result;

	/* Once to an instance that knows nothing, and once more on top. */
	result = ht_snapshot_apply(cat, msg, 0, 0, 0);
	if (!result.malformed) {
		ht_snapshot_apply(cat, msg, msg->targets_revision, 0, 0);
		pass_on(cat);
	}
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
