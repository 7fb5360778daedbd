#include "core/neighbours.h"

#include "base/hash.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* One greeting in a round goes to another data centre, so that a view can cross when a whole data
 * centre has lost the store. */
#define REMOTE_GREETINGS 1

/* Part of the neighbours kept that may be of other data centres when there are too many. */
#define REMOTE_PART 4

/* A neighbour counts as live for this long after its last greeting: a few missed rounds. */
#define LIVE_MS 5000

/* An instance that was heard, or named by another one, within this time is told of new reads. */
#define TOLD_MS 30000

/* Changes of targets after which another of the largest instances reads the store: what a flood of
 * changes costs its reader is shared. In a calm hour the reader stays. */
#define READER_CHANGES 1024

/* News that makes a proof younger by less tells the same. */
#define PROOF_GAIN_MS 200

struct ht_neighbours {
	struct ht_neighbours_params params;
	char name[HT_CATALOG_NAME], dc[HT_CATALOG_NAME];
	struct ht_list list;
	size_t count;
	ht_ms started_at, snapshot_at;
	ht_ms behind_since; /* a neighbour of the data centre has known more; HT_NEVER: none */
	struct ht_revision behind_targets; /* own view at that time */
	struct ht_routes_id behind_routes;
	uint64_t epoch;	 /* number of the order in which instances read */
	uint64_t reader; /* hash of the name of the one whose news came last... */
	uint32_t reader_size;
	ht_ms reader_at; /* ...and when; HT_NEVER: none has */
	size_t advertise_offset;	 /* where the next greeting begins to name neighbours */
};

static bool younger(ht_ms before, ht_ms after)
{
	return after != HT_NEVER && (before == HT_NEVER || before - after >= PROOF_GAIN_MS);
}

bool ht_view_later(const struct ht_view_state *told, const struct ht_view_state *own)
{
	return ht_revision_before(own->targets, told->targets) ||
	       ht_routes_compare(told->routes, own->routes) > 0;
}

bool ht_view_improves(const struct ht_view_state *before, const struct ht_view_state *after)
{
	return !before->usable || ht_view_later(after, before) ||
	       younger(before->targets_age, after->targets_age) ||
	       younger(before->routes_age, after->routes_age);
}

void ht_neighbours_params_default(struct ht_neighbours_params *params)
{
	*params = (struct ht_neighbours_params){
		.max = 1024,
		.forget_after = 120000,
		.startup_standby = 1500,
		.stale_after = 3000,
		.lag_max = 500,
		.snapshot_pause = 1000,
		.retry_pause = 50,
		.same_source_pause = 500,
	};
}

struct ht_neighbours *ht_neighbours_new(const struct ht_neighbours_params *params, ht_ms now)
{
	struct ht_neighbours *nb = calloc(1, sizeof(*nb));

	if (!nb)
		return NULL;
	nb->params = *params;
	snprintf(nb->name, sizeof(nb->name), "%s", params->name);
	snprintf(nb->dc, sizeof(nb->dc), "%s", params->dc);
	nb->started_at = now;
	nb->snapshot_at = HT_NEVER;
	nb->behind_since = HT_NEVER;
	nb->reader_at = HT_NEVER;
	ht_list_init(&nb->list);
	return nb;
}

static void forget(struct ht_neighbours *nb, struct ht_neighbour *n)
{
	ht_list_del(&n->node);
	nb->count--;
	free(n);
}

void ht_neighbours_free(struct ht_neighbours *nb)
{
	struct ht_list *pos, *tmp;

	if (!nb)
		return;
	ht_list_for_each_safe (pos, tmp, &nb->list)
		forget(nb, ht_container_of(pos, struct ht_neighbour, node));
	free(nb);
}

static struct ht_neighbour *find(const struct ht_neighbours *nb, struct ht_endpoint at)
{
	struct ht_list *pos;

	ht_list_for_each (pos, &nb->list) {
		struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		if (ht_endpoint_equal(n->at, at))
			return n;
	}
	return NULL;
}

