/* Applies snapshots of neighbours to the catalogue. */
#include "core/reading.h"
#include "entry/snapshot_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const Ht__EntrySnapshot nothing = HT__ENTRY_SNAPSHOT__INIT;

static bool route_well_formed(const Ht__EntrySnapshot *msg, const Ht__EntryRoute *m)
{
	for (size_t i = 0; i < m->n_shares; i++)
		if (m->shares[i]->service >= msg->n_texts)
			return false;
	return m->service < msg->n_texts;
}

static bool name_well_formed(const Ht__EntrySnapshot *msg, const Ht__EntryName *m)
{
	if (!m)
		return false;
	return m->whole[0] || (m->prefix < msg->n_texts && m->digits <= HT_SNAPSHOT_DIGITS_MAX);
}

/* True if every string table index is valid and every name and revision can be decoded. */
static bool well_formed(const Ht__EntrySnapshot *msg)
{
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

		if (!name_well_formed(msg, m->name) || !m->name->id || !m->slots ||
		    m->service >= msg->n_texts || m->dc >= msg->n_texts ||
		    m->revision_before > msg->newest_revision)
			return false;
	}
	for (size_t i = 0; i < msg->n_gone; i++)
		if (!name_well_formed(msg, msg->gone[i]->name) ||
		    msg->gone[i]->revision_before > msg->newest_revision)
			return false;
	return msg->format == HT_SNAPSHOT_FORMAT;
}

/* To be freed; NULL when out of memory. */
static char *decode_name(const Ht__EntrySnapshot *msg, const Ht__EntryName *m)
{
	char *name;

	if (m->whole[0])
		return strdup(m->whole);
	if (asprintf(&name, "%s%0*llx", msg->texts[m->prefix], (int)m->digits,
		     (unsigned long long)m->id) < 0)
		return NULL;
	return name;
}

static void decode_shares(const Ht__EntrySnapshot *msg, const Ht__EntryRoute *m,
			  struct ht_route_table *table, struct ht_route_entry *e)
{
	e->first_share = table->share_count;
	e->share_count = m->n_shares;
	for (size_t i = 0; i < m->n_shares; i++) {
		struct ht_share_entry *share = &table->shares[table->share_count++];

		share->weight = m->shares[i]->weight;
		share->service = msg->texts[m->shares[i]->service];
	}
}

static void decode_unreadable(const Ht__EntrySnapshot *msg, struct ht_route_table *table)
{
	for (size_t i = 0; i < msg->n_routes_unreadable; i++) {
		const Ht__EntryAddress *m = msg->routes_unreadable[i];

		table->entries[table->count++] = (struct ht_route_entry){
			.at = {.ip = m->ip, .port = (uint16_t)m->port}, .unreadable = true};
	}
}

static void decode_routes(const Ht__EntrySnapshot *msg, struct ht_route_table *table)
{
	for (size_t i = 0; i < msg->n_routes; i++) {
		const Ht__EntryRoute *m = msg->routes[i];
		struct ht_route_entry *e = &table->entries[table->count++];

		e->at = (struct ht_endpoint){.ip = m->ip, .port = (uint16_t)m->port};
		e->priority = m->priority;
		e->aim_ms = m->aim_ms;
		e->limit_ms = m->limit_ms;
		e->idempotent = m->idempotent;
		e->service = msg->texts[m->service];
		decode_shares(msg, m, table, e);
	}
}

static void decode_routes_gone(const Ht__EntrySnapshot *msg, struct ht_route_table *table)
{
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

		e->name = msg->texts[m->name];
		e->warmup_rate = m->warmup_rate;
		e->warmup = m->warmup_ms;
		e->flows_max = m->flows_max;
	}
}

static size_t count_message_shares(const Ht__EntrySnapshot *msg)
{
	size_t count = 0;

	for (size_t i = 0; i < msg->n_routes; i++)
		count += msg->routes[i]->n_shares;
	return count;
}

/* The later of two entries for a route counts: one that is unreadable to builds below reading level
 * 2 may follow as a route with a long name. */
static void decode_table(const Ht__EntrySnapshot *msg, const Ht__EntrySnapshot *more,
			 struct ht_route_table *table)
{
	decode_unreadable(msg, table);
	decode_routes(msg, table);
	decode_routes_gone(msg, table);
	decode_services(msg, table);
	decode_routes(more, table);
	decode_services(more, table);
}

