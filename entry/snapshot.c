#include "entry/snapshot.h"

#include "wire/frame.h"

#include <stdio.h>
#include <stdlib.h>

struct writer {
	Ht__EntryRoute *routes, **route_list;
	Ht__EntryTarget *targets, **target_list;
	size_t route_count, target_count;
	ht_ms now;
};

static void add_route(void *ctx, const struct ht_route *r)
{
	struct writer *w = ctx;
	Ht__EntryRoute *m = &w->routes[w->route_count];

	ht__entry_route__init(m);
	m->ip = r->at.ip;
	m->port = r->at.port;
	m->service = r->service->name;
	m->idempotent = r->idempotent;
	m->priority = r->priority;
	m->latency_goal_ms = (uint32_t)r->latency_goal;
	m->timeout_ms = (uint32_t)r->timeout;
	w->route_list[w->route_count++] = m;
}

static void add_target(void *ctx, struct ht_target *t)
{
	struct writer *w = ctx;
	Ht__EntryTarget *m = &w->targets[w->target_count];

	if (t->gone_at != HT_NEVER)
		return;
	ht__entry_target__init(m);
	m->name = t->name;
	m->id = t->id;
	m->ip = t->at.ip;
	m->port = t->at.port;
	m->service = t->service->name;
	m->dc = t->dc->name;
	m->slots = t->slots;
	m->draining = t->draining;
	m->warmup_ms = t->warm_at > w->now ? (uint32_t)(t->warm_at - w->now) : 0;
	m->started_ms = t->started;
	m->revision = t->revision;
	w->target_list[w->target_count++] = m;
}

bool ht_snapshot_write(struct ht_buffer *buf, struct ht_catalog *cat, uint64_t targets_revision,
		       ht_ms now, struct ht_err *err)
{
	size_t routes = ht_catalog_route_count(cat) + 1, targets = ht_catalog_target_count(cat) + 1;
	struct writer w = {
		.routes = calloc(routes, sizeof(*w.routes)),
		.route_list = calloc(routes, sizeof(Ht__EntryRoute *)),
		.targets = calloc(targets, sizeof(*w.targets)),
		.target_list = calloc(targets, sizeof(Ht__EntryTarget *)),
		.now = now,
	};
	Ht__EntrySnapshot snap = HT__ENTRY_SNAPSHOT__INIT;
	bool ok = w.routes && w.route_list && w.targets && w.target_list;

	if (ok) {
		ht_catalog_each_route(cat, add_route, &w);
		ht_catalog_each_target(cat, add_target, &w);
		snap.routes_version = ht_catalog_version(cat);
		snap.routes_revision = ht_catalog_routes_revision(cat);
		snap.flow_idle_ms = (uint32_t)ht_catalog_flow_idle(cat);
		snap.n_routes = w.route_count;
		snap.routes = w.route_list;
		snap.targets_revision = targets_revision;
		snap.n_targets = w.target_count;
		snap.targets = w.target_list;
		ok = ht_frame_put(buf, &snap.base, err);
	} else {
		ht_err_set(err, HT_ENOMEM, "out of memory");
	}
	free(w.routes);
	free(w.route_list);
	free(w.targets);
	free(w.target_list);
	return ok;
}

static bool apply_routes(struct ht_catalog *cat, const Ht__EntrySnapshot *snap)
{
	struct ht_route_table table = {
		.version = snap->routes_version,
		.revision = snap->routes_revision,
		.flow_idle = snap->flow_idle_ms,
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
		e->idempotent = m->idempotent;
		e->priority = m->priority;
		e->latency_goal = m->latency_goal_ms;
		e->timeout = m->timeout_ms;
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

size_t ht_snapshot_apply(struct ht_catalog *cat, const Ht__EntrySnapshot *snap, ht_ms now,
			 ht_ms held_until)
{
	size_t changed = 0;

	if (snap->routes_revision > ht_catalog_routes_revision(cat))
		changed += apply_routes(cat, snap);
	ht_catalog_begin_listing(cat, HT_CATALOG_NEIGHBOUR);
	for (size_t i = 0; i < snap->n_targets; i++)
		changed += apply_target(cat, snap->targets[i], now);
	return changed + ht_catalog_end_listing(cat, HT_CATALOG_NEIGHBOUR, snap->targets_revision,
						now, held_until);
}
