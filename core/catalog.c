#include "base/hash.h"
#include "core/catalog_internal.h"

#include <stdlib.h>
#include <string.h>

struct ht_service *ht_catalog_service(struct ht_catalog *cat, const char *name)
{
	struct ht_service *s;
	struct ht_list *pos;

	ht_list_for_each (pos, &cat->services) {
		s = ht_container_of(pos, struct ht_service, node);
		if (strcmp(s->name, name) == 0)
			return s;
	}
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	s->name = strdup(name);
	if (!s->name) {
		free(s);
		return NULL;
	}
	s->key = ht_load_key(name);
	s->top_priority = UINT32_MAX;
	s->answer_time = ht_histogram_of(&ht_histogram_calls);
	ht_list_add_tail(&cat->services, &s->node);
	return s;
}

struct ht_dc *ht_catalog_dc(struct ht_catalog *cat, const char *name)
{
	struct ht_list *pos;
	struct ht_dc *dc;

	ht_list_for_each (pos, &cat->dcs) {
		dc = ht_container_of(pos, struct ht_dc, node);
		if (strcmp(dc->name, name) == 0)
			return dc;
	}
	dc = calloc(1, sizeof(*dc));
	if (!dc)
		return NULL;
	dc->name = strdup(name);
	if (!dc->name) {
		free(dc);
		return NULL;
	}
	dc->key = ht_load_key(name);
	ht_list_add_tail(&cat->dcs, &dc->node);
	return dc;
}

struct ht_catalog *ht_catalog_new(const char *dc)
{
	struct ht_catalog *cat = calloc(1, sizeof(*cat));
	struct ht_dc *own;

	if (!cat)
		return NULL;
	cat->history = HT_REVISION_NEVER;
	cat->era.first_revision = UINT64_MAX;
	ht_list_init(&cat->services);
	ht_list_init(&cat->dcs);
	ht_list_init(&cat->targets);
	ht_list_init(&cat->routes_removed);
	own = ht_catalog_dc(cat, dc);
	if (own && ht_hmap_init(&cat->by_name) && ht_hmap_init(&cat->by_mark) &&
	    ht_hmap_init(&cat->routes)) {
		own->local = true;
		return cat;
	}
	ht_catalog_free(cat);
	return NULL;
}

static void unlist(struct ht_target *t)
{
	struct ht_service *s = t->service;
	struct ht_target *last;

	if (!t->eligible)
		return;
	t->eligible = false;
	t->dc->eligible--;
	last = s->targets[--s->count];
	last->service_index = t->service_index;
	s->targets[last->service_index] = last;
	s->open -= t->open;
	if (t->dc->local)
		s->local_slots -= t->slots;
}

/* Lists @t for new flows unless its data centre is evacuated. Returns false when out of memory. */
static bool list_target(struct ht_target *t)
{
	struct ht_service *s = t->service;

	if (t->eligible || t->dc->evacuated)
		return true;
	if (s->count == s->capacity) {
		size_t capacity = s->capacity ? s->capacity * 2 : 8;
		struct ht_target **targets =
			realloc(s->targets, capacity * sizeof(struct ht_target *));

		if (!targets)
			return false;
		s->targets = targets;
		s->capacity = capacity;
	}
	t->service_index = s->count;
	s->targets[s->count++] = t;
	t->eligible = true;
	t->dc->eligible++;
	s->open += t->open;
	if (t->dc->local)
		s->local_slots += t->slots;
	return true;
}

void ht_catalog_update_eligible(struct ht_target *t, ht_ms now)
{
	if (t->dc->evacuated)
		unlist(t);
	else if (!t->draining && (t->gone_at == HT_NEVER || now < t->held_until))
		list_target(t); /* if out of memory, at its next change */
}

static void set_restored(struct ht_catalog *cat, struct ht_target *t, bool restored)
{
	cat->restored += restored;
	cat->restored -= t->restored;
	t->restored = restored;
}

