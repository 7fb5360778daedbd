/* A link with its handshake: nothing but Hello and HelloProof counts before the proof. */
#ifndef HT_DAEMON_PEER_SESSION_H
#define HT_DAEMON_PEER_SESSION_H

#include "daemon/handshake.h"
#include "daemon/link.h"

/** Time from the open connection to the checked proof. */
#define HT_HANDSHAKE_MS 2000

struct ht_peer_session;

struct ht_peer_session_ops {
	/** The other side has proved the key; session->other says who it is. */
	void (*proven)(void *ctx, struct ht_peer_session *session);
	void (*message)(void *ctx, struct ht_peer_session *session, const Ht__PeerMsg *msg);
	/** The callee frees the session. */
	void (*ended)(void *ctx, struct ht_peer_session *session, enum ht_link_end end,
		      const char *reason);
};

struct ht_peer_session {
	struct ht_list node; /**< free for the owner */
	void *owner;
	bool dialed;
	bool proven;
	bool retired;	   /**< replaced by another link; only read until the other side closes */
	uint64_t expected; /**< instance id that must answer; 0 for any */
	uint64_t id;	   /**< of the instance that sent Hello; 0 before */
	struct ht_identity own, other;
	struct ht_link *link;

	bool hello_seen;
	const uint8_t *key;
	const struct ht_peer_session_ops *ops;
	void *ctx;
	struct ev_loop *loop;
	struct ev_timer limit;
};

struct ht_peer_session_params {
	struct ev_loop *loop;
	const struct ht_peer_session_ops *ops;
	void *ctx;
	const struct ht_instance_info *self;
	uint64_t incarnation;
	const uint8_t *key; /**< HT_KEY_LEN bytes; must outlive the session */
};

/** Dials @to, where the instance @expected must answer. NULL as ht_link_dial(). */
struct ht_peer_session *ht_peer_session_dial(const struct ht_peer_session_params *params,
					     const struct ht_addr *to, uint64_t expected,
					     struct ht_err *err);

/** Takes over the accepted socket @fd. NULL when out of memory. */
struct ht_peer_session *ht_peer_session_accept(const struct ht_peer_session_params *params, int fd);

/** Stops sending; the session ends when the other side closes, or after a second. */
void ht_peer_session_retire(struct ht_peer_session *session);
void ht_peer_session_free(struct ht_peer_session *session);

#endif