/* Of other data centres a part is enough; else the one heard longest ago makes room. */
static struct ht_neighbour *least_needed(const struct ht_neighbours *nb)
{
	struct ht_neighbour *remote = NULL;
	struct ht_list *pos;
	size_t count = 0;

	ht_list_for_each (pos, &nb->list) {
		struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		if (n->local)
			continue;
		remote = n;
		count++;
	}
	if (count >= nb->params.max / REMOTE_PART)
		return remote;
	return ht_container_of(nb->list.prev, struct ht_neighbour, node);
}

static struct ht_neighbour *find_or_add(struct ht_neighbours *nb, struct ht_endpoint at, ht_ms now)
{
	struct ht_neighbour *n = find(nb, at);

	if (n)
		return n;
	if (nb->count >= nb->params.max) {
		n = least_needed(nb);
		ht_list_del(&n->node);
		nb->count--;
		*n = (struct ht_neighbour){0};
	} else {
		n = calloc(1, sizeof(*n));
		if (!n)
			return NULL;
	}
	n->at = at;
	n->added_at = now;
	n->heard_at = HT_NEVER;
	n->named_at = HT_NEVER;
	n->greeted_at = HT_NEVER;
	n->asked_at = HT_NEVER;
	ht_list_add_tail(&nb->list, &n->node);
	nb->count++;
	return n;
}

static void set_identity(const struct ht_neighbours *nb, struct ht_neighbour *n, const char *name,
			 const char *dc)
{
	snprintf(n->name, sizeof(n->name), "%s", name);
	snprintf(n->dc, sizeof(n->dc), "%s", dc);
	n->local = strcmp(n->dc, nb->dc) == 0;
}

void ht_neighbours_add_address(struct ht_neighbours *nb, struct ht_endpoint at, ht_ms now)
{
	struct ht_neighbour *n = find(nb, at);

	if (n)
		return;
	n = find_or_add(nb, at, now);
	/* It may be the one that answers first: greeted as if it were near. */
	if (n)
		n->local = true;
}

void ht_neighbours_add(struct ht_neighbours *nb, const char *name, const char *dc,
		       struct ht_endpoint at, uint32_t size, ht_ms now)
{
	struct ht_neighbour *n;

	if (strcmp(name, nb->name) == 0)
		return;
	n = find_or_add(nb, at, now);
	if (!n)
		return;
	n->named_at = now;
	if (n->heard_at != HT_NEVER)
		return;
	set_identity(nb, n, name, dc);
	n->size = size;
}

void ht_neighbours_heard(struct ht_neighbours *nb, const char *name, const char *dc,
			 struct ht_endpoint at, uint32_t size, const struct ht_view_state *view,
			 ht_ms now)
{
	struct ht_neighbour *n;

	if (strcmp(name, nb->name) == 0)
		return;
	n = find_or_add(nb, at, now);
	if (!n)
		return;
	set_identity(nb, n, name, dc);
	n->heard_at = now;
	n->size = size;
	n->view = *view;
	ht_list_del(&n->node);
	ht_list_add_head(&nb->list, &n->node);
}

static bool within(ht_ms at, ht_ms limit, ht_ms now)
{
	return at != HT_NEVER && now - at < limit;
}

/* Heard itself, or named by another one that had heard it. */
static bool told_of(const struct ht_neighbour *n, ht_ms limit, ht_ms now)
{
	return within(n->heard_at, limit, now) || within(n->named_at, limit, now);
}

static bool live(const struct ht_neighbour *n, ht_ms now)
{
	return within(n->heard_at, LIVE_MS, now);
}

static bool any_live(const struct ht_neighbours *nb, ht_ms now)
{
	/* The one heard last stands first. */
	return !ht_list_empty(&nb->list) &&
	       live(ht_container_of(nb->list.next, const struct ht_neighbour, node), now);
}

static bool greeted_before(const struct ht_neighbour *a, const struct ht_neighbour *b)
{
	if (a->greeted_at == HT_NEVER || b->greeted_at == HT_NEVER)
		return a->greeted_at == HT_NEVER && b->greeted_at != HT_NEVER;
	return a->greeted_at < b->greeted_at;
}

