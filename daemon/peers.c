#include "base/listen.h"
#include "daemon/peers_internal.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define IDLE_MS 60000

/* An instance that is not listed and has no link is forgotten after this time. Thousands are
 * replaced each day, possibly under new names. */
#define FORGET_MS 600000

#define IDLE_SCAN_S 5.0

/* An end this close to the idle limit is taken for the other side's idle close. */
#define IDLE_SLACK_MS 5000

/* Messages kept while a link is being opened. */
#define QUEUE_MAX ((size_t)256 * 1024)

#define STRANGER_LOG_MS 1000

/* A restart of a data centre connects all its instances at once. */
#define LISTEN_BACKLOG 1024

/* Accepted sockets that have not proved the key yet. */
#define UNPROVEN_MAX 512

static ht_ms now_ms(void)
{
	return ht_clock_now(&ht_clock_monotonic);
}

static struct ht_peer *find(const struct ht_peers *ps, uint64_t id)
{
	return g_hash_table_lookup(ps->by_id, &id);
}

static void drop_session(struct ht_peers *ps, struct ht_peer_session *s)
{
	if (!s->owner)
		ps->unowned_count--;
	ht_peer_session_free(s);
}

/* Takes @s out of its peer and lets it run out. */
static void retire(struct ht_peers *ps, struct ht_peer_session *s)
{
	if (s->owner) {
		s->owner = NULL;
		ht_list_add_tail(&ps->unowned, &s->node);
		ps->unowned_count++;
	}
	ht_peer_session_retire(s);
}

/*
 * When two instances dial each other at once, the link dialed by the lower id stays; both sides
 * come to the same result. An instance dials only while it has no link, so a link that is older
 * than a handshake is dead for the other side.
 */
static bool replaces(const struct ht_peer *p, const struct ht_peer_session *s)
{
	uint64_t dialer_new = s->dialed ? p->peers->self : p->id;
	uint64_t dialer_old = p->session->dialed ? p->peers->self : p->id;

	if (dialer_new == dialer_old || now_ms() - p->adopted_at > HT_HANDSHAKE_MS)
		return true;
	return dialer_new < dialer_old;
}

static void send_queued(struct ht_peer *p)
{
	size_t len = ht_buffer_len(&p->queue);

	if (len)
		ht_link_send_raw(p->session->link, p->queue.data + p->queue.start, len);
	ht_buffer_clear(&p->queue);
}

static void adopt(struct ht_peer *p, struct ht_peer_session *s)
{
	struct ht_peers *ps = p->peers;
	bool was_up = p->session != NULL;

	if (!s->owner) {
		ht_list_del(&s->node);
		ps->unowned_count--;
	}
	if (p->dialing == s)
		p->dialing = NULL;
	if (was_up)
		retire(ps, p->session);
	s->owner = p;
	p->session = s;
	p->adopted_at = now_ms();
	p->current = s->other.incarnation;
	memcpy(p->current_address, s->other.info.peer_address, sizeof(p->current_address));
	p->info = s->other.info;
	p->failures = 0;
	ev_timer_stop(ps->p.loop, &p->retry);
	send_queued(p);
	if (was_up)
		return;
	ht_log_event(ps->p.log, HT_EV_PEER_UP, 0, p->id, "name=%s address=%s", p->info.name,
		     p->info.peer_address);
	ps->p.ops->up(ps->p.ctx, &p->info, p->current);
}

/* Ends the link of an incarnation that another one has replaced. */
static void replace_incarnation(struct ht_peer *p)
{
	struct ht_peer_session *old = p->session;

	p->session = NULL;
	if (old)
		drop_session(p->peers, old);
	ht_peer_report_gone(p);
}

static void on_proven(void *ctx, struct ht_peer_session *s)
{
	struct ht_peers *ps = ctx;
	struct ht_peer *p = s->owner;

	if (!p)
		p = find(ps, s->id);
	if (!p)
		p = ht_peer_add(ps, &s->other.info);
	if (!p || ht_peer_is_gone(p, s->other.incarnation)) {
		if (p && p->dialing == s)
			p->dialing = NULL;
		drop_session(ps, s);
		return;
	}
	if (p->current && p->current != s->other.incarnation)
		replace_incarnation(p);
	if (!p->session || replaces(p, s)) {
		adopt(p, s);
		return;
	}
	if (p->dialing == s)
		p->dialing = NULL;
	retire(ps, s);
}