static void target_free(struct ht_catalog *cat, struct ht_target *t)
{
	unlist(t);
	set_restored(cat, t, false);
	for (size_t k = 0; k < HT_TARGET_MARKS; k++)
		ht_hmap_del(&cat->by_mark, &t->marks[k].hnode);
	ht_hmap_del(&cat->by_name, &t->by_name);
	ht_list_del(&t->node);
	cat->target_count--;
	free(t->flows_while_cold);
	free(t->name);
	free(t);
}

void ht_catalog_free(struct ht_catalog *cat)
{
	struct ht_list *pos, *tmp;

	if (!cat)
		return;
	ht_list_for_each_safe (pos, tmp, &cat->targets)
		target_free(cat, ht_container_of(pos, struct ht_target, node));
	ht_list_for_each_safe (pos, tmp, &cat->services) {
		struct ht_service *s = ht_container_of(pos, struct ht_service, node);

		free(s->targets);
		free(s->name);
		free(s);
	}
	ht_list_for_each_safe (pos, tmp, &cat->dcs) {
		struct ht_dc *dc = ht_container_of(pos, struct ht_dc, node);

		free(dc->name);
		free(dc);
	}
	ht_catalog_clear_routes(cat);
	ht_hmap_clear(&cat->by_mark);
	ht_hmap_clear(&cat->by_name);
	free(cat);
}

void ht_catalog_observe(struct ht_catalog *cat, const struct ht_catalog_observer *observer)
{
	cat->observer = *observer;
}

static void notify_target(const struct ht_catalog *cat, const struct ht_target *t, ht_ms now)
{
	if (cat->observer.target)
		cat->observer.target(cat->observer.ctx, t, now);
}

struct ht_target *ht_catalog_by_name(const struct ht_catalog *cat, const char *name)
{
	struct ht_hnode *pos;

	ht_hmap_for_each (pos, &cat->by_name, ht_hash_str(name)) {
		struct ht_target *t = ht_container_of(pos, struct ht_target, by_name);

		if (strcmp(t->name, name) == 0)
			return t;
	}
	return NULL;
}

/* Depends on the target's id only, so that all instances compute the same value; never 0. */
static uint32_t mark_value(uint64_t id, size_t k)
{
	uint32_t value = (uint32_t)ht_hash_pair(id, k + 1);

	return value ? value : 1;
}

static struct ht_target *add_target(struct ht_catalog *cat, const struct ht_target_entry *e)
{
	struct ht_target *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->name = strdup(e->name);
	if (!t->name) {
		free(t);
		return NULL;
	}
	t->id = e->id;
	t->started = e->started;
	t->gone_at = HT_NEVER;
	for (size_t k = 0; k < HT_TARGET_MARKS; k++) {
		struct ht_mark *m = &t->marks[k];

		m->value = mark_value(t->id, k);
		m->target = t;
		ht_hmap_add(&cat->by_mark, &m->hnode, m->value);
	}
	ht_hmap_add(&cat->by_name, &t->by_name, ht_hash_str(t->name));
	ht_list_add_tail(&cat->targets, &t->node);
	cat->target_count++;
	return t;
}

static bool entry_unchanged(const struct ht_target *t, const struct ht_target_entry *e)
{
	return t->started == e->started && ht_endpoint_equal(t->at, e->at) && t->service &&
	       strcmp(t->service->name, e->service) == 0 && t->slots == e->slots &&
	       strcmp(t->dc->name, e->dc) == 0 && t->draining == e->draining &&
	       t->gone_at == HT_NEVER;
}

/*
 * True if @e may come from the backup of a restored store and is older than the known state of @t.
 * If @t is not @known (it was just added), it was removed in the previous era if that was known up
 * to the revision of @e.
 */
static bool is_outdated_backup(const struct ht_catalog *cat, const struct ht_target *t, bool known,
			       const struct ht_target_entry *e)
{
	if (e->revision.era != cat->era.number || e->revision.number > cat->era.first_revision)
		return false;
	if (known)
		return t->revision.era < e->revision.era && e->started <= t->started;
	return e->revision.number <= cat->era.known_before;
}

