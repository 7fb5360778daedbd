/* What the parts of the link share: link.c and announce.c. */
#ifndef HT_ENTRY_LINK_INTERNAL_H
#define HT_ENTRY_LINK_INTERNAL_H

#include "entry/link.h"
#include "wire/entry.pb-c.h"

#include <ev.h>

/** Largest greeting: names of HT_CATALOG_NAME and a few numbers for each known neighbour. */
#define HT_LINK_GREETING_MAX 2048

/** Instances that one message is passed on to at most; a data centre has no more. */
#define HT_LINK_PASS_ON_MAX 1024

struct ht_link_receivers {
	struct ht_endpoint to[HT_LINK_PASS_ON_MAX];
	size_t count;
};

/* News from a neighbour that others wait for. */
struct ht_link_news {
	struct ht_link_receivers receivers;
	uint64_t base;		  /* revision of the targets that they know */
	uint64_t routes_revision; /* of the routes that the news tells of */
	ev_timer timer;
};

struct ht_link {
	struct ht_link_params params;
	struct ht_neighbours *neighbours;
	struct ht_transfer *transfer;
	struct ht_endpoint self;
	uint64_t announced; /* revision of the targets in the last announcement */
	int fd;
	ev_io io;
	ev_timer report_timer;
	uint64_t seed, announcements;
	struct ht_link_news news;
};

struct ht_feed *ht_link_feed(struct ht_link *link);
struct ht_view_state ht_link_view(struct ht_link *link);

/** Fills @msg, and @self for it, with what this instance says of itself in every greeting. */
void ht_link_describe(struct ht_link *link, Ht__EntryGreeting *msg, Ht__EntryInstance *self);
/** Sends one datagram. */
void ht_link_send(struct ht_link *link, struct ht_endpoint to, const uint8_t *data, size_t len);

/** Passes the news of @msg on to the instances that it names. */
void ht_link_pass_on(struct ht_link *link, const Ht__EntryGreeting *msg);
/** Passes the news on that waits for its routes, whether they have come or not. */
void ht_link_pass_on_pending(struct ht_link *link);

/** Timers of the link: news that waits, and evidence that is gathered. */
void ht_link_on_news_timer(struct ev_loop *loop, ev_timer *timer, int revents);
void ht_link_on_report_timer(struct ev_loop *loop, ev_timer *timer, int revents);

#endif
