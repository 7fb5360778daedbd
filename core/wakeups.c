#include "core/wakeups.h"

#include <stdlib.h>
#include <string.h>

/* Index of the first element that is not later than @due. */
static size_t position(const struct ht_wakeups *w, ht_ms due)
{
	size_t lo = 0, hi = w->count;

	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (w->due[mid] > due)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static bool reserve(struct ht_wakeups *w)
{
	size_t capacity = w->capacity ? w->capacity * 2 : 64;
	ht_ms *a;

	if (w->count < w->capacity)
		return true;
	a = realloc(w->due, capacity * sizeof(*a));
	if (!a)
		return false;
	w->due = a;
	w->capacity = capacity;
	return true;
}

void ht_wakeups_add(struct ht_wakeups *w, ht_ms due)
{
	size_t at = position(w, due);

	if (due == HT_NEVER || (at < w->count && w->due[at] == due))
		return;
	if (!reserve(w)) {
		if (w->count && due < w->due[w->count - 1])
			w->due[w->count - 1] = due;
		return;
	}
	memmove(w->due + at + 1, w->due + at, (w->count - at) * sizeof(*w->due));
	w->due[at] = due;
	w->count++;
}

ht_ms ht_wakeups_first(const struct ht_wakeups *w)
{
	return w->count ? w->due[w->count - 1] : HT_NEVER;
}

void ht_wakeups_drop(struct ht_wakeups *w, ht_ms now)
{
	while (w->count && w->due[w->count - 1] <= now)
		w->count--;
}

void ht_wakeups_clear(struct ht_wakeups *w)
{
	free(w->due);
	*w = (struct ht_wakeups){0};
}
