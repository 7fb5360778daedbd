#include "base/hash.h"
#include "rules/internal.h"

#include <stdlib.h>
#include <string.h>

/* Reads the number of the entry at *@i, which must be above @last; 0 behind the last entry. */
static unsigned long entry_number(char *const *entries, size_t count, size_t i, unsigned long last,
				  bool *ok)
{
	unsigned long n;
	char *end;

	if (i >= count)
		return 0;
	n = strtoul(entries[i], &end, 10);
	if (*end != ' ' || n <= last)
		*ok = false;
	return n;
}

struct patch {
	const struct ht_rules_diff *diff;
	const char *from;      /* rest of the old text */
	unsigned long from_no; /* number of the line at @from */
	size_t removed, added; /* entries used */
	unsigned long last_removed, last_added;
	FILE *out;
	bool ok;
};

/* Skips removed lines at the read position; their text must be the one named. */
static void skip_removed(struct patch *p)
{
	const struct ht_rules_diff *d = p->diff;

	while (p->ok && *p->from) {
		unsigned long n = entry_number(d->removed, d->removed_count, p->removed,
					       p->last_removed, &p->ok);
		const char *line;
		size_t len = strcspn(p->from, "\n");

		if (!p->ok || n != p->from_no)
			return;
		line = ht_rules_diff_line(d->removed[p->removed++]);
		p->ok = strlen(line) == len && memcmp(line, p->from, len) == 0;
		p->last_removed = n;
		p->from += len + (p->from[len] == '\n');
		p->from_no++;
	}
}

/* Writes the line with number @n of the new text; false behind its last line. */
static bool write_line(struct patch *p, unsigned long n)
{
	const struct ht_rules_diff *d = p->diff;
	size_t len;

	skip_removed(p);
	if (!p->ok)
		return false;
	if (entry_number(d->added, d->added_count, p->added, p->last_added, &p->ok) == n) {
		fprintf(p->out, "%s\n", ht_rules_diff_line(d->added[p->added++]));
		p->last_added = n;
		return p->ok;
	}
	if (!p->ok || !*p->from)
		return false;
	len = strcspn(p->from, "\n");
	fwrite(p->from, 1, len, p->out);
	fputc('\n', p->out);
	p->from += len + (p->from[len] == '\n');
	p->from_no++;
	return true;
}

char *ht_rules_patch(const char *from, const struct ht_rules_diff *diff, struct ht_err *err)
{
	struct patch p = {.diff = diff, .from = from, .from_no = 1, .ok = true};
	char *text = NULL;
	size_t len = 0;

	p.out = open_memstream(&text, &len);
	if (!p.out) {
		ht_err_set(err, HT_ENOMEM, "out of memory");
		return NULL;
	}
	for (unsigned long n = 1; write_line(&p, n); n++)
		;
	p.ok &= p.removed == diff->removed_count && p.added == diff->added_count;
	if (fclose(p.out) != 0 || !p.ok || ht_hash(text, len) != diff->text_hash) {
		free(text);
		ht_err_set(err, HT_EINVAL, "difference does not fit the text it is applied to");
		return NULL;
	}
	return text;
}
