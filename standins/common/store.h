/* Objects, instance list and knobs of the platform stand-in. No I/O. */
#ifndef HT_STANDINS_STORE_H
#define HT_STANDINS_STORE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct ht_si_object {
	int64_t version;
	json_t *value;
};

struct ht_si_store {
	GHashTable *objects; /**< name to struct ht_si_object */
	json_t *instances;   /**< array as published */
	int64_t revision;
	bool down;
	int64_t delay_ms;
	int64_t lose_write_answers;
	int64_t list_lag_ms;
	json_t *calls; /**< "KIND PATH" to count */
};

void ht_si_store_init(struct ht_si_store *st);
void ht_si_store_clear(struct ht_si_store *st);

/** Returns the object, or NULL. */
struct ht_si_object *ht_si_store_get(struct ht_si_store *st, const char *name);

/**
 * Conditional update; takes over the reference to @value. Returns the object, and tells in
 * @done whether the update took effect. NULL when the object does not exist and @if_version
 * is not 0.
 */
struct ht_si_object *ht_si_store_put(struct ht_si_store *st, const char *name, int64_t if_version,
				     json_t *value, bool *done);

/** Sets version and value without a check, as a restore of an older state does. */
void ht_si_store_force(struct ht_si_store *st, const char *name, int64_t version, json_t *value);

/** Publishes the list (reference taken over) under a new revision. */
void ht_si_store_publish(struct ht_si_store *st, json_t *instances);

/** Applies the knobs that @knobs names; false on an unknown key or a wrong type. */
bool ht_si_store_knobs(struct ht_si_store *st, json_t *knobs);

void ht_si_store_count(struct ht_si_store *st, const char *kind, const char *path);

#endif
