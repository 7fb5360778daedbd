/*
 * When and how to read one kind of objects from the platform: a listing once, then watches. Without
 * I/O: the caller makes the call that is due and reports how it ended.
 *
 * What is known is proven up to a point in time: the end of the last exact read, made here or by a
 * neighbour whose view this instance has. An instance that neighbours cover reads only when its
 * proof has grown old; the others keep a watch waiting at the platform.
 *
 * The platform may come back from an older copy: an era begins (base/revision.h), and everything is
 * listed again, by those that read for others at once and by those that are covered only if no
 * neighbour's view comes. What was known stays in use, and its proof grows older. Answers of an
 * earlier era are ignored.
 */
#ifndef HT_CORE_READING_H
#define HT_CORE_READING_H

#include "base/clock.h"
#include "base/revision.h"

#include <stdbool.h>
#include <stdint.h>

/** Longest name after which a listing goes on, with its end. */
#define HT_READING_NAME 256

struct ht_reading_params {
	uint64_t seed;
	ht_ms pause;  /**< between the end of a watch with changes and the next one */
	ht_ms wait;   /**< longest wait of a watch at the platform */
	ht_ms settle; /**< after trouble, entries that lapsed may take this long to be back */
	ht_ms ask; /**< the first listing begins this long after the start: others may answer first
		    */
	ht_ms patience; /**< a patient first listing waits this long before and after its first page
			 */
};

struct ht_reading_call {
	bool watch;		     /**< else a listing */
	bool cheap;		     /**< an answer that is seconds old will do */
	char after[HT_READING_NAME]; /**< a listing goes on after this name; "" for its start */
	uint64_t since; /**< a watch tells what changed after this revision of the era */
	ht_ms wait;
};

struct ht_reading {
	struct ht_reading_params params;
	ht_ms due_age; /* reads when the proof is this old; 0: keeps a watch waiting */
	bool listing;
	bool first_page;
	bool listed;	 /* everything has been read once, here or by a neighbour */
	bool exact_list; /* the next listing must be exact */
	bool patient;
	bool busy;
	struct ht_reading_call call;
	char after[HT_READING_NAME];
	uint64_t era;			  /* the newest that has been proven */
	struct ht_revision list_revision; /* of the first page of the listing under way */
	struct ht_revision revision;	  /* everything up to here is known */
	ht_ms call_at, list_call_at;	  /* of the last call, and of the first page */
	ht_ms doubt_at; /* a neighbour tells of a newer era that is not proven; HT_NEVER: none */
	ht_ms started_at, first_page_at;
	ht_ms due;
	ht_ms proven_at;  /* HT_NEVER: not yet */
	ht_ms trouble_at; /* end of the last failed call; HT_NEVER: none */
	uint32_t failures;
};

void ht_reading_init(struct ht_reading *r, const struct ht_reading_params *params, ht_ms now);

/** Reads only when the proof is @due_age old; 0 keeps a watch waiting at the platform. */
void ht_reading_set_due_age(struct ht_reading *r, ht_ms due_age);

/**
 * A neighbour may soon give what the first listing holds: it is left to it for a while. When many
 * instances start together, few of them list.
 */
void ht_reading_set_patient(struct ht_reading *r, bool patient);

/** True if a call is to be made now: fills @call. Else *@due is when to ask again. */
bool ht_reading_next(struct ht_reading *r, ht_ms now, struct ht_reading_call *call, ht_ms *due);

enum ht_reading_answer {
	HT_READING_FITS,  /**< of the era that the call was made in, or the first of a listing */
	HT_READING_BEGUN, /**< of a newer era, which has begun: nothing of the answer is used */
	HT_READING_LATE,  /**< of an earlier era: ignored, as a failed call */
};

/** An answer as of era @era has come; called before anything of it is used. */
enum ht_reading_answer ht_reading_answered(struct ht_reading *r, uint64_t era, ht_ms now);
/** A read of another kind of objects, or of the neighbours' reader, has shown a newer era. The
 * caller drops the call under way. False if @era is known. */
bool ht_reading_begin_era(struct ht_reading *r, uint64_t era, ht_ms now);
/** A neighbour tells of a newer era that no read has shown: a read follows soon. */
void ht_reading_doubt_era(struct ht_reading *r, ht_ms now);

enum ht_reading_result {
	HT_READING_MORE,    /**< page taken, the listing goes on */
	HT_READING_WHOLE,   /**< the listing is whole as of list_revision */
	HT_READING_STALE,   /**< older than what is known; the listing starts anew, exact */
	HT_READING_IGNORED, /**< a neighbour's view has been adopted since the call was made */
	HT_READING_STUCK,   /**< the page does not lead further: counts as a failed call */
};

/** A page of the listing came, as of @revision; @last is the name of its last item. */
enum ht_reading_result ht_reading_page(struct ht_reading *r, struct ht_revision revision, bool more,
				       const char *last, ht_ms now);
/** A watch ended, as of @revision; @changed if it told of changes. */
void ht_reading_changes(struct ht_reading *r, struct ht_revision revision, bool changed, ht_ms now);
/** The platform no longer has the history since the known revision. */
void ht_reading_history_gone(struct ht_reading *r, ht_ms now);
/** The call failed. */
void ht_reading_failed(struct ht_reading *r, ht_ms now);

/** Everything up to @revision is known from a neighbour; its era is proven. */
void ht_reading_adopt(struct ht_reading *r, struct ht_revision revision, ht_ms now);
/** A neighbour has proven, at @proven_at by the clock of this instance, what is known here too. */
void ht_reading_learn(struct ht_reading *r, ht_ms proven_at);

/** True once all objects are known and an exact read has confirmed them. */
bool ht_reading_complete(const struct ht_reading *r);
/** Until when a missing entry may be one that lapsed in trouble and comes back; @now when not. */
ht_ms ht_reading_hold(const struct ht_reading *r, ht_ms now);
/** Time since what is known was proven, or HT_NEVER. */
ht_ms ht_reading_age(const struct ht_reading *r, ht_ms now);

#endif
