/* Log lines and the event ring of one process, stamped with the hybrid logical clock. */
#ifndef HT_DAEMON_LOG_H
#define HT_DAEMON_LOG_H

#include "base/event.h"
#include "base/hlc.h"

struct ht_log {
	struct ht_event_ring *ring;
	struct ht_hlc hlc;
	const char *process;
	enum ht_level max;
};

/** Stamps @ev unless it has a clock, keeps it in the ring and prints it by level. */
void ht_log_add(struct ht_log *log, const struct ht_event *ev);

/** Emits an event of the daemon; @fmt gives the detail fields. Ids that do not apply are 0. */
void ht_log_event(struct ht_log *log, enum ht_event_number number, uint64_t target,
		  uint64_t instance, const char *fmt, ...) __attribute__((format(printf, 5, 6)));

/** Next value of the hybrid logical clock. */
uint64_t ht_log_clock(struct ht_log *log);

#endif
