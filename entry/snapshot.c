#include "entry/snapshot.h"

#include "core/reading.h"
#include "core/split.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Version of the snapshot format, sent in requests and answers; any other is refused. */
#define FORMAT 3

/* Content of messages, see wire/entry.proto. Routes of a build before CONTENT_SHARES may lack
 * services, and it does not know evacuations. */
enum {
	CONTENT_SHARES = 1,
	CONTENT_WARMUP = 2,
};

/* Maximum length of a 64-bit number in hexadecimal. */
#define HEX_DIGITS 16

struct ht_snapshot {
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
	struct ht_view_id view;	 /* view that the message describes */
	struct ht_revision base; /* base of the targets; 0: all targets are included */
	uint64_t routes_base;	 /* number of the base configuration; 0: all routes are included */
	ht_ms now;
	bool failed; /* out of memory */
};

/* Returns the index of the first @len bytes of @text in the string table, and adds them if
 * needed. A linear search is enough: the table holds the names of services and data centres and
 * the prefixes of target names. */
static uint32_t intern(struct ht_snapshot *snap, const char *text, size_t len)
{
	size_t n = snap->msg.n_texts;

	for (size_t i = 0; i < n; i++)
		if (strncmp(snap->texts[i], text, len) == 0 && !snap->texts[i][len])
			return (uint32_t)i;
	if (n == snap->text_capacity) {
		size_t capacity = n ? 2 * n : 8;
		char **texts = realloc(snap->texts, capacity * sizeof(*texts));

		if (!texts) {
			snap->failed = true;
			return 0;
		}
		snap->texts = texts;
		snap->text_capacity = capacity;
	}
	snap->texts[n] = strndup(text, len);
	if (!snap->texts[n]) {
		snap->failed = true;
		return 0;
	}
	snap->msg.n_texts = n + 1;
	return (uint32_t)n;
}

static uint32_t intern_text(struct ht_snapshot *snap, const char *text)
{
	return intern(snap, text, strlen(text));
}

/* A name that ends in the hexadecimal digits of the target's id, at most HEX_DIGITS of them, is
 * sent as its prefix and the number of digits; any other name is sent whole. */
static void encode_name(struct ht_snapshot *snap, Ht__EntryName *m, const struct ht_target *t)
{
	size_t len = strlen(t->name), digits = 0;
	char text[HT_CATALOG_NAME + HEX_DIGITS];

	ht__entry_name__init(m);
	m->id = t->id;
	while (digits < len && digits < HEX_DIGITS &&
	       isxdigit((unsigned char)t->name[len - digits - 1]))
		digits++;
	snprintf(text, sizeof(text), "%.*s%0*llx", (int)(len - digits), t->name, (int)digits,
		 (unsigned long long)t->id);
	if (!digits || strcmp(text, t->name) != 0) {
		m->whole = (char *)t->name;
		return;
	}
	m->prefix = intern(snap, t->name, len - digits);
	m->digits = (uint32_t)digits;
}

static bool decode_name(const Ht__EntrySnapshot *msg, const Ht__EntryName *m,
			char name[HT_CATALOG_NAME])
{
	int len;

	if (!m)
		return false;
	if (m->whole[0])
		len = snprintf(name, HT_CATALOG_NAME, "%s", m->whole);
	else if (m->prefix < msg->n_texts && m->digits <= HEX_DIGITS)
		len = snprintf(name, HT_CATALOG_NAME, "%s%0*llx", msg->texts[m->prefix],
			       (int)m->digits, (unsigned long long)m->id);
	else
		return false;
	return len > 0 && len < HT_CATALOG_NAME;
}

static void encode_address(Ht__EntryAddress *m, struct ht_endpoint at)
{
	ht__entry_address__init(m);
	m->ip = at.ip;
	m->port = at.port;
}

static void encode_shares(struct ht_snapshot *snap, Ht__EntryRoute *m, const struct ht_route *r)
{
	m->shares = &snap->share_list[snap->share_count];
	for (size_t i = 0; i < r->share_count; i++) {
		Ht__EntryShare *share = &snap->shares[snap->share_count];

		ht__entry_share__init(share);
		share->service = intern_text(snap, r->shares[i].service->name);
		share->weight = r->shares[i].weight;
		snap->share_list[snap->share_count++] = share;
	}
	m->n_shares = r->share_count;
}

