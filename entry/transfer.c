#include "entry/transfer.h"

#include "base/list.h"
#include "base/listen.h"
#include "wire/frame.h"

#include <errno.h>
#include <ev.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Timeout of a transfer. A neighbour answers within milliseconds unless it is busy; after the
 * timeout another one is asked. */
#define EXCHANGE_MS 800
/* Timeout of the fetch of the first view: shorter, because packets of callers are waiting. */
#define FIRST_FETCH_MS 250

/* Concurrent transfers served: the direct receivers of an announcement and a few more. A refused
 * instance asks another neighbour. */
#define SERVED_MAX 10

/* Unsent bytes above which further requests are refused: two or three full snapshots of 3,000
 * targets. Instances that start together are then served one after the other and can serve
 * others early, instead of all finishing late. */
#define PENDING_MAX ((size_t)256 * 1024)

/* Bytes served per PERIOD_MS before further requests are refused: five full snapshots of 3,000
 * targets. Every instance that has a view serves it, so that hundreds of instances get theirs
 * within a few periods. */
#define PERIOD_BYTES_MAX ((size_t)512 * 1024)
#define PERIOD_MS 1000

#define READ_CHUNK ((size_t)16 * 1024)

/* Maximum length of a request frame; a longer frame is malformed. */
#define REQUEST_MAX 64

struct exchange {
	struct ht_list node;
	struct ht_transfer *owner;
	int fd;
	bool fetching; /* false: serving a request */
	bool connected, answering;
	struct ht_endpoint source; /* when fetching */
	struct ht_buffer in, out;
	ev_io io;
	ev_timer timer;
};

struct ht_transfer {
	struct ht_transfer_params params;
	int fd;
	ev_io io;
	struct ht_list exchanges;
	unsigned int served;
	bool fetching;
	size_t period_bytes; /* answer bytes since period_start */
	ht_ms period_start;
};

static void exchange_free(struct exchange *x)
{
	struct ht_transfer *tr = x->owner;

	ev_io_stop(tr->params.loop, &x->io);
	ev_timer_stop(tr->params.loop, &x->timer);
	ht_list_del(&x->node);
	if (x->fetching)
		tr->fetching = false;
	else
		tr->served--;
	ht_buffer_clear(&x->in);
	ht_buffer_clear(&x->out);
	close(x->fd);
	free(x);
}

static void finish(struct exchange *x, const char *error)
{
	struct ht_transfer *tr = x->owner;
	struct ht_endpoint source = x->source;
	bool fetching = x->fetching;

	exchange_free(x);
	if (fetching)
		tr->params.received(tr->params.ctx, source, NULL, 0, error);
}

static void set_events(struct exchange *x, int events)
{
	ev_io_stop(x->owner->params.loop, &x->io);
	ev_io_set(&x->io, x->fd, events);
	ev_io_start(x->owner->params.loop, &x->io);
}

static void write_out(struct exchange *x)
{
	ssize_t n = send(x->fd, x->out.data + x->out.start, ht_buffer_len(&x->out), MSG_NOSIGNAL);

	if (n < 0 && errno != EAGAIN && errno != EINTR) {
		finish(x, strerror(errno));
		return;
	}
	if (n > 0)
		ht_buffer_consume(&x->out, (size_t)n);
	if (ht_buffer_len(&x->out))
		return;
	if (x->answering)
		finish(x, "");
	else
		set_events(x, EV_READ);
}

static size_t pending_bytes(const struct ht_transfer *tr)
{
	const struct ht_list *pos;
	size_t len = 0;

	ht_list_for_each (pos, &tr->exchanges)
		len += ht_buffer_len(&ht_container_of(pos, const struct exchange, node)->out);
	return len;
}

static bool may_serve(struct ht_transfer *tr)
{
	ht_ms now = ht_now();

	if (now - tr->period_start >= PERIOD_MS) {
		tr->period_start = now;
		tr->period_bytes = 0;
	}
	return tr->period_bytes < PERIOD_BYTES_MAX && pending_bytes(tr) < PENDING_MAX;
}

static void serve(struct exchange *x, ProtobufCMessage *request)
{
	struct ht_transfer *tr = x->owner;
	bool ok = may_serve(tr) &&
		  tr->params.write(tr->params.ctx, (const Ht__EntrySnapshotRequest *)request,
				   &x->out);

	protobuf_c_message_free_unpacked(request, NULL);
	tr->period_bytes += ht_buffer_len(&x->out);
	if (!ok) {
		finish(x, "");
		return;
	}
	x->answering = true;
	set_events(x, EV_WRITE);
}

static void finish_fetch(struct exchange *x, ProtobufCMessage *answer, size_t bytes)
{
	struct ht_transfer *tr = x->owner;
	struct ht_endpoint source = x->source;

	exchange_free(x);
	tr->params.received(tr->params.ctx, source, (const Ht__EntrySnapshot *)answer, bytes, NULL);
	protobuf_c_message_free_unpacked(answer, NULL);
}

