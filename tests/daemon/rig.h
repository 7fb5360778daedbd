/* Loop helpers shared by the daemon's tests: everything runs in one process on loopback. */
#ifndef HT_TESTS_DAEMON_RIG_H
#define HT_TESTS_DAEMON_RIG_H

#include "base/addr.h"
#include "daemon/log.h"

#include <ev.h>
#include <stdio.h>
#include <string.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

static inline void rig_ignore(struct ev_loop *loop, struct ev_timer *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
}

/** Runs @loop until *@flag >= @want or @ms have passed; true in the first case. */
static inline bool rig_run(struct ev_loop *loop, const int *flag, int want, ht_ms ms)
{
	ht_ms end = ht_clock_now(&ht_clock_monotonic) + ms;
	struct ev_timer wake;

	ev_timer_init(&wake, rig_ignore, 0.005, 0.005);
	ev_timer_start(loop, &wake);
	while (*flag < want && ht_clock_now(&ht_clock_monotonic) < end)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &wake);
	return *flag >= want;
}

/** Runs @loop for @ms. */
static inline void rig_pass(struct ev_loop *loop, ht_ms ms)
{
	static const int never;

	(void)rig_run(loop, &never, 1, ms);
}

/** Writes a loopback address with a port that is free now into @text. */
static inline void rig_address(char text[HT_ADDR_TEXT], int type)
{
	int fd = socket(AF_INET, type, 0);
	struct ht_addr addr;

	(void)ht_addr_parse(&addr, "127.0.0.1:1", NULL);
	((struct sockaddr_in *)&addr.ss)->sin_port = 0;
	(void)bind(fd, (struct sockaddr *)&addr.ss, addr.len);
	(void)getsockname(fd, (struct sockaddr *)&addr.ss, &addr.len);
	close(fd);
	(void)ht_addr_format(&addr, text);
}

/** A log that prints nothing. */
static inline void rig_log_init(struct ht_log *log)
{
	memset(log, 0, sizeof(*log));
	log->ring = ht_event_ring_new(256);
	log->process = "test";
}

struct rig_count {
	enum ht_event_number number;
	int count;
};

static inline void rig_count_event(void *ctx, const struct ht_event *ev)
{
	struct rig_count *c = ctx;

	c->count += ev->number == c->number;
}

/** Number of events with this number in the ring. */
static inline int rig_events(const struct ht_log *log, enum ht_event_number number)
{
	struct rig_count c = {.number = number};

	ht_event_ring_each(log->ring, rig_count_event, &c);
	return c.count;
}

#endif