static void add_route(void *ctx, const struct ht_route *r)
{
	const struct ht_service *main_service = ht_split_main(r);
	struct ht_snapshot *snap = ctx;
	Ht__EntryRoute *m = &snap->routes[snap->msg.n_routes];

	if (snap->routes_base && r->changed_config <= snap->routes_base)
		return;
	if (!r->share_count) {
		encode_address(&snap->unreadable[snap->msg.n_routes_unreadable], r->at);
		snap->unreadable_list[snap->msg.n_routes_unreadable] =
			&snap->unreadable[snap->msg.n_routes_unreadable];
		snap->msg.n_routes_unreadable++;
		return;
	}
	ht__entry_route__init(m);
	m->ip = r->at.ip;
	m->port = r->at.port;
	m->service =
		intern_text(snap, main_service ? main_service->name : r->shares[0].service->name);
	if (r->share_count > 1 || !main_service)
		encode_shares(snap, m, r);
	m->priority = r->priority;
	m->idempotent = r->idempotent;
	snap->route_list[snap->msg.n_routes++] = m;
}

static void count_route_gone(void *ctx, struct ht_endpoint at)
{
	(void)at;
	++*(size_t *)ctx;
}

static void add_route_gone(void *ctx, struct ht_endpoint at)
{
	struct ht_snapshot *snap = ctx;
	Ht__EntryAddress *m = &snap->routes_gone[snap->msg.n_routes_gone];

	encode_address(m, at);
	snap->routes_gone_list[snap->msg.n_routes_gone++] = m;
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
	Ht__EntryGone *m = &snap->gone[snap->msg.n_gone];

	ht__entry_gone__init(m);
	m->name = &snap->gone_names[snap->msg.n_gone];
	encode_name(snap, m->name, t);
	m->revision_before = encoded_revision(snap, t);
	snap->gone_list[snap->msg.n_gone++] = m;
}

static void add_target(void *ctx, struct ht_target *t)
{
	struct ht_snapshot *snap = ctx;
	Ht__EntryTarget *m = &snap->targets[snap->msg.n_targets];

	if (snap->base.number && !ht_revision_before(snap->base, t->revision))
		return;
	if (t->gone_at != HT_NEVER && !t->restored) {
		if (snap->base.number)
			add_gone(snap, t);
		return;
	}
	ht__entry_target__init(m);
	m->name = &snap->target_names[snap->msg.n_targets];
	encode_name(snap, m->name, t);
	m->ip = t->at.ip;
	m->port = t->at.port;
	m->service = intern_text(snap, t->service->name);
	m->dc = intern_text(snap, t->dc->name);
	m->slots = t->slots;
	m->draining = t->draining;
	m->warmup_ms =
		t->warmup_ends_at > snap->now ? (uint32_t)(t->warmup_ends_at - snap->now) : 0;
	m->started_after = (uint64_t)t->started;
	m->restored = t->restored;
	m->revision_before = encoded_revision(snap, t);
	snap->target_list[snap->msg.n_targets++] = m;
}

