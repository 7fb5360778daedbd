/* Encodes what the catalogue knows. */
#include "core/split.h"
#include "entry/snapshot_internal.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longest name that builds below reading level 2 can decode, without the NUL. */
#define SHORT_NAME_MAX 63

/* A message and the storage of its parts. */
struct part {
	Ht__EntrySnapshot msg;
	Ht__EntryRoute *routes, **route_list;
	Ht__EntryShare *shares, **share_list;
	size_t share_count;
	Ht__EntryAddress *unreadable, **unreadable_list;
	uint32_t *evacuated;
	Ht__EntryService *services, **service_list;
	Ht__EntryAddress *routes_gone, **routes_gone_list;
	Ht__EntryTarget *targets, **target_list;
	Ht__EntryGone *gone, **gone_list;
	Ht__EntryName *target_names, *gone_names;
	char **texts; /* string table, owned */
	size_t text_capacity;
};

/* Maximum numbers of objects in a part. */
struct part_size {
	size_t routes, shares, routes_gone, targets, services, evacuated;
};

struct ht_snapshot {
	struct part plain;
	struct part *long_names; /* sent encoded in the plain message, or NULL */
	uint8_t *encoded;
	struct part_size size;
	struct ht_view_id view;	 /* view that the message describes */
	struct ht_revision base; /* base of the targets; 0: all targets are included */
	uint64_t routes_base;	 /* number of the base configuration; 0: all routes are included */
	ht_ms now;
	bool failed; /* out of memory */
};

static bool is_long(const char *name)
{
	return strlen(name) > SHORT_NAME_MAX;
}

static void part_clear(struct part *p)
{
	for (size_t i = 0; i < p->msg.n_texts; i++)
		free(p->texts[i]);
	free(p->texts);
	free(p->routes);
	free(p->route_list);
	free(p->shares);
	free(p->share_list);
	free(p->unreadable);
	free(p->unreadable_list);
	free(p->evacuated);
	free(p->services);
	free(p->service_list);
	free(p->routes_gone);
	free(p->routes_gone_list);
	free(p->targets);
	free(p->target_list);
	free(p->target_names);
	free(p->gone);
	free(p->gone_list);
	free(p->gone_names);
}

/* Links the arrays of the part to its message. */
static void part_link(struct part *p)
{
	p->msg.routes = p->route_list;
	p->msg.routes_unreadable = p->unreadable_list;
	p->msg.routes_gone = p->routes_gone_list;
	p->msg.services = p->service_list;
	p->msg.evacuated = p->evacuated;
	p->msg.targets = p->target_list;
	p->msg.gone = p->gone_list;
}

static bool part_init(struct part *p, const struct part_size *n)
{
	ht__entry_snapshot__init(&p->msg);
	p->msg.format = HT_SNAPSHOT_FORMAT;
	p->routes = calloc(n->routes + 1, sizeof(*p->routes));
	p->route_list = calloc(n->routes + 1, sizeof(Ht__EntryRoute *));
	p->shares = calloc(n->shares + 1, sizeof(*p->shares));
	p->share_list = calloc(n->shares + 1, sizeof(Ht__EntryShare *));
	p->unreadable = calloc(n->routes + 1, sizeof(*p->unreadable));
	p->unreadable_list = calloc(n->routes + 1, sizeof(Ht__EntryAddress *));
	p->routes_gone = calloc(n->routes_gone + 1, sizeof(*p->routes_gone));
	p->routes_gone_list = calloc(n->routes_gone + 1, sizeof(Ht__EntryAddress *));
	p->services = calloc(n->services + 1, sizeof(*p->services));
	p->service_list = calloc(n->services + 1, sizeof(Ht__EntryService *));
	p->evacuated = calloc(n->evacuated + 1, sizeof(*p->evacuated));
	p->targets = calloc(n->targets + 1, sizeof(*p->targets));
	p->target_list = calloc(n->targets + 1, sizeof(Ht__EntryTarget *));
	p->target_names = calloc(n->targets + 1, sizeof(*p->target_names));
	p->gone = calloc(n->targets + 1, sizeof(*p->gone));
	p->gone_list = calloc(n->targets + 1, sizeof(Ht__EntryGone *));
	p->gone_names = calloc(n->targets + 1, sizeof(*p->gone_names));
	part_link(p);
	return p->routes && p->route_list && p->shares && p->share_list && p->unreadable &&
	       p->unreadable_list && p->routes_gone && p->routes_gone_list && p->services &&
	       p->service_list && p->evacuated && p->targets && p->target_list && p->target_names &&
	       p->gone && p->gone_list && p->gone_names;
}

