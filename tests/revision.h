/* Shorthand for revisions of the store. */
#ifndef TESTS_REVISION_H
#define TESTS_REVISION_H

#include "base/revision.h"

/* Revision of a store without eras. */
static inline struct ht_revision rev(uint64_t number)
{
	return (struct ht_revision){.era = 0, .number = number};
}

static inline struct ht_revision rev_of(uint64_t era, uint64_t number)
{
	return (struct ht_revision){.era = era, .number = number};
}

#endif
