/* One entry instance: forwards packets, answers readiness checks and mirrors the store. */
#ifndef HT_ENTRY_ENTRY_H
#define HT_ENTRY_ENTRY_H

#include "base/err.h"

struct ev_loop;
struct ht_entry;

/**
 * Starts an instance with the settings file at @path, which must outlive it. Returns NULL and sets
 * @err on failure.
 */
struct ht_entry *ht_entry_new(struct ev_loop *loop, const char *path, struct ht_err *err);
void ht_entry_free(struct ht_entry *entry);

/** Runs the event loop until a planned stop (SIGTERM or SIGINT) has finished. */
void ht_entry_run(struct ht_entry *entry);

#endif
