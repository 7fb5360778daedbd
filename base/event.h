/*
 * Numbered events, written to the log and kept for the timeline (see struct ht_event_ring).
 * docs/events.md lists them.
 */
#ifndef HT_BASE_EVENT_H
#define HT_BASE_EVENT_H

#include "base/clock.h"

#include <stddef.h>
#include <stdint.h>

/** Log levels; the values are syslog priorities. */
enum ht_level {
	HT_ERROR = 3,
	HT_WARN = 4,
	HT_NOTICE = 5,
	HT_INFO = 6,
	HT_DEBUG = 7
};

#define HT_EVENT(number, level, name, text) HT_EV_##name = number,
enum ht_event_number {
#include "base/events/all.def"
};
#undef HT_EVENT

/** Static description of an event. */
struct ht_event_info {
	enum ht_event_number number;
	enum ht_level level;
	const char *name;
	const char *text;
};

/** Returns the description of @number, or NULL if there is no such event. */
const struct ht_event_info *ht_event_info(enum ht_event_number number);
/** Returns how many events are defined; indices of descriptions are below it. */
size_t ht_event_count(void);
/** Returns the index of @info, for ht_event_at() and for arrays with one element per event. */
size_t ht_event_index(const struct ht_event_info *info);
const struct ht_event_info *ht_event_at(size_t index);

/**
 * One occurrence of an event. @clock is its hybrid logical timestamp (see base/hlc.h). Ids that do
 * not apply are 0. @detail holds further "key=value" fields.
 */
struct ht_event {
	enum ht_event_number number;
	uint64_t clock;
	uint64_t flow;
	uint64_t request;
	uint64_t target;
	uint64_t instance;
	char detail[112];
};

/** Ring buffer of the newest events of one process: the timeline that operators read. */
struct ht_event_ring;
struct ht_event_ring *ht_event_ring_new(size_t capacity);
void ht_event_ring_free(struct ht_event_ring *ring);
void ht_event_ring_add(struct ht_event_ring *ring, const struct ht_event *ev);

/** Calls @visit for each event in the ring, oldest first. */
void ht_event_ring_each(const struct ht_event_ring *ring,
			void (*visit)(void *ctx, const struct ht_event *ev), void *ctx);

/** Returns the number of events that newer ones have overwritten. */
uint64_t ht_event_ring_lost(const struct ht_event_ring *ring);

/** Writes @ev to stderr as one syslog-style line, unless its level number is above @max. */
void ht_event_log(const struct ht_event *ev, const char *process, enum ht_level max);

/** Parses "error", "warn", "notice", "info" or "debug"; returns -1 for anything else. */
int ht_level_parse(const char *name);
const char *ht_level_name(enum ht_level level);

#endif
