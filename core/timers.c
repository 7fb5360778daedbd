#include "core/timers.h"

#include <stdlib.h>

struct ht_timers {
	GSequence *order;
	void *ctx;
	void (*wake)(void *ctx, ht_ms due);
};

struct ht_timers *ht_timers_new(void *ctx, void (*wake)(void *ctx, ht_ms due))
{
	struct ht_timers *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->order = g_sequence_new(NULL);
	t->ctx = ctx;
	t->wake = wake;
	return t;
}

void ht_timers_free(struct ht_timers *timers)
{
	if (!timers)
		return;
	g_sequence_free(timers->order);
	free(timers);
}

static gint compare_due(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct ht_timer *x = a, *y = b;

	(void)unused;
	return (x->due > y->due) - (x->due < y->due);
}

void ht_timer_set(struct ht_timers *timers, struct ht_timer *timer, ht_ms due)
{
	ht_timer_stop(timer);
	timer->due = due;
	timer->place = g_sequence_insert_sorted(timers->order, timer, compare_due, NULL);
	if (g_sequence_iter_is_begin(timer->place))
		timers->wake(timers->ctx, due);
}

void ht_timer_stop(struct ht_timer *timer)
{
	if (timer->place)
		g_sequence_remove(timer->place);
	timer->place = NULL;
}

void ht_timers_run(struct ht_timers *timers, ht_ms now)
{
	while (!g_sequence_is_empty(timers->order)) {
		struct ht_timer *t = g_sequence_get(g_sequence_get_begin_iter(timers->order));

		if (t->due > now) {
			timers->wake(timers->ctx, t->due);
			return;
		}
		ht_timer_stop(t);
		t->fire(timers->ctx, t);
	}
}
