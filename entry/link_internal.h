/* Shared by the parts of the link: link.c, announce.c and views.c. */
#ifndef HT_ENTRY_LINK_INTERNAL_H
#define HT_ENTRY_LINK_INTERNAL_H

#include "core/fanout.h"
#include "entry/link.h"
#include "wire/buffer.h"
#include "wire/entry.pb-c.h"

#include <ev.h>

/**
 * Largest greeting datagram: names of up to HT_NEIGHBOUR_NAME and a few numbers for each known
 * neighbour.
 */
#define HT_LINK_GREETING_MAX 2048

/**
 * Maximum number of receivers that one message is relayed to; a data centre has no more instances.
 */
#define HT_LINK_RELAY_MAX 1024

struct ht_link_receivers {
	struct ht_fanout_receiver to[HT_LINK_RELAY_MAX];
	size_t count;
};

/* The instance that has read the store; the name is empty if the announcement names none. */
struct ht_link_reader {
	char name[HT_NEIGHBOUR_NAME];
	uint32_t size;
};

/* Announcement that this instance relays once it knows what is announced. */
struct ht_link_relay {
	struct ht_link_reader reader;
	struct ht_endpoint source;
	struct ht_view_id view; /* announced by the source */
	struct ht_view_id base; /* known to the receivers; zeros if unknown */
	struct ht_link_receivers receivers;
	ht_ms deadline;
	ev_timer timer;
};

struct ht_link {
	struct ht_link_params params;
	struct ht_neighbours *neighbours;
	struct ht_transfer *transfer;
	struct ht_load_exchange *load_exchange; /* NULL: none */
	struct ht_endpoint self;
	struct ht_view_id announced; /* latest view announced to the own data centre, by anyone */
	int fd;
	ev_io io;
	ev_timer report_timer;
	uint64_t seed, announcements;
	struct ht_link_relay relay;
};

/** Receivers as in EntryGreeting.pass_on, see wire/entry.proto. */
uint64_t ht_link_encode_receiver(const struct ht_fanout_receiver *r);
struct ht_fanout_receiver ht_link_decode_receiver(uint64_t field);

struct ht_feed *ht_link_feed(struct ht_link *link);
struct ht_view_state ht_link_view(struct ht_link *link);
/** Identifies the current view by its revisions. */
struct ht_view_id ht_link_view_id(struct ht_link *link);

/** What the sender of @msg knows. */
struct ht_view_state ht_link_sender_view(const Ht__EntryGreeting *msg);
/** Fills @self with the description of this instance. */
void ht_link_describe_self(struct ht_link *link, Ht__EntryInstance *self);
/** Fills in the fields about this instance that every greeting carries; @msg refers to @self. */
void ht_link_describe(struct ht_link *link, Ht__EntryGreeting *msg, Ht__EntryInstance *self);
/** Sends one datagram and counts it as @kind. */
void ht_link_send(struct ht_link *link, enum ht_link_message kind, struct ht_endpoint to,
		  const uint8_t *data, size_t len);
/** Message kind under which @msg is counted. */
enum ht_link_message ht_link_message_kind(const Ht__EntryGreeting *msg);

/**
 * Handles an announcement or evidence of targets that @from has sent, and relays it. @before is
 * the view of this instance before @msg was applied.
 */
void ht_link_on_announcement(struct ht_link *link, const Ht__EntryGreeting *msg,
			     struct ht_endpoint from, const struct ht_view_state *before);
/**
 * Called after a snapshot has been applied: relays a waiting announcement if its contents are now
 * known.
 */
void ht_link_relay_if_known(struct ht_link *link);

/** Timers: of an announcement that waits to be relayed, and of evidence that is being collected. */
void ht_link_on_relay_timer(struct ev_loop *loop, ev_timer *timer, int revents);
void ht_link_on_report_timer(struct ev_loop *loop, ev_timer *timer, int revents);

/** True if a view read at @level may be used here, see ht_neighbours_accepts(). */
bool ht_link_accepts(struct ht_link *link, uint32_t level);
/** Applies the parts of @msg that are usable here; returns the number of objects that changed. */
size_t ht_link_apply(struct ht_link *link, const Ht__EntrySnapshot *msg);
/** Fetches from @source what it knows beyond the own view, unless a fetch is in progress. */
void ht_link_fetch(struct ht_link *link, struct ht_endpoint source);
/** Callbacks of the transfer, see entry/transfer.h. */
bool ht_link_write_snapshot(void *ctx, const Ht__EntrySnapshotRequest *request,
			    struct ht_buffer *out);
void ht_link_on_snapshot(void *ctx, struct ht_endpoint source, const Ht__EntrySnapshot *msg,
			 size_t bytes, const char *error);

#endif
