#include "rules/internal.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

void ht_rules_each_line(const char *text, size_t len,
			void (*visit)(void *ctx, const char *line, size_t len, unsigned int number),
			void *ctx)
{
	const char *end = text + len;
	unsigned int number = 1;

	while (text < end) {
		const char *nl = memchr(text, '\n', (size_t)(end - text));
		const char *stop = nl ? nl : end;

		visit(ctx, text, (size_t)(stop - text), number++);
		text = nl ? nl + 1 : end;
	}
}

char *ht_rules_terminated(const char *text, size_t len)
{
	char *copy = malloc(len + 2);

	if (!copy)
		return NULL;
	if (len)
		memcpy(copy, text, len);
	if (len && text[len - 1] != '\n')
		copy[len++] = '\n';
	copy[len] = 0;
	return copy;
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* The parts travel as JSON strings, so a line must be UTF-8 text. */
static bool readable(const char *text, size_t len, unsigned int number,
		     struct ht_rules_errors *errors)
{
	json_t *str;

	if (len > HT_RULES_LINE_MAX)
		return ht_rules_errors_add(
			errors, number, HT_RULES_LINE_MAX + 1, "shorten the comment",
			"line of %zu bytes, at most %d are allowed", len, HT_RULES_LINE_MAX);
	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)text[i];

		if (c == '\r' && i + 1 == len)
			return ht_rules_errors_add(errors, number, (unsigned int)i + 1,
						   "save the file with newline line ends",
						   "carriage return at the end of the line");
		if ((c < 32 && c != '\t') || c == 127)
			return ht_rules_errors_add(errors, number, (unsigned int)i + 1, "remove it",
						   "control character 0x%02x", c);
	}
	str = json_stringn(text, len);
	if (!str)
		return ht_rules_errors_add(errors, number, 1, "save the file as UTF-8",
					   "line is not valid UTF-8");
	json_decref(str);
	return true;
}

static bool add_word(struct ht_rules_line *line, const char *text, size_t len, size_t at,
		     struct ht_rules_errors *errors)
{
	struct ht_rules_word *word;
	unsigned int column = (unsigned int)at + 1;

	if (line->count == HT_RULES_WORDS_MAX)
		return ht_rules_errors_add(
			errors, line->number, column,
			"put '#' before the comment that says who asked for the rule",
			"more than %d words in a rule", HT_RULES_WORDS_MAX);
	word = &line->words[line->count];
	if (len >= sizeof(word->text))
		return ht_rules_errors_add(errors, line->number, column, NULL, "word of %zu bytes",
					   len);
	memcpy(word->text, text, len);
	word->text[len] = 0;
	word->column = column;
	line->count++;
	line->end_column = column + (unsigned int)len;
	return true;
}

bool ht_rules_split(const char *text, size_t len, unsigned int number, struct ht_rules_line *line,
		    struct ht_rules_errors *errors)
{
	size_t i = 0, start;

	line->number = number;
	line->count = 0;
	line->comment = false;
	line->end_column = 1;
	if (!readable(text, len, number, errors))
		return false;
	while (i < len && text[i] != '#') {
		if (is_blank(text[i])) {
			i++;
			continue;
		}
		start = i;
		while (i < len && !is_blank(text[i]) && text[i] != '#')
			i++;
		if (!add_word(line, text + start, i - start, start, errors))
			return false;
	}
	for (i++; i < len; i++)
		line->comment |= !is_blank(text[i]);
	return true;
}