static void on_message(void *ctx, struct ht_peer_session *s, const Ht__PeerMsg *msg)
{
	struct ht_peers *ps = ctx;

	ht_hlc_receive(&ps->p.log->hlc, msg->clock);
	ps->p.ops->message(ps->p.ctx, s->id, msg);
}

/* Strangers can open connections as fast as they like; one line a second tells of them. */
static bool may_log(struct ht_peers *ps, const struct ht_peer_session *s)
{
	ht_ms now = now_ms();

	if (s->proven || s->dialed)
		return true;
	if (now < ps->next_stranger_log)
		return false;
	ps->next_stranger_log = now + STRANGER_LOG_MS;
	return true;
}

static void log_end(struct ht_peers *ps, const struct ht_peer_session *s, enum ht_link_end end,
		    const char *reason)
{
	uint64_t id = s->id ? s->id : s->expected;
	enum ht_event_number number = HT_EV_PEER_REFUSED;

	if (end == HT_LINK_MALFORMED) {
		ht_count(ps->p.counters, HT_C_frames_malformed, 1);
		number = HT_EV_FRAME_MALFORMED;
	} else if (end != HT_LINK_UNPROVEN) {
		return;
	}
	if (may_log(ps, s))
		ht_log_event(ps->p.log, number, 0, id, "peer=%s reason=\"%s\"", s->other.info.name,
			     reason);
}

static void link_lost(struct ht_peer *p, const struct ht_peer_session *s, const char *reason)
{
	bool idle =
		!ht_peer_same_dc(p) && now_ms() - s->link->last_activity >= IDLE_MS - IDLE_SLACK_MS;

	p->session = NULL;
	if (idle) {
		p->demanded = false;
		return;
	}
	ht_log_event(p->peers->p.log, HT_EV_PEER_LOST, 0, p->id, "name=%s reason=\"%s\"",
		     p->info.name, reason);
	p->demanded = true;
	p->peers->p.ops->down(p->peers->p.ctx, p->id, p->current, HT_PEER_SILENT);
	/* The first attempt follows at once: a refusal proves that the process has ended. */
	ht_peer_schedule(p, 0);
}

static void on_ended(void *ctx, struct ht_peer_session *s, enum ht_link_end end, const char *reason)
{
	struct ht_peers *ps = ctx;
	struct ht_peer *p = s->owner;

	log_end(ps, s, end, reason);
	if (p && p->session == s) {
		link_lost(p, s, reason);
	} else if (p && p->dialing == s) {
		p->dialing = NULL;
		if (!p->session)
			ht_peer_dial_failed(p, end == HT_LINK_REFUSED);
	}
	drop_session(ps, s);
}

static const struct ht_peer_session_ops session_ops = {
	.proven = on_proven,
	.message = on_message,
	.ended = on_ended,
};

static void on_accept(struct ev_loop *loop, struct ev_io *w, int revents)
{
	struct ht_peers *ps = w->data;
	struct ht_peer_session_params params = ht_peers_session_params(ps);
	struct ht_peer_session *s;
	int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)loop;
	(void)revents;
	if (fd < 0)
		return;
	if (ps->unowned_count >= UNPROVEN_MAX) {
		close(fd);
		return;
	}
	s = ht_peer_session_accept(&params, fd);
	if (!s)
		return;
	ht_list_add_tail(&ps->unowned, &s->node);
	ps->unowned_count++;
}

static void peer_free(struct ht_peer *p)
{
	g_hash_table_remove(p->peers->by_id, &p->id);
	ev_timer_stop(p->peers->p.loop, &p->retry);
	if (p->session)
		ht_peer_session_free(p->session);
	if (p->dialing)
		ht_peer_session_free(p->dialing);
	ht_buffer_clear(&p->queue);
	ht_list_del(&p->node);
	free(p);
}

static void close_idle(struct ht_peer *p, ht_ms now)
{
	struct ht_peer_session *s = p->session;

	if (ht_peer_same_dc(p) || now - s->link->last_activity < IDLE_MS)
		return;
	p->session = NULL;
	p->demanded = false;
	drop_session(p->peers, s);
}

static void on_idle_scan(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	struct ht_peers *ps = w->data;
	struct ht_list *pos, *tmp;
	ht_ms now = now_ms();

	(void)loop;
	(void)revents;
	ht_list_for_each_safe (pos, tmp, &ps->all) {
		struct ht_peer *p = ht_container_of(pos, struct ht_peer, node);

		if (p->session || p->listed)
			p->seen_at = now;
		if (p->session)
			close_idle(p, now);
		else if (!p->dialing && now - p->seen_at >= FORGET_MS)
			peer_free(p);
	}
}