static void read_in(struct exchange *x)
{
	uint8_t *to = ht_buffer_reserve(&x->in, READ_CHUNK);
	ssize_t n = to ? recv(x->fd, to, READ_CHUNK, 0) : -1;
	ProtobufCMessage *msg = NULL;
	struct ht_err err;
	size_t len;

	if (n < 0 && to && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		finish(x, n ? "read failed" : "connection closed");
		return;
	}
	x->in.end += (size_t)n;
	len = ht_buffer_len(&x->in);
	switch (ht_frame_take(&x->in, x->fetching ? HT_FRAME_MAX : REQUEST_MAX,
			      x->fetching ? &ht__entry_snapshot__descriptor
					  : &ht__entry_snapshot_request__descriptor,
			      &msg, &err)) {
	case HT_FRAME_INCOMPLETE:
		break;
	case HT_FRAME_BAD:
		finish(x, err.text);
		break;
	case HT_FRAME_OK:
		if (x->fetching)
			finish_fetch(x, msg, len - ht_buffer_len(&x->in));
		else
			serve(x, msg);
		break;
	}
}

static void on_ready(struct ev_loop *loop, ev_io *io, int revents)
{
	struct exchange *x = io->data;
	int error = 0;
	socklen_t len = sizeof(error);

	(void)loop;
	if (!x->connected) {
		getsockopt(x->fd, SOL_SOCKET, SO_ERROR, &error, &len);
		x->connected = !error;
	}
	if (error)
		finish(x, strerror(error));
	else if (revents & EV_WRITE)
		write_out(x);
	else
		read_in(x);
}

static void on_timeout(struct ev_loop *loop, ev_timer *timer, int revents)
{
	(void)loop;
	(void)revents;
	finish(timer->data, "timeout");
}

/* Takes ownership of @fd, and closes it if out of memory. */
static struct exchange *exchange_new(struct ht_transfer *tr, int fd, bool fetching, ht_ms limit)
{
	struct exchange *x = calloc(1, sizeof(*x));

	if (!x) {
		close(fd);
		return NULL;
	}
	x->owner = tr;
	x->fd = fd;
	x->fetching = fetching;
	x->connected = !fetching;
	if (fetching)
		tr->fetching = true;
	else
		tr->served++;
	ht_list_add_tail(&tr->exchanges, &x->node);
	ev_timer_init(&x->timer, on_timeout, (double)limit / 1000, 0);
	x->timer.data = x;
	ev_timer_start(tr->params.loop, &x->timer);
	ev_io_init(&x->io, on_ready, fd, fetching ? EV_WRITE : EV_READ);
	x->io.data = x;
	ev_io_start(tr->params.loop, &x->io);
	return x;
}

static void on_connection(struct ev_loop *loop, ev_io *io, int revents)
{
	struct ht_transfer *tr = io->data;
	int fd = accept4(tr->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)loop;
	(void)revents;
	if (fd < 0)
		return;
	if (tr->served < SERVED_MAX)
		exchange_new(tr, fd, false, EXCHANGE_MS);
	else
		close(fd);
}

bool ht_transfer_fetch(struct ht_transfer *tr, struct ht_endpoint from,
		       const Ht__EntrySnapshotRequest *request)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(from.port),
		.sin_addr.s_addr = htonl(from.ip),
	};
	bool first = !request->targets_revision;
	struct exchange *x;
	struct ht_err err;
	int fd;

	if (tr->fetching)
		return false;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	x = fd >= 0 ? exchange_new(tr, fd, true, first ? FIRST_FETCH_MS : EXCHANGE_MS) : NULL;
	if (!x) {
		tr->params.received(tr->params.ctx, from, NULL, 0,
				    fd < 0 ? strerror(errno) : "out of memory");
		return false;
	}
	x->source = from;
	if (!ht_frame_put(&x->out, &request->base, &err)) {
		finish(x, err.text);
		return false;
	}
	if (connect(fd, (const struct sockaddr *)&sin, sizeof(sin)) == 0 || errno == EINPROGRESS)
		return true;
	finish(x, strerror(errno));
	return false;
}

struct ht_transfer *ht_transfer_new(const struct ht_transfer_params *params, struct ht_err *err)
{
	struct ht_transfer *tr = calloc(1, sizeof(*tr));

	if (!tr) {
		ht_err_set(err, HT_ENOMEM, "out of memory");
		return NULL;
	}
	tr->params = *params;
	ht_list_init(&tr->exchanges);
	tr->fd = ht_listen(params->address, SERVED_MAX, "snapshots", err);
	if (tr->fd < 0) {
		free(tr);
		return NULL;
	}
	ev_io_init(&tr->io, on_connection, tr->fd, EV_READ);
	tr->io.data = tr;
	ev_io_start(params->loop, &tr->io);
	return tr;
}

void ht_transfer_free(struct ht_transfer *tr)
{
	struct ht_list *pos, *tmp;

	if (!tr)
		return;
	ht_list_for_each_safe (pos, tmp, &tr->exchanges)
		exchange_free(ht_container_of(pos, struct exchange, node));
	ev_io_stop(tr->params.loop, &tr->io);
	close(tr->fd);
	free(tr);
}