/* The part for an object: builds below reading level 2 refuse a message with a long name, so it is
 * put into a field that they skip. */
static struct part *part_for(struct ht_snapshot *snap, bool with_long_name)
{
	struct part *p;

	if (!with_long_name)
		return &snap->plain;
	if (snap->long_names)
		return snap->long_names;
	p = calloc(1, sizeof(*p));
	if (p && part_init(p, &snap->size)) {
		snap->long_names = p;
		return p;
	}
	if (p)
		part_clear(p);
	free(p);
	snap->failed = true;
	return &snap->plain;
}

/* Returns the index of the first @len bytes of @text in the string table, and adds them if
 * needed. A linear search is enough: the table holds the names of services and data centres and
 * the prefixes of target names. */
static uint32_t intern(struct ht_snapshot *snap, struct part *p, const char *text, size_t len)
{
	size_t n = p->msg.n_texts;

	for (size_t i = 0; i < n; i++)
		if (strncmp(p->texts[i], text, len) == 0 && !p->texts[i][len])
			return (uint32_t)i;
	if (n == p->text_capacity) {
		size_t capacity = n ? 2 * n : 8;
		char **texts = realloc(p->texts, capacity * sizeof(*texts));

		if (!texts) {
			snap->failed = true;
			return 0;
		}
		p->texts = texts;
		p->msg.texts = texts;
		p->text_capacity = capacity;
	}
	p->texts[n] = strndup(text, len);
	if (!p->texts[n]) {
		snap->failed = true;
		return 0;
	}
	p->msg.n_texts = n + 1;
	return (uint32_t)n;
}

static uint32_t intern_text(struct ht_snapshot *snap, struct part *p, const char *text)
{
	return intern(snap, p, text, strlen(text));
}

/* A name that ends in the hexadecimal digits of the target's id, at most HT_SNAPSHOT_DIGITS_MAX of
 * them, is sent as its prefix and the number of digits; any other name is sent whole. */
static void encode_name(struct ht_snapshot *snap, struct part *p, Ht__EntryName *m,
			const struct ht_target *t)
{
	size_t len = strlen(t->name), digits = 0;
	char text[HT_SNAPSHOT_DIGITS_MAX + 1];

	ht__entry_name__init(m);
	m->id = t->id;
	while (digits < len && digits < HT_SNAPSHOT_DIGITS_MAX &&
	       isxdigit((unsigned char)t->name[len - digits - 1]))
		digits++;
	snprintf(text, sizeof(text), "%0*llx", (int)digits, (unsigned long long)t->id);
	if (!digits || strcmp(text, t->name + len - digits) != 0) {
		m->whole = t->name;
		return;
	}
	m->prefix = intern(snap, p, t->name, len - digits);
	m->digits = (uint32_t)digits;
}

static void encode_address(Ht__EntryAddress *m, struct ht_endpoint at)
{
	ht__entry_address__init(m);
	m->ip = at.ip;
	m->port = at.port;
}

static void add_unreadable(struct ht_snapshot *snap, struct ht_endpoint at)
{
	struct part *p = &snap->plain;
	Ht__EntryAddress *m = &p->unreadable[p->msg.n_routes_unreadable];

	encode_address(m, at);
	p->unreadable_list[p->msg.n_routes_unreadable++] = m;
}

static void encode_shares(struct ht_snapshot *snap, struct part *p, Ht__EntryRoute *m,
			  const struct ht_route *r)
{
	m->shares = &p->share_list[p->share_count];
	for (size_t i = 0; i < r->share_count; i++) {
		Ht__EntryShare *share = &p->shares[p->share_count];

		ht__entry_share__init(share);
		share->service = intern_text(snap, p, r->shares[i].service->name);
		share->weight = r->shares[i].weight;
		p->share_list[p->share_count++] = share;
	}
	m->n_shares = r->share_count;
}

static bool route_has_long_name(const struct ht_route *r)
{
	for (size_t i = 0; i < r->share_count; i++)
		if (is_long(r->shares[i].service->name))
			return true;
	return false;
}

