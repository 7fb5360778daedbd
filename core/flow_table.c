#include "core/flow_table.h"

#include "base/hash.h"

#include <stdlib.h>

uint64_t ht_flow_hash(struct ht_endpoint src, struct ht_endpoint dst)
{
	return ht_hash_pair(((uint64_t)src.ip << 16) | src.port,
			    ((uint64_t)dst.ip << 16) | dst.port);
}

bool ht_flow_table_init(struct ht_flow_table *table, size_t max)
{
	*table = (struct ht_flow_table){.max = max};
	ht_list_init(&table->opening);
	ht_list_init(&table->active);
	ht_list_init(&table->answered);
	ht_list_init(&table->inactive);
	return ht_hmap_init(&table->map);
}

static void uncount(struct ht_tracked_flow *f)
{
	if (f->counted)
		ht_target_count_open(f->target, -1);
	if (f->waiting)
		f->target->waiting--;
	f->counted = false;
	f->waiting = false;
}

void ht_flow_table_end(struct ht_flow_table *table, struct ht_tracked_flow *f)
{
	uncount(f);
	if (f->target)
		f->target->flows--;
	ht_hmap_del(&table->map, &f->hnode);
	ht_list_del(&f->node);
	free(f);
}

static void end_all(struct ht_flow_table *table, struct ht_list *list)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, list)
		ht_flow_table_end(table, ht_container_of(pos, struct ht_tracked_flow, node));
}

void ht_flow_table_clear(struct ht_flow_table *table)
{
	end_all(table, &table->opening);
	end_all(table, &table->active);
	end_all(table, &table->answered);
	end_all(table, &table->inactive);
	ht_hmap_clear(&table->map);
}

struct ht_tracked_flow *ht_flow_table_find(const struct ht_flow_table *table,
					   struct ht_endpoint src, struct ht_endpoint dst)
{
	struct ht_hnode *pos;

	ht_hmap_for_each (pos, &table->map, ht_flow_hash(src, dst)) {
		struct ht_tracked_flow *f = ht_container_of(pos, struct ht_tracked_flow, hnode);

		if (ht_endpoint_equal(f->src, src) && ht_endpoint_equal(f->dst, dst))
			return f;
	}
	return NULL;
}

static struct ht_tracked_flow *eviction_candidate(const struct ht_flow_table *table)
{
	const struct ht_list *const lists[] = {&table->inactive, &table->answered, &table->active,
					       &table->opening};
	size_t i = 0;

	while (ht_list_empty(lists[i]))
		i++;
	return ht_container_of(lists[i]->next, struct ht_tracked_flow, node);
}

struct ht_tracked_flow *ht_flow_table_add(struct ht_flow_table *table, struct ht_endpoint src,
					  struct ht_endpoint dst)
{
	struct ht_tracked_flow *f;

	if (table->map.count >= table->max)
		ht_flow_table_end(table, eviction_candidate(table));
	f = calloc(1, sizeof(*f));
	if (!f)
		return NULL;
	f->src = src;
	f->dst = dst;
	ht_hmap_add(&table->map, &f->hnode, ht_flow_hash(src, dst));
	ht_list_add_tail(&table->opening, &f->node);
	return f;
}

static struct ht_list *list_of(struct ht_flow_table *table, enum ht_flow_phase phase)
{
	switch (phase) {
	case HT_PHASE_OPENING:
		return &table->opening;
	case HT_PHASE_ANSWERED:
		return &table->answered;
	case HT_PHASE_OPEN:
	case HT_PHASE_REQUESTED:
		break;
	}
	return &table->active;
}

void ht_flow_table_touch(struct ht_flow_table *table, struct ht_tracked_flow *f, ht_ms now)
{
	f->last_packet_at = now;
	ht_list_del(&f->node);
	ht_list_add_tail(list_of(table, f->phase), &f->node);
	if (!f->counted)
		ht_target_count_open(f->target, 1);
	f->counted = true;
	if (f->waiting != (f->phase != HT_PHASE_ANSWERED))
		f->target->waiting += f->waiting ? -1U : 1U;
	f->waiting = f->phase != HT_PHASE_ANSWERED;
}

static bool is_inactive(const struct ht_tracked_flow *f, ht_ms timeout, ht_ms now)
{
	return now - f->last_packet_at >= timeout;
}

static void uncount_list(struct ht_flow_table *table, struct ht_list *list, ht_ms timeout,
			 ht_ms now)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, list) {
		struct ht_tracked_flow *f = ht_container_of(pos, struct ht_tracked_flow, node);

		if (!is_inactive(f, timeout, now))
			return;
		uncount(f);
		ht_list_del(&f->node);
		ht_list_add_tail(&table->inactive, &f->node);
	}
}

void ht_flow_table_uncount_inactive(struct ht_flow_table *table,
				    const struct ht_flow_timeouts *timeouts, ht_ms now)
{
	uncount_list(table, &table->opening, timeouts->opening, now);
	uncount_list(table, &table->active, timeouts->open, now);
	uncount_list(table, &table->answered, timeouts->answered, now);
}

static void visit_inactive(const struct ht_list *list, ht_ms timeout, ht_ms now,
			   void (*visit)(void *ctx, const struct ht_tracked_flow *flow), void *ctx)
{
	for (const struct ht_list *pos = list->next; pos != list; pos = pos->next) {
		const struct ht_tracked_flow *f =
			ht_container_of(pos, const struct ht_tracked_flow, node);

		if (!is_inactive(f, timeout, now))
			return;
		visit(ctx, f);
	}
}

void ht_flow_table_each_inactive(const struct ht_flow_table *table,
				 const struct ht_flow_timeouts *timeouts, ht_ms now,
				 void (*visit)(void *ctx, const struct ht_tracked_flow *flow),
				 void *ctx)
{
	visit_inactive(&table->opening, timeouts->opening, now, visit, ctx);
	visit_inactive(&table->active, timeouts->open, now, visit, ctx);
	visit_inactive(&table->answered, timeouts->answered, now, visit, ctx);
}

void ht_flow_set_target(struct ht_tracked_flow *f, struct ht_target *t, uint32_t mark, ht_ms now)
{
	uncount(f);
	if (f->target)
		f->target->flows--;
	f->target = t;
	f->mark = mark;
	t->flows++;
	f->placed_at = now;
}
