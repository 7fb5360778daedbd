/* What the parts of the link share: link.c and announce.c. */
#ifndef HT_ENTRY_LINK_INTERNAL_H
#define HT_ENTRY_LINK_INTERNAL_H

#include "core/fanout.h"
#include "entry/link.h"
#include "wire/buffer.h"
#include "wire/entry.pb-c.h"

#include <ev.h>

/** Largest greeting: names of HT_CATALOG_NAME and a few numbers for each known neighbour. */
#define HT_LINK_GREETING_MAX 2048

/** Instances that one message is passed on to at most; a data centre has no more. */
#define HT_LINK_RELAY_MAX 1024

struct ht_link_receivers {
	struct ht_fanout_receiver to[HT_LINK_RELAY_MAX];
	size_t count;
};

/* Who has read the news from the store. */
struct ht_link_reader {
	char name[HT_CATALOG_NAME];
	uint32_t size;
};

/* News that this instance fetches from the one that told it, and then passes on. */
struct ht_link_relay {
	struct ht_link_reader reader;
	struct ht_endpoint source;
	struct ht_view_id view; /* that the source knows */
	struct ht_view_id base; /* that the receivers know; zeros: not told */
	struct ht_link_receivers receivers;
	ht_ms deadline;
	ev_timer timer;
};

struct ht_link {
	struct ht_link_params params;
	struct ht_neighbours *neighbours;
	struct ht_transfer *transfer;
	struct ht_endpoint self;
	struct ht_view_id
		announced; /* the last that the data centre has heard, from any instance */
	int fd;
	ev_io io;
	ev_timer report_timer;
	uint64_t seed, announcements;
	struct ht_link_relay relay;
};

struct ht_feed *ht_link_feed(struct ht_link *link);
struct ht_view_state ht_link_view(struct ht_link *link);
/** Which view that is. */
struct ht_view_id ht_link_view_id(struct ht_link *link);

/** What the sender of @msg knows. */
struct ht_view_state ht_link_sender_view(const Ht__EntryGreeting *msg);
/** Fills @self with this instance. */
void ht_link_describe_self(struct ht_link *link, Ht__EntryInstance *self);
/** Fills @msg, and @self for it, with what this instance says of itself in every greeting. */
void ht_link_describe(struct ht_link *link, Ht__EntryGreeting *msg, Ht__EntryInstance *self);
/** Sends one datagram and counts it as @kind. */
void ht_link_send(struct ht_link *link, enum ht_link_message kind, struct ht_endpoint to,
		  const uint8_t *data, size_t len);
/** What a greeting, or news, counts as. */
enum ht_link_message ht_link_message_kind(const Ht__EntryGreeting *msg);

/** What a neighbour tells of the store, or of targets, has come from @from; @before it was known.
 */
void ht_link_on_announcement(struct ht_link *link, const Ht__EntryGreeting *msg,
			     struct ht_endpoint from, const struct ht_view_state *before);
/** A snapshot has been applied: passes news on that waited for it. */
void ht_link_relay_if_known(struct ht_link *link);

/** Timers of the link: news that waits, and evidence that is gathered. */
void ht_link_on_relay_timer(struct ev_loop *loop, ev_timer *timer, int revents);
void ht_link_on_report_timer(struct ev_loop *loop, ev_timer *timer, int revents);

/** Takes over what fits of @msg; returns the number of objects that changed. */
size_t ht_link_apply(struct ht_link *link, const Ht__EntrySnapshot *msg);
/** Asks @source for what it knows beyond the own view, unless a fetch is under way. */
void ht_link_fetch(struct ht_link *link, struct ht_endpoint source);
/** Callbacks of the transfer, see entry/transfer.h. */
bool ht_link_write_snapshot(void *ctx, const Ht__EntrySnapshotRequest *request,
			    struct ht_buffer *out);
void ht_link_on_snapshot(void *ctx, struct ht_endpoint source, const Ht__EntrySnapshot *msg,
			 size_t bytes, const char *error);

#endif