/* @t must not be eligible: the sums of its service include the values it was listed with. */
static void apply_entry(struct ht_target *t, const struct ht_target_entry *e,
			struct ht_service *service, struct ht_dc *dc, ht_ms now)
{
	if (t->started != e->started) {
		t->evidence = (struct ht_evidence){0};
		t->refusals = 0;
	}
	t->started = e->started;
	t->at = e->at;
	t->service = service;
	t->dc = dc;
	t->slots = e->slots;
	t->draining = e->draining;
	t->warmup_ends_at = now + e->warmup;
}

/* @e is older than the known state of @t, which is kept; but a restored or draining entry ends its
 * use for new flows. */
static enum ht_catalog_change apply_stale_entry(struct ht_catalog *cat, struct ht_target *t,
						const struct ht_target_entry *e, ht_ms now)
{
	bool leaves = e->restored && t->gone_at == HT_NEVER;

	t->revision = e->revision;
	/* During the hold time, the entry of a live target may just have expired. */
	if (!e->restored && t->gone_at != HT_NEVER && now < t->held_until)
		t->gone_at = HT_NEVER;
	if (leaves) {
		t->gone_at = t->held_until = now;
		unlist(t);
	}
	/* Draining ends only with a restart of the target. */
	if (e->draining && e->started == t->started && !t->draining) {
		t->draining = leaves = true;
		unlist(t);
	}
	set_restored(cat, t, t->gone_at != HT_NEVER);
	if (!leaves)
		return HT_CATALOG_SAME;
	notify_target(cat, t, now);
	return HT_CATALOG_CHANGED;
}

/* The entry was removed at the revision at which the store has it: an instance of an earlier build
 * has found it unusable, and told so. A deletion has a revision of its own. */
static bool was_misread(const struct ht_target *t, const struct ht_target_entry *e,
			enum ht_catalog_source source)
{
	return source == HT_CATALOG_STORE && t->gone_at != HT_NEVER && !t->restored &&
	       ht_revision_equal(e->revision, t->revision);
}

/* Applies an entry of a revision that is already known. Its sender may know from an earlier era
 * that the target has left or drains. */
static enum ht_catalog_change reapply_entry(struct ht_catalog *cat, struct ht_target *t,
					    const struct ht_target_entry *e, ht_ms now)
{
	if (t->gone_at != HT_NEVER || (e->restored && cat->era.lapsed))
		return HT_CATALOG_SAME;
	return apply_stale_entry(cat, t, e, now);
}

enum ht_catalog_change ht_catalog_put_target(struct ht_catalog *cat,
					     const struct ht_target_entry *e,
					     enum ht_catalog_source source, ht_ms now)
{
	struct ht_target *t = ht_catalog_by_name(cat, e->name);
	struct ht_service *service = ht_catalog_service(cat, e->service);
	struct ht_dc *dc = ht_catalog_dc(cat, e->dc);
	bool known = t, same;

	if (e->revision.era < cat->era.number)
		return HT_CATALOG_OLDER;
	if (!service || !dc)
		return HT_CATALOG_FAILED;
	if (!t)
		t = add_target(cat, e);
	if (!t)
		return HT_CATALOG_FAILED;
	t->listing_sources |= 1U << source;
	if (ht_revision_before(e->revision, t->revision))
		return HT_CATALOG_OLDER;
	if (known && ht_revision_equal(e->revision, t->revision) && !was_misread(t, e, source))
		return reapply_entry(cat, t, e, now);
	if ((e->restored && !cat->era.lapsed) || is_outdated_backup(cat, t, known, e)) {
		if (!known) {
			apply_entry(t, e, service, dc, now);
			t->gone_at = t->held_until = now;
		}
		return apply_stale_entry(cat, t, e, now);
	}
	same = entry_unchanged(t, e);
	if (!same)
		unlist(t);
	apply_entry(t, e, service, dc, now);
	t->revision = e->revision;
	t->gone_at = HT_NEVER;
	set_restored(cat, t, false);
	if (!t->draining && !list_target(t))
		return HT_CATALOG_FAILED;
	if (same)
		return HT_CATALOG_SAME;
	notify_target(cat, t, now);
	return HT_CATALOG_CHANGED;
}

