#include "base/logger.h"

#include "base/hlc.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Buffer for lines that the reader has not taken yet: some seconds at the default budgets. */
#define PENDING_MAX ((size_t)64 * 1024)

/* Unused budget accumulates for this long, so that one failure can log a burst of lines. */
#define BURST_S 3.0

/* Share of the total burst that is reserved for NOTICE and more severe levels. */
#define RESERVED_SHARE 0.5

/* Wall clocks of machines differ by seconds at most; a stamp further ahead is a sender's fault. */
#define STAMP_AHEAD_MAX_MS 60000

/* Maximum number of events listed in a report of dropped lines. */
#define REPORT_EVENTS 4

struct bucket {
	double lines, bytes;
};

struct event_state {
	struct bucket bucket;
	ht_ms refilled_at;
	uint64_t dropped; /* since the last report */
};

struct ht_logger {
	struct ht_logger_params params;
	char process[64];
	struct ht_hlc hlc;
	struct bucket total;
	ht_ms refilled_at;
	struct event_state *events;
	struct ht_logger_counts counts, reported;
	time_t second; /* formatted in date_time */
	char date_time[24];
	size_t len;
	char pending[PENDING_MAX];
};

static void bucket_refill(struct bucket *b, const struct ht_log_budget *budget, ht_ms *at,
			  ht_ms now)
{
	double seconds = (double)(now - *at) / 1000;

	*at = now;
	b->lines += budget->lines * seconds;
	b->bytes += budget->bytes * seconds;
	if (b->lines > budget->lines * BURST_S)
		b->lines = budget->lines * BURST_S;
	if (b->bytes > budget->bytes * BURST_S)
		b->bytes = budget->bytes * BURST_S;
}

static bool bucket_has(const struct bucket *b, const struct ht_log_budget *budget, double reserved)
{
	double lines = reserved * budget->lines * BURST_S;
	double bytes = reserved * budget->bytes * BURST_S;

	return b->lines - 1 >= lines && b->bytes > bytes;
}

static struct bucket bucket_full(const struct ht_log_budget *budget)
{
	return (struct bucket){.lines = budget->lines * BURST_S, .bytes = budget->bytes * BURST_S};
}

static void fill_all(struct ht_logger *log)
{
	log->refilled_at = ht_clock_now(log->params.clock);
	log->total = bucket_full(&log->params.total);
	for (size_t i = 0; i < ht_event_count(); i++) {
		log->events[i].bucket = bucket_full(&log->params.event);
		log->events[i].refilled_at = log->refilled_at;
	}
}

struct ht_logger *ht_logger_new(const struct ht_logger_params *params)
{
	struct ht_logger *log = calloc(1, sizeof(*log));
	int flags = fcntl(params->fd, F_GETFL);

	if (!log)
		return NULL;
	log->params = *params;
	log->events = calloc(ht_event_count(), sizeof(*log->events));
	if (!log->events) {
		free(log);
		return NULL;
	}
	snprintf(log->process, sizeof(log->process), "%s", params->process);
	log->second = -1;
	fill_all(log);
	/* A terminal is shared with the shell, which would find it non-blocking afterwards. */
	if (flags >= 0 && !isatty(params->fd))
		fcntl(params->fd, F_SETFL, flags | O_NONBLOCK);
	return log;
}

void ht_logger_free(struct ht_logger *log)
{
	if (!log)
		return;
	ht_logger_flush(log);
	free(log->events);
	free(log);
}

void ht_logger_configure(struct ht_logger *log, enum ht_level level, struct ht_log_budget total,
			 struct ht_log_budget event)
{
	log->params.level = level;
	log->params.total = total;
	log->params.event = event;
	fill_all(log);
}

static struct event_state *state_of(struct ht_logger *log, const struct ht_event_info *info)
{
	return &log->events[ht_event_index(info)];
}

bool ht_logger_admit(struct ht_logger *log, enum ht_event_number number)
{
	const struct ht_event_info *info = ht_event_info(number);
	struct event_state *ev;
	double reserved;
	ht_ms now;

	if (!info || info->level > log->params.level)
		return false;
	now = ht_clock_now(log->params.clock);
	ev = state_of(log, info);
	reserved = info->level <= HT_NOTICE ? 0 : RESERVED_SHARE;
	bucket_refill(&log->total, &log->params.total, &log->refilled_at, now);
	bucket_refill(&ev->bucket, &log->params.event, &ev->refilled_at, now);
	if (!bucket_has(&log->total, &log->params.total, reserved) ||
	    !bucket_has(&ev->bucket, &log->params.event, 0)) {
		ev->dropped++;
		log->counts.over_budget++;
		return false;
	}
	log->total.lines--;
	ev->bucket.lines--;
	return true;
}

static const char *format_second(struct ht_logger *log, time_t second)
{
	struct tm tm;

	if (second != log->second) {
		log->second = second;
		gmtime_r(&second, &tm);
		strftime(log->date_time, sizeof(log->date_time), "%Y-%m-%dT%H:%M:%S", &tm);
	}
	return log->date_time;
}

