/* The rules text: parsing, checks of a change, line differences, parts by service. */
#ifndef HT_RULES_RULES_H
#define HT_RULES_RULES_H

#include "rules/config.h"

#include <stdio.h>

/** Default of `deadline` in a service line, in ms. */
#define HT_RULES_DEADLINE 5000

/** Errors beyond this number are counted but not kept. */
#define HT_RULES_ERRORS_MAX 200

/** One fault. @line and @column count from 1, in bytes; 0 stands for the text as a whole. */
struct ht_rules_error {
	unsigned int line;
	unsigned int column;
	char text[200];
	char hint[160]; /**< what to do; may be "" */
};

/** Faults in the order of their lines. Start with all zero; free with ht_rules_errors_clear. */
struct ht_rules_errors {
	struct ht_rules_error *items;
	size_t count; /**< kept in @items */
	size_t total; /**< found */
};

void ht_rules_errors_clear(struct ht_rules_errors *errors);

/** Writes one line per error, "FILE:LINE:COLUMN: text (hint)", and a last one when some are cut. */
void ht_rules_errors_print(const struct ht_rules_errors *errors, const char *file, FILE *out);

/**
 * Parses rules @text of @len bytes into a sealed configuration with version 0; the caller sets
 * version and change_id. Returns NULL when there is any fault; @errors (may be NULL) then holds
 * all of them, not only the first.
 */
struct ht_config *ht_rules_parse(const char *text, size_t len, struct ht_rules_errors *errors);

#endif
