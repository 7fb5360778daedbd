#include "entry/log.h"

#include <stdarg.h>
#include <stdio.h>

void ht_entry_log(struct ht_entry_log *log, enum ht_event_number number, const char *fmt, ...)
{
	const struct ht_event_info *info = ht_event_info(number);
	struct ht_event ev = {.number = number};
	va_list ap;

	if (!info || info->level > log->level)
		return;
	va_start(ap, fmt);
	vsnprintf(ev.detail, sizeof(ev.detail), fmt, ap);
	va_end(ap);
	ht_event_log(&ev, log->instance, log->level);
}