static void learn_one(struct ht_peers *ps, const struct ht_instance_info *info)
{
	uint64_t id = ht_instance_id(info->name);
	struct ht_peer *p;

	if (id == ps->self)
		return;
	p = find(ps, id);
	if (!p)
		p = ht_peer_add(ps, info);
	if (!p)
		return;
	p->listed = true;
	if (!p->session && strcmp(p->info.peer_address, info->peer_address) != 0) {
		p->info = *info;
		p->failures = 0;
		ev_timer_stop(ps->p.loop, &p->retry);
	}
	if (ht_peer_wants_link(p))
		ht_peer_schedule(p, p->failures ? ht_peer_backoff(p) : 0);
}

void ht_peers_learn(struct ht_peers *peers, const struct ht_instance_info *list, size_t count,
		    bool whole)
{
	struct ht_list *pos;

	if (whole) {
		ht_list_for_each (pos, &peers->all)
			ht_container_of(pos, struct ht_peer, node)->listed = false;
	}
	for (size_t i = 0; i < count; i++)
		learn_one(peers, &list[i]);
}

bool ht_peers_send(struct ht_peers *peers, uint64_t peer, const Ht__PeerMsg *msg)
{
	struct ht_peer *p = find(peers, peer);

	if (!p)
		return false;
	if (p->session)
		return ht_link_send(p->session->link, msg);
	if (p->failures || ht_buffer_len(&p->queue) > QUEUE_MAX ||
	    !ht_peer_frame_encode(&p->queue, msg, NULL))
		return false;
	p->demanded = true;
	ht_peer_schedule(p, 0);
	return true;
}

void ht_peers_each(const struct ht_peers *peers,
		   void (*visit)(void *ctx, const struct ht_peer_view *view), void *ctx)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &peers->all) {
		const struct ht_peer *p = ht_container_of(pos, struct ht_peer, node);
		struct ht_peer_view view = {
			.info = &p->info,
			.id = p->id,
			.incarnation = p->current,
			.up = p->session != NULL,
		};

		visit(ctx, &view);
	}
}

void ht_peers_flush(struct ht_peers *peers)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &peers->all) {
		struct ht_peer *p = ht_container_of(pos, struct ht_peer, node);

		if (p->session)
			ht_link_flush(p->session->link);
	}
}

static int listen_at(const char *text, struct ht_err *err)
{
	struct ht_addr addr;

	if (!ht_addr_parse(&addr, text, err))
		return -1;
	return ht_listen(&addr, LISTEN_BACKLOG, "peers", err);
}

struct ht_peers *ht_peers_new(const struct ht_peers_params *params, struct ht_err *err)
{
	struct ht_peers *ps = calloc(1, sizeof(*ps));

	if (!ps) {
		ht_err_set(err, HT_ENOMEM, "out of memory");
		return NULL;
	}
	ps->p = *params;
	ps->session_ops = &session_ops;
	ps->self = ht_instance_id(params->self.name);
	ht_list_init(&ps->all);
	ht_list_init(&ps->unowned);
	ps->fd = listen_at(params->self.peer_address, err);
	if (ps->fd < 0) {
		free(ps);
		return NULL;
	}
	ps->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	ev_io_init(&ps->accept, on_accept, ps->fd, EV_READ);
	ps->accept.data = ps;
	ev_io_start(ps->p.loop, &ps->accept);
	ev_timer_init(&ps->idle, on_idle_scan, IDLE_SCAN_S, IDLE_SCAN_S);
	ps->idle.data = ps;
	ev_timer_start(ps->p.loop, &ps->idle);
	return ps;
}

void ht_peers_free(struct ht_peers *peers)
{
	struct ht_list *pos, *tmp;

	if (!peers)
		return;
	ht_list_for_each_safe (pos, tmp, &peers->all)
		peer_free(ht_container_of(pos, struct ht_peer, node));
	ht_list_for_each_safe (pos, tmp, &peers->unowned)
		ht_peer_session_free(ht_container_of(pos, struct ht_peer_session, node));
	ev_io_stop(peers->p.loop, &peers->accept);
	ev_timer_stop(peers->p.loop, &peers->idle);
	g_hash_table_destroy(peers->by_id);
	close(peers->fd);
	free(peers);
}
