/* Fixture: a catalogue with targets and one struct ht_steering, driven by a fake clock. */
#ifndef TESTS_STEERING_WORLD_H
#define TESTS_STEERING_WORLD_H

#include "core/reports.h"
#include "core/steering.h"
#include "tests/revision.h"

#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define STOCK_PORT 443
#define DOCS_PORT 80
#define ADDRESS 0xc6120001U

static struct ht_catalog *cat;
static struct ht_steering *st;
static struct ht_steering_params params;
static struct ht_reports reports;
static ht_ms now;
static uint64_t revision;

static inline struct ht_target_entry entry_of(int i, const char *service, const char *dc)
{
	struct ht_target_entry e = {
		.id = 0x1000U + (unsigned int)i,
		.at = {.ip = 0x0a000001U + (unsigned int)i, .port = 8080},
		.service = service,
		.dc = dc,
		.slots = 3,
		.started = 1700000000000 + i,
		.revision = rev(++revision),
	};
	char name[32];

	snprintf(name, sizeof(name), "i-%x", 0x1000 + i);
	e.name = g_intern_string(name);
	return e;
}

static inline struct ht_target *put_target(int i, const char *service, const char *dc)
{
	struct ht_target_entry e = entry_of(i, service, dc);

	ht_catalog_put_target(cat, &e, HT_CATALOG_STORE, now);
	return ht_catalog_by_name(cat, e.name);
}

static inline void put_routes(uint64_t version)
{
	struct ht_route_entry entries[] = {
		{.at = {ADDRESS, STOCK_PORT},
		 .service = "stock",
		 .priority = 2,
		 .idempotent = true},
		{.at = {ADDRESS, STOCK_PORT + 1}, .service = "stock", .priority = 1},
		{.at = {ADDRESS, DOCS_PORT}, .service = "docs", .priority = 2},
	};
	struct ht_route_table table = {
		.id = {version, rev(version)}, .count = 3, .entries = entries};

	ht_catalog_set_routes(cat, &table);
}

static inline void world_start(void)
{
	now = 100000;
	revision = 100;
	reports = (struct ht_reports){0};
	cat = ht_catalog_new("here");
	ht_steering_params_default(&params);
	params.catalog = cat;
	params.reports = &reports;
	params.seed = 7;
	st = ht_steering_new(&params);
	put_routes(1);
	ht_steering_set_view_complete(st, true);
}

static inline void world_stop(void)
{
	ht_steering_free(st);
	ht_catalog_free(cat);
}

static inline struct ht_packet packet_of(uint16_t caller, uint16_t port)
{
	return (struct ht_packet){.src = {.ip = 0x64400001U, .port = caller},
				  .dst = {.ip = ADDRESS, .port = port}};
}

/* Sends the opening packet of a flow that begins at @sequence; @copy: retransmission number. */
static inline struct ht_steering_decision open_flow_at(uint16_t caller, uint16_t port,
						       uint32_t copy, uint32_t sequence)
{
	struct ht_packet pkt = packet_of(caller, port);

	pkt.opens = true;
	pkt.acknowledged = copy;
	pkt.sequence = sequence;
	return ht_steering_packet(st, &pkt, now);
}

static inline struct ht_steering_decision open_flow(uint16_t caller, uint16_t port, uint32_t copy)
{
	return open_flow_at(caller, port, copy, 0);
}

static inline struct ht_steering_decision send_marked(uint16_t caller, uint16_t port, uint32_t mark,
						      uint32_t ack, uint16_t length)
{
	struct ht_packet pkt = packet_of(caller, port);

	pkt.mark = mark;
	pkt.acknowledged = ack;
	pkt.length = length;
	pkt.sequence = 1;
	return ht_steering_packet(st, &pkt, now);
}

static inline void close_flow(uint16_t caller, uint16_t port, uint32_t mark, uint32_t ack)
{
	struct ht_packet pkt = packet_of(caller, port);

	pkt.mark = mark;
	pkt.acknowledged = ack;
	pkt.closes = true;
	ht_steering_packet(st, &pkt, now);
}

/* A complete flow with one request, answered with @bytes after @took. Returns its target. */
static inline struct ht_target *request(uint16_t caller, uint16_t port, uint32_t bytes, ht_ms took)
{
	struct ht_steering_decision d = open_flow(caller, port, 0);

	ck_assert_int_eq(d.action, HT_STEER_FORWARD);
	now += 4;
	send_marked(caller, port, d.mark, 100, 50);
	now += took;
	send_marked(caller, port, d.mark, 100 + bytes, 0);
	close_flow(caller, port, d.mark, 100 + bytes);
	return d.target;
}

#endif
