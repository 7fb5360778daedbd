#include "entry/snapshot.h"

#include <stdio.h>
#include <stdlib.h>

struct ht_snapshot {
	Ht__EntrySnapshot msg;
	Ht__EntryRoute *routes, **route_list;
	Ht__EntryTarget *targets, **target_list;
	Ht__EntryGone *gone, **gone_list;
	uint64_t base;
	ht_ms now;
};

static void add_route(void *ctx, const struct ht_route *r)
{
	struct ht_snapshot *snap = ctx;
	Ht__EntryRoute *m = &snap->routes[snap->msg.n_routes];

	ht__entry_route__init(m);
	m->ip = r->at.ip;
	m->port = r->at.port;
	m->service = r->service->name;
	m->priority = r->priority;
	snap->route_list[snap->msg.n_routes++] = m;
}

static void add_gone(struct ht_snapshot *snap, struct ht_target *t)
{
	Ht__EntryGone *m = &snap->gone[snap->msg.n_gone];

	ht__entry_gone__init(m);
	m->name = t->name;
	m->revision = t->revision;
	snap->gone_list[snap->msg.n_gone++] = m;
}

static void add_target(void *ctx, struct ht_target *t)
{
	struct ht_snapshot *snap = ctx;
	Ht__EntryTarget *m = &snap->targets[snap->msg.n_targets];

	if (snap->base && t->revision <= snap->base)
		return;
	if (t->gone_at != HT_NEVER) {
		if (snap->base)
			add_gone(snap, t);
		return;
	}
	ht__entry_target__init(m);
	m->name = t->name;
	m->id = t->id;
	m->ip = t->at.ip;
	m->port = t->at.port;
	m->service = t->service->name;
	m->dc = t->dc->name;
	m->slots = t->slots;
	m->draining = t->draining;
	m->warmup_ms = t->warm_at > snap->now ? (uint32_t)(t->warm_at - snap->now) : 0;
	m->started_ms = t->started;
	m->revision = t->revision;
	snap->target_list[snap->msg.n_targets++] = m;
}

static bool allocate(struct ht_snapshot *snap, size_t routes, size_t targets)
{
	snap->routes = calloc(routes + 1, sizeof(*snap->routes));
	snap->route_list = calloc(routes + 1, sizeof(Ht__EntryRoute *));
	snap->targets = calloc(targets + 1, sizeof(*snap->targets));
	snap->target_list = calloc(targets + 1, sizeof(Ht__EntryTarget *));
	snap->gone = calloc(targets + 1, sizeof(*snap->gone));
	snap->gone_list = calloc(targets + 1, sizeof(Ht__EntryGone *));
	return snap->routes && snap->route_list && snap->targets && snap->target_list &&
	       snap->gone && snap->gone_list;
}

struct ht_snapshot *ht_snapshot_new(struct ht_catalog *cat, uint64_t have_routes,
				    uint64_t have_targets, uint64_t targets_revision, ht_ms now)
{
	bool with_routes = ht_catalog_routes_revision(cat) > have_routes;
	struct ht_snapshot *snap = calloc(1, sizeof(*snap));

	if (!snap)
		return NULL;
	ht__entry_snapshot__init(&snap->msg);
	if (!allocate(snap, with_routes ? ht_catalog_route_count(cat) : 0,
		      ht_catalog_target_count(cat))) {
		ht_snapshot_free(snap);
		return NULL;
	}
	snap->now = now;
	snap->base = have_targets >= ht_catalog_history(cat) ? have_targets : 0;
	if (with_routes)
		ht_catalog_each_route(cat, add_route, snap);
	ht_catalog_each_target(cat, add_target, snap);
	snap->msg.routes_version = ht_catalog_version(cat);
	snap->msg.routes_revision = ht_catalog_routes_revision(cat);
	snap->msg.has_routes = with_routes;
	snap->msg.routes = snap->route_list;
	snap->msg.base_revision = snap->base;
	snap->msg.targets_revision = targets_revision;
	snap->msg.targets = snap->target_list;
	snap->msg.gone = snap->gone_list;
	return snap;
}

void ht_snapshot_free(struct ht_snapshot *snap)
{
	if (!snap)
		return;
	free(snap->routes);
	free(snap->route_list);
	free(snap->targets);
	free(snap->target_list);
	free(snap->gone);
	free(snap->gone_list);
	free(snap);
}

Ht__EntrySnapshot *ht_snapshot_message(struct ht_snapshot *snap)
{
	return &snap->msg;
}

bool ht_snapshot_fits(const Ht__EntrySnapshot *msg, uint64_t have_targets)
{
	return !msg->base_revision || msg->base_revision <= have_targets;
}

static bool apply_routes(struct ht_catalog *cat, const Ht__EntrySnapshot *snap)
{
	struct ht_route_table table = {
		.version = snap->routes_version,
		.revision = snap->routes_revision,
		.entries = calloc(snap->n_routes + 1, sizeof(*table.entries)),
	};
	bool changed;

	if (!table.entries)
		return false;
	for (size_t i = 0; i < snap->n_routes; i++) {
		const Ht__EntryRoute *m = snap->routes[i];
		struct ht_route_entry *e = &table.entries[table.count++];

		e->at = (struct ht_endpoint){.ip = m->ip, .port = (uint16_t)m->port};
		snprintf(e->service, sizeof(e->service), "%s", m->service);
		e->priority = m->priority;
	}
	changed = ht_catalog_set_routes(cat, &table) == HT_CATALOG_CHANGED;
	free(table.entries);
	return changed;
}

static bool apply_target(struct ht_catalog *cat, const Ht__EntryTarget *m, ht_ms now)
{
	struct ht_target_entry e = {
		.id = m->id,
		.at = {.ip = m->ip, .port = (uint16_t)m->port},
		.slots = m->slots,
		.draining = m->draining,
		.warmup = m->warmup_ms,
		.started = m->started_ms,
		.revision = m->revision,
	};

	if (!m->id || !m->slots || !m->name[0])
		return false;
	snprintf(e.name, sizeof(e.name), "%s", m->name);
	snprintf(e.service, sizeof(e.service), "%s", m->service);
	snprintf(e.dc, sizeof(e.dc), "%s", m->dc);
	return ht_catalog_put_target(cat, &e, HT_CATALOG_NEIGHBOUR, now) == HT_CATALOG_CHANGED;
}

size_t ht_snapshot_apply(struct ht_catalog *cat, const Ht__EntrySnapshot *msg, ht_ms now,
			 ht_ms held_until)
{
	size_t changed = 0;

	if (msg->has_routes && msg->routes_revision > ht_catalog_routes_revision(cat))
		changed += apply_routes(cat, msg);
	if (!msg->base_revision)
		ht_catalog_begin_listing(cat, HT_CATALOG_NEIGHBOUR);
	for (size_t i = 0; i < msg->n_targets; i++)
		changed += apply_target(cat, msg->targets[i], now);
	for (size_t i = 0; i < msg->n_gone; i++)
		changed += ht_catalog_remove_target(cat, msg->gone[i]->name, msg->gone[i]->revision,
						    now, held_until) == HT_CATALOG_CHANGED;
	if (!msg->base_revision)
		changed += ht_catalog_end_listing(cat, HT_CATALOG_NEIGHBOUR, msg->targets_revision,
						  now, held_until);
	return changed;
}
