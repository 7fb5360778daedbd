/* Callers with long-lived flows, on top of the fixture of tests/core/steering_world.h. */
#ifndef TESTS_STEERING_CALLERS_H
#define TESTS_STEERING_CALLERS_H

#include "tests/core/steering_world.h"

#define REQUEST 50
#define ANSWER 4000

/* The caller's side of a flow: next sequence number and acknowledged bytes. */
struct caller {
	uint16_t port, service;
	uint32_t mark, sequence, acknowledged;
};

static inline struct caller connect_to(uint16_t port, uint16_t service)
{
	struct caller c = {
		.port = port,
		.service = service,
		.mark = open_flow(port, service, 0).mark,
		.sequence = 1,
		.acknowledged = 100,
	};

	now += 4;
	return c;
}

static inline struct ht_steering_decision send_data(const struct caller *c, uint32_t sequence,
						    uint16_t length)
{
	struct ht_packet pkt = packet_of(c->port, c->service);

	pkt.mark = c->mark;
	pkt.sequence = sequence;
	pkt.acknowledged = c->acknowledged;
	pkt.length = length;
	return ht_steering_packet(st, &pkt, now);
}

static inline struct caller connect_caller(uint16_t port)
{
	return connect_to(port, STOCK_PORT);
}

static inline void send_request(struct caller *c)
{
	send_data(c, c->sequence, REQUEST);
	c->sequence += REQUEST;
}

static inline void receive_answer(struct caller *c, uint32_t bytes)
{
	c->acknowledged += bytes;
	send_data(c, c->sequence, 0);
}

/* Retransmits the last request, which has not been acknowledged. */
static inline struct ht_steering_decision resend_request(const struct caller *c)
{
	return send_data(c, c->sequence - REQUEST, REQUEST);
}

#endif