static bool apply_routes(struct ht_catalog *cat, const Ht__EntrySnapshot *msg,
			 const Ht__EntrySnapshot *more)
{
	struct ht_route_table table = {
		.id = ht_snapshot_view(msg).routes,
		.base = ht_snapshot_base(msg).routes.revision,
		.verified = msg->reading_level >= HT_READING_LEVEL,
		.entries = calloc(msg->n_routes + msg->n_routes_unreadable + more->n_routes + 1,
				  sizeof(*table.entries)),
		.shares = calloc(count_message_shares(msg) + count_message_shares(more) + 1,
				 sizeof(*table.shares)),
		.services = calloc(msg->n_services + more->n_services + 1, sizeof(*table.services)),
		.services_unknown = msg->content < HT_CONTENT_WARMUP,
		.incomplete = msg->routes_incomplete,
		.gone = calloc(msg->n_routes_gone + 1, sizeof(*table.gone)),
	};
	bool changed = false;

	if (table.entries && table.shares && table.services && table.gone) {
		decode_table(msg, more, &table);
		changed = ht_catalog_set_routes(cat, &table) == HT_CATALOG_CHANGED;
	}
	free(table.entries);
	free(table.shares);
	free(table.services);
	free(table.gone);
	return changed;
}

/* @msg is of era @era and may be a part of another message. */
static enum ht_catalog_change apply_target(struct ht_catalog *cat, const Ht__EntrySnapshot *msg,
					   uint64_t era, const Ht__EntryTarget *m, ht_ms now)
{
	char *name = decode_name(msg, m->name);
	struct ht_target_entry e = {
		.name = name,
		.id = m->name->id,
		.at = {.ip = m->ip, .port = (uint16_t)m->port},
		.service = msg->texts[m->service],
		.dc = msg->texts[m->dc],
		.slots = m->slots,
		.draining = m->draining,
		.warmup = m->warmup_ms,
		.started = msg->started_ms + (int64_t)m->started_after,
		.restored = m->restored,
		.revision = {era, msg->newest_revision - m->revision_before},
	};
	enum ht_catalog_change change = HT_CATALOG_FAILED;

	if (name)
		change = ht_catalog_put_target(cat, &e, HT_CATALOG_NEIGHBOUR, now);
	free(name);
	return change;
}

/* To builds below reading level 2, a target is gone if its service or data centre has a long name.
 */
static bool has_target(const Ht__EntrySnapshot *msg, const Ht__EntrySnapshot *more,
		       const Ht__EntryName *gone)
{
	char *name = decode_name(msg, gone);
	bool found = false;

	for (size_t i = 0; name && i < more->n_targets && !found; i++) {
		char *other = decode_name(more, more->targets[i]->name);

		found = other && strcmp(name, other) == 0;
		free(other);
	}
	free(name);
	return found;
}

static enum ht_catalog_change apply_gone(struct ht_catalog *cat, const Ht__EntrySnapshot *msg,
					 uint64_t era, const Ht__EntryGone *m, ht_ms now,
					 ht_ms held_until)
{
	struct ht_revision gone_at = {era, msg->newest_revision - m->revision_before};
	enum ht_catalog_change change = HT_CATALOG_FAILED;
	char *name = decode_name(msg, m->name);

	if (name)
		change = ht_catalog_remove_target(cat, name, gone_at, now, held_until);
	free(name);
	return change;
}

static void count_change(struct ht_snapshot_result *result, enum ht_catalog_change change)
{
	result->changed += change == HT_CATALOG_CHANGED;
	if (change == HT_CATALOG_FAILED)
		result->targets = false;
}

/* Applies the targets of @msg, which is of era @era, but for those that are gone and in @more. */
static void apply_part(struct ht_catalog *cat, const Ht__EntrySnapshot *msg, uint64_t era,
		       const Ht__EntrySnapshot *more, ht_ms now, ht_ms held_until,
		       struct ht_snapshot_result *result)
{
	for (size_t i = 0; i < msg->n_targets; i++)
		count_change(result, apply_target(cat, msg, era, msg->targets[i], now));
	for (size_t i = 0; i < msg->n_gone; i++)
		if (!has_target(msg, more, msg->gone[i]->name))
			count_change(result,
				     apply_gone(cat, msg, era, msg->gone[i], now, held_until));
}

