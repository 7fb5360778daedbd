#include "base/hash.h"
#include "rules/internal.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* The platform keeps values of at most 1 MB; JSON escapes and the key need some of it. */
#define PART_MAX 900000

struct piece {
	const char *text;
	size_t len; /* with the newline */
	size_t part;
};

struct splitter {
	struct ht_rules_parts *parts;
	json_t *index; /* service to position in parts */
	struct piece *pieces;
	size_t count;
	size_t placed; /* pieces whose part is known */
	bool ok;
};

/* Finds or adds the part of @service; returns its position, or -1. */
static long part_of(struct splitter *s, const char *service)
{
	struct ht_rules_parts *parts = s->parts;
	json_t *known = json_object_get(s->index, service);
	struct ht_rules_part *items;

	if (known)
		return (long)json_integer_value(known);
	items = realloc(parts->items, (parts->count + 1) * sizeof(*items));
	if (!items)
		return -1;
	parts->items = items;
	items[parts->count] = (struct ht_rules_part){0};
	snprintf(items[parts->count].service, HT_NAME_MAX, "%s", service);
	if (json_object_set_new(s->index, service, json_integer((json_int_t)parts->count)))
		return -1;
	return (long)parts->count++;
}

static void place_line(void *ctx, const char *text, size_t len, unsigned int number)
{
	struct ht_rules_errors ignored = {0};
	struct splitter *s = ctx;
	struct ht_rules_line line;
	char service[HT_NAME_MAX];
	long part;

	s->pieces[s->count++] = (struct piece){.text = text, .len = len + 1};
	if (!s->ok || !ht_rules_split(text, len, number, &line, &ignored) || line.count < 2 ||
	    !ht_rules_name(&line, 1, "service", service, &ignored)) {
		ht_rules_errors_clear(&ignored);
		return;
	}
	part = part_of(s, service);
	s->ok = part >= 0;
	while (s->ok && s->placed < s->count)
		s->pieces[s->placed++].part = (size_t)part;
}

/* Copies the pieces of each part, in their order, behind each other. */
static bool fill_parts(struct splitter *s, struct ht_err *err)
{
	struct ht_rules_parts *parts = s->parts;
	size_t *size = calloc(parts->count + 1, sizeof(*size));
	bool ok = size != NULL;

	for (size_t i = 0; ok && i < s->count; i++)
		size[s->pieces[i].part] += s->pieces[i].len;
	for (size_t i = 0; ok && i < parts->count; i++) {
		if (size[i] > PART_MAX)
			ok = ht_err_set(err, HT_EINVAL,
					"rules of service '%s' have %zu bytes, at most %d are "
					"allowed",
					parts->items[i].service, size[i], PART_MAX);
		parts->items[i].text = calloc(1, size[i] + 1);
		ok &= parts->items[i].text != NULL;
		size[i] = 0;
	}
	for (size_t i = 0; ok && i < s->count; i++) {
		const struct piece *p = &s->pieces[i];

		memcpy(parts->items[p->part].text + size[p->part], p->text, p->len);
		size[p->part] += p->len;
	}
	for (size_t i = 0; ok && i < parts->count; i++)
		snprintf(parts->items[i].hash, HT_RULES_HASH_TEXT, "%016" PRIx64,
			 ht_hash(parts->items[i].text, size[i]));
	free(size);
	return ok;
}

bool ht_rules_parts_split(const char *text, struct ht_rules_parts *parts, struct ht_err *err)
{
	struct splitter s = {.parts = parts, .ok = true};
	char *whole = ht_rules_terminated(text, strlen(text));
	size_t lines = 1;
	bool ok;

	*parts = (struct ht_rules_parts){0};
	ht_err_set(err, HT_ENOMEM, "out of memory");
	for (const char *c = text; *c; c++)
		lines += *c == '\n';
	s.index = json_object();
	s.pieces = calloc(lines, sizeof(*s.pieces));
	ok = whole && s.index && s.pieces;
	if (ok) {
		ht_rules_each_line(whole, strlen(whole), place_line, &s);
		ok = s.ok;
	}
	if (ok && !parts->count)
		ok = ht_err_set(err, HT_EINVAL, "no service");
	while (ok && s.placed < s.count) {
		s.pieces[s.placed].part = s.placed ? s.pieces[s.placed - 1].part : 0;
		s.placed++;
	}
	ok = ok && fill_parts(&s, err);
	json_decref(s.index);
	free(s.pieces);
	free(whole);
	if (!ok)
		ht_rules_parts_clear(parts);
	return ok;
}

char *ht_rules_parts_join(const struct ht_rules_parts *parts)
{
	size_t len = 0;
	char *text, *at;

	for (size_t i = 0; i < parts->count; i++) {
		if (!parts->items[i].text)
			return NULL;
		len += strlen(parts->items[i].text);
	}
	at = text = malloc(len + 1);
	for (size_t i = 0; text && i < parts->count; i++)
		at = stpcpy(at, parts->items[i].text);
	if (text)
		*at = 0;
	return text;
}

void ht_rules_parts_clear(struct ht_rules_parts *parts)
{
	for (size_t i = 0; i < parts->count; i++)
		free(parts->items[i].text);
	free(parts->items);
	*parts = (struct ht_rules_parts){0};
}
