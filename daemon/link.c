#include "daemon/link.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_CHUNK ((size_t)16 * 1024)

/* Unacknowledged bytes end a link after this time, so that a lost host does not hold it open. */
#define UNACKED_MS 3000

static void set_option(int fd, int level, int name, int value)
{
	/* These options only speed up detection; a link works without them. */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void tune(int fd)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_MS);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, 2);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, 3);
}

static void end(struct ht_link *link, enum ht_link_end how, const char *reason)
{
	ev_io_stop(link->loop, &link->rd);
	ev_io_stop(link->loop, &link->wr);
	link->ops->ended(link->ctx, link, how, reason);
}

/* Delivers the whole frames that are held; false when the link was freed or ended. */
static bool deliver(struct ht_link *link)
{
	bool freed = false;
	struct ht_err err;
	Ht__PeerMsg *msg;

	link->freed = &freed;
	for (;;) {
		enum ht_frame_status s =
			ht_peer_frame_decode(&link->in, link->frame_limit, &msg, &err);

		if (s == HT_FRAME_INCOMPLETE)
			break;
		if (s == HT_FRAME_BAD) {
			link->freed = NULL;
			end(link, HT_LINK_MALFORMED, err.text);
			return false;
		}
		link->ops->message(link->ctx, link, msg);
		ht__peer_msg__free_unpacked(msg, NULL);
		if (freed)
			return false;
	}
	link->freed = NULL;
	return true;
}

static void on_readable(struct ev_loop *loop, struct ev_io *w, int revents)
{
	struct ht_link *link = w->data;
	uint8_t chunk[READ_CHUNK];
	ssize_t n = recv(link->fd, chunk, sizeof(chunk), 0);

	(void)loop;
	(void)revents;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		end(link, HT_LINK_CLOSED, n ? strerror(errno) : "closed by the peer");
		return;
	}
	if (!ht_buffer_append(&link->in, chunk, (size_t)n)) {
		end(link, HT_LINK_CLOSED, "out of memory");
		return;
	}
	link->last_activity = ht_clock_now(&ht_clock_monotonic);
	deliver(link);
}

/* Returns 0, or the error that ended the connection. */
static int write_some(struct ht_link *link)
{
	while (ht_buffer_len(&link->out)) {
		ssize_t n = send(link->fd, link->out.data + link->out.start,
				 ht_buffer_len(&link->out), MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return errno == EAGAIN ? 0 : errno;
		ht_buffer_consume(&link->out, (size_t)n);
	}
	return 0;
}

static bool finish_connect(struct ht_link *link)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0)
		error = errno;
	if (error) {
		end(link, error == ECONNREFUSED ? HT_LINK_REFUSED : HT_LINK_FAILED,
		    strerror(error));
		return false;
	}
	link->connecting = false;
	ev_io_start(link->loop, &link->rd);
	link->ops->opened(link->ctx, link);
	return true;
}

static void on_writable(struct ev_loop *loop, struct ev_io *w, int revents)
{
	struct ht_link *link = w->data;
	int error;

	(void)revents;
	if (link->connecting && !finish_connect(link))
		return;
	error = write_some(link);
	if (error)
		end(link, HT_LINK_CLOSED, strerror(error));
	else if (!ht_buffer_len(&link->out))
		ev_io_stop(loop, w);
}

static struct ht_link *link_new(struct ev_loop *loop, int fd, const struct ht_link_ops *ops,
				void *ctx)
{
	struct ht_link *link = calloc(1, sizeof(*link));

	if (!link) {
		close(fd);
		return NULL;
	}
	ht_list_init(&link->node);
	link->loop = loop;
	link->ops = ops;
	link->ctx = ctx;
	link->fd = fd;
	link->frame_limit = HT_FRAME_MAX_HELLO;
	link->last_activity = ht_clock_now(&ht_clock_monotonic);
	ev_io_init(&link->rd, on_readable, fd, EV_READ);
	ev_io_init(&link->wr, on_writable, fd, EV_WRITE);
	link->rd.data = link;
	link->wr.data = link;
	tune(fd);
	return link;
}

struct ht_link *ht_link_dial(struct ev_loop *loop, const struct ht_addr *to,
			     const struct ht_link_ops *ops, void *ctx, struct ht_err *err)
{
	int fd = socket(to->ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct ht_link *link;

	if (fd < 0) {
		ht_err_set(err, HT_EIO, "socket: %s", strerror(errno));
		return NULL;
	}
	link = link_new(loop, fd, ops, ctx);
	if (!link) {
		ht_err_set(err, HT_ENOMEM, "out of memory");
		return NULL;
	}
	link->connecting = true;
	if (connect(fd, (const struct sockaddr *)&to->ss, to->len) < 0 && errno != EINPROGRESS) {
		ht_err_set(err, errno == ECONNREFUSED ? HT_ENOTFOUND : HT_EIO, "connect: %s",
			   strerror(errno));
		ht_link_free(link);
		return NULL;
	}
	ev_io_start(loop, &link->wr);
	return link;
}

struct ht_link *ht_link_accept(struct ev_loop *loop, int fd, const struct ht_link_ops *ops,
			       void *ctx)
{
	struct ht_link *link = link_new(loop, fd, ops, ctx);

	if (link)
		ev_io_start(loop, &link->rd);
	return link;
}

bool ht_link_send(struct ht_link *link, const Ht__PeerMsg *msg)
{
	if (ht_buffer_len(&link->out) > HT_LINK_BUFFER_MAX ||
	    !ht_peer_frame_encode(&link->out, msg, NULL))
		return false;
	link->last_activity = ht_clock_now(&ht_clock_monotonic);
	ev_io_start(link->loop, &link->wr);
	return true;
}

bool ht_link_send_raw(struct ht_link *link, const void *data, size_t len)
{
	if (ht_buffer_len(&link->out) > HT_LINK_BUFFER_MAX ||
	    !ht_buffer_append(&link->out, data, len))
		return false;
	ev_io_start(link->loop, &link->wr);
	return true;
}

void ht_link_flush(struct ht_link *link)
{
	if (!link->connecting)
		(void)write_some(link);
}

void ht_link_free(struct ht_link *link)
{
	if (link->freed)
		*link->freed = true;
	ht_list_del(&link->node);
	ev_io_stop(link->loop, &link->rd);
	ev_io_stop(link->loop, &link->wr);
	close(link->fd);
	ht_buffer_clear(&link->in);
	ht_buffer_clear(&link->out);
	free(link);
}
