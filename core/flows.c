#include "core/flows.h"

#include <stdlib.h>
#include <string.h>

#define NONE UINT32_MAX
#define INITIAL_CAPACITY 1024
#define USED_TICK_MS 64 /* resolution of the time of last use; 31 bits cover 4 years */
#define USED_TICK_MASK 0x7fffffffU

struct entry {
	uint64_t flow;
	uint64_t target;
	uint32_t chain;	       /* next entry of the bucket, or of the free list */
	uint32_t newer, older; /* LRU list */
	uint32_t used : 31;    /* in ticks */
	uint32_t tentative : 1;
};

_Static_assert(sizeof(struct entry) == 32, "the memory budget counts 32 bytes a flow");

struct ht_flows {
	struct entry *entries;
	uint32_t *buckets; /* as many as entries; a power of two */
	uint32_t capacity, max, count, free;
	uint32_t newest, oldest;
	ht_ms idle;
};

static uint32_t *bucket_of(struct ht_flows *f, uint64_t flow)
{
	return &f->buckets[(uint32_t)(flow ^ flow >> 32) & (f->capacity - 1)];
}

static void rehash(struct ht_flows *f)
{
	memset(f->buckets, 0xff, f->capacity * sizeof(*f->buckets));
	for (uint32_t i = f->oldest; i != NONE; i = f->entries[i].newer) {
		uint32_t *b = bucket_of(f, f->entries[i].flow);

		f->entries[i].chain = *b;
		*b = i;
	}
}

static bool grow(struct ht_flows *f, uint32_t capacity)
{
	struct entry *e = realloc(f->entries, capacity * sizeof(*e));
	uint32_t *b;

	if (!e)
		return false;
	f->entries = e;
	b = realloc(f->buckets, capacity * sizeof(*b));
	if (!b)
		return false;
	f->buckets = b;
	for (uint32_t i = f->capacity; i < capacity; i++) {
		e[i].chain = f->free;
		f->free = i;
	}
	f->capacity = capacity;
	rehash(f);
	return true;
}

struct ht_flows *ht_flows_new(size_t max, ht_ms idle)
{
	struct ht_flows *f = calloc(1, sizeof(*f));

	if (!f)
		return NULL;
	f->max = max < 1 ? 1 : max > 1U << 30 ? 1U << 30 : (uint32_t)max;
	f->idle = idle;
	f->free = f->newest = f->oldest = NONE;
	if (!grow(f, INITIAL_CAPACITY)) {
		ht_flows_free(f);
		return NULL;
	}
	return f;
}

void ht_flows_free(struct ht_flows *flows)
{
	if (!flows)
		return;
	free(flows->entries);
	free(flows->buckets);
	free(flows);
}

static uint32_t find(struct ht_flows *f, uint64_t flow)
{
	uint32_t i = *bucket_of(f, flow);

	while (i != NONE && f->entries[i].flow != flow)
		i = f->entries[i].chain;
	return i;
}

static void order_unlink(struct ht_flows *f, uint32_t i)
{
	struct entry *e = &f->entries[i];

	*(e->newer == NONE ? &f->newest : &f->entries[e->newer].older) = e->older;
	*(e->older == NONE ? &f->oldest : &f->entries[e->older].newer) = e->newer;
}

static void order_newest(struct ht_flows *f, uint32_t i, ht_ms now)
{
	struct entry *e = &f->entries[i];

	e->used = (uint32_t)(now / USED_TICK_MS) & USED_TICK_MASK;
	e->newer = NONE;
	e->older = f->newest;
	*(f->newest == NONE ? &f->oldest : &f->entries[f->newest].newer) = i;
	f->newest = i;
}

static ht_ms idle_time(const struct ht_flows *f, uint32_t i, ht_ms now)
{
	return (ht_ms)(((uint32_t)(now / USED_TICK_MS) - f->entries[i].used) & USED_TICK_MASK) *
	       USED_TICK_MS;
}

uint64_t ht_flows_use(struct ht_flows *flows, uint64_t flow, ht_ms now, bool *tentative)
{
	uint32_t i = find(flows, flow);

	if (tentative)
		*tentative = i != NONE && flows->entries[i].tentative;
	if (i == NONE)
		return 0;
	order_unlink(flows, i);
	order_newest(flows, i, now);
	return flows->entries[i].target;
}

static void drop(struct ht_flows *f, uint32_t i)
{
	uint32_t *link = bucket_of(f, f->entries[i].flow);

	while (*link != i)
		link = &f->entries[*link].chain;
	*link = f->entries[i].chain;
	order_unlink(f, i);
	f->entries[i].chain = f->free;
	f->free = i;
	f->count--;
}

void ht_flows_del(struct ht_flows *flows, uint64_t flow)
{
	uint32_t i = find(flows, flow);

	if (i != NONE)
		drop(flows, i);
}

static bool make_room(struct ht_flows *f, ht_ms now, bool *evicted)
{
	if (f->count >= f->max) {
		if (idle_time(f, f->oldest, now) < HT_FLOW_EVICT_IDLE)
			return false;
		drop(f, f->oldest);
		*evicted = true;
	}
	return f->free != NONE || grow(f, f->capacity * 2);
}

bool ht_flows_set(struct ht_flows *flows, uint64_t flow, uint64_t target, ht_ms now, bool tentative,
		  bool *evicted)
{
	uint32_t i = find(flows, flow);
	uint32_t *b;

	*evicted = false;
	if (i != NONE) {
		order_unlink(flows, i);
	} else {
		if (!make_room(flows, now, evicted))
			return false;
		i = flows->free;
		flows->free = flows->entries[i].chain;
		b = bucket_of(flows, flow);
		flows->entries[i].flow = flow;
		flows->entries[i].chain = *b;
		*b = i;
		flows->count++;
	}
	flows->entries[i].target = target;
	flows->entries[i].tentative = tentative;
	order_newest(flows, i, now);
	return true;
}

void ht_flows_confirm(struct ht_flows *flows, uint64_t flow, uint64_t target)
{
	uint32_t i = find(flows, flow);

	if (i != NONE && flows->entries[i].target == target)
		flows->entries[i].tentative = false;
}

void ht_flows_expire(struct ht_flows *flows, ht_ms now)
{
	while (flows->oldest != NONE && idle_time(flows, flows->oldest, now) > flows->idle)
		drop(flows, flows->oldest);
}

void ht_flows_each(const struct ht_flows *flows,
		   void (*visit)(void *ctx, uint64_t flow, uint64_t target), void *ctx)
{
	for (uint32_t i = flows->oldest; i != NONE; i = flows->entries[i].newer)
		visit(ctx, flows->entries[i].flow, flows->entries[i].target);
}

size_t ht_flows_count(const struct ht_flows *flows)
{
	return flows->count;
}
