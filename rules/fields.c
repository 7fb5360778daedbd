#include "rules/internal.h"

#include <ctype.h>
#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

bool ht_rules_name(const struct ht_rules_line *line, unsigned int i, const char *what,
		   char out[HT_NAME_MAX], struct ht_rules_errors *errors)
{
	const struct ht_rules_word *word = &line->words[i];
	size_t len = strlen(word->text);

	if (len >= HT_NAME_MAX)
		return ht_rules_errors_add(errors, line->number, word->column,
					   "choose a shorter name",
					   "%s name has %zu bytes, at most %d are allowed", what,
					   len, HT_NAME_MAX - 1);
	for (size_t k = 0; k < len; k++) {
		unsigned char c = (unsigned char)word->text[k];

		if (c >= 128 || (!isalnum(c) && !strchr("-_.", c)))
			return ht_rules_errors_add(
				errors, line->number, word->column + (unsigned int)k,
				"use letters a-z, A-Z, digits, '-', '_' and '.'",
				"%s name '%s' has a character that is not allowed", what,
				word->text);
	}
	memcpy(out, word->text, len + 1);
	return true;
}

bool ht_rules_address(const struct ht_rules_line *line, unsigned int i, struct ht_addr *out,
		      struct ht_rules_errors *errors)
{
	const struct ht_rules_word *word = &line->words[i];
	struct ht_err err;

	if (ht_addr_parse(out, word->text, &err))
		return true;
	return ht_rules_errors_add(errors, line->number, word->column,
				   "write IP:PORT or [IP]:PORT, with a port from 1 to 65535", "%s",
				   err.text);
}

bool ht_rules_integer(const struct ht_rules_line *line, unsigned int i, const char *what,
		      int64_t min, int64_t max, int64_t *out, struct ht_rules_errors *errors)
{
	const struct ht_rules_word *word = &line->words[i];
	char hint[64];
	char *end;

	snprintf(hint, sizeof(hint), "a whole number from %lld to %lld", (long long)min,
		 (long long)max);
	errno = 0;
	*out = strtoll(word->text, &end, 10);
	if (isdigit((unsigned char)word->text[0]) && !*end && !errno && *out >= min && *out <= max)
		return true;
	return ht_rules_errors_add(errors, line->number, word->column, hint,
				   "bad number '%s' for %s", word->text, what);
}

bool ht_rules_weight(const struct ht_rules_line *line, unsigned int i, double min, double max,
		     double *out, struct ht_rules_errors *errors)
{
	const struct ht_rules_word *word = &line->words[i];
	char hint[64];
	char *end;

	snprintf(hint, sizeof(hint), "a number from %g to %g, as 1 or 0.5", min, max);
	*out = strtod(word->text, &end);
	/* Digits and a point only: strtod also takes "inf", "nan" and hexadecimal numbers. */
	if (strspn(word->text, "0123456789.") == strlen(word->text) && end != word->text && !*end &&
	    *out >= min && *out <= max)
		return true;
	return ht_rules_errors_add(errors, line->number, word->column, hint, "bad weight '%s'",
				   word->text);
}