static void apply_targets(struct ht_catalog *cat, const Ht__EntrySnapshot *msg,
			  const Ht__EntrySnapshot *more, ht_ms now, ht_ms held_until,
			  struct ht_snapshot_result *result)
{
	if (msg->era_begun)
		ht_catalog_note_era_revision(cat, (struct ht_revision){msg->era, msg->era_begun});
	if (!msg->base_revision)
		ht_catalog_begin_listing(cat, HT_CATALOG_NEIGHBOUR);
	apply_part(cat, msg, msg->era, more, now, held_until, result);
	apply_part(cat, more, msg->era, &nothing, now, held_until, result);
	if (msg->base_revision || !result->targets)
		return;
	result->missing = ht_catalog_end_listing(cat, HT_CATALOG_NEIGHBOUR,
						 ht_snapshot_view(msg).targets, now, held_until);
	result->changed += result->missing;
}

static size_t put_evacuated(struct ht_catalog *cat, const Ht__EntrySnapshot *msg,
			    struct ht_revision revision, ht_ms now)
{
	size_t changed = 0;

	for (size_t i = 0; i < msg->n_evacuated; i++)
		changed += ht_catalog_put_evacuation(cat, msg->texts[msg->evacuated[i]], true,
						     revision, now) == HT_CATALOG_CHANGED;
	return changed;
}

static size_t apply_evacuations(struct ht_catalog *cat, const Ht__EntrySnapshot *msg,
				const Ht__EntrySnapshot *more, ht_ms now)
{
	struct ht_revision revision = ht_snapshot_view(msg).evacuations;
	size_t changed;

	if (!revision.number || !ht_revision_before(ht_catalog_evacuations(cat), revision))
		return 0;
	ht_catalog_begin_evacuations(cat);
	changed = put_evacuated(cat, msg, revision, now);
	changed += put_evacuated(cat, more, revision, now);
	ht_catalog_end_evacuations(cat, revision, now);
	ht_catalog_note_evacuations(cat, revision);
	return changed;
}

static struct ht_snapshot_result apply(struct ht_catalog *cat, const Ht__EntrySnapshot *msg,
				       const Ht__EntrySnapshot *more,
				       struct ht_revision have_targets, ht_ms now, ht_ms held_until)
{
	struct ht_routes_id routes = ht_snapshot_view(msg).routes;
	bool has_routes = msg->has_routes && msg->content >= HT_CONTENT_SHARES;
	struct ht_snapshot_result result = {.evacuations = msg->content >= HT_CONTENT_SHARES};

	if (result.evacuations)
		result.changed += apply_evacuations(cat, msg, more, now);
	if (has_routes && ht_routes_compare(routes, ht_catalog_routes(cat)) > 0)
		result.changed += apply_routes(cat, msg, more);
	result.routes = has_routes && ht_routes_compare(ht_catalog_routes(cat), routes) >= 0;
	if (msg->era < ht_catalog_era(cat) ||
	    ht_revision_before(have_targets, ht_snapshot_base(msg).targets))
		return result;
	result.targets = true;
	apply_targets(cat, msg, more, now, held_until, &result);
	return result;
}

struct ht_snapshot_result ht_snapshot_apply(struct ht_catalog *cat, const Ht__EntrySnapshot *msg,
					    struct ht_revision have_targets, ht_ms now,
					    ht_ms held_until)
{
	struct ht_snapshot_result result = {.malformed = true};
	Ht__EntrySnapshot *long_names = NULL;

	if (!well_formed(msg))
		return result;
	if (!msg->long_names.len)
		return apply(cat, msg, &nothing, have_targets, now, held_until);
	long_names = ht__entry_snapshot__unpack(NULL, msg->long_names.len, msg->long_names.data);
	if (!long_names)
		return result;
	if (well_formed(long_names))
		result = apply(cat, msg, long_names, have_targets, now, held_until);
	ht__entry_snapshot__free_unpacked(long_names, NULL);
	return result;
}