/* To builds below reading level 2, a route with a long name is one that cannot be read. */
static void add_route(void *ctx, const struct ht_route *r)
{
	const struct ht_service *main_service = ht_split_main(r);
	bool with_long_name = route_has_long_name(r);
	struct ht_snapshot *snap = ctx;
	struct part *p;
	Ht__EntryRoute *m;

	if (snap->routes_base && r->changed_config <= snap->routes_base)
		return;
	if (!r->share_count || with_long_name)
		add_unreadable(snap, r->at);
	if (!r->share_count)
		return;
	p = part_for(snap, with_long_name);
	m = &p->routes[p->msg.n_routes];
	ht__entry_route__init(m);
	m->ip = r->at.ip;
	m->port = r->at.port;
	m->service = intern_text(snap, p,
				 main_service ? main_service->name : r->shares[0].service->name);
	if (r->share_count > 1 || !main_service)
		encode_shares(snap, p, m, r);
	m->priority = r->terms.priority;
	m->aim_ms = (uint32_t)r->terms.aim;
	m->limit_ms = (uint32_t)r->terms.limit;
	m->idempotent = r->idempotent;
	p->route_list[p->msg.n_routes++] = m;
}

static void count_route_gone(void *ctx, struct ht_endpoint at)
{
	(void)at;
	++*(size_t *)ctx;
}

static void add_route_gone(void *ctx, struct ht_endpoint at)
{
	struct part *p = &((struct ht_snapshot *)ctx)->plain;
	Ht__EntryAddress *m = &p->routes_gone[p->msg.n_routes_gone];

	encode_address(m, at);
	p->routes_gone_list[p->msg.n_routes_gone++] = m;
}

/* Revision number to send for a target. The target may have been read in an era that the view as
 * a whole has not reached yet. */
static uint64_t encoded_revision(const struct ht_snapshot *snap, const struct ht_target *t)
{
	if (t->revision.era == snap->view.targets.era)
		return t->revision.number;
	return t->revision.era > snap->view.targets.era ? snap->view.targets.number : 0;
}

static void add_gone(struct ht_snapshot *snap, const struct ht_target *t)
{
	struct part *p = part_for(snap, is_long(t->name));
	Ht__EntryGone *m = &p->gone[p->msg.n_gone];

	ht__entry_gone__init(m);
	m->name = &p->gone_names[p->msg.n_gone];
	encode_name(snap, p, m->name, t);
	m->revision_before = encoded_revision(snap, t);
	p->gone_list[p->msg.n_gone++] = m;
}

static bool target_has_long_name(const struct ht_target *t)
{
	return is_long(t->name) || is_long(t->service->name) || is_long(t->dc->name);
}

/* To builds below reading level 2, a target with a long name is gone. */
static void add_target(void *ctx, struct ht_target *t)
{
	bool with_long_name = target_has_long_name(t);
	struct ht_snapshot *snap = ctx;
	struct part *p;
	Ht__EntryTarget *m;

	if (snap->base.number && !ht_revision_before(snap->base, t->revision))
		return;
	if (t->gone_at != HT_NEVER && !t->restored) {
		if (snap->base.number)
			add_gone(snap, t);
		return;
	}
	if (snap->base.number && with_long_name && !is_long(t->name))
		add_gone(snap, t);
	p = part_for(snap, with_long_name);
	m = &p->targets[p->msg.n_targets];
	ht__entry_target__init(m);
	m->name = &p->target_names[p->msg.n_targets];
	encode_name(snap, p, m->name, t);
	m->ip = t->at.ip;
	m->port = t->at.port;
	m->service = intern_text(snap, p, t->service->name);
	m->dc = intern_text(snap, p, t->dc->name);
	m->slots = t->slots;
	m->draining = t->draining;
	m->warmup_ms =
		t->warmup_ends_at > snap->now ? (uint32_t)(t->warmup_ends_at - snap->now) : 0;
	m->started_after = (uint64_t)t->started;
	m->restored = t->restored;
	m->revision_before = encoded_revision(snap, t);
	p->target_list[p->msg.n_targets++] = m;
}

