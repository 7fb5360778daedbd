#include "rules/internal.h"

#include <stdarg.h>
#include <stdlib.h>

void ht_rules_errors_clear(struct ht_rules_errors *errors)
{
	free(errors->items);
	*errors = (struct ht_rules_errors){0};
}

bool ht_rules_errors_add(struct ht_rules_errors *errors, unsigned int line, unsigned int column,
			 const char *hint, const char *fmt, ...)
{
	struct ht_rules_error *item;
	va_list ap;

	errors->total++;
	if (errors->count == HT_RULES_ERRORS_MAX)
		return false;
	if (!errors->items)
		errors->items = calloc(HT_RULES_ERRORS_MAX, sizeof(*errors->items));
	if (!errors->items)
		return false;
	item = &errors->items[errors->count++];
	item->line = line;
	item->column = column;
	va_start(ap, fmt);
	vsnprintf(item->text, sizeof(item->text), fmt, ap);
	va_end(ap);
	snprintf(item->hint, sizeof(item->hint), "%s", hint ? hint : "");
	return false;
}

static int compare_errors(const void *a, const void *b)
{
	const struct ht_rules_error *x = a, *y = b;

	if (x->line != y->line)
		return x->line < y->line ? -1 : 1;
	return (x->column > y->column) - (x->column < y->column);
}

void ht_rules_errors_sort(struct ht_rules_errors *errors)
{
	if (errors->count)
		qsort(errors->items, errors->count, sizeof(*errors->items), compare_errors);
}

void ht_rules_errors_print(const struct ht_rules_errors *errors, const char *file, FILE *out)
{
	for (size_t i = 0; i < errors->count; i++) {
		const struct ht_rules_error *e = &errors->items[i];

		fprintf(out, "%s:%u:%u: %s", file, e->line, e->column, e->text);
		fprintf(out, e->hint[0] ? " (%s)\n" : "%s\n", e->hint);
	}
	if (errors->total > errors->count)
		fprintf(out, "%s: %zu further errors\n", file, errors->total - errors->count);
}
