/* Shared by the modules of the rules package only. */
#ifndef HT_RULES_INTERNAL_H
#define HT_RULES_INTERNAL_H

#include "rules/rules.h"

#define HT_RULES_WORDS_MAX 16
#define HT_RULES_LINE_MAX 1000 /* bytes; longer lines are refused, so one rule fits a log line */

struct ht_rules_word {
	char text[HT_NAME_MAX + 64];
	unsigned int column;
};

/** One line, split at blanks. @comment is true when a non-empty comment follows. */
struct ht_rules_line {
	unsigned int number;
	unsigned int count;
	struct ht_rules_word words[HT_RULES_WORDS_MAX];
	bool comment;
	unsigned int end_column; /**< behind the last word */
};

/** Orders the faults by line and column. */
void ht_rules_errors_sort(struct ht_rules_errors *errors);

/** Splits @len bytes of line @number. Returns false and adds faults when it is not readable. */
bool ht_rules_split(const char *text, size_t len, unsigned int number, struct ht_rules_line *line,
		    struct ht_rules_errors *errors);

/** Calls @visit for each line of @text, without its newline; @number counts from 1. */
void ht_rules_each_line(const char *text, size_t len,
			void (*visit)(void *ctx, const char *line, size_t len, unsigned int number),
			void *ctx);

/** Copies @len bytes of text and adds a newline when the last line has none; to be freed. */
char *ht_rules_terminated(const char *text, size_t len);

/** Adds a target of another configuration with the ids that it has there. */
bool ht_config_copy_target(struct ht_config *cfg, const struct ht_target_conf *target);

/* Fields: each reads word @i of @line and adds a fault when it does not fit. */
bool ht_rules_name(const struct ht_rules_line *line, unsigned int i, const char *what,
		   char out[HT_NAME_MAX], struct ht_rules_errors *errors);
bool ht_rules_address(const struct ht_rules_line *line, unsigned int i, struct ht_addr *out,
		      struct ht_rules_errors *errors);
bool ht_rules_integer(const struct ht_rules_line *line, unsigned int i, const char *what,
		      int64_t min, int64_t max, int64_t *out, struct ht_rules_errors *errors);
bool ht_rules_weight(const struct ht_rules_line *line, unsigned int i, double min, double max,
		     double *out, struct ht_rules_errors *errors);

#endif
