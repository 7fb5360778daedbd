/* Conversion of the catalogue into a snapshot message and back. */
#ifndef HT_ENTRY_SNAPSHOT_H
#define HT_ENTRY_SNAPSHOT_H

#include "core/catalog.h"
#include "wire/entry.pb-c.h"

/** Snapshot message with the storage of its parts. It borrows names from the catalogue. */
struct ht_snapshot;

/**
 * Makes a snapshot of what the catalogue knows beyond @have, which the receiver knows: a
 * difference, or a full snapshot if the receiver knows nothing or the history since @have is no
 * longer kept. @targets is the revision up to which targets are known here. Returns NULL if out of
 * memory.
 */
struct ht_snapshot *ht_snapshot_new(struct ht_catalog *cat, const struct ht_view_id *have,
				    struct ht_revision targets, ht_ms now);
void ht_snapshot_free(struct ht_snapshot *snap);
Ht__EntrySnapshot *ht_snapshot_message(struct ht_snapshot *snap);

/** Fills in a request for everything newer than @have; zeros request a full snapshot. */
void ht_snapshot_request(Ht__EntrySnapshotRequest *request, const struct ht_view_id *have);
struct ht_view_id ht_snapshot_requested(const Ht__EntrySnapshotRequest *request);
/** What the sender of @msg knows, and what the receiver must know to apply it (zeros: nothing). */
struct ht_view_id ht_snapshot_view(const Ht__EntrySnapshot *msg);
struct ht_view_id ht_snapshot_base(const Ht__EntrySnapshot *msg);
/** True if the sender of @request understands the format of ht_snapshot_new(). */
bool ht_snapshot_readable(const Ht__EntrySnapshotRequest *request);

/** What has been applied from a snapshot. */
struct ht_snapshot_result {
	bool malformed;	  /**< nothing was applied */
	bool routes;	  /**< its configuration, or a newer one, is in force */
	bool evacuations; /**< its evacuations, or newer ones, are in force */
	bool targets;	  /**< all targets are known up to its revision */
	size_t changed;	  /**< changed objects */
	size_t missing;	  /**< known targets that a full snapshot lacks */
};

/**
 * Applies those objects of a neighbour's snapshot that are newer than the known ones.
 *
 * Targets missing from a full snapshot are removed unless they are newer than it. A difference is
 * applied only if its base is known: @have_targets is the revision up to which targets are known.
 * From a snapshot of an earlier era than the catalogue's, only the configuration is taken, if its
 * version is higher. Removed targets may be used until @held_until.
 */
struct ht_snapshot_result ht_snapshot_apply(struct ht_catalog *cat, const Ht__EntrySnapshot *msg,
					    struct ht_revision have_targets, ht_ms now,
					    ht_ms held_until);

#endif
