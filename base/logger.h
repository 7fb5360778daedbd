/*
 * Structured log of one process: one event per line, as "key=value" fields. Budgets limit the rate
 * of lines, and writing never blocks on the reader: lines beyond either limit are dropped and
 * counted.
 */
#ifndef HT_BASE_LOGGER_H
#define HT_BASE_LOGGER_H

#include "base/event.h"

#include <stdbool.h>
#include <stdint.h>

/** Maximum length of a line in bytes, newline included; longer lines are truncated. */
#define HT_LOG_LINE_MAX 1024

/** Average rate limits, per second. */
struct ht_log_budget {
	double lines, bytes;
};

struct ht_logger_params {
	int fd;		     /**< made non-blocking unless it is a terminal; never closed */
	const char *process; /**< copied */
	enum ht_level level;
	struct ht_log_budget total; /**< for all events together */
	struct ht_log_budget event; /**< for each event number */
	const struct ht_clock *clock;
	ht_ms (*wall)(void); /**< wall-clock time for timestamps */
};

/** Counts of lines, without those that the log level excludes. */
struct ht_logger_counts {
	uint64_t written;
	uint64_t over_budget; /**< dropped because a budget was used up */
	uint64_t unwritten;   /**< dropped: the reader was too slow, or a write failed */
};

struct ht_logger;

/** Returns NULL when out of memory. */
struct ht_logger *ht_logger_new(const struct ht_logger_params *params);
/** Writes what the descriptor accepts without blocking; the rest is lost. */
void ht_logger_free(struct ht_logger *log);

/** Changes the level and the budgets; all budgets start anew with a full burst. */
void ht_logger_configure(struct ht_logger *log, enum ht_level level, struct ht_log_budget total,
			 struct ht_log_budget event);

/**
 * Charges one line of event @number to the budgets. Returns false if the level excludes the event
 * or a budget is used up; the line must not be written then. INFO and DEBUG events can use at most
 * half of the total burst, so that a flood of them does not suppress lines about refusals and
 * changes.
 */
bool ht_logger_admit(struct ht_logger *log, enum ht_event_number number);
/** Writes a line that ht_logger_admit() allowed; @fmt formats its fields as "key=value ...". */
void ht_logger_write(struct ht_logger *log, enum ht_event_number number, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/** Writes a line if ht_logger_admit() allows it. */
void ht_logger_event(struct ht_logger *log, enum ht_event_number number, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** Writes buffered lines without blocking; call it once per iteration of the event loop. */
void ht_logger_flush(struct ht_logger *log);
/** Writes a line that counts the lines dropped since the last report, if there are any. */
void ht_logger_report(struct ht_logger *log);

void ht_logger_counts(const struct ht_logger *log, struct ht_logger_counts *counts);

/** Returns a timestamp for a message to another process (see base/hlc.h). */
uint64_t ht_logger_stamp(struct ht_logger *log);
/**
 * Gives later lines timestamps after @stamp, that of a received message. A stamp more than a minute
 * ahead of the wall clock is ignored.
 */
void ht_logger_merge_stamp(struct ht_logger *log, uint64_t stamp);

#endif
