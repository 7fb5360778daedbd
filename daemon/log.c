#include "daemon/log.h"

#include <stdarg.h>
#include <stdio.h>

uint64_t ht_log_clock(struct ht_log *log)
{
	return ht_hlc_tick(&log->hlc, ht_clock_wall());
}

void ht_log_add(struct ht_log *log, const struct ht_event *ev)
{
	struct ht_event copy = *ev;

	if (!copy.clock)
		copy.clock = ht_log_clock(log);
	ht_event_ring_add(log->ring, &copy);
	ht_event_log(&copy, log->process, log->max);
}

void ht_log_event(struct ht_log *log, enum ht_event_number number, uint64_t target,
		  uint64_t instance, const char *fmt, ...)
{
	struct ht_event ev = {.number = number, .target = target, .instance = instance};
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(ev.detail, sizeof(ev.detail), fmt, ap);
	va_end(ap);
	ht_log_add(log, &ev);
}
