/* Routes of the configuration in force, and those removed since earlier configurations. */
#include "base/hash.h"
#include "core/catalog_internal.h"

#include <stdlib.h>
#include <string.h>

/* Former services kept per route, for flows that are still open there. */
#define FORMER_MAX 8

/* A route that was removed by configuration @number. */
struct removed_route {
	struct ht_list node;
	struct ht_endpoint at;
	uint64_t number;
};

static void free_removed(struct removed_route *g)
{
	ht_list_del(&g->node);
	free(g);
}

static void free_route(struct ht_route *r)
{
	free(r->shares);
	free(r);
}

void ht_catalog_clear_routes(struct ht_catalog *cat)
{
	struct ht_list *gone, *tmp;

	for (size_t i = 0; cat->routes.buckets && i <= cat->routes.mask; i++) {
		struct ht_hnode *pos = cat->routes.buckets[i], *next;

		for (; pos; pos = next) {
			next = pos->next;
			free_route(ht_container_of(pos, struct ht_route, hnode));
		}
	}
	ht_hmap_clear(&cat->routes);
	ht_list_for_each_safe (gone, tmp, &cat->routes_removed)
		free_removed(ht_container_of(gone, struct removed_route, node));
}

static uint64_t endpoint_hash(struct ht_endpoint at)
{
	return ht_hash_pair(((uint64_t)at.ip << 16) | at.port, 0);
}

struct ht_route *ht_catalog_route(const struct ht_catalog *cat, struct ht_endpoint at)
{
	struct ht_hnode *pos;

	ht_hmap_for_each (pos, &cat->routes, endpoint_hash(at)) {
		struct ht_route *r = ht_container_of(pos, struct ht_route, hnode);

		if (ht_endpoint_equal(r->at, at))
			return r;
	}
	return NULL;
}

static struct ht_route *add_route(struct ht_catalog *cat, struct ht_endpoint at, uint64_t number)
{
	struct ht_route *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->at = at;
	r->changed_config = number;
	ht_hmap_add(&cat->routes, &r->hnode, endpoint_hash(at));
	return r;
}

static bool has_service(const struct ht_share *shares, size_t n, const struct ht_service *service)
{
	for (size_t i = 0; i < n; i++)
		if (shares[i].service == service)
			return true;
	return false;
}

/* Appends services of @old that the @count shares lack; flows to them may be open. */
static size_t append_former(struct ht_share *shares, size_t count, const struct ht_route *old)
{
	size_t n = count;

	for (size_t i = 0; i < old->service_count && n < count + FORMER_MAX; i++)
		if (!has_service(shares, n, old->shares[i].service))
			shares[n++] = (struct ht_share){.service = old->shares[i].service};
	return n;
}

/* Number of services of @e; a route without shares has a single one. */
static size_t entry_services(const struct ht_route_entry *e)
{
	return e->share_count ? e->share_count : 1;
}

/* Fills @shares with the services of @e. Returns false when out of memory. */
static bool resolve_shares(struct ht_catalog *cat, const struct ht_route_table *table,
			   const struct ht_route_entry *e, struct ht_share *shares)
{
	const struct ht_share_entry *from = table->shares + e->first_share;

	for (size_t i = 0; i < e->share_count; i++) {
		shares[i].service = ht_catalog_service(cat, from[i].service);
		shares[i].weight = from[i].weight;
		if (!shares[i].service)
			return false;
	}
	if (e->share_count)
		return true;
	shares[0] = (struct ht_share){.service = ht_catalog_service(cat, e->service), .weight = 1};
	return shares[0].service;
}

static bool same_shares(const struct ht_route *r, const struct ht_share *shares, size_t count)
{
	if (r->share_count != count)
		return false;
	for (size_t i = 0; i < count; i++)
		if (r->shares[i].service != shares[i].service ||
		    r->shares[i].weight != shares[i].weight)
			return false;
	return true;
}

static bool set_shares(struct ht_catalog *cat, const struct ht_route_table *table,
		       const struct ht_route_entry *e, struct ht_route *r, uint64_t number)
{
	size_t count = entry_services(e);
	struct ht_share *shares = calloc(count + FORMER_MAX, sizeof(*shares));

	if (!shares || !resolve_shares(cat, table, e, shares)) {
		free(shares);
		return false;
	}
	if (same_shares(r, shares, count)) {
		free(shares);
		return true;
	}
	r->changed_config = number;
	r->service_count = append_former(shares, count, r);
	r->share_count = count;
	free(r->shares);
	r->shares = shares;
	return true;
}

