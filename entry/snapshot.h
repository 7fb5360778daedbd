/* A catalogue as a message, and back. */
#ifndef HT_ENTRY_SNAPSHOT_H
#define HT_ENTRY_SNAPSHOT_H

#include "core/catalog.h"
#include "wire/entry.pb-c.h"

/** A message in the making; it borrows names of the catalogue. */
struct ht_snapshot;

/**
 * What the catalogue knows beyond @have, which the receiver knows; everything when it knows
 * nothing, or when the changes since are no longer known. The targets are known as of @targets.
 * NULL when out of memory.
 */
struct ht_snapshot *ht_snapshot_new(struct ht_catalog *cat, const struct ht_view_id *have,
				    struct ht_revision targets, ht_ms now);
void ht_snapshot_free(struct ht_snapshot *snap);
Ht__EntrySnapshot *ht_snapshot_message(struct ht_snapshot *snap);

/** Fills in a request for what is newer than @have; zeros for everything. */
void ht_snapshot_request(Ht__EntrySnapshotRequest *request, const struct ht_view_id *have);
struct ht_view_id ht_snapshot_requested(const Ht__EntrySnapshotRequest *request);
/** What the giver of @msg knows, and what its receiver has to know: zeros for nothing. */
struct ht_view_id ht_snapshot_view(const Ht__EntrySnapshot *msg);
struct ht_view_id ht_snapshot_base(const Ht__EntrySnapshot *msg);
/** True if the sender of @request reads what ht_snapshot_new() makes. */
bool ht_snapshot_readable(const Ht__EntrySnapshotRequest *request);

/** What has been taken over from a snapshot. */
struct ht_snapshot_result {
	bool malformed; /**< nothing could be */
	bool routes;	/**< the configuration is in force, or a newer one */
	bool targets;	/**< everything up to its revision is known */
	size_t changed; /**< objects */
	size_t missing; /**< targets that were known and are not in a whole one */
};

/**
 * Takes over what a neighbour's snapshot knows better, object by object. Targets that a whole one
 * lacks are gone if they are not newer than it. A difference is taken by an instance that knows
 * what it starts from: @have_targets is the revision up to which targets are known. Of one of an
 * earlier era than the catalogue's only the configuration is taken, if its version is higher.
 */
struct ht_snapshot_result ht_snapshot_apply(struct ht_catalog *cat, const Ht__EntrySnapshot *msg,
					    struct ht_revision have_targets, ht_ms now,
					    ht_ms held_until);

#endif
