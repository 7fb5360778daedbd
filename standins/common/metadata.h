/*
 * Stand-in of the users' metadata store, as far as instances read it: objects by kind and name with
 * a revision counter, listed page by page and watched, with the faults that the real one may show.
 * Each answer tells the store's era, from 1 on, in a header field.
 * It serves on threads of its own, so that tests and the program standins/metadata share it.
 */
#ifndef HT_STANDINS_METADATA_H
#define HT_STANDINS_METADATA_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ht_si_metadata;

/** Serves on @port of 127.0.0.1, 0 for any; NULL when it cannot be had. */
struct ht_si_metadata *ht_si_metadata_new(uint16_t port);
void ht_si_metadata_free(struct ht_si_metadata *md);
/** "IP:PORT" */
const char *ht_si_metadata_address(const struct ht_si_metadata *md);

/** Puts an object, or deletes it when @spec is NULL. Takes over @spec. */
void ht_si_metadata_put(struct ht_si_metadata *md, const char *kind, const char *name,
			json_t *spec);

enum ht_si_metadata_fault {
	HT_SI_DOWN,    /**< while set, calls on objects get status 503 */
	HT_SI_STALE,   /**< while set, cheap listings are answered by what held when it was set */
	HT_SI_COMPACT, /**< the history up to now is dropped; nothing to undo */
	HT_SI_NO_ERA,  /**< while set, answers tell no era */
	HT_SI_LATE,    /**< while set, every second read is answered from the era before */
	HT_SI_FAULTS
};

void ht_si_metadata_set(struct ht_si_metadata *md, enum ht_si_metadata_fault fault, bool on);
/**
 * Comes back from a copy that lacks the last @lost changes: they are gone, their revisions are
 * given out again, and an era begins. Watches from a revision that the copy lacks get status 410.
 */
void ht_si_metadata_return(struct ht_si_metadata *md, size_t lost);
/** Reads of objects so far, refused ones included. */
size_t ht_si_metadata_reads(struct ht_si_metadata *md);
/** Objects of one page of a listing; 0 for all. */
void ht_si_metadata_set_page(struct ht_si_metadata *md, size_t page);

#endif
