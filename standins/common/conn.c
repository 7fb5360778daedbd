#include "standins/common/conn.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#define MESSAGE_MAX (1 << 20)

struct ht_si_conn {
	struct ht_list node;
	struct ht_si_server *srv;
	struct ev_io rd, wr;
	GByteArray *in, *out;
	bool silent;
};

static void close_conn(struct ht_si_conn *c)
{
	struct ht_si_server *srv = c->srv;

	srv->on_close(srv->ctx, c);
	ev_io_stop(srv->loop, &c->rd);
	ev_io_stop(srv->loop, &c->wr);
	close(c->rd.fd);
	ht_list_del(&c->node);
	if (!c->silent)
		srv->open--;
	g_byte_array_unref(c->in);
	g_byte_array_unref(c->out);
	g_free(c);
}

static void on_writable(struct ev_loop *loop, struct ev_io *w, int events)
{
	struct ht_si_conn *c = w->data;
	ssize_t n = send(w->fd, c->out->data, c->out->len, MSG_NOSIGNAL | MSG_DONTWAIT);

	(void)events;
	if (n > 0)
		g_byte_array_remove_range(c->out, 0, (guint)n);
	if (n < 0 && errno != EAGAIN)
		close_conn(c);
	else if (!c->out->len)
		ev_io_stop(loop, w);
}

void ht_si_conn_send(struct ht_si_conn *c, const struct ht_si_msg *m)
{
	if (c->silent)
		return;
	ht_si_msg_tcp(m, c->out);
	ev_io_start(c->srv->loop, &c->wr);
}

static void send_csm(struct ht_si_conn *c)
{
	struct ht_si_msg m;

	ht_si_msg_init(&m, COAP_SIGNALING_CODE_CSM, NULL, 0);
	ht_si_msg_opt_uint(&m, COAP_SIGNALING_OPTION_MAX_MESSAGE_SIZE, MESSAGE_MAX);
	ht_si_conn_send(c, &m);
	ht_si_msg_clear(&m);
}

static void send_pong(struct ht_si_conn *c, const coap_pdu_t *ping)
{
	coap_bin_const_t token = coap_pdu_get_token(ping);
	struct ht_si_msg m;

	ht_si_msg_init(&m, COAP_SIGNALING_CODE_PONG, token.s, token.length);
	ht_si_conn_send(c, &m);
	ht_si_msg_clear(&m);
}

/* Returns false when the peer ends the connection. */
static bool handle(struct ht_si_conn *c, const uint8_t *data, size_t len)
{
	coap_pdu_t *pdu = ht_si_msg_parse(COAP_PROTO_TCP, data, len);
	bool go_on = pdu != NULL;
	unsigned code;

	if (!pdu)
		return false;
	code = coap_pdu_get_code(pdu);
	if (code == COAP_SIGNALING_CODE_PING)
		send_pong(c, pdu);
	else if (code == COAP_SIGNALING_CODE_RELEASE || code == COAP_SIGNALING_CODE_ABORT)
		go_on = false;
	else if (code >= 1 && code < 32)
		c->srv->on_request(c->srv->ctx, c, pdu);
	coap_delete_pdu(pdu);
	return go_on;
}

static bool handle_all(struct ht_si_conn *c)
{
	size_t at = 0, len;
	bool ok = true;

	while (ok && (len = ht_si_msg_tcp_len(c->in->data + at, c->in->len - at)) != 0) {
		if (len > MESSAGE_MAX)
			return false;
		if (c->in->len - at < len)
			break;
		ok = handle(c, c->in->data + at, len);
		at += len;
	}
	if (at)
		g_byte_array_remove_range(c->in, 0, (guint)at);
	return ok;
}

static void on_readable(struct ev_loop *loop, struct ev_io *w, int events)
{
	struct ht_si_conn *c = w->data;
	uint8_t buf[16384];
	ssize_t n = recv(w->fd, buf, sizeof(buf), MSG_DONTWAIT);

	(void)loop, (void)events;
	if (n < 0 && errno == EAGAIN)
		return;
	if (n > 0)
		g_byte_array_append(c->in, buf, (guint)n);
	if (n <= 0 || !handle_all(c))
		close_conn(c);
}

static void on_accept(struct ev_loop *loop, struct ev_io *w, int events)
{
	struct ht_si_server *srv = w->data;
	int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct ht_si_conn *c;

	(void)events;
	if (fd < 0)
		return;
	if (srv->open >= srv->limit) {
		close(fd);
		return;
	}
	c = g_new0(struct ht_si_conn, 1);
	c->srv = srv;
	c->in = g_byte_array_new();
	c->out = g_byte_array_new();
	ev_io_init(&c->rd, on_readable, fd, EV_READ);
	ev_io_init(&c->wr, on_writable, fd, EV_WRITE);
	c->rd.data = c;
	c->wr.data = c;
	srv->open++;
	ht_list_add_tail(&srv->conns, &c->node);
	ev_io_start(loop, &c->rd);
	send_csm(c);
}

bool ht_si_server_start(struct ht_si_server *srv, struct ev_loop *loop, const struct ht_addr *addr,
			struct ht_err *err)
{
	int fd = socket(addr->ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	ht_list_init(&srv->conns);
	srv->loop = loop;
	if (fd < 0 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) < 0 ||
	    bind(fd, (const struct sockaddr *)&addr->ss, addr->len) < 0 || listen(fd, 128) < 0) {
		ht_err_set(err, HT_EIO, "listen: %s", g_strerror(errno));
		if (fd >= 0)
			close(fd);
		return false;
	}
	ev_io_init(&srv->listen, on_accept, fd, EV_READ);
	srv->listen.data = srv;
	ev_io_start(loop, &srv->listen);
	return true;
}

void ht_si_server_stop(struct ht_si_server *srv)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, &srv->conns)
		close_conn(ht_container_of(pos, struct ht_si_conn, node));
	ev_io_stop(srv->loop, &srv->listen);
	close(srv->listen.fd);
}

void ht_si_server_silence(struct ht_si_server *srv)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &srv->conns) {
		struct ht_si_conn *c = ht_container_of(pos, struct ht_si_conn, node);

		ev_io_stop(srv->loop, &c->rd);
		ev_io_stop(srv->loop, &c->wr);
		if (!c->silent)
			srv->open--;
		c->silent = true;
	}
}