static struct ht_neighbour *next_to_greet(struct ht_neighbours *nb, bool local, bool nameless,
					  ht_ms now)
{
	struct ht_neighbour *best = NULL;
	struct ht_list *pos;

	ht_list_for_each (pos, &nb->list) {
		struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		if (n->local == local && n->greeted_at != now && (nameless || n->name[0]) &&
		    (!best || greeted_before(n, best)))
			best = n;
	}
	return best;
}

size_t ht_neighbours_greet(struct ht_neighbours *nb,
			   const struct ht_neighbour *out[HT_GREETING_FANOUT], ht_ms now)
{
	size_t count = 0;
	/* All that start together know the same few addresses: one answer is enough. */
	bool nameless = !any_live(nb, now);

	for (size_t i = 0; i < HT_GREETING_FANOUT; i++) {
		bool local = i < HT_GREETING_FANOUT - REMOTE_GREETINGS;
		struct ht_neighbour *n = next_to_greet(nb, local, nameless, now);

		if (!n)
			continue;
		n->greeted_at = now;
		out[count++] = n;
	}
	return count;
}

/* Appends up to @max in all from those that are, or are not, in @dc, starting at the turn's place.
 */
static size_t add_known(const struct ht_neighbours *nb, const char *dc, bool in_dc,
			const struct ht_neighbour *out[HT_GREETING_KNOWN], size_t max, size_t count,
			ht_ms now)
{
	const struct ht_list *pos = nb->list.next;

	for (size_t i = 0; nb->count && i < nb->advertise_offset % nb->count; i++)
		pos = pos->next;
	for (size_t i = 0; i < nb->count && count < max; i++, pos = pos->next) {
		const struct ht_neighbour *n;

		if (pos == &nb->list)
			pos = pos->next;
		n = ht_container_of(pos, struct ht_neighbour, node);
		if (live(n, now) && (strcmp(n->dc, dc) == 0) == in_dc)
			out[count++] = n;
	}
	return count;
}

size_t ht_neighbours_known(struct ht_neighbours *nb, const char *dc,
			   const struct ht_neighbour *out[HT_GREETING_KNOWN], size_t max, ht_ms now)
{
	size_t count = add_known(nb, dc, true, out, max, 0, now);

	count = add_known(nb, dc, false, out, max, count, now);
	nb->advertise_offset += max / 2 + 1;
	return count;
}

/* Of two instances, which one reads the store. */
static bool goes_before(const struct ht_neighbours *nb, uint32_t size, uint64_t name_hash,
			uint32_t other_size, uint64_t other_hash)
{
	if (size != other_size)
		return size > other_size;
	return ht_hash_pair(name_hash, nb->epoch) < ht_hash_pair(other_hash, nb->epoch);
}

static bool reads_before(const struct ht_neighbours *nb, uint32_t size, uint64_t name_hash)
{
	return goes_before(nb, size, name_hash, nb->params.size, ht_hash_str(nb->name));
}

void ht_neighbours_set_changes(struct ht_neighbours *nb, struct ht_revision targets)
{
	nb->epoch = targets.number / READER_CHANGES;
}

void ht_neighbours_heard_reader(struct ht_neighbours *nb, const char *name, uint32_t size,
				ht_ms now)
{
	uint64_t hash = ht_hash_str(name);

	/* Several may read for a moment: the first of them goes on. */
	if (hash != nb->reader && within(nb->reader_at, LIVE_MS, now) &&
	    goes_before(nb, nb->reader_size, nb->reader, size, hash))
		return;
	nb->reader = hash;
	nb->reader_size = size;
	nb->reader_at = now;
}

/* In a large data centre a neighbour is seldom heard itself: then others name it. */
static bool local_reads_before(const struct ht_neighbours *nb, const struct ht_neighbour *n,
			       ht_ms now)
{
	return n->local && n->name[0] && told_of(n, LIVE_MS, now) &&
	       (n->heard_at == HT_NEVER || n->view.usable) &&
	       reads_before(nb, n->size, ht_hash_str(n->name));
}

