#include "daemon/peer_session.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define RETIRE_S 1.0

static void end(struct ht_peer_session *s, enum ht_link_end how, const char *reason)
{
	ev_timer_stop(s->loop, &s->limit);
	s->ops->ended(s->ctx, s, how, reason);
}

static void send_hello(struct ht_peer_session *s)
{
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;
	Ht__Hello hello;

	ht_hello_fill(&hello, &s->own);
	msg.kind_case = HT__PEER_MSG__KIND_HELLO;
	msg.hello = &hello;
	ht_link_send(s->link, &msg);
}

static void send_proof(struct ht_peer_session *s)
{
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;
	Ht__HelloProof proof = HT__HELLO_PROOF__INIT;
	uint8_t mac[HT_MAC_LEN];

	ht_proof_make(mac, s->key, &s->own, &s->other);
	proof.mac.data = mac;
	proof.mac.len = sizeof(mac);
	msg.kind_case = HT__PEER_MSG__KIND_HELLO_PROOF;
	msg.hello_proof = &proof;
	ht_link_send(s->link, &msg);
}

static void on_hello(struct ht_peer_session *s, const Ht__Hello *hello)
{
	struct ht_err err;
	uint64_t id;

	if (s->hello_seen) {
		end(s, HT_LINK_UNPROVEN, "second Hello");
		return;
	}
	if (!ht_hello_read(hello, &s->other, &err)) {
		end(s, HT_LINK_UNPROVEN, err.text);
		return;
	}
	id = ht_instance_id(s->other.info.name);
	if (id == ht_instance_id(s->own.info.name)) {
		end(s, HT_LINK_UNPROVEN, "the peer has this instance's name");
		return;
	}
	if (s->expected && id != s->expected) {
		end(s, HT_LINK_UNPROVEN, "another instance answers at this address");
		return;
	}
	s->hello_seen = true;
	s->id = id;
	send_proof(s);
}

static void on_proof(struct ht_peer_session *s, const Ht__HelloProof *proof)
{
	if (!s->hello_seen || s->proven || !ht_proof_check(proof, s->key, &s->other, &s->own)) {
		/* The own proof may still wait; with it the other side can report the fault too. */
		ht_link_flush(s->link);
		end(s, HT_LINK_UNPROVEN, "proof of the shared key is wrong");
		return;
	}
	ev_timer_stop(s->loop, &s->limit);
	s->proven = true;
	s->link->frame_limit = HT_FRAME_MAX;
	s->ops->proven(s->ctx, s);
}

static void on_opened(void *ctx, struct ht_link *link)
{
	(void)ctx;
	send_hello(link->owner);
}

static void on_message(void *ctx, struct ht_link *link, const Ht__PeerMsg *msg)
{
	struct ht_peer_session *s = link->owner;

	(void)ctx;
	if (msg->kind_case == HT__PEER_MSG__KIND_HELLO)
		on_hello(s, msg->hello);
	else if (msg->kind_case == HT__PEER_MSG__KIND_HELLO_PROOF)
		on_proof(s, msg->hello_proof);
	else if (!s->proven)
		end(s, HT_LINK_UNPROVEN, "message before the proof");
	else if (msg->kind_case != HT__PEER_MSG__KIND__NOT_SET)
		s->ops->message(s->ctx, s, msg);
}

static void on_ended(void *ctx, struct ht_link *link, enum ht_link_end how, const char *reason)
{
	(void)ctx;
	end(link->owner, how, reason);
}

static const struct ht_link_ops link_ops = {
	.opened = on_opened,
	.message = on_message,
	.ended = on_ended,
};

static void on_limit(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	struct ht_peer_session *s = w->data;

	(void)loop;
	(void)revents;
	if (s->retired)
		end(s, HT_LINK_CLOSED, "replaced by another link");
	else
		end(s, s->link->connecting ? HT_LINK_FAILED : HT_LINK_UNPROVEN,
		    "no handshake in time");
}

static struct ht_peer_session *session_new(const struct ht_peer_session_params *p)
{
	struct ht_peer_session *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	ht_list_init(&s->node);
	s->loop = p->loop;
	s->ops = p->ops;
	s->ctx = p->ctx;
	s->key = p->key;
	s->own.info = *p->self;
	s->own.incarnation = p->incarnation;
	randombytes_buf(s->own.nonce, sizeof(s->own.nonce));
	ev_timer_init(&s->limit, on_limit, HT_HANDSHAKE_MS / 1000.0, 0);
	s->limit.data = s;
	return s;
}

struct ht_peer_session *ht_peer_session_dial(const struct ht_peer_session_params *params,
					     const struct ht_addr *to, uint64_t expected,
					     struct ht_err *err)
{
	struct ht_peer_session *s = session_new(params);

	if (!s) {
		ht_err_set(err, HT_ENOMEM, "out of memory");
		return NULL;
	}
	s->link = ht_link_dial(s->loop, to, &link_ops, NULL, err);
	if (!s->link) {
		free(s);
		return NULL;
	}
	s->link->owner = s;
	s->dialed = true;
	s->expected = expected;
	ev_timer_start(s->loop, &s->limit);
	return s;
}

struct ht_peer_session *ht_peer_session_accept(const struct ht_peer_session_params *params, int fd)
{
	struct ht_peer_session *s = session_new(params);

	if (s)
		s->link = ht_link_accept(s->loop, fd, &link_ops, NULL);
	if (!s || !s->link) {
		free(s);
		return NULL;
	}
	s->link->owner = s;
	ev_timer_start(s->loop, &s->limit);
	send_hello(s);
	return s;
}

void ht_peer_session_retire(struct ht_peer_session *session)
{
	session->retired = true;
	ev_timer_stop(session->loop, &session->limit);
	ev_timer_set(&session->limit, RETIRE_S, 0);
	ev_timer_start(session->loop, &session->limit);
}

void ht_peer_session_free(struct ht_peer_session *session)
{
	ht_list_del(&session->node);
	ev_timer_stop(session->loop, &session->limit);
	ht_link_free(session->link);
	free(session);
}