/* Replaces start times and revisions by short differences to the base values of the message. */
static void encode_deltas(struct ht_snapshot *snap)
{
	Ht__EntrySnapshot *msg = &snap->msg;

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

static bool allocate_routes(struct ht_snapshot *snap, const struct ht_catalog *cat)
{
	size_t routes = ht_catalog_route_count(cat), shares = 0;

	ht_catalog_each_route(cat, count_shares, &shares);
	snap->routes = calloc(routes + 1, sizeof(*snap->routes));
	snap->route_list = calloc(routes + 1, sizeof(Ht__EntryRoute *));
	snap->shares = calloc(shares + 1, sizeof(*snap->shares));
	snap->share_list = calloc(shares + 1, sizeof(Ht__EntryShare *));
	snap->unreadable = calloc(routes + 1, sizeof(*snap->unreadable));
	snap->unreadable_list = calloc(routes + 1, sizeof(Ht__EntryAddress *));
	return snap->routes && snap->route_list && snap->shares && snap->share_list &&
	       snap->unreadable && snap->unreadable_list;
}

static bool allocate(struct ht_snapshot *snap, size_t routes_gone, size_t targets)
{
	snap->routes_gone = calloc(routes_gone + 1, sizeof(*snap->routes_gone));
	snap->routes_gone_list = calloc(routes_gone + 1, sizeof(Ht__EntryAddress *));
	snap->targets = calloc(targets + 1, sizeof(*snap->targets));
	snap->target_list = calloc(targets + 1, sizeof(Ht__EntryTarget *));
	snap->target_names = calloc(targets + 1, sizeof(*snap->target_names));
	snap->gone = calloc(targets + 1, sizeof(*snap->gone));
	snap->gone_list = calloc(targets + 1, sizeof(Ht__EntryGone *));
	snap->gone_names = calloc(targets + 1, sizeof(*snap->gone_names));
	return snap->routes_gone && snap->routes_gone_list && snap->targets && snap->target_list &&
	       snap->target_names && snap->gone && snap->gone_list && snap->gone_names;
}

static void count_limited(void *ctx, const struct ht_service *service)
{
	*(size_t *)ctx += service->warmup_rate != 0;
}

static void add_limited(void *ctx, const struct ht_service *service)
{
	struct ht_snapshot *snap = ctx;
	Ht__EntryService *m = &snap->services[snap->msg.n_services];

	if (!service->warmup_rate)
		return;
	ht__entry_service__init(m);
	m->name = intern_text(snap, service->name);
	m->warmup_rate = service->warmup_rate;
	m->warmup_ms = (uint32_t)service->warmup;
	snap->service_list[snap->msg.n_services++] = m;
}

static bool fill_services(struct ht_snapshot *snap, const struct ht_catalog *cat)
{
	size_t count = 0;

	ht_catalog_each_service(cat, count_limited, &count);
	if (!count)
		return true;
	snap->services = calloc(count, sizeof(*snap->services));
	snap->service_list = calloc(count, sizeof(Ht__EntryService *));
	if (!snap->services || !snap->service_list)
		return false;
	ht_catalog_each_service(cat, add_limited, snap);
	snap->msg.services = snap->service_list;
	return !snap->failed;
}

static bool fill_routes(struct ht_snapshot *snap, struct ht_catalog *cat)
{
	if (!fill_services(snap, cat))
		return false;
	ht_catalog_each_route(cat, add_route, snap);
	if (snap->routes_base)
		ht_catalog_each_route_gone(cat, snap->routes_base, add_route_gone, snap);
	snap->msg.has_routes = true;
	snap->msg.routes_incomplete = ht_catalog_routes_incomplete(cat);
	snap->msg.routes_unreadable = snap->unreadable_list;
	snap->msg.routes = snap->route_list;
	snap->msg.routes_gone = snap->routes_gone_list;
	return !snap->failed;
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

	if (dc->evacuation_revision.era == snap->msg.evacuations_era)
		snap->evacuated[snap->msg.n_evacuated++] = intern_text(snap, dc->name);
}

static bool fill_evacuations(struct ht_snapshot *snap, const struct ht_catalog *cat)
{
	struct ht_revision revision = ht_catalog_evacuations(cat);
	size_t count = 0;

	ht_catalog_each_evacuated(cat, count_dc, &count);
	snap->evacuated = calloc(count + 1, sizeof(*snap->evacuated));
	if (!snap->evacuated)
		return false;
	snap->msg.evacuations_era = revision.era;
	snap->msg.evacuations_revision = revision.number;
	ht_catalog_each_evacuated(cat, add_evacuated, snap);
	snap->msg.evacuated = snap->evacuated;
	return !snap->failed;
}

static bool fill(struct ht_snapshot *snap, struct ht_catalog *cat, bool with_routes)
{
	Ht__EntrySnapshot *msg = &snap->msg;
	size_t routes_gone = 0;

	if (snap->routes_base)
		ht_catalog_each_route_gone(cat, snap->routes_base, count_route_gone, &routes_gone);
	if (!allocate(snap, routes_gone, ht_catalog_target_count(cat)))
		return false;
	if (with_routes && (!allocate_routes(snap, cat) || !fill_routes(snap, cat)))
		return false;
	if (!fill_evacuations(snap, cat))
		return false;
	ht_catalog_each_target(cat, add_target, snap);
	msg->routes_version = snap->view.routes.version;
	msg->routes_era = snap->view.routes.revision.era;
	msg->routes_revision = snap->view.routes.revision.number;
	msg->era = snap->view.targets.era;
	msg->era_begun = msg->era == ht_catalog_era(cat) ? ht_catalog_era_start(cat) : 0;
	msg->targets_revision = snap->view.targets.number;
	msg->base_era = snap->base.era;
	msg->base_revision = snap->base.number;
	msg->targets = snap->target_list;
	msg->gone = snap->gone_list;
	msg->texts = snap->texts;
	encode_deltas(snap);
	return !snap->failed;
}

struct ht_snapshot *ht_snapshot_new(struct ht_catalog *cat, const struct ht_view_id *have,
				    struct ht_revision targets, ht_ms now)
{
	struct ht_routes_id routes = ht_catalog_routes(cat);
	bool with_routes = ht_routes_compare(routes, have->routes) > 0;
	struct ht_snapshot *snap = calloc(1, sizeof(*snap));

	if (!snap)
		return NULL;
	ht__entry_snapshot__init(&snap->msg);
	snap->now = now;
	snap->view = (struct ht_view_id){.routes = routes, .targets = targets};
	if (!ht_revision_before(have->targets, ht_catalog_history_start(cat)))
		snap->base = have->targets;
	if (with_routes)
		snap->routes_base = ht_catalog_routes_number(cat, have->routes.revision);
	if (snap->routes_base) {
		snap->msg.routes_base_era = have->routes.revision.era;
		snap->msg.routes_base = have->routes.revision.number;
	}
	snap->msg.format = FORMAT;
	snap->msg.content = CONTENT_WARMUP;
	if (fill(snap, cat, with_routes))
		return snap;
	ht_snapshot_free(snap);
	return NULL;
}

void ht_snapshot_free(struct ht_snapshot *snap)
{
	if (!snap)
		return;
	for (size_t i = 0; i < snap->msg.n_texts; i++)
		free(snap->texts[i]);
	free(snap->texts);
	free(snap->routes);
	free(snap->route_list);
	free(snap->shares);
	free(snap->share_list);
	free(snap->unreadable);
	free(snap->unreadable_list);
	free(snap->evacuated);
	free(snap->services);
	free(snap->service_list);
	free(snap->routes_gone);
	free(snap->routes_gone_list);
	free(snap->targets);
	free(snap->target_list);
	free(snap->target_names);
	free(snap->gone);
	free(snap->gone_list);
	free(snap->gone_names);
	free(snap);
}

Ht__EntrySnapshot *ht_snapshot_message(struct ht_snapshot *snap)
{
	return &snap->msg;
}

void ht_snapshot_request(Ht__EntrySnapshotRequest *request, const struct ht_view_id *have)
{
	ht__entry_snapshot_request__init(request);
	request->routes_version = have->routes.version;
	request->routes_era = have->routes.revision.era;
	request->routes_revision = have->routes.revision.number;
	request->targets_era = have->targets.era;
	request->targets_revision = have->targets.number;
	request->format = FORMAT;
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
	return request->format == FORMAT;
}

static bool route_well_formed(const Ht__EntrySnapshot *msg, const Ht__EntryRoute *m)
{
	for (size_t i = 0; i < m->n_shares; i++)
		if (m->shares[i]->service >= msg->n_texts)
			return false;
	return m->service < msg->n_texts;
}

/* True if every string table index is valid and every name and revision can be decoded. */
static bool well_formed(const Ht__EntrySnapshot *msg)
{
	char name[HT_CATALOG_NAME];

	for (size_t i = 0; i < msg->n_texts; i++)
		if (strlen(msg->texts[i]) >= HT_CATALOG_NAME)
			return false;
	for (size_t i = 0; i < msg->n_routes; i++)
		if (!route_well_formed(msg, msg->routes[i]))
			return false;
	for (size_t i = 0; i < msg->n_evacuated; i++)
		if (msg->evacuated[i] >= msg->n_texts)
			return false;
	for (size_t i = 0; i < msg->n_services; i++)
		if (msg->services[i]->name >= msg->n_texts)
			return false;
	for (size_t i = 0; i < msg->n_targets; i++) {
		const Ht__EntryTarget *m = msg->targets[i];

		if (!decode_name(msg, m->name, name) || !m->name->id || !m->slots ||
		    m->service >= msg->n_texts || m->dc >= msg->n_texts ||
		    m->revision_before > msg->newest_revision)
			return false;
	}
	for (size_t i = 0; i < msg->n_gone; i++)
		if (!decode_name(msg, msg->gone[i]->name, name) ||
		    msg->gone[i]->revision_before > msg->newest_revision)
			return false;
	return msg->format == FORMAT;
}

static void decode_shares(const Ht__EntrySnapshot *msg, const Ht__EntryRoute *m,
			  struct ht_route_table *table, struct ht_route_entry *e)
{
	e->first_share = table->share_count;
	e->share_count = m->n_shares;
	for (size_t i = 0; i < m->n_shares; i++) {
		struct ht_share_entry *share = &table->shares[table->share_count++];

		share->weight = m->shares[i]->weight;
		snprintf(share->service, sizeof(share->service), "%s",
			 msg->texts[m->shares[i]->service]);
	}
}

static void decode_routes(const Ht__EntrySnapshot *msg, struct ht_route_table *table)
{
	for (size_t i = 0; i < msg->n_routes; i++) {
		const Ht__EntryRoute *m = msg->routes[i];
		struct ht_route_entry *e = &table->entries[table->count++];

		e->at = (struct ht_endpoint){.ip = m->ip, .port = (uint16_t)m->port};
		e->priority = m->priority;
		e->idempotent = m->idempotent;
		snprintf(e->service, sizeof(e->service), "%s", msg->texts[m->service]);
		decode_shares(msg, m, table, e);
	}
	for (size_t i = 0; i < msg->n_routes_unreadable; i++) {
		const Ht__EntryAddress *m = msg->routes_unreadable[i];

		table->entries[table->count++] = (struct ht_route_entry){
			.at = {.ip = m->ip, .port = (uint16_t)m->port}, .unreadable = true};
	}
	for (size_t i = 0; i < msg->n_routes_gone; i++) {
		const Ht__EntryAddress *m = msg->routes_gone[i];

		table->gone[table->gone_count++] =
			(struct ht_endpoint){.ip = m->ip, .port = (uint16_t)m->port};
	}
}

static void decode_services(const Ht__EntrySnapshot *msg, struct ht_route_table *table)
{
	for (size_t i = 0; i < msg->n_services; i++) {
		const Ht__EntryService *m = msg->services[i];
		struct ht_service_entry *e = &table->services[table->service_count++];

		snprintf(e->name, sizeof(e->name), "%s", msg->texts[m->name]);
		e->warmup_rate = m->warmup_rate;
		e->warmup = m->warmup_ms;
	}
}

static size_t count_message_shares(const Ht__EntrySnapshot *msg)
{
	size_t count = 0;

	for (size_t i = 0; i < msg->n_routes; i++)
		count += msg->routes[i]->n_shares;
	return count;
}

static bool apply_routes(struct ht_catalog *cat, const Ht__EntrySnapshot *msg)
{
	struct ht_route_table table = {
		.id = ht_snapshot_view(msg).routes,
		.base = ht_snapshot_base(msg).routes.revision,
		.verified = msg->reading_level >= HT_READING_LEVEL,
		.entries = calloc(msg->n_routes + msg->n_routes_unreadable + 1,
				  sizeof(*table.entries)),
		.shares = calloc(count_message_shares(msg) + 1, sizeof(*table.shares)),
		.services = calloc(msg->n_services + 1, sizeof(*table.services)),
		.services_unknown = msg->content < CONTENT_WARMUP,
		.incomplete = msg->routes_incomplete,
		.gone = calloc(msg->n_routes_gone + 1, sizeof(*table.gone)),
	};
	bool changed = false;

	if (table.entries && table.shares && table.services && table.gone) {
		decode_routes(msg, &table);
		decode_services(msg, &table);
		changed = ht_catalog_set_routes(cat, &table) == HT_CATALOG_CHANGED;
	}
	free(table.entries);
	free(table.shares);
	free(table.services);
	free(table.gone);
	return changed;
}

static bool apply_target(struct ht_catalog *cat, const Ht__EntrySnapshot *msg,
			 const Ht__EntryTarget *m, ht_ms now)
{
	struct ht_target_entry e = {
		.at = {.ip = m->ip, .port = (uint16_t)m->port},
		.slots = m->slots,
		.draining = m->draining,
		.warmup = m->warmup_ms,
		.started = msg->started_ms + (int64_t)m->started_after,
		.restored = m->restored,
		.revision = {msg->era, msg->newest_revision - m->revision_before},
	};

	decode_name(msg, m->name, e.name);
	e.id = m->name->id;
	snprintf(e.service, sizeof(e.service), "%s", msg->texts[m->service]);
	snprintf(e.dc, sizeof(e.dc), "%s", msg->texts[m->dc]);
	return ht_catalog_put_target(cat, &e, HT_CATALOG_NEIGHBOUR, now) == HT_CATALOG_CHANGED;
}

static bool apply_gone(struct ht_catalog *cat, const Ht__EntrySnapshot *msg, const Ht__EntryGone *m,
		       ht_ms now, ht_ms held_until)
{
	struct ht_revision gone_at = {msg->era, msg->newest_revision - m->revision_before};
	char name[HT_CATALOG_NAME];

	decode_name(msg, m->name, name);
	return ht_catalog_remove_target(cat, name, gone_at, now, held_until) == HT_CATALOG_CHANGED;
}

static void apply_targets(struct ht_catalog *cat, const Ht__EntrySnapshot *msg, ht_ms now,
			  ht_ms held_until, struct ht_snapshot_result *result)
{
	if (msg->era_begun)
		ht_catalog_note_era_revision(cat, (struct ht_revision){msg->era, msg->era_begun});
	if (!msg->base_revision)
		ht_catalog_begin_listing(cat, HT_CATALOG_NEIGHBOUR);
	for (size_t i = 0; i < msg->n_targets; i++)
		result->changed += apply_target(cat, msg, msg->targets[i], now);
	for (size_t i = 0; i < msg->n_gone; i++)
		result->changed += apply_gone(cat, msg, msg->gone[i], now, held_until);
	if (msg->base_revision)
		return;
	result->missing = ht_catalog_end_listing(cat, HT_CATALOG_NEIGHBOUR,
						 ht_snapshot_view(msg).targets, now, held_until);
	result->changed += result->missing;
}

static size_t apply_evacuations(struct ht_catalog *cat, const Ht__EntrySnapshot *msg, ht_ms now)
{
	struct ht_revision revision = ht_snapshot_view(msg).evacuations;
	size_t changed = 0;

	if (!revision.number || !ht_revision_before(ht_catalog_evacuations(cat), revision))
		return 0;
	ht_catalog_begin_evacuations(cat);
	for (size_t i = 0; i < msg->n_evacuated; i++)
		changed += ht_catalog_put_evacuation(cat, msg->texts[msg->evacuated[i]], true,
						     revision, now) == HT_CATALOG_CHANGED;
	ht_catalog_end_evacuations(cat, revision, now);
	ht_catalog_note_evacuations(cat, revision);
	return changed;
}

struct ht_snapshot_result ht_snapshot_apply(struct ht_catalog *cat, const Ht__EntrySnapshot *msg,
					    struct ht_revision have_targets, ht_ms now,
					    ht_ms held_until)
{
	struct ht_routes_id routes = ht_snapshot_view(msg).routes;
	bool has_routes = msg->has_routes && msg->content >= CONTENT_SHARES;
	struct ht_snapshot_result result = {0};

	result.malformed = !well_formed(msg);
	if (result.malformed)
		return result;
	result.evacuations = msg->content >= CONTENT_SHARES;
	if (result.evacuations)
		result.changed += apply_evacuations(cat, msg, now);
	if (has_routes && ht_routes_compare(routes, ht_catalog_routes(cat)) > 0)
		result.changed += apply_routes(cat, msg);
	result.routes = has_routes && ht_routes_compare(ht_catalog_routes(cat), routes) >= 0;
	if (msg->era < ht_catalog_era(cat) ||
	    ht_revision_before(have_targets, ht_snapshot_base(msg).targets))
		return result;
	result.targets = true;
	apply_targets(cat, msg, now, held_until, &result);
	return result;
}
