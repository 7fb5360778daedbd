/*
 * Schedules the reads of one kind of objects from the platform: one listing, then watches. Does no
 * I/O: the caller makes the call that is due and reports its result.
 *
 * The view is proven up to a point in time: the end of the last exact read, made here or by a
 * neighbour whose view this instance has. An instance on standby, for which neighbours read, reads
 * only when it was last proven too long ago; the others keep a long-polling watch open.
 *
 * If the platform is restored from an older backup, a new era begins (base/revision.h) and
 * everything is listed again: at once by instances that read for others, and by those on standby
 * only if no neighbour's view arrives. The known view stays in use meanwhile, but is not
 * proven again. Answers of an earlier era are ignored.
 */
#ifndef HT_CORE_READING_H
#define HT_CORE_READING_H

#include "base/clock.h"
#include "base/revision.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * Level of reading of this build, raised when a fix changes what is read from the store. A view
 * read at a lower level, also one that was taken over from an instance of an earlier build, may be
 * wrong for good: it serves until this instance has listed the store itself. Levels:
 *
 * - 1: a listing counts as of its oldest page
 * - 2: names are of any length
 * - 3: an entry that lacks a field names no target
 */
#define HT_READING_LEVEL 3

struct ht_reading_params {
	uint64_t seed;
	ht_ms pause; /**< between the end of a watch with changes and the next one */
	ht_ms wait;  /**< maximum duration of a watch at the platform */
	ht_ms hold;  /**< after a failure, expired entries of live targets reappear within this
			time */
	ht_ms start_delay; /**< delay of the first listing after the start, for neighbours to answer
			    */
	ht_ms neighbour_wait; /**< time for neighbours to supply a view, also before the first page
			   of a deferred listing */
	ht_ms pages_wait;     /**< the same after its first page: a long listing costs more */
};

struct ht_reading_call {
	bool watch;    /**< else a listing */
	bool stale_ok; /**< an answer that is seconds old is acceptable */
	/** A listing continues after this name, "" for its start; valid until the next call. */
	const char *after;
	uint64_t since; /**< a watch returns the changes after this revision of the era */
	ht_ms wait;
};

struct ht_reading {
	struct ht_reading_params params;
	ht_ms max_age; /* reads when the proof is this old; 0: keeps a watch open */
	bool listing;
	bool first_page;
	bool listed;	 /* a complete view exists, read here or by a neighbour */
	bool verified;	 /* the view was read at HT_READING_LEVEL, here or by a neighbour */
	bool exact_list; /* the next listing must be exact */
	bool deferred;
	bool busy;
	struct ht_reading_call call;
	char *after;  /* the listing continues after this name; NULL: at its start */
	uint64_t era; /* the newest that a read has proven */
	struct ht_revision list_revision; /* of the oldest page of the current listing */
	struct ht_revision revision;	  /* all changes up to here are known */
	ht_ms call_at, list_call_at;	  /* start of the last call, and of the first page's */
	ht_ms verify_at; /* a neighbour reported a newer era, not proven yet; HT_NEVER: none */
	ht_ms started_at, first_page_at;
	ht_ms due;
	ht_ms proven_at; /* time up to which the view is proven; HT_NEVER: none */
	ht_ms failed_at; /* last failed call, lost history or new era; HT_NEVER: none */
	uint32_t failures;
};

void ht_reading_init(struct ht_reading *r, const struct ht_reading_params *params, ht_ms now);
/** Frees what @r holds. */
void ht_reading_clear(struct ht_reading *r);

/** Reads only when the proof is @max_age old; 0 keeps a watch open at the platform. */
void ht_reading_set_max_age(struct ht_reading *r, ht_ms max_age);

/**
 * Defers the first listing because a neighbour may soon supply its content. When many instances
 * start together, only few of them list.
 */
void ht_reading_set_deferred(struct ht_reading *r, bool deferred);

/** Returns true and fills @call if a call is due; otherwise sets *@due to when to check again. */
bool ht_reading_next(struct ht_reading *r, ht_ms now, struct ht_reading_call *call, ht_ms *due);

enum ht_reading_answer {
	HT_READING_CURRENT_ERA, /**< of the known era, or the first page of a listing: usable */
	HT_READING_NEW_ERA,	/**< of a newer era, which begins: the answer is not used */
	HT_READING_OLD_ERA,	/**< of an earlier era: ignored, counts as a failed call */
};

/** Handles the era @era of an answer; called before any of its content is used. */
enum ht_reading_answer ht_reading_answered(struct ht_reading *r, uint64_t era, ht_ms now);
/**
 * Begins a newer era, seen by a read of another kind of objects or by a neighbour that reads the
 * store. The caller drops the call in progress. Returns false if @era is already known.
 */
bool ht_reading_begin_era(struct ht_reading *r, uint64_t era, ht_ms now);
/** Schedules a read soon, because a neighbour reports a newer era that no read has proven. */
void ht_reading_verify_era(struct ht_reading *r, ht_ms now);

enum ht_reading_result {
	HT_READING_MORE,     /**< page accepted, the listing continues */
	HT_READING_COMPLETE, /**< the listing is complete as of list_revision */
	HT_READING_STALE,    /**< older than the known revision; the listing restarts, exact */
	HT_READING_IGNORED,  /**< a neighbour's view was adopted during the call */
	/** The page does not advance the listing, or out of memory: a failed call. */
	HT_READING_NO_PROGRESS,
};

/** True if the content of a page with this result may be used. */
static inline bool ht_reading_usable(enum ht_reading_result result)
{
	return result == HT_READING_MORE || result == HT_READING_COMPLETE;
}

/**
 * Handles a page of the listing as of @revision; @last is the name of its last item. Called before
 * any of the page's content is used. Pages that need not be current may be of different ages: all
 * changes since the oldest one are read again.
 */
enum ht_reading_result ht_reading_page(struct ht_reading *r, struct ht_revision revision, bool more,
				       const char *last, ht_ms now);
/** Handles the end of a watch as of @revision; @changed if it returned changes. */
void ht_reading_changes(struct ht_reading *r, struct ht_revision revision, bool changed, ht_ms now);
/** The platform no longer has the history since the known revision. */
void ht_reading_history_gone(struct ht_reading *r, ht_ms now);
/** The call failed. */
void ht_reading_failed(struct ht_reading *r, ht_ms now);

/**
 * A neighbour has supplied everything up to @revision, whose era a read has proven. If what it has
 * supplied is not @verified, that is, was read at a lower level, the objects are listed here, too.
 */
void ht_reading_adopt(struct ht_reading *r, struct ht_revision revision, bool verified, ht_ms now);
/** A neighbour's exact read has proven this view too, at @proven_at by the local clock. */
void ht_reading_proven_by_neighbour(struct ht_reading *r, ht_ms proven_at);

/** True once all objects are known and an exact read has proven them. */
bool ht_reading_complete(const struct ht_reading *r);
/** End of the time in which a missing entry may reappear after a failure; @now if there is none. */
ht_ms ht_reading_hold_until(const struct ht_reading *r, ht_ms now);
/** Time since the view was proven, or HT_NEVER. */
ht_ms ht_reading_age(const struct ht_reading *r, ht_ms now);

#endif
