/* A catalogue as a message, and back. */
#ifndef HT_ENTRY_SNAPSHOT_H
#define HT_ENTRY_SNAPSHOT_H

#include "core/catalog.h"
#include "wire/entry.pb-c.h"

/** A message in the making; it borrows the names of the catalogue. */
struct ht_snapshot;

/**
 * What the catalogue knows beyond @have_routes and @have_targets, the revisions that the receiver
 * has; everything when it has none, or when the changes since are no longer known. The targets are
 * known as of @targets_revision. NULL when out of memory.
 */
struct ht_snapshot *ht_snapshot_new(struct ht_catalog *cat, uint64_t have_routes,
				    uint64_t have_targets, uint64_t targets_revision, ht_ms now);
void ht_snapshot_free(struct ht_snapshot *snap);
Ht__EntrySnapshot *ht_snapshot_message(struct ht_snapshot *snap);

/** True if @msg can be applied by an instance that knows targets up to @have_targets. */
bool ht_snapshot_fits(const Ht__EntrySnapshot *msg, uint64_t have_targets);

/**
 * Takes over what a neighbour's snapshot knows better, object by object. Targets that a whole one
 * lacks are gone if they are not newer than it. Returns the number of objects that changed.
 */
size_t ht_snapshot_apply(struct ht_catalog *cat, const Ht__EntrySnapshot *msg, ht_ms now,
			 ht_ms held_until);

#endif
