/* Log lines of one process. */
#ifndef HT_ENTRY_LOG_H
#define HT_ENTRY_LOG_H

#include "base/event.h"

struct ht_entry_log {
	const char *instance;
	enum ht_level level;
};

/** Writes one event; @fmt gives its fields as "key=value ...". */
void ht_entry_log(struct ht_entry_log *log, enum ht_event_number number, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif
