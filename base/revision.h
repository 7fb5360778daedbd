/*
 * Revisions of the platform's store. A store counts its changes with one number that only rises,
 * until it comes back from an older copy: then the number goes back, and changes that were lost and
 * new ones bear the same numbers. Each such return begins an era, so that the pair only rises.
 */
#ifndef HT_BASE_REVISION_H
#define HT_BASE_REVISION_H

#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/** One change of the store. A number of 0 stands for "none": the store counts from above 0. */
struct ht_revision {
	uint64_t era;	 /**< 0 for a store that tells none */
	uint64_t number; /**< of the change within the era */
};

/** Later than every revision. */
#define HT_REVISION_NEVER ((struct ht_revision){.era = UINT64_MAX, .number = UINT64_MAX})

/** Negative, 0 or positive, as @a is earlier than, the same as or later than @b. */
static inline int ht_revision_compare(struct ht_revision a, struct ht_revision b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	return (a.number > b.number) - (a.number < b.number);
}

static inline bool ht_revision_before(struct ht_revision a, struct ht_revision b)
{
	return ht_revision_compare(a, b) < 0;
}

static inline bool ht_revision_equal(struct ht_revision a, struct ht_revision b)
{
	return ht_revision_compare(a, b) == 0;
}

static inline struct ht_revision ht_revision_max(struct ht_revision a, struct ht_revision b)
{
	return ht_revision_before(a, b) ? b : a;
}

/** Length of a revision as text, with its end. */
#define HT_REVISION_TEXT 44

/** "ERA.NUMBER", or the number alone when the store tells no era; returns @out. */
static inline const char *ht_revision_text(char out[HT_REVISION_TEXT], struct ht_revision rev)
{
	if (rev.era)
		snprintf(out, HT_REVISION_TEXT, "%" PRIu64 ".%" PRIu64, rev.era, rev.number);
	else
		snprintf(out, HT_REVISION_TEXT, "%" PRIu64, rev.number);
	return out;
}

#endif