static bool set_route(struct ht_catalog *cat, const struct ht_route_table *table,
		      const struct ht_route_entry *e, uint64_t number)
{
	const struct ht_load_terms terms = {
		.priority = e->priority, .aim = e->aim_ms, .limit = e->limit_ms};
	struct ht_route *r = ht_catalog_route(cat, e->at);

	if (!r)
		r = add_route(cat, e->at, number);
	if (!r)
		return false;
	r->last_config = number;
	if (e->unreadable)
		return true;
	if (!ht_load_terms_equal(&r->terms, &terms) || r->idempotent != e->idempotent)
		r->changed_config = number;
	r->terms = terms;
	r->idempotent = e->idempotent;
	return set_shares(cat, table, e, r, number);
}

static bool remove_route(struct ht_catalog *cat, struct ht_route *r, uint64_t number)
{
	struct removed_route *g = malloc(sizeof(*g));

	if (!g)
		return false;
	g->at = r->at;
	g->number = number;
	ht_list_add_tail(&cat->routes_removed, &g->node);
	ht_hmap_del(&cat->routes, &r->hnode);
	free_route(r);
	return true;
}

static bool remove_routes_not_in(struct ht_catalog *cat, uint64_t number)
{
	bool ok = true;

	for (size_t i = 0; i <= cat->routes.mask; i++) {
		struct ht_hnode *pos = cat->routes.buckets[i], *next;

		for (; pos; pos = next) {
			struct ht_route *r = ht_container_of(pos, struct ht_route, hnode);

			next = pos->next;
			if (r->last_config < number)
				ok = remove_route(cat, r, number) && ok;
		}
	}
	return ok;
}

static bool apply_complete(struct ht_catalog *cat, const struct ht_route_table *table,
			   uint64_t number)
{
	bool ok = true;

	for (size_t i = 0; i < table->count; i++)
		ok = set_route(cat, table, &table->entries[i], number) && ok;
	return ok && (table->incomplete || remove_routes_not_in(cat, number));
}

static bool apply_difference(struct ht_catalog *cat, const struct ht_route_table *table,
			     uint64_t number)
{
	bool ok = true;

	/* A route that was removed and added again is in both lists. */
	for (size_t i = 0; i < table->gone_count; i++) {
		struct ht_route *r = ht_catalog_route(cat, table->gone[i]);

		if (r)
			ok = remove_route(cat, r, number) && ok;
	}
	for (size_t i = 0; i < table->count; i++)
		ok = set_route(cat, table, &table->entries[i], number) && ok;
	return ok;
}

/* Updates what the terms of @r say of the service @s. */
static void note_terms(struct ht_service *s, const struct ht_route *r)
{
	if (!s->route_count++)
		s->terms = r->terms;
	if (!ht_load_terms_equal(&s->terms, &r->terms))
		s->has_classes = true;
	if (r->terms.priority < s->top_priority)
		s->top_priority = r->terms.priority;
}

static void update_terms(struct ht_catalog *cat)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &cat->services) {
		struct ht_service *s = ht_container_of(pos, struct ht_service, node);

		s->top_priority = UINT32_MAX;
		s->has_classes = false;
		s->route_count = 0;
	}
	for (size_t i = 0; i <= cat->routes.mask; i++) {
		for (struct ht_hnode *h = cat->routes.buckets[i]; h; h = h->next) {
			const struct ht_route *r = ht_container_of(h, struct ht_route, hnode);

			for (size_t k = 0; k < r->share_count; k++)
				if (r->shares[k].weight)
					note_terms(r->shares[k].service, r);
		}
	}
}

static const struct ht_service_entry *find_service(const struct ht_route_table *table,
						   const char *name)
{
	for (size_t i = 0; i < table->service_count; i++)
		if (strcmp(table->services[i].name, name) == 0)
			return &table->services[i];
	return NULL;
}

static bool apply_services(struct ht_catalog *cat, const struct ht_route_table *table)
{
	struct ht_list *pos;

	if (table->services_unknown)
		return true;
	for (size_t i = 0; i < table->service_count; i++)
		if (!ht_catalog_service(cat, table->services[i].name))
			return false;
	ht_list_for_each (pos, &cat->services) {
		struct ht_service *s = ht_container_of(pos, struct ht_service, node);
		const struct ht_service_entry *e = find_service(table, s->name);

		s->flows_max = e ? e->flows_max : 0;
		if (e && e->unreadable)
			continue;
		s->warmup_rate = e ? e->warmup_rate : 0;
		s->warmup = e ? e->warmup : 0;
	}
	return true;
}

