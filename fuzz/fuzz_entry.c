/* What entry instances send to each other: greetings with changes, and snapshots. */
#include "entry/load_codec.h"
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

/* A view that was decoded can be encoded again, and a collector can use it. */
static void apply_load(const Ht__EntryLoad *msg)
{
	static struct ht_load_view view, again;
	static struct ht_load_message out;
	const struct ht_load_sum *sums[HT_LOAD_DCS_MAX];
	struct ht_load_names names;
	struct ht_load_params params;
	struct ht_load *load;

	if (!ht_load_decode(msg, NULL, 0, &view, &names))
		return;
	for (size_t i = 0; i < view.count; i++)
		sums[i] = &view.dcs[i];
	ht_load_encode(&out, sums, view.count, HT_LOAD_TARGETS_MAX, NULL);
	if (!ht_load_decode(&out.msg, NULL, 0, &again, &names) || again.count != view.count)
		__builtin_trap();
	ht_load_params_default(&params);
	params.dc = view.dcs[0].dc;
	load = ht_load_new(&params);
	ht_load_put_report(load, 1, &view.dcs[0], 1);
	for (size_t i = 1; i < view.count; i++)
		ht_load_put_dc(load, &view.dcs[i], 1);
	ht_load_make_view(load, 2, &again, 2);
	ht_load_set_view(load, &again, 2);
	ht_load_set_view(load, &view, 3);
	ht_load_free(load);
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
	if (greeting && greeting->load)
		apply_load(greeting->load);
	ht__entry_greeting__free_unpacked(greeting, NULL);
	return 0;
}
