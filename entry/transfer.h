/* Snapshot transfer over TCP: one request and one answer per connection. */
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
	const struct ht_addr *address; /**< to listen on */
	/** Appends the answer to @request as a frame; returns false if there is none. */
	bool (*write)(void *ctx, const Ht__EntrySnapshotRequest *request, struct ht_buffer *out);
	/**
	 * The fetch from @source has ended: @snap of @bytes on success, else NULL and the reason
	 * in @error.
	 */
	void (*received)(void *ctx, struct ht_endpoint source, const Ht__EntrySnapshot *snap,
			 size_t bytes, const char *error);
	void *ctx;
};

/** Listens at the address. Returns NULL and sets @err on failure. */
struct ht_transfer *ht_transfer_new(const struct ht_transfer_params *params, struct ht_err *err);
void ht_transfer_free(struct ht_transfer *transfer);

/**
 * Sends @request to the instance at @from. Returns false if another fetch is in progress or this
 * one fails at once.
 */
bool ht_transfer_fetch(struct ht_transfer *transfer, struct ht_endpoint from,
		       const Ht__EntrySnapshotRequest *request);

#endif
