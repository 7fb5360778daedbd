/*
 * Revisions of the platform's store. The store numbers its changes in increasing order. When it is
 * restored from an older backup, the number goes back, and new changes reuse the numbers of lost
 * ones. Each restore therefore begins a new era: the pair of era and number never decreases.
 */
#ifndef HT_BASE_REVISION_H
#define HT_BASE_REVISION_H

#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/** Identifies one change of the store. The number 0 means "none": the first change has 1 or more.
 */
struct ht_revision {
	uint64_t era;	 /**< 0 if the store reports no era */
	uint64_t number; /**< number of the change within the era */
};

/** Later than every other revision. */
#define HT_REVISION_NEVER ((struct ht_revision){.era = UINT64_MAX, .number = UINT64_MAX})

/** Returns a negative number, 0 or a positive one if @a is before, equal to or after @b. */
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

/** Buffer size for a revision as text, with the terminating NUL. */
#define HT_REVISION_TEXT 44

/** Formats @rev as "ERA.NUMBER", or as "NUMBER" if the era is 0. Returns @out. */
static inline const char *ht_revision_text(char out[HT_REVISION_TEXT], struct ht_revision rev)
{
	if (rev.era)
		snprintf(out, HT_REVISION_TEXT, "%" PRIu64 ".%" PRIu64, rev.era, rev.number);
	else
		snprintf(out, HT_REVISION_TEXT, "%" PRIu64, rev.number);
	return out;
}

#endif