size_t ht_neighbours_rank(const struct ht_neighbours *nb, ht_ms now)
{
	const struct ht_list *pos;
	size_t rank = 0;

	ht_list_for_each (pos, &nb->list)
		rank += local_reads_before(
			nb, ht_container_of(pos, const struct ht_neighbour, node), now);
	return rank;
}

ht_ms ht_neighbours_reader_age(const struct ht_neighbours *nb, ht_ms now)
{
	if (nb->reader_at == HT_NEVER || !reads_before(nb, nb->reader_size, nb->reader))
		return HT_NEVER;
	return now - nb->reader_at;
}

bool ht_neighbours_covered(const struct ht_neighbours *nb, ht_ms now)
{
	return now - nb->started_at < nb->params.startup_standby ||
	       ht_neighbours_reader_age(nb, now) < LIVE_MS || ht_neighbours_rank(nb, now);
}

static bool old(const struct ht_neighbours *nb, ht_ms age)
{
	return age == HT_NEVER || age >= nb->params.stale_after;
}

static bool unproven(const struct ht_neighbour *n)
{
	return n->view.targets_age == HT_NEVER || n->view.routes_age == HT_NEVER;
}

/* The view was proven once, but not within the time after which it would be renewed. */
static bool outdated(const struct ht_neighbours *nb, const struct ht_neighbour *n, ht_ms now)
{
	ht_ms since = now - n->heard_at;

	return !unproven(n) &&
	       (old(nb, n->view.targets_age + since) || old(nb, n->view.routes_age + since));
}

bool ht_neighbours_helpful(const struct ht_neighbours *nb, ht_ms now)
{
	const struct ht_list *pos;

	ht_list_for_each (pos, &nb->list) {
		const struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);
		bool soon = !n->view.failing && reads_before(nb, n->size, ht_hash_str(n->name));

		if (live(n, now) && (n->view.usable ? !outdated(nb, n, now) : soon))
			return true;
	}
	return false;
}

/* Of two neighbours of one data centre, the better representative: a live one, then by @seed. */
static bool represents_before(const struct ht_neighbour *a, const struct ht_neighbour *b,
			      uint64_t seed, ht_ms now)
{
	bool a_live = live(a, now), b_live = live(b, now);

	if (a_live != b_live)
		return a_live;
	return ht_hash_pair(seed, ht_hash_str(a->name)) < ht_hash_pair(seed, ht_hash_str(b->name));
}

size_t ht_neighbours_representatives(const struct ht_neighbours *nb, uint64_t seed,
				     const struct ht_neighbour *out[HT_REPRESENTATIVES_MAX],
				     ht_ms now)
{
	const struct ht_list *pos;
	size_t count = 0;

	ht_list_for_each (pos, &nb->list) {
		const struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);
		size_t i = 0;

		if (n->local || !n->dc[0] || !told_of(n, TOLD_MS, now))
			continue;
		while (i < count && strcmp(out[i]->dc, n->dc) != 0)
			i++;
		if (i == HT_REPRESENTATIVES_MAX)
			continue;
		if (i == count)
			out[count++] = n;
		else if (represents_before(n, out[i], seed, now))
			out[i] = n;
	}
	return count;
}

size_t ht_neighbours_local_count(const struct ht_neighbours *nb, ht_ms now)
{
	const struct ht_list *pos;
	size_t count = 1;

	ht_list_for_each (pos, &nb->list) {
		const struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		count += n->local && n->name[0] && (live(n, now) || now - n->added_at < LIVE_MS);
	}
	return count;
}

void ht_neighbours_each_local(const struct ht_neighbours *nb, ht_ms now,
			      void (*visit)(void *ctx, const struct ht_neighbour *n, bool fresh),
			      void *ctx)
{
	const struct ht_list *pos;

	ht_list_for_each (pos, &nb->list) {
		const struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		if (n->local && told_of(n, TOLD_MS, now))
			visit(ctx, n, told_of(n, LIVE_MS, now));
	}
}

