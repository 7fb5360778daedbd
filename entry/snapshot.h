/* A catalogue as a message, and back. */
#ifndef HT_ENTRY_SNAPSHOT_H
#define HT_ENTRY_SNAPSHOT_H

#include "base/err.h"
#include "core/catalog.h"
#include "wire/buffer.h"
#include "wire/entry.pb-c.h"

/** Appends the catalogue as a frame; its targets are known as of @targets_revision. */
bool ht_snapshot_write(struct ht_buffer *buf, struct ht_catalog *cat, uint64_t targets_revision,
		       ht_ms now, struct ht_err *err);

/**
 * Takes over what a neighbour's snapshot knows better, object by object. Targets that it lacks are
 * gone if they are not newer than it. Returns the number of objects that changed.
 */
size_t ht_snapshot_apply(struct ht_catalog *cat, const Ht__EntrySnapshot *snap, ht_ms now,
			 ht_ms held_until);

#endif
