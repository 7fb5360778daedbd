/* One TCP connection that carries frames between two instances. */
#ifndef HT_DAEMON_LINK_H
#define HT_DAEMON_LINK_H

#include "base/addr.h"
#include "base/clock.h"
#include "base/list.h"
#include "wire/peer_frame.h"

#include <ev.h>

/** Bytes that may wait for a slow peer; more is refused, so that memory stays bounded. */
#define HT_LINK_BUFFER_MAX ((size_t)4 * 1024 * 1024)

enum ht_link_end {
	HT_LINK_REFUSED,   /**< the address refused the connection: no process listens there */
	HT_LINK_FAILED,	   /**< connection not opened, for any other reason */
	HT_LINK_CLOSED,	   /**< ended by the peer or by an error after it was open */
	HT_LINK_MALFORMED, /**< a frame was malformed or oversized */
	HT_LINK_UNPROVEN,  /**< the handshake failed or took too long */
};

struct ht_link;

struct ht_link_ops {
	/** The connection is open. */
	void (*opened)(void *ctx, struct ht_link *link);
	/** One message; freed after the call. The callee may call ht_link_free(). */
	void (*message)(void *ctx, struct ht_link *link, const Ht__PeerMsg *msg);
	/** The link has ended; the callee frees it with ht_link_free(). */
	void (*ended)(void *ctx, struct ht_link *link, enum ht_link_end end, const char *reason);
};

/** Owner's fields come first; the others belong to link.c. */
struct ht_link {
	struct ht_list node; /**< free for the owner */
	void *owner;
	size_t frame_limit;
	ht_ms last_activity;

	struct ev_loop *loop;
	const struct ht_link_ops *ops;
	void *ctx;
	struct ev_io rd, wr;
	int fd;
	bool connecting;
	bool *freed; /**< set by ht_link_free() while a callback runs */
	struct ht_buffer in, out;
};

/**
 * Starts to connect. Never calls back before the loop runs. NULL on failure; @err has the code
 * HT_ENOTFOUND when the address refused at once.
 */
struct ht_link *ht_link_dial(struct ev_loop *loop, const struct ht_addr *to,
			     const struct ht_link_ops *ops, void *ctx, struct ht_err *err);

/** Takes over the accepted socket @fd; closes it on failure. */
struct ht_link *ht_link_accept(struct ev_loop *loop, int fd, const struct ht_link_ops *ops,
			       void *ctx);

/** Queues one message; it is written when the loop runs. False: provably not sent. */
bool ht_link_send(struct ht_link *link, const Ht__PeerMsg *msg);

/** Queues encoded frames. */
bool ht_link_send_raw(struct ht_link *link, const void *data, size_t len);

/** Closes the socket and frees @link; what is queued is dropped. */
void ht_link_free(struct ht_link *link);

/** Tries once to write what is queued; for use before ht_link_free(). */
void ht_link_flush(struct ht_link *link);

#endif