bool ht_catalog_limits_cold(const struct ht_catalog *cat)
{
	const struct ht_list *pos;

	ht_list_for_each (pos, &cat->services)
		if (ht_container_of(pos, const struct ht_service, node)->warmup_rate)
			return true;
	return false;
}

/* Records that @table has been applied. */
static void record_applied(struct ht_catalog *cat, const struct ht_route_table *table)
{
	struct ht_list *pos, *tmp;

	cat->in_force = table->id;
	cat->incomplete = table->incomplete;
	cat->verified = table->verified && (cat->verified || !table->base.number);
	cat->routes_ring[cat->routes_number++ % HT_CATALOG_ROUTES_RING] = table->id.revision;
	if (cat->routes_number - cat->routes_first >= HT_CATALOG_ROUTES_RING)
		cat->routes_first = cat->routes_number + 1 - HT_CATALOG_ROUTES_RING;
	ht_list_for_each_safe (pos, tmp, &cat->routes_removed) {
		struct removed_route *g = ht_container_of(pos, struct removed_route, node);

		if (g->number > cat->routes_first)
			break;
		free_removed(g);
	}
}

/* The configuration in force is the same, and @table does not verify it. */
static bool is_in_force(const struct ht_catalog *cat, const struct ht_route_table *table)
{
	bool verifies = table->verified && !table->base.number && !cat->verified;

	return ht_revision_equal(table->id.revision, cat->in_force.revision) && !verifies;
}

/* Within an era, the revision must not fall either. */
static bool is_older(const struct ht_catalog *cat, const struct ht_routes_id *id)
{
	return ht_routes_compare(*id, cat->in_force) < 0 ||
	       (id->revision.era == cat->in_force.revision.era &&
		ht_revision_before(id->revision, cat->in_force.revision));
}

enum ht_catalog_change ht_catalog_set_routes(struct ht_catalog *cat,
					     const struct ht_route_table *table)
{
	uint64_t number = cat->routes_number + 1;
	bool ok;

	if (is_in_force(cat, table))
		return HT_CATALOG_SAME;
	if (is_older(cat, &table->id))
		return HT_CATALOG_OLDER;
	if (table->base.number && !ht_revision_equal(table->base, cat->in_force.revision))
		return HT_CATALOG_BASE_MISMATCH;
	ok = table->base.number ? apply_difference(cat, table, number)
				: apply_complete(cat, table, number);
	ok = apply_services(cat, table) && ok;
	update_terms(cat);
	if (!ok) {
		/* It was applied in part: no differences can be computed. */
		cat->routes_first = ++cat->routes_number + 1;
		return HT_CATALOG_FAILED;
	}
	record_applied(cat, table);
	if (cat->observer.routes)
		cat->observer.routes(cat->observer.ctx, table);
	return HT_CATALOG_CHANGED;
}

uint64_t ht_catalog_routes_number(const struct ht_catalog *cat, struct ht_revision base)
{
	for (uint64_t n = cat->routes_number; base.number && n && n >= cat->routes_first; n--)
		if (ht_revision_equal(cat->routes_ring[(n - 1) % HT_CATALOG_ROUTES_RING], base))
			return n;
	return 0;
}

struct ht_routes_id ht_catalog_routes(const struct ht_catalog *cat)
{
	return cat->in_force;
}

void ht_catalog_each_route(const struct ht_catalog *cat,
			   void (*visit)(void *ctx, const struct ht_route *route), void *ctx)
{
	for (size_t i = 0; i <= cat->routes.mask; i++) {
		for (struct ht_hnode *pos = cat->routes.buckets[i]; pos; pos = pos->next)
			visit(ctx, ht_container_of(pos, struct ht_route, hnode));
	}
}

void ht_catalog_each_route_gone(const struct ht_catalog *cat, uint64_t number,
				void (*visit)(void *ctx, struct ht_endpoint at), void *ctx)
{
	const struct ht_list *pos;

	ht_list_for_each (pos, &cat->routes_removed) {
		const struct removed_route *g = ht_container_of(pos, struct removed_route, node);

		if (g->number > number)
			visit(ctx, g->at);
	}
}

bool ht_catalog_routes_incomplete(const struct ht_catalog *cat)
{
	return cat->incomplete;
}

size_t ht_catalog_route_count(const struct ht_catalog *cat)
{
	return cat->routes.count;
}