static void mark_missing(struct ht_catalog *cat, struct ht_target *t, struct ht_revision revision,
			 ht_ms now, ht_ms held_until)
{
	t->revision = ht_revision_max(t->revision, revision);
	set_restored(cat, t, false);
	if (t->gone_at == HT_NEVER)
		t->gone_at = now;
	t->held_until = held_until;
	if (held_until <= now)
		unlist(t);
	notify_target(cat, t, now);
}

enum ht_catalog_change ht_catalog_remove_target(struct ht_catalog *cat, const char *name,
						struct ht_revision revision, ht_ms now,
						ht_ms held_until)
{
	struct ht_target *t = ht_catalog_by_name(cat, name);

	if (!t)
		return HT_CATALOG_SAME;
	if (revision.era < cat->era.number || ht_revision_before(revision, t->revision))
		return HT_CATALOG_OLDER;
	if (t->gone_at != HT_NEVER) {
		/* It was added and removed again: an answer from in between must not add it. */
		t->revision = revision;
		set_restored(cat, t, false);
		return HT_CATALOG_SAME;
	}
	mark_missing(cat, t, revision, now, held_until);
	return HT_CATALOG_CHANGED;
}

void ht_catalog_begin_listing(struct ht_catalog *cat, enum ht_catalog_source source)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &cat->targets)
		ht_container_of(pos, struct ht_target, node)->listing_sources &= ~(1U << source);
}

void ht_catalog_mark_present(struct ht_catalog *cat, const char *name,
			     enum ht_catalog_source source)
{
	struct ht_target *t = ht_catalog_by_name(cat, name);

	if (t)
		t->listing_sources |= 1U << source;
}

size_t ht_catalog_end_listing(struct ht_catalog *cat, enum ht_catalog_source source,
			      struct ht_revision revision, ht_ms now, ht_ms held_until)
{
	struct ht_list *pos;
	size_t removed = 0;

	if (revision.era < cat->era.number)
		return 0;
	if (ht_revision_equal(cat->history, HT_REVISION_NEVER))
		cat->history = revision;
	ht_list_for_each (pos, &cat->targets) {
		struct ht_target *t = ht_container_of(pos, struct ht_target, node);

		if (t->listing_sources & (1U << source) ||
		    ht_revision_before(revision, t->revision) ||
		    (t->gone_at != HT_NEVER && !t->restored))
			continue;
		removed += t->gone_at == HT_NEVER;
		mark_missing(cat, t, revision, now, t->restored ? now : held_until);
	}
	return removed;
}

struct ht_revision ht_catalog_history_start(const struct ht_catalog *cat)
{
	return cat->history;
}

void ht_catalog_begin_era(struct ht_catalog *cat, uint64_t era, uint64_t known, ht_ms now)
{
	cat->era.number = era;
	cat->era.first_revision = UINT64_MAX;
	cat->era.known_before = known;
	cat->era.began_at = now;
	cat->era.lapsed = false;
}

void ht_catalog_note_era_revision(struct ht_catalog *cat, struct ht_revision at)
{
	if (at.era == cat->era.number && at.number < cat->era.first_revision)
		cat->era.first_revision = at.number;
}

uint64_t ht_catalog_era(const struct ht_catalog *cat)
{
	return cat->era.number;
}

uint64_t ht_catalog_era_start(const struct ht_catalog *cat)
{
	return cat->era.first_revision == UINT64_MAX ? 0 : cat->era.first_revision;
}

size_t ht_catalog_restored(const struct ht_catalog *cat)
{
	return cat->restored;
}

