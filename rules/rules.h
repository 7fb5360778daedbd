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

/** Adds a fault; @hint may be NULL. Always returns false. */
bool ht_rules_errors_add(struct ht_rules_errors *errors, unsigned int line, unsigned int column,
			 const char *hint, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/** Writes one line per error, "FILE:LINE:COLUMN: text (hint)", and a last one when some are cut. */
void ht_rules_errors_print(const struct ht_rules_errors *errors, const char *file, FILE *out);

/**
 * Parses rules @text of @len bytes into a sealed configuration with version 0; the caller sets
 * version and change_id. The configuration's text ends with a newline. Returns NULL when there is
 * any fault; @errors (may be NULL) then holds all of them, not only the first.
 */
struct ht_config *ht_rules_parse(const char *text, size_t len, struct ht_rules_errors *errors);

/**
 * As ht_rules_parse, with the same result, but takes from @old (may be NULL) what the change does
 * not touch, if @old comes from one of these two functions. For instances, which follow a change
 * each 10 s of a text of 31,000 lines at the two-year size.
 */
struct ht_config *ht_rules_reparse(const struct ht_config *old, const char *text, size_t len,
				   struct ht_rules_errors *errors);

/**
 * Difference of two rules texts by lines, comments included. Each entry is "NUMBER LINE":
 * removed lines with their number in the old text, added lines with their number in the new one,
 * both ascending. The fields have the types of ConfigData's in wire/peer.proto.
 */
struct ht_rules_diff {
	char **removed;
	size_t removed_count;
	char **added;
	size_t added_count;
	uint64_t text_hash; /**< ht_hash of the whole new text, with a newline at its end */
};

/** Fills @diff; false when out of memory. Free with ht_rules_diff_clear. */
bool ht_rules_diff(const char *from, const char *to, struct ht_rules_diff *diff);
void ht_rules_diff_clear(struct ht_rules_diff *diff);

/**
 * Returns the new text, to be freed, or NULL with HT_EINVAL when @diff does not fit @from or the
 * result has another hash. @diff may come from a peer; nothing in it is trusted.
 */
char *ht_rules_patch(const char *from, const struct ht_rules_diff *diff, struct ht_err *err);

/** Writes "-LINE" and "+LINE" for people to read. */
void ht_rules_diff_print(const struct ht_rules_diff *diff, FILE *out);

/** Returns the line of an entry, without its number. */
const char *ht_rules_diff_line(const char *entry);

#define HT_RULES_HASH_TEXT 17 /* 16 hexadecimal digits and NUL */

/** The rules of one service, as kept in the object config/parts/HASH. */
struct ht_rules_part {
	char service[HT_NAME_MAX];
	char hash[HT_RULES_HASH_TEXT];
	char *text; /**< NULL when not read yet */
};

struct ht_rules_parts {
	struct ht_rules_part *items;
	size_t count;
};

/**
 * Splits a text that parses into one part per service, in the order of first mention. Blank lines
 * and comment lines go with the rule that follows them, those at the end with the last rule.
 */
bool ht_rules_parts_split(const char *text, struct ht_rules_parts *parts, struct ht_err *err);

/** Joins the parts in their order; the result is to be freed. NULL when a text is missing. */
char *ht_rules_parts_join(const struct ht_rules_parts *parts);
void ht_rules_parts_clear(struct ht_rules_parts *parts);

/** An address that a change took from a service. */
struct ht_rules_retired {
	char address[HT_ADDR_TEXT];
	char service[HT_NAME_MAX];
	ht_ms at; /**< wall-clock time of the change, in ms */
};

struct ht_rules_retired_list {
	struct ht_rules_retired *items;
	size_t count;
};

/** Time for which an address that a change took from a service is given to no other, in ms. */
#define HT_RULES_RETIRED_MS 60000

/**
 * Refuses a @next text that gives an address to another service while the accepted configuration
 * (may be NULL) uses it, or less than HT_RULES_RETIRED_MS after it was retired. @next must parse.
 */
bool ht_rules_check_change(const struct ht_config *accepted, const char *next,
			   const struct ht_rules_retired_list *retired, ht_ms now,
			   struct ht_rules_errors *errors);

/** Fills @out with the entries of @old that still count, and what the change retires at @now. */
bool ht_rules_retire(const struct ht_config *accepted, const struct ht_config *next,
		     const struct ht_rules_retired_list *old, ht_ms now,
		     struct ht_rules_retired_list *out);

/** Number of change ids that config/head lists. */
#define HT_RULES_RECENT 8

/**
 * The object config/head. The ids of the newest changes, newest first and the present one
 * included, show a writer without an answer that its change was accepted and then superseded.
 */
struct ht_rules_head {
	uint64_t version;
	uint64_t parent;
	char change_id[40];
	struct ht_rules_parts parts; /**< without texts when read */
	struct ht_rules_retired_list retired;
	char recent[HT_RULES_RECENT][40];
	size_t recent_count;
};

void ht_rules_head_clear(struct ht_rules_head *head);

/** The JSON value of the object, compact, to be freed; NULL when out of memory. */
char *ht_rules_head_format(const struct ht_rules_head *head);
bool ht_rules_head_parse(const char *json, size_t len, struct ht_rules_head *head,
			 struct ht_err *err);

/** JSON value of a part's object, to be freed. */
char *ht_rules_part_format(const struct ht_rules_part *part);

/** Sets @part->text from the JSON value of its object; refuses a text with another hash. */
bool ht_rules_part_parse(const char *json, size_t len, struct ht_rules_part *part,
			 struct ht_err *err);

#endif
