/* Shared by the files of the peer table. */
#ifndef HT_DAEMON_PEERS_INTERNAL_H
#define HT_DAEMON_PEERS_INTERNAL_H

#include "daemon/peer_session.h"
#include "daemon/peers.h"

#include <glib.h>
#include <string.h>

/** Ended incarnations that are remembered for each instance. */
#define HT_GONE_KEPT 4

struct ht_peer {
	struct ht_list node;
	struct ht_peers *peers;
	uint64_t id;
	struct ht_instance_info info;
	bool listed;	  /* by the platform */
	bool demanded;	  /* a message waits, or a link to another data centre was lost */
	uint64_t current; /* incarnation of the newest proven link; 0 when known to be gone */
	char current_address[HT_ADDR_TEXT];
	uint64_t gone[HT_GONE_KEPT]; /* newest first */
	struct ht_peer_session *session;
	struct ht_peer_session *dialing;
	ht_ms adopted_at;
	ht_ms seen_at; /* last time it was listed or had a link */
	struct ht_buffer queue;
	struct ev_timer retry;
	unsigned int failures;
};

struct ht_peers {
	struct ht_peers_params p;
	uint64_t self;
	int fd;
	struct ev_io accept;
	struct ev_timer idle;
	const struct ht_peer_session_ops *session_ops;
	GHashTable *by_id;	/* struct ht_peer by its id, not owned */
	struct ht_list all;	/* of struct ht_peer */
	struct ht_list unowned; /* accepted or retired sessions */
	size_t unowned_count;
	ht_ms next_stranger_log;
};

static inline bool ht_peer_same_dc(const struct ht_peer *p)
{
	return strcmp(p->info.dc, p->peers->p.self.dc) == 0;
}

/* peer_dial.c */

/** True when a link should be open: own data centre, or asked for. */
bool ht_peer_wants_link(const struct ht_peer *p);

/** Dials after @delay unless a link, an attempt or a timer exists. */
void ht_peer_schedule(struct ht_peer *p, ht_ms delay);

/** Interval before the next attempt, with jitter. */
ht_ms ht_peer_backoff(const struct ht_peer *p);

/** Reports once that the current incarnation has ended. */
void ht_peer_report_gone(struct ht_peer *p);
bool ht_peer_is_gone(const struct ht_peer *p, uint64_t incarnation);

/** An attempt ended without a proven link; @refused: no process listens there. */
void ht_peer_dial_failed(struct ht_peer *p, bool refused);

/** Parameters of a new session of @peers. */
struct ht_peer_session_params ht_peers_session_params(struct ht_peers *peers);

/** Adds an instance to the table; NULL when out of memory. */
struct ht_peer *ht_peer_add(struct ht_peers *peers, const struct ht_instance_info *info);

#endif
