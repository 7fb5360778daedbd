/* One entry instance on the users' platform: packets, readiness and the view of the store. */
#ifndef HT_ENTRY_ENTRY_H
#define HT_ENTRY_ENTRY_H

#include "base/err.h"

struct ev_loop;
struct ht_entry;

/** Starts an instance with the settings file at @path; NULL with @err set. */
struct ht_entry *ht_entry_new(struct ev_loop *loop, const char *path, struct ht_err *err);
void ht_entry_free(struct ht_entry *entry);

/** Runs until a planned stop has ended. */
void ht_entry_run(struct ht_entry *entry);

#endif