static bool knows_more(const struct ht_neighbour *n, const struct ht_view_state *own)
{
	return n->view.usable && (!own->usable || ht_view_later(&n->view, own));
}

static bool local_knows_more(const struct ht_neighbours *nb, const struct ht_view_state *own,
			     ht_ms now)
{
	const struct ht_list *pos;

	ht_list_for_each (pos, &nb->list) {
		const struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		if (n->local && live(n, now) && knows_more(n, own))
			return true;
	}
	return false;
}

/* News is on its way to an instance that has just fallen behind: only news that is lost, or that
 * passes by an instance of which the sender has not heard, is late. */
static bool news_late(struct ht_neighbours *nb, const struct ht_view_state *own, ht_ms now)
{
	if (!own->standby || !local_knows_more(nb, own, now)) {
		nb->behind_since = HT_NEVER;
		return false;
	}
	if (nb->behind_since == HT_NEVER || !ht_revision_equal(nb->behind_targets, own->targets) ||
	    ht_routes_compare(nb->behind_routes, own->routes) != 0) {
		nb->behind_since = now;
		nb->behind_targets = own->targets;
		nb->behind_routes = own->routes;
	}
	return now - nb->behind_since >= nb->params.lag_max;
}

static bool snapshot_wanted(struct ht_neighbours *nb, const struct ht_view_state *own, ht_ms now)
{
	ht_ms pause = own->usable ? nb->params.snapshot_pause : nb->params.retry_pause;
	bool late = own->usable && news_late(nb, own, now);

	if (nb->snapshot_at != HT_NEVER && now - nb->snapshot_at < pause)
		return false;
	return !own->usable || late || old(nb, own->targets_age) || old(nb, own->routes_age);
}

/* Those proven lately first, as they miss little; then those that have started with this one and
 * have not been proven yet; then those that have long not been, of which the one that knows most.
 * Of equals, one of the own data centre; of these, another for each instance. */
static bool better_source(const struct ht_neighbours *nb, const struct ht_neighbour *a,
			  const struct ht_neighbour *b, ht_ms now)
{
	uint64_t own = ht_hash_str(nb->name);
	bool a_outdated = outdated(nb, a, now);

	if (a_outdated != outdated(nb, b, now))
		return !a_outdated;
	if (a_outdated && !ht_revision_equal(a->view.targets, b->view.targets))
		return ht_revision_before(b->view.targets, a->view.targets);
	if (unproven(a) != unproven(b))
		return unproven(b);
	if (a->local != b->local)
		return a->local;
	return ht_hash_pair(own, ht_hash_str(a->name)) < ht_hash_pair(own, ht_hash_str(b->name));
}

static bool asked_lately(const struct ht_neighbours *nb, const struct ht_neighbour *n, ht_ms now)
{
	return within(n->asked_at, nb->params.same_source_pause, now);
}

const struct ht_neighbour *ht_neighbours_source(struct ht_neighbours *nb,
						const struct ht_view_state *own, ht_ms now)
{
	struct ht_neighbour *best = NULL;
	struct ht_list *pos;

	if (!snapshot_wanted(nb, own, now))
		return NULL;
	ht_list_for_each (pos, &nb->list) {
		struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		if (!live(n, now) || !knows_more(n, own) ||
		    (!own->usable && asked_lately(nb, n, now)))
			continue;
		if (!best || better_source(nb, n, best, now))
			best = n;
	}
	if (!best)
		return NULL;
	nb->snapshot_at = now;
	best->asked_at = now;
	return best;
}

void ht_neighbours_expire(struct ht_neighbours *nb, ht_ms now)
{
	struct ht_list *pos, *tmp;

	ht_list_for_each_safe (pos, tmp, &nb->list) {
		struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);
		ht_ms since = n->heard_at == HT_NEVER ? n->added_at : n->heard_at;

		if (now - since >= nb->params.forget_after)
			forget(nb, n);
	}
}

size_t ht_neighbours_count(const struct ht_neighbours *nb)
{
	return nb->count;
}