size_t ht_catalog_readmit_restored(struct ht_catalog *cat, ht_ms proven_at, ht_ms lapse, ht_ms now)
{
	struct ht_list *pos;
	size_t count = 0;

	if (cat->era.lapsed || proven_at - cat->era.began_at < lapse)
		return 0;
	cat->era.lapsed = true;
	ht_catalog_settle_evacuations(cat, now);
	if (!cat->restored)
		return 0;
	ht_list_for_each (pos, &cat->targets) {
		struct ht_target *t = ht_container_of(pos, struct ht_target, node);

		if (!t->restored)
			continue;
		set_restored(cat, t, false);
		t->gone_at = HT_NEVER;
		/* If out of memory, it stays unlisted until its entry changes. */
		if (!t->draining)
			list_target(t);
		notify_target(cat, t, now);
		count++;
	}
	return count;
}

void ht_catalog_expire(struct ht_catalog *cat, ht_ms now, ht_ms keep)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, &cat->targets) {
		struct ht_target *t = ht_container_of(pos, struct ht_target, node);

		if (t->gone_at == HT_NEVER)
			continue;
		if (t->eligible && now >= t->held_until)
			unlist(t);
		if (now - t->gone_at < keep || t->flows || t->restored)
			continue;
		cat->history = ht_revision_max(cat->history, t->revision);
		target_free(cat, t);
	}
}

struct ht_target *ht_catalog_by_mark(const struct ht_catalog *cat, uint32_t mark)
{
	struct ht_target *found = NULL;
	struct ht_hnode *pos;

	ht_hmap_for_each (pos, &cat->by_mark, mark) {
		const struct ht_mark *m = ht_container_of(pos, struct ht_mark, hnode);

		if (m->value == mark && (!found || m->target->started < found->started))
			found = m->target;
	}
	return found;
}

static bool mark_collides(const struct ht_catalog *cat, const struct ht_mark *mark)
{
	struct ht_hnode *pos;

	ht_hmap_for_each (pos, &cat->by_mark, mark->value) {
		const struct ht_mark *m = ht_container_of(pos, struct ht_mark, hnode);

		if (m->value == mark->value && m->target != mark->target)
			return true;
	}
	return false;
}

uint32_t ht_catalog_unique_mark(const struct ht_catalog *cat, const struct ht_target *target)
{
	for (size_t k = 0; k < HT_TARGET_MARKS; k++)
		if (!mark_collides(cat, &target->marks[k]))
			return target->marks[k].value;
	return 0;
}

size_t ht_catalog_target_count(const struct ht_catalog *cat)
{
	return cat->target_count;
}

void ht_catalog_each_target(struct ht_catalog *cat,
			    void (*visit)(void *ctx, struct ht_target *target), void *ctx)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &cat->targets)
		visit(ctx, ht_container_of(pos, struct ht_target, node));
}

void ht_catalog_each_planned_service(struct ht_catalog *cat,
				     void (*visit)(void *ctx, struct ht_service *service),
				     void *ctx)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &cat->services) {
		struct ht_service *s = ht_container_of(pos, struct ht_service, node);

		if (s->has_classes || s->basis.made_at)
			visit(ctx, s);
	}
}

const char *ht_catalog_dc_name(const struct ht_catalog *cat, uint32_t key)
{
	const struct ht_list *pos;

	ht_list_for_each (pos, &cat->dcs) {
		const struct ht_dc *dc = ht_container_of(pos, const struct ht_dc, node);

		if (dc->key == key)
			return dc->name;
	}
	return NULL;
}

void ht_service_count_turned_away(struct ht_service *service, uint32_t priority,
				  enum ht_turned_away kind)
{
	size_t i = 0;

	while (i < service->turned_away_count && service->turned_away[i].priority != priority)
		i++;
	if (i == service->turned_away_count && i < HT_TURNED_AWAY_PRIORITIES)
		service->turned_away[service->turned_away_count++].priority = priority;
	service->turned_away[i].packets[kind]++;
}

void ht_catalog_each_service(const struct ht_catalog *cat,
			     void (*visit)(void *ctx, const struct ht_service *service), void *ctx)
{
	const struct ht_list *pos;

	ht_list_for_each (pos, &cat->services)
		visit(ctx, ht_container_of(pos, const struct ht_service, node));
}
