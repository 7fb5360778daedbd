#include "base/hash.h"
#include "rules/internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Differences of more lines than this are not minimal: the differing middle is replaced as a whole.
 * The search keeps EDITS_MAX^2 ints, which is 1 MB, and a usual change has a few lines.
 */
#define EDITS_MAX 512

struct lines {
	char *text; /* each newline is replaced by NUL */
	const char **at;
	uint64_t *hash;
	bool *changed;
	int count;
};

static void lines_clear(struct lines *l)
{
	free(l->text);
	free(l->at);
	free(l->hash);
	free(l->changed);
}

static bool lines_read(struct lines *l, const char *text)
{
	int max = 1;

	l->text = ht_rules_terminated(text, strlen(text));
	for (const char *s = text; *s; s++)
		max += *s == '\n';
	l->at = calloc((size_t)max, sizeof(*l->at));
	l->hash = calloc((size_t)max, sizeof(*l->hash));
	l->changed = calloc((size_t)max, sizeof(*l->changed));
	if (!l->text || !l->at || !l->hash || !l->changed)
		return false;
	for (char *s = l->text, *nl; *s; s = nl + 1) {
		nl = strchr(s, '\n');
		*nl = 0;
		l->at[l->count] = s;
		l->hash[l->count++] = ht_hash_str(s);
	}
	return true;
}

static bool same(const struct lines *a, int i, const struct lines *b, int k)
{
	return a->hash[i] == b->hash[k] && strcmp(a->at[i], b->at[k]) == 0;
}

/* The part of two texts between their common start and end. */
struct middle {
	const struct lines *a, *b;
	int start; /* common lines at the start */
	int n, m;  /* lines of a and b in the middle */
	int *rows[EDITS_MAX + 1];
};

static struct middle find_middle(const struct lines *a, const struct lines *b)
{
	struct middle mid = {.a = a, .b = b, .n = a->count, .m = b->count};

	while (mid.start < a->count && mid.start < b->count && same(a, mid.start, b, mid.start))
		mid.start++;
	mid.n -= mid.start;
	mid.m -= mid.start;
	while (mid.n && mid.m && same(a, mid.start + mid.n - 1, b, mid.start + mid.m - 1)) {
		mid.n--;
		mid.m--;
	}
	return mid;
}

/* Furthest x that d edits reach on diagonal k (Myers 1986), from the row of d - 1 edits. */
static int step(const struct middle *mid, const int *prev, int d, int k)
{
	int x;

	if (!prev)
		x = 0;
	else if (k == -d || (k != d && prev[k - 1 + d - 1] < prev[k + 1 + d - 1]))
		x = prev[k + 1 + d - 1];
	else
		x = prev[k - 1 + d - 1] + 1;
	while (x < mid->n && x - k < mid->m &&
	       same(mid->a, mid->start + x, mid->b, mid->start + x - k))
		x++;
	return x;
}

/* Returns the number of edits, or -1 when there are too many. Row d holds diagonals -d to d. */
static int search(struct middle *mid)
{
	for (int d = 0; d <= EDITS_MAX; d++) {
		int *row = calloc(2 * (size_t)d + 1, sizeof(*row));

		if (!row)
			return -1;
		mid->rows[d] = row;
		for (int k = -d; k <= d; k += 2) {
			int x = step(mid, d ? mid->rows[d - 1] : NULL, d, k);

			row[k + d] = x;
			if (x >= mid->n && x - k >= mid->m)
				return d;
		}
	}
	return -1;
}

/* Marks the lines that the path of @d edits adds or removes, from its end to its start. */
static void mark_path(const struct middle *mid, int d)
{
	int k = mid->n - mid->m;

	for (; d > 0; d--) {
		const int *prev = mid->rows[d - 1];
		bool down = k == -d || (k != d && prev[k - 1 + d - 1] < prev[k + 1 + d - 1]);
		int x;

		k += down ? 1 : -1;
		x = prev[k + d - 1];
		if (down)
			mid->b->changed[mid->start + x - k] = true;
		else
			mid->a->changed[mid->start + x] = true;
	}
}

static void mark_changes(const struct lines *a, const struct lines *b)
{
	struct middle mid = find_middle(a, b);
	int d = search(&mid);

	if (d >= 0) {
		mark_path(&mid, d);
	} else {
		memset(a->changed + mid.start, true, (size_t)mid.n);
		memset(b->changed + mid.start, true, (size_t)mid.m);
	}
	for (int i = 0; i <= EDITS_MAX; i++)
		free(mid.rows[i]);
}

static bool collect(const struct lines *l, char ***entries, size_t *count)
{
	size_t max = 0;

	for (int i = 0; i < l->count; i++)
		max += l->changed[i];
	*entries = calloc(max + 1, sizeof(**entries));
	if (!*entries)
		return false;
	for (int i = 0; i < l->count; i++) {
		if (!l->changed[i])
			continue;
		if (asprintf(&(*entries)[*count], "%d %s", i + 1, l->at[i]) < 0)
			return false;
		(*count)++;
	}
	return true;
}

bool ht_rules_diff(const char *from, const char *to, struct ht_rules_diff *diff)
{
	struct lines a = {0}, b = {0};
	char *whole = ht_rules_terminated(to, strlen(to));
	bool ok = whole && lines_read(&a, from) && lines_read(&b, to);

	*diff = (struct ht_rules_diff){0};
	if (ok) {
		mark_changes(&a, &b);
		diff->text_hash = ht_hash(whole, strlen(whole));
		ok = collect(&a, &diff->removed, &diff->removed_count) &&
		     collect(&b, &diff->added, &diff->added_count);
	}
	free(whole);
	lines_clear(&a);
	lines_clear(&b);
	if (!ok)
		ht_rules_diff_clear(diff);
	return ok;
}

static void free_entries(char **entries, size_t count)
{
	for (size_t i = 0; entries && i < count; i++)
		free(entries[i]);
	free(entries);
}

void ht_rules_diff_clear(struct ht_rules_diff *diff)
{
	free_entries(diff->removed, diff->removed_count);
	free_entries(diff->added, diff->added_count);
	*diff = (struct ht_rules_diff){0};
}

const char *ht_rules_diff_line(const char *entry)
{
	const char *blank = strchr(entry, ' ');

	return blank ? blank + 1 : "";
}

void ht_rules_diff_print(const struct ht_rules_diff *diff, FILE *out)
{
	for (size_t i = 0; i < diff->removed_count; i++)
		fprintf(out, "-%s\n", ht_rules_diff_line(diff->removed[i]));
	for (size_t i = 0; i < diff->added_count; i++)
		fprintf(out, "+%s\n", ht_rules_diff_line(diff->added[i]));
}
