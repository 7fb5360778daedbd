/*
 * Structured log lines of one process: "key=value" fields, one event a line. Lines are bounded by
 * budgets, and writing never waits for the reader: what does not fit is left out and counted.
 */
#ifndef HT_BASE_LOGGER_H
#define HT_BASE_LOGGER_H

#include "base/event.h"

#include <stdbool.h>
#include <stdint.h>

/** Longest line with its end, in bytes; a longer one is cut. */
#define HT_LOG_LINE_MAX 1024

/** What may be written in a second, on average. */
struct ht_log_budget {
	double lines, bytes;
};

struct ht_logger_params {
	int fd;		     /**< made non-blocking unless it is a terminal; stays open */
	const char *process; /**< copied */
	enum ht_level level;
	struct ht_log_budget total; /**< of all events together */
	struct ht_log_budget event; /**< of each event number */
	const struct ht_clock *clock;
	ht_ms (*wall)(void); /**< time of day for the stamps */
};

/** What became of the lines of the levels in use. */
struct ht_logger_counts {
	uint64_t written;
	uint64_t over_budget; /**< left out by a budget */
	uint64_t unwritten;   /**< left out as the reader was too slow, or after a write error */
};

struct ht_logger;

/** NULL when out of memory. */
struct ht_logger *ht_logger_new(const struct ht_logger_params *params);
/** Writes what can be written at once; the rest is lost. */
void ht_logger_free(struct ht_logger *log);

/** Changes the level and the budgets. */
void ht_logger_configure(struct ht_logger *log, enum ht_level level, struct ht_log_budget total,
			 struct ht_log_budget event);

/**
 * Takes a line of event @number from the budgets; false when the level or a budget leaves it out.
 * Events of level INFO and DEBUG get at most half of the total budget, so that lines about refusals
 * and changes find room in a flood.
 */
bool ht_logger_take(struct ht_logger *log, enum ht_event_number number);
/** Writes a line that has been taken; @fmt gives its fields as "key=value ...". */
void ht_logger_write(struct ht_logger *log, enum ht_event_number number, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
/** Takes and writes. */
void ht_logger_event(struct ht_logger *log, enum ht_event_number number, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/** Passes lines on to the descriptor as far as it takes them; call it once a turn of the loop. */
void ht_logger_flush(struct ht_logger *log);
/** Writes a line about what was left out since the last report, if anything was. */
void ht_logger_report(struct ht_logger *log);

void ht_logger_counts(const struct ht_logger *log, struct ht_logger_counts *counts);

/** Stamp for a message to another process (see base/hlc.h). */
uint64_t ht_logger_stamp(struct ht_logger *log);
/** Later lines are stamped after @stamp, of a received message. */
void ht_logger_receive(struct ht_logger *log, uint64_t stamp);

#endif
