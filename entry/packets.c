#include "entry/packets.h"

#include "platform/packet.h"

#include <errno.h>
#include <ev.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Packets handled per loop iteration, so that timers and other sockets are not starved. */
#define BATCH_MAX 64

/* The decision time is measured for one packet in this many, because reading the clock costs as
 * much as a lookup. */
#define MEASURED_ONE_IN 64

/* Requested SO_RCVBUF, for bursts while the process is busy; the kernel may grant less. */
#define RECEIVE_BUFFER (1 << 20)

struct ht_packets {
	struct ht_packets_params params;
	int fd;
	ev_io io;
	uint16_t port; /* network byte order */
	ht_ms last;
	uint64_t handled;
	uint8_t buf[HT_PACKET_TARGET_ID_LEN + HT_PACKET_MAX + 1];
};

static void send_to(struct ht_packets *p, struct ht_endpoint to, const uint8_t *data, size_t len)
{
	struct sockaddr_in sin = {
		.sin_family = AF_INET,
		.sin_port = htons(to.port),
		.sin_addr.s_addr = htonl(to.ip),
	};

	/* A datagram that cannot be sent counts as lost; the original sender retransmits. */
	if (sendto(p->fd, data, len, MSG_NOSIGNAL, (const struct sockaddr *)&sin, sizeof(sin)) < 0)
		p->params.stats->unsent++;
}

static struct ht_steering_decision decide(struct ht_packets *p, const struct ht_packet *pkt,
					  ht_ms now)
{
	struct ht_steering_decision d;
	double start;

	if (p->handled++ % MEASURED_ONE_IN)
		return ht_steering_packet(p->params.steering, pkt, now);
	start = ht_clock_seconds();
	d = ht_steering_packet(p->params.steering, pkt, now);
	ht_histogram_add(&p->params.stats->decision_time, ht_clock_seconds() - start);
	return d;
}

static void handle(struct ht_packets *p, size_t len, ht_ms now)
{
	uint8_t *data = p->buf + HT_PACKET_TARGET_ID_LEN, reset[HT_PACKET_HEADER_LEN];
	struct ht_steering_decision d;
	struct ht_packet pkt;

	if (!ht_packet_decode(&pkt, data, len)) {
		ht_decisions_malformed(p->params.decisions, len);
		return;
	}
	d = decide(p, &pkt, now);
	ht_decisions_packet(p->params.decisions, &pkt, &d, now);
	switch (d.action) {
	case HT_STEER_FORWARD:
		ht_packet_set_target(p->buf, d.target->id, d.mark);
		send_to(p, d.target->at, p->buf, HT_PACKET_TARGET_ID_LEN + len);
		break;
	case HT_STEER_RESET:
		ht_packet_reset(reset, &pkt);
		send_to(p, (struct ht_endpoint){.ip = pkt.src.ip, .port = ntohs(p->port)}, reset,
			sizeof(reset));
		break;
	case HT_STEER_DROP:
	case HT_STEER_ACTIONS:
		break;
	}
}

static void on_readable(struct ev_loop *loop, ev_io *io, int revents)
{
	struct ht_packets *p = io->data;
	ht_ms now = ht_now();

	(void)loop;
	(void)revents;
	for (int i = 0; i < BATCH_MAX; i++) {
		ssize_t n = recv(p->fd, p->buf + HT_PACKET_TARGET_ID_LEN, HT_PACKET_MAX + 1, 0);

		if (n < 0)
			return;
		p->last = now;
		handle(p, (size_t)n, now);
	}
}

struct ht_packets *ht_packets_new(const struct ht_packets_params *params, struct ht_err *err)
{
	static const int size = RECEIVE_BUFFER;
	const struct ht_addr *addr = params->address;
	struct ht_packets *p = calloc(1, sizeof(*p));

	if (!p) {
		ht_err_set(err, HT_ENOMEM, "out of memory");
		return NULL;
	}
	p->params = *params;
	p->port = ((const struct sockaddr_in *)&addr->ss)->sin_port;
	p->last = ht_now();
	p->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (p->fd < 0 || bind(p->fd, (const struct sockaddr *)&addr->ss, addr->len) != 0) {
		char text[HT_ADDR_TEXT];

		ht_err_set(err, HT_EIO, "cannot bind packet socket to %s: %s",
			   ht_addr_format(addr, text), strerror(errno));
		if (p->fd >= 0)
			close(p->fd);
		free(p);
		return NULL;
	}
	setsockopt(p->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	ev_io_init(&p->io, on_readable, p->fd, EV_READ);
	p->io.data = p;
	return p;
}

void ht_packets_start(struct ht_packets *p)
{
	ev_io_start(p->params.loop, &p->io);
}

void ht_packets_free(struct ht_packets *p)
{
	if (!p)
		return;
	ev_io_stop(p->params.loop, &p->io);
	close(p->fd);
	free(p);
}

ht_ms ht_packets_last(const struct ht_packets *p)
{
	return p->last;
}
