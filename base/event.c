#include "base/event.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HT_EVENT(n, l, nm, t) {.number = (n), .level = HT_##l, .name = #nm, .text = (t)},
static const struct ht_event_info infos[] = {
#include "base/events/all.def"
};
#undef HT_EVENT

#define HT_EVENT(n, l, nm, t) INDEX_##nm,
enum event_index {
#include "base/events/all.def"
};
#undef HT_EVENT

/* Maps an event number to its index plus one; 0 if there is no such event. */
#define HT_EVENT(n, l, nm, t) [n] = INDEX_##nm + 1,
static const uint8_t index_plus_one[] = {
#include "base/events/all.def"
};
#undef HT_EVENT

static const char *const level_names[] = {
	[HT_ERROR] = "error", [HT_WARN] = "warn",   [HT_NOTICE] = "notice",
	[HT_INFO] = "info",   [HT_DEBUG] = "debug",
};

struct ht_event_ring {
	size_t capacity;
	uint64_t added;
	struct ht_event events[];
};

size_t ht_event_count(void)
{
	return sizeof(infos) / sizeof(infos[0]);
}

const struct ht_event_info *ht_event_info(enum ht_event_number number)
{
	if ((size_t)number >= sizeof(index_plus_one) || !index_plus_one[number])
		return NULL;
	return &infos[index_plus_one[number] - 1];
}

size_t ht_event_index(const struct ht_event_info *info)
{
	return (size_t)(info - infos);
}

const struct ht_event_info *ht_event_at(size_t index)
{
	return &infos[index];
}

struct ht_event_ring *ht_event_ring_new(size_t capacity)
{
	struct ht_event_ring *ring;

	ring = calloc(1, sizeof(*ring) + capacity * sizeof(struct ht_event));
	if (ring)
		ring->capacity = capacity;
	return ring;
}

void ht_event_ring_free(struct ht_event_ring *ring)
{
	free(ring);
}

void ht_event_ring_add(struct ht_event_ring *ring, const struct ht_event *ev)
{
	ring->events[ring->added++ % ring->capacity] = *ev;
}

uint64_t ht_event_ring_lost(const struct ht_event_ring *ring)
{
	return ring->added > ring->capacity ? ring->added - ring->capacity : 0;
}

void ht_event_ring_each(const struct ht_event_ring *ring,
			void (*visit)(void *ctx, const struct ht_event *ev), void *ctx)
{
	for (uint64_t i = ht_event_ring_lost(ring); i < ring->added; i++)
		visit(ctx, &ring->events[i % ring->capacity]);
}

static void append_id(char *buf, size_t size, const char *key, uint64_t id)
{
	size_t used = strlen(buf);

	if (id)
		snprintf(buf + used, size - used, " %s=%016" PRIx64, key, id);
}

void ht_event_log(const struct ht_event *ev, const char *process, enum ht_level max)
{
	const struct ht_event_info *info = ht_event_info(ev->number);
	char ids[128] = "";

	if (!info || info->level > max)
		return;
	append_id(ids, sizeof(ids), "flow", ev->flow);
	append_id(ids, sizeof(ids), "request", ev->request);
	append_id(ids, sizeof(ids), "target", ev->target);
	append_id(ids, sizeof(ids), "instance", ev->instance);
	fprintf(stderr, "<%d>%s: %04d %s:%s%s%s\n", info->level, process, info->number, info->text,
		ids, ev->detail[0] ? " " : "", ev->detail);
}

int ht_level_parse(const char *name)
{
	for (int i = HT_ERROR; i <= HT_DEBUG; i++)
		if (strcmp(name, level_names[i]) == 0)
			return i;
	return -1;
}

const char *ht_level_name(enum ht_level level)
{
	return level_names[level];
}
