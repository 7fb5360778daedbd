/* Snapshots over TCP: one request and one answer on a connection. */
#ifndef HT_ENTRY_TRANSFER_H
#define HT_ENTRY_TRANSFER_H

#include "base/addr.h"
#include "core/catalog.h"
#include "wire/buffer.h"
#include "wire/entry.pb-c.h"

struct ev_loop;
struct ht_transfer;

struct ht_transfer_params {
	struct ev_loop *loop;
	const struct ht_addr *address; /**< to listen at */
	/** Appends the answer to @request as a frame; false when there is none. */
	bool (*write)(void *ctx, const Ht__EntrySnapshotRequest *request, struct ht_buffer *out);
	/** The fetch from @source has ended: with @snap of @bytes, or NULL and the reason. */
	void (*received)(void *ctx, struct ht_endpoint source, const Ht__EntrySnapshot *snap,
			 size_t bytes, const char *error);
	void *ctx;
};

/** NULL with @err set. */
struct ht_transfer *ht_transfer_new(const struct ht_transfer_params *params, struct ht_err *err);
void ht_transfer_free(struct ht_transfer *transfer);

/** Sends @request to the instance at @from; false when a fetch is under way, or it fails at once.
 */
bool ht_transfer_fetch(struct ht_transfer *transfer, struct ht_endpoint from,
		       const Ht__EntrySnapshotRequest *request);

#endif