/* Replaces control and non-ASCII characters: a value from a caller or peer must not start a new
 * line or send escape sequences to a terminal. */
static void replace_unprintable(char *text)
{
	for (; *text; text++)
		if ((unsigned char)*text < ' ' || (unsigned char)*text > '~')
			*text = '?';
}

static void write_line(struct ht_logger *log, const struct ht_event_info *info, const char *fmt,
		       va_list ap)
{
	uint64_t stamp = ht_logger_stamp(log);
	struct event_state *ev = state_of(log, info);
	char line[HT_LOG_LINE_MAX];
	size_t len;
	int head;

	head = snprintf(line, sizeof(line),
			"time=%s.%03uZ tick=%u instance=%s event=%04d level=%s name=%s ",
			format_second(log, (time_t)((stamp >> 16) / 1000)),
			(unsigned int)((stamp >> 16) % 1000), (unsigned int)(stamp & 0xffff),
			log->process, info->number, ht_level_name(info->level), info->name);
	vsnprintf(line + head, sizeof(line) - (size_t)head, fmt, ap);
	replace_unprintable(line);
	len = strlen(line);
	line[len++] = '\n';
	log->total.bytes -= (double)len;
	ev->bucket.bytes -= (double)len;
	if (log->len + len > sizeof(log->pending)) {
		ev->dropped++;
		log->counts.unwritten++;
		return;
	}
	memcpy(log->pending + log->len, line, len);
	log->len += len;
	log->counts.written++;
}

void ht_logger_write(struct ht_logger *log, enum ht_event_number number, const char *fmt, ...)
{
	const struct ht_event_info *info = ht_event_info(number);
	va_list ap;

	if (!info)
		return;
	va_start(ap, fmt);
	write_line(log, info, fmt, ap);
	va_end(ap);
}

void ht_logger_event(struct ht_logger *log, enum ht_event_number number, const char *fmt, ...)
{
	va_list ap;

	if (!ht_logger_admit(log, number))
		return;
	va_start(ap, fmt);
	write_line(log, ht_event_info(number), fmt, ap);
	va_end(ap);
}

static uint64_t count_lines(const char *data, size_t len)
{
	uint64_t n = 0;

	for (size_t i = 0; i < len; i++)
		n += data[i] == '\n';
	return n;
}

void ht_logger_flush(struct ht_logger *log)
{
	ssize_t n;

	if (!log->len)
		return;
	n = write(log->params.fd, log->pending, log->len);
	if (n < 0 && errno != EAGAIN && errno != EINTR) {
		/* The reader is gone, and there is no other place to log that: drop the lines. */
		n = (ssize_t)log->len;
		log->counts.unwritten += count_lines(log->pending, log->len);
		log->counts.written -= count_lines(log->pending, log->len);
	}
	if (n <= 0)
		return;
	memmove(log->pending, log->pending + n, log->len - (size_t)n);
	log->len -= (size_t)n;
}

/* Returns the index of the event with the most dropped lines, or ht_event_count() if none has. */
static size_t most_dropped(const struct ht_logger *log)
{
	size_t best = ht_event_count();

	for (size_t i = 0; i < ht_event_count(); i++)
		if (log->events[i].dropped && (best == ht_event_count() ||
					       log->events[i].dropped > log->events[best].dropped))
			best = i;
	return best;
}

void ht_logger_report(struct ht_logger *log)
{
	uint64_t over = log->counts.over_budget - log->reported.over_budget;
	uint64_t unwritten = log->counts.unwritten - log->reported.unwritten;
	char text[256] = "";

	if (!over && !unwritten)
		return;
	for (int i = 0; i < REPORT_EVENTS; i++) {
		size_t ev = most_dropped(log), used = strlen(text);

		if (ev == ht_event_count())
			break;
		snprintf(text + used, sizeof(text) - used, " %s=%" PRIu64, ht_event_at(ev)->name,
			 log->events[ev].dropped);
		log->events[ev].dropped = 0;
	}
	for (size_t i = 0; i < ht_event_count(); i++)
		log->events[i].dropped = 0;
	log->reported = log->counts;
	ht_logger_write(log, HT_EV_LOG_LINES_OMITTED,
			"over_budget=%" PRIu64 " unwritten=%" PRIu64 "%s", over, unwritten, text);
}

void ht_logger_counts(const struct ht_logger *log, struct ht_logger_counts *counts)
{
	*counts = log->counts;
}

uint64_t ht_logger_stamp(struct ht_logger *log)
{
	return ht_hlc_tick(&log->hlc, log->params.wall());
}

void ht_logger_merge_stamp(struct ht_logger *log, uint64_t stamp)
{
	if ((ht_ms)(stamp >> 16) <= log->params.wall() + STAMP_AHEAD_MAX_MS)
		ht_hlc_receive(&log->hlc, stamp);
}