/* Replaces start times and revisions by short differences to the base values of the message. */
static void encode_deltas(Ht__EntrySnapshot *msg)
{
	for (size_t i = 0; i < msg->n_targets; i++) {
		const Ht__EntryTarget *m = msg->targets[i];

		if (!i || (int64_t)m->started_after < msg->started_ms)
			msg->started_ms = (int64_t)m->started_after;
		if (m->revision_before > msg->newest_revision)
			msg->newest_revision = m->revision_before;
	}
	for (size_t i = 0; i < msg->n_gone; i++)
		if (msg->gone[i]->revision_before > msg->newest_revision)
			msg->newest_revision = msg->gone[i]->revision_before;
	for (size_t i = 0; i < msg->n_targets; i++) {
		Ht__EntryTarget *m = msg->targets[i];

		m->started_after -= (uint64_t)msg->started_ms;
		m->revision_before = msg->newest_revision - m->revision_before;
	}
	for (size_t i = 0; i < msg->n_gone; i++)
		msg->gone[i]->revision_before =
			msg->newest_revision - msg->gone[i]->revision_before;
}

static void count_shares(void *ctx, const struct ht_route *r)
{
	*(size_t *)ctx += r->share_count;
}

static bool has_limit(const struct ht_service *service)
{
	return service->warmup_rate || service->flows_max;
}

static void count_limited(void *ctx, const struct ht_service *service)
{
	*(size_t *)ctx += has_limit(service);
}

static void add_limited(void *ctx, const struct ht_service *service)
{
	struct ht_snapshot *snap = ctx;
	struct part *p;
	Ht__EntryService *m;

	if (!has_limit(service))
		return;
	p = part_for(snap, is_long(service->name));
	m = &p->services[p->msg.n_services];
	ht__entry_service__init(m);
	m->name = intern_text(snap, p, service->name);
	m->warmup_rate = service->warmup_rate;
	m->warmup_ms = (uint32_t)service->warmup;
	m->flows_max = service->flows_max;
	p->service_list[p->msg.n_services++] = m;
}

static void fill_routes(struct ht_snapshot *snap, const struct ht_catalog *cat)
{
	ht_catalog_each_service(cat, add_limited, snap);
	ht_catalog_each_route(cat, add_route, snap);
	if (snap->routes_base)
		ht_catalog_each_route_gone(cat, snap->routes_base, add_route_gone, snap);
	snap->plain.msg.has_routes = true;
	snap->plain.msg.routes_incomplete = ht_catalog_routes_incomplete(cat);
}

static void count_dc(void *ctx, const struct ht_dc *dc)
{
	(void)dc;
	++*(size_t *)ctx;
}

/* An evacuation of an earlier era ends by itself if it is not confirmed: receivers that do not know
 * it need not learn of it. */
static void add_evacuated(void *ctx, const struct ht_dc *dc)
{
	struct ht_snapshot *snap = ctx;
	struct part *p;

	if (dc->evacuation_revision.era != snap->plain.msg.evacuations_era)
		return;
	p = part_for(snap, is_long(dc->name));
	p->evacuated[p->msg.n_evacuated++] = intern_text(snap, p, dc->name);
}

static void fill_evacuations(struct ht_snapshot *snap, const struct ht_catalog *cat)
{
	struct ht_revision revision = ht_catalog_evacuations(cat);

	snap->plain.msg.evacuations_era = revision.era;
	snap->plain.msg.evacuations_revision = revision.number;
	ht_catalog_each_evacuated(cat, add_evacuated, snap);
}

static void count_objects(struct ht_snapshot *snap, struct ht_catalog *cat, bool with_routes)
{
	struct part_size *n = &snap->size;

	n->targets = ht_catalog_target_count(cat);
	ht_catalog_each_evacuated(cat, count_dc, &n->evacuated);
	if (snap->routes_base)
		ht_catalog_each_route_gone(cat, snap->routes_base, count_route_gone,
					   &n->routes_gone);
	if (!with_routes)
		return;
	n->routes = ht_catalog_route_count(cat);
	ht_catalog_each_route(cat, count_shares, &n->shares);
	ht_catalog_each_service(cat, count_limited, &n->services);
}

static bool encode_long_names(struct ht_snapshot *snap)
{
	ProtobufCBinaryData *field = &snap->plain.msg.long_names;

	if (!snap->long_names)
		return true;
	encode_deltas(&snap->long_names->msg);
	field->len = ht__entry_snapshot__get_packed_size(&snap->long_names->msg);
	snap->encoded = malloc(field->len);
	if (!snap->encoded)
		return false;
	field->data = snap->encoded;
	ht__entry_snapshot__pack(&snap->long_names->msg, field->data);
	return true;
}

