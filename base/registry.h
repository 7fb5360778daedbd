/* Registry through which modules of a process find each other's interfaces by name. */
#ifndef HT_BASE_REGISTRY_H
#define HT_BASE_REGISTRY_H

#include <stdbool.h>

struct ht_registry;

struct ht_registry *ht_registry_new(void);
void ht_registry_free(struct ht_registry *reg);

/**
 * Publishes @iface under @name; neither is copied. Returns false if the name is in use or the
 * registry is full.
 */
bool ht_registry_add(struct ht_registry *reg, const char *name, void *iface);

/** Returns the interface published under @name, or NULL. */
void *ht_registry_find(const struct ht_registry *reg, const char *name);

#endif
