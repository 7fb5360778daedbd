/* Loads settings from JSON, as described by a table of options. */
#ifndef HT_BASE_OPTIONS_H
#define HT_BASE_OPTIONS_H

#include "base/err.h"

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

enum ht_option_type {
	HT_OPT_INT,    /**< int64_t field, checked against min and max */
	HT_OPT_DOUBLE, /**< double field, checked against min and max */
	HT_OPT_BOOL,   /**< bool field */
	HT_OPT_STRING, /**< char * field, allocated; min and max bound its length */
	HT_OPT_ADDR,   /**< struct ht_addr field, from "IP:PORT" */
};

/** One option; the last row of a table has a NULL name. */
struct ht_option {
	const char *name;
	enum ht_option_type type;
	size_t offset;
	bool required;
	double min, max;
	const char *def; /**< default value as text, or NULL */
	const char *help;
};

/**
 * Fills the struct at @out from the JSON object in @text. Unknown or duplicate keys, wrong types,
 * missing required keys and values out of range are errors; @err then names @file, the key and the
 * allowed range. After a failure the strings in @out are freed.
 */
bool ht_options_load(const struct ht_option *table, const char *file, const char *text, size_t len,
		     void *out, struct ht_err *err);

/** Writes one line per option: name, help, type, range, "required" and default. */
void ht_options_describe(const struct ht_option *table, FILE *out);

/** Frees the strings that ht_options_load allocated in @out. */
void ht_options_clear(const struct ht_option *table, void *out);

#endif