static bool fill(struct ht_snapshot *snap, struct ht_catalog *cat, bool with_routes)
{
	Ht__EntrySnapshot *msg = &snap->plain.msg;

	count_objects(snap, cat, with_routes);
	if (!part_init(&snap->plain, &snap->size))
		return false;
	msg->content = HT_CONTENT_WARMUP;
	if (with_routes)
		fill_routes(snap, cat);
	fill_evacuations(snap, cat);
	ht_catalog_each_target(cat, add_target, snap);
	msg->routes_version = snap->view.routes.version;
	msg->routes_era = snap->view.routes.revision.era;
	msg->routes_revision = snap->view.routes.revision.number;
	msg->era = snap->view.targets.era;
	msg->era_begun = msg->era == ht_catalog_era(cat) ? ht_catalog_era_start(cat) : 0;
	msg->targets_revision = snap->view.targets.number;
	msg->base_era = snap->base.era;
	msg->base_revision = snap->base.number;
	encode_deltas(msg);
	return !snap->failed && encode_long_names(snap);
}

struct ht_snapshot *ht_snapshot_new(struct ht_catalog *cat, const struct ht_view_id *have,
				    struct ht_revision targets, ht_ms now)
{
	struct ht_routes_id routes = ht_catalog_routes(cat);
	bool with_routes = ht_routes_compare(routes, have->routes) > 0, ok;
	struct ht_snapshot *snap = calloc(1, sizeof(*snap));

	if (!snap)
		return NULL;
	snap->now = now;
	snap->view = (struct ht_view_id){.routes = routes, .targets = targets};
	if (!ht_revision_before(have->targets, ht_catalog_history_start(cat)))
		snap->base = have->targets;
	if (with_routes)
		snap->routes_base = ht_catalog_routes_number(cat, have->routes.revision);
	ok = fill(snap, cat, with_routes);
	if (snap->routes_base) {
		snap->plain.msg.routes_base_era = have->routes.revision.era;
		snap->plain.msg.routes_base = have->routes.revision.number;
	}
	if (ok)
		return snap;
	ht_snapshot_free(snap);
	return NULL;
}

void ht_snapshot_free(struct ht_snapshot *snap)
{
	if (!snap)
		return;
	part_clear(&snap->plain);
	if (snap->long_names)
		part_clear(snap->long_names);
	free(snap->long_names);
	free(snap->encoded);
	free(snap);
}

Ht__EntrySnapshot *ht_snapshot_message(struct ht_snapshot *snap)
{
	return &snap->plain.msg;
}

void ht_snapshot_request(Ht__EntrySnapshotRequest *request, const struct ht_view_id *have)
{
	ht__entry_snapshot_request__init(request);
	request->routes_version = have->routes.version;
	request->routes_era = have->routes.revision.era;
	request->routes_revision = have->routes.revision.number;
	request->targets_era = have->targets.era;
	request->targets_revision = have->targets.number;
	request->format = HT_SNAPSHOT_FORMAT;
}

struct ht_view_id ht_snapshot_requested(const Ht__EntrySnapshotRequest *request)
{
	return (struct ht_view_id){
		.routes = {request->routes_version,
			   {request->routes_era, request->routes_revision}},
		.targets = {request->targets_era, request->targets_revision},
	};
}

struct ht_view_id ht_snapshot_view(const Ht__EntrySnapshot *msg)
{
	return (struct ht_view_id){
		.routes = {msg->routes_version, {msg->routes_era, msg->routes_revision}},
		.targets = {msg->era, msg->targets_revision},
		.evacuations = {msg->evacuations_era, msg->evacuations_revision},
	};
}

struct ht_view_id ht_snapshot_base(const Ht__EntrySnapshot *msg)
{
	return (struct ht_view_id){
		.routes.revision = {msg->routes_base_era, msg->routes_base},
		.targets = {msg->base_era, msg->base_revision},
	};
}

bool ht_snapshot_readable(const Ht__EntrySnapshotRequest *request)
{
	return request->format == HT_SNAPSHOT_FORMAT;
}
