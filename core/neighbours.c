#include "core/neighbours.h"

#include "base/hash.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* One greeting of each round goes to another data centre, so that a data centre that cannot reach
 * the store still gets a view. */
#define REMOTE_GREETINGS 1

/* If the list is full, one in this many entries may be of other data centres. */
#define REMOTE_DIVISOR 4

/* A neighbour is considered live for this long after its last greeting, a few missed rounds. */
#define LIVE_MS 5000

/* Announcements are sent to instances that were heard or mentioned within this time. */
#define MENTIONED_MS 30000

/* After this many changes of targets another one of the largest instances reads the store, to share
 * the cost of many changes. With few changes the reader stays the same. */
#define READER_EPOCH_CHANGES 1024

/* A proof that is later by less than this is not worth relaying. */
#define PROOF_STEP_MS 200

struct ht_neighbours {
	struct ht_neighbours_params params;
	char name[HT_NEIGHBOUR_NAME], dc[HT_NEIGHBOUR_NAME];
	struct ht_list list;
	size_t count;
	ht_ms started_at, snapshot_at;
	ht_ms behind_since; /* a local neighbour has had a newer view since then, or HT_NEVER */
	struct ht_revision behind_targets; /* own view at behind_since */
	struct ht_routes_id behind_routes;
	struct ht_revision behind_evacuations;
	uint32_t level;	 /* of the own view */
	uint64_t epoch;	 /* selects the order of readers among instances of equal size */
	uint64_t reader; /* hash of the name of the last announcement's reader... */
	uint32_t reader_size;
	ht_ms reader_at;	 /* ...and its time, or HT_NEVER */
	size_t advertise_offset; /* list position of the first neighbour to mention */
};

static bool proof_advanced(ht_ms before, ht_ms after)
{
	return after != HT_NEVER && (before == HT_NEVER || before - after >= PROOF_STEP_MS);
}

bool ht_view_later(const struct ht_view_state *other, const struct ht_view_state *own)
{
	return ht_revision_before(own->targets, other->targets) ||
	       ht_revision_before(own->evacuations, other->evacuations) ||
	       ht_routes_compare(other->routes, own->routes) > 0;
}

bool ht_view_improves(const struct ht_view_state *before, const struct ht_view_state *after)
{
	return !before->usable || ht_view_later(after, before) ||
	       proof_advanced(before->targets_age, after->targets_age) ||
	       proof_advanced(before->routes_age, after->routes_age);
}

void ht_neighbours_params_default(struct ht_neighbours_params *params)
{
	*params = (struct ht_neighbours_params){
		.max = 1024,
		.forget_after = 120000,
		.startup_standby = 1500,
		.settle_after = 10000,
		.stale_after = 3000,
		.accept_after = 3000,
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

static void remove_neighbour(struct ht_neighbours *nb, struct ht_neighbour *n)
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
		remove_neighbour(nb, ht_container_of(pos, struct ht_neighbour, node));
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

/* Replaces a neighbour of another data centre if there are too many of these, otherwise the one
 * heard longest ago. */
static struct ht_neighbour *replaceable(const struct ht_neighbours *nb)
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
	if (count >= nb->params.max / REMOTE_DIVISOR)
		return remote;
	return ht_container_of(nb->list.prev, struct ht_neighbour, node);
}

static struct ht_neighbour *find_or_add(struct ht_neighbours *nb, struct ht_endpoint at, ht_ms now)
{
	struct ht_neighbour *n = find(nb, at);

	if (n)
		return n;
	if (nb->count >= nb->params.max) {
		n = replaceable(nb);
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
	n->id = ht_hash_str(n->name);
	n->local = strcmp(n->dc, nb->dc) == 0;
}

void ht_neighbours_add_address(struct ht_neighbours *nb, struct ht_endpoint at, ht_ms now)
{
	struct ht_neighbour *n = find(nb, at);

	if (n)
		return;
	n = find_or_add(nb, at, now);
	/* Its data centre is unknown: greeted like a local one, as it may answer first. */
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

/* A greeting arrived from it, or from another instance that has heard it. */
static bool heard_or_mentioned(const struct ht_neighbour *n, ht_ms limit, ht_ms now)
{
	return within(n->heard_at, limit, now) || within(n->named_at, limit, now);
}

static bool live(const struct ht_neighbour *n, ht_ms now)
{
	return within(n->heard_at, LIVE_MS, now);
}

static bool any_live(const struct ht_neighbours *nb, ht_ms now)
{
	/* The list is sorted by heard_at, newest first. */
	return !ht_list_empty(&nb->list) &&
	       live(ht_container_of(nb->list.next, const struct ht_neighbour, node), now);
}

static bool greeted_before(const struct ht_neighbour *a, const struct ht_neighbour *b)
{
	if (a->greeted_at == HT_NEVER || b->greeted_at == HT_NEVER)
		return a->greeted_at == HT_NEVER && b->greeted_at != HT_NEVER;
	return a->greeted_at < b->greeted_at;
}

static struct ht_neighbour *next_to_greet(struct ht_neighbours *nb, bool local, bool unidentified,
					  ht_ms now)
{
	struct ht_neighbour *best = NULL;
	struct ht_list *pos;

	ht_list_for_each (pos, &nb->list) {
		struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		if (n->local == local && n->greeted_at != now && (unidentified || n->name[0]) &&
		    (!best || greeted_before(n, best)))
			best = n;
	}
	return best;
}

size_t ht_neighbours_greet(struct ht_neighbours *nb,
			   const struct ht_neighbour *out[HT_GREETING_FANOUT], ht_ms now)
{
	size_t count = 0;
	/* All instances that start together are configured with the same few addresses. While a
	 * neighbour is live, such addresses of unidentified instances are not greeted. */
	bool unidentified = !any_live(nb, now);

	for (size_t i = 0; i < HT_GREETING_FANOUT; i++) {
		bool local = i < HT_GREETING_FANOUT - REMOTE_GREETINGS;
		struct ht_neighbour *n = next_to_greet(nb, local, unidentified, now);

		if (!n)
			continue;
		n->greeted_at = now;
		out[count++] = n;
	}
	return count;
}

/* Appends live neighbours that are, or are not, in @dc, up to @max in total, starting at
 * advertise_offset. */
static size_t append_live(const struct ht_neighbours *nb, const char *dc, bool in_dc,
			  const struct ht_neighbour *out[HT_GREETING_NEIGHBOURS_MAX], size_t max,
			  size_t count, ht_ms now)
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

size_t ht_neighbours_to_advertise(struct ht_neighbours *nb, const char *dc,
				  const struct ht_neighbour *out[HT_GREETING_NEIGHBOURS_MAX],
				  size_t max, ht_ms now)
{
	size_t count = append_live(nb, dc, true, out, max, 0, now);

	count = append_live(nb, dc, false, out, max, count, now);
	nb->advertise_offset += max / 2 + 1;
	return count;
}

/* Order of readers: the first of two live instances reads the store. */
static bool precedes(const struct ht_neighbours *nb, uint32_t size, uint64_t name_hash,
		     uint32_t other_size, uint64_t other_hash)
{
	if (size != other_size)
		return size > other_size;
	return ht_hash_pair(name_hash, nb->epoch) < ht_hash_pair(other_hash, nb->epoch);
}

static bool reads_before_self(const struct ht_neighbours *nb, uint32_t size, uint64_t name_hash)
{
	return precedes(nb, size, name_hash, nb->params.size, ht_hash_str(nb->name));
}

void ht_neighbours_set_level(struct ht_neighbours *nb, uint32_t level)
{
	nb->level = level;
}

void ht_neighbours_rotate_readers(struct ht_neighbours *nb, struct ht_revision targets)
{
	nb->epoch = targets.number / READER_EPOCH_CHANGES;
}

void ht_neighbours_heard_reader(struct ht_neighbours *nb, const char *name, uint32_t size,
				ht_ms now)
{
	uint64_t hash = ht_hash_str(name);

	/* If several read for a short time, the first in the order continues. */
	if (hash != nb->reader && within(nb->reader_at, LIVE_MS, now) &&
	    precedes(nb, nb->reader_size, nb->reader, size, hash))
		return;
	nb->reader = hash;
	nb->reader_size = size;
	nb->reader_at = now;
}

/* In a large data centre most neighbours are rarely heard directly, but mentioned by others. */
static bool local_reads_before_self(const struct ht_neighbours *nb, const struct ht_neighbour *n,
				    ht_ms now)
{
	return n->local && n->name[0] && heard_or_mentioned(n, LIVE_MS, now) &&
	       (n->heard_at == HT_NEVER || (n->view.usable && n->view.level >= nb->level)) &&
	       reads_before_self(nb, n->size, ht_hash_str(n->name));
}

size_t ht_neighbours_reader_rank(const struct ht_neighbours *nb, ht_ms now)
{
	const struct ht_list *pos;
	size_t rank = 0;

	ht_list_for_each (pos, &nb->list)
		rank += local_reads_before_self(
			nb, ht_container_of(pos, const struct ht_neighbour, node), now);
	return rank;
}

ht_ms ht_neighbours_announcement_age(const struct ht_neighbours *nb, ht_ms now)
{
	if (nb->reader_at == HT_NEVER || !reads_before_self(nb, nb->reader_size, nb->reader))
		return HT_NEVER;
	return now - nb->reader_at;
}

bool ht_neighbours_on_standby(const struct ht_neighbours *nb, ht_ms now)
{
	return now - nb->started_at < nb->params.startup_standby ||
	       ht_neighbours_announcement_age(nb, now) < LIVE_MS ||
	       ht_neighbours_reader_rank(nb, now);
}

static bool is_old(const struct ht_neighbours *nb, ht_ms age)
{
	return age == HT_NEVER || age >= nb->params.stale_after;
}

static bool unproven(const struct ht_neighbour *n)
{
	return n->view.targets_age == HT_NEVER || n->view.routes_age == HT_NEVER;
}

/* The view was proven before, but not within params.stale_after. */
static bool outdated(const struct ht_neighbours *nb, const struct ht_neighbour *n, ht_ms now)
{
	ht_ms since = now - n->heard_at;

	return !unproven(n) &&
	       (is_old(nb, n->view.targets_age + since) || is_old(nb, n->view.routes_age + since));
}

bool ht_neighbours_can_supply_view(const struct ht_neighbours *nb, ht_ms now)
{
	const struct ht_list *pos;

	ht_list_for_each (pos, &nb->list) {
		const struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);
		bool will_have_view =
			!n->view.failing && reads_before_self(nb, n->size, ht_hash_str(n->name));

		if (live(n, now) && (n->view.usable ? !outdated(nb, n, now) : will_have_view))
			return true;
	}
	return false;
}

bool ht_neighbours_precedes(const struct ht_neighbours *nb, const struct ht_neighbour *a,
			    const struct ht_neighbour *b)
{
	return precedes(nb, a ? a->size : nb->params.size, a ? a->id : ht_hash_str(nb->name),
			b ? b->size : nb->params.size, b ? b->id : ht_hash_str(nb->name));
}

static bool is_ranked(const struct ht_neighbour *n, ht_ms now)
{
	return n->local && n->name[0] && heard_or_mentioned(n, LIVE_MS, now);
}

/* An instance and its place in the order of readers. */
struct ranked {
	const struct ht_neighbour *neighbour; /* NULL: this instance */
	uint32_t size;
	uint64_t hash;
};

static struct ranked ranked_of(const struct ht_neighbours *nb, const struct ht_neighbour *n)
{
	return (struct ranked){.neighbour = n,
			       .size = n ? n->size : nb->params.size,
			       .hash = ht_hash_pair(n ? n->id : ht_hash_str(nb->name), nb->epoch)};
}

static int compare_ranked(const void *a, const void *b)
{
	const struct ranked *x = a, *y = b;

	if (x->size != y->size)
		return x->size > y->size ? -1 : 1;
	return (x->hash > y->hash) - (x->hash < y->hash);
}

const struct ht_neighbour *ht_neighbours_ranked(const struct ht_neighbours *nb, size_t rank,
						ht_ms now)
{
	struct ranked *all = calloc(nb->count + 1, sizeof(*all));
	const struct ht_neighbour *found;
	const struct ht_list *pos;
	size_t count = 0;

	/* Without memory this instance stands for all. */
	if (!all)
		return NULL;
	all[count++] = ranked_of(nb, NULL);
	ht_list_for_each (pos, &nb->list) {
		const struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		if (is_ranked(n, now))
			all[count++] = ranked_of(nb, n);
	}
	qsort(all, count, sizeof(*all), compare_ranked);
	found = all[rank % count].neighbour;
	free(all);
	return found;
}

/* Lists each other data centre of which an instance was heard or mentioned lately, with the best of
 * these by @better. */
static size_t
best_elsewhere(const struct ht_neighbours *nb,
	       bool (*better)(const struct ht_neighbours *nb, const struct ht_neighbour *a,
			      const struct ht_neighbour *b, uint64_t seed, ht_ms now),
	       uint64_t seed, const struct ht_neighbour *out[HT_REPRESENTATIVES_MAX], ht_ms now)
{
	const struct ht_list *pos;
	size_t count = 0;

	ht_list_for_each (pos, &nb->list) {
		const struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);
		size_t i = 0;

		if (n->local || !n->dc[0] || !heard_or_mentioned(n, MENTIONED_MS, now))
			continue;
		while (i < count && strcmp(out[i]->dc, n->dc) != 0)
			i++;
		if (i == HT_REPRESENTATIVES_MAX)
			continue;
		if (i == count)
			out[count++] = n;
		else if (better(nb, n, out[i], seed, now))
			out[i] = n;
	}
	return count;
}

/* Compares two neighbours of one data centre: prefers live ones, then decides by the order. */
static bool is_before(const struct ht_neighbours *nb, const struct ht_neighbour *a,
		      const struct ht_neighbour *b, uint64_t seed, ht_ms now)
{
	bool a_live = heard_or_mentioned(a, LIVE_MS, now);

	(void)seed;
	if (a_live != heard_or_mentioned(b, LIVE_MS, now))
		return a_live;
	return ht_neighbours_precedes(nb, a, b);
}

size_t ht_neighbours_first_elsewhere(const struct ht_neighbours *nb,
				     const struct ht_neighbour *out[HT_REPRESENTATIVES_MAX],
				     ht_ms now)
{
	return best_elsewhere(nb, is_before, 0, out, now);
}

const struct ht_neighbour *ht_neighbours_find(const struct ht_neighbours *nb, uint32_t id)
{
	const struct ht_list *pos;

	ht_list_for_each (pos, &nb->list) {
		const struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		if (n->name[0] && (uint32_t)n->id == id)
			return n;
	}
	return NULL;
}

bool ht_neighbours_any_local(const struct ht_neighbours *nb, ht_ms now)
{
	const struct ht_list *pos;

	ht_list_for_each (pos, &nb->list) {
		const struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		if (n->local && n->name[0] && heard_or_mentioned(n, MENTIONED_MS, now))
			return true;
	}
	return false;
}

/* Compares two neighbours of one data centre: prefers live ones, then decides by @seed. */
static bool is_better_representative(const struct ht_neighbours *nb, const struct ht_neighbour *a,
				     const struct ht_neighbour *b, uint64_t seed, ht_ms now)
{
	bool a_live = live(a, now), b_live = live(b, now);

	(void)nb;
	if (a_live != b_live)
		return a_live;
	return ht_hash_pair(seed, a->id) < ht_hash_pair(seed, b->id);
}

size_t ht_neighbours_representatives(const struct ht_neighbours *nb, uint64_t seed,
				     const struct ht_neighbour *out[HT_REPRESENTATIVES_MAX],
				     ht_ms now)
{
	return best_elsewhere(nb, is_better_representative, seed, out, now);
}

ht_ms ht_neighbours_heard_elsewhere(const struct ht_neighbours *nb,
				    bool (*wanted)(void *ctx, const char *dc), void *ctx)
{
	const struct ht_list *pos;

	/* The list is sorted by heard_at, newest first. */
	ht_list_for_each (pos, &nb->list) {
		const struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		if (n->heard_at == HT_NEVER)
			break;
		if (!n->local && wanted(ctx, n->dc))
			return n->heard_at;
	}
	return nb->started_at;
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

size_t ht_neighbours_local_names(const struct ht_neighbours *nb, uint64_t *out, size_t max)
{
	const struct ht_list *pos;
	size_t count = 0;

	ht_list_for_each (pos, &nb->list) {
		const struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		if (n->local && n->name[0] && count < max)
			out[count++] = ht_hash_str(n->name);
	}
	return count;
}

bool ht_neighbours_settled(const struct ht_neighbours *nb, ht_ms now)
{
	return now - nb->started_at >= nb->params.settle_after;
}

void ht_neighbours_each_local(const struct ht_neighbours *nb, ht_ms now,
			      void (*visit)(void *ctx, const struct ht_neighbour *n, bool fresh),
			      void *ctx)
{
	const struct ht_list *pos;

	ht_list_for_each (pos, &nb->list) {
		const struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		if (n->local && heard_or_mentioned(n, MENTIONED_MS, now))
			visit(ctx, n, heard_or_mentioned(n, LIVE_MS, now));
	}
}

bool ht_neighbours_accepts(const struct ht_neighbours *nb, const struct ht_view_state *own,
			   uint32_t level)
{
	ht_ms limit = nb->params.accept_after;

	return level >= own->level || own->targets_age == HT_NEVER || own->routes_age == HT_NEVER ||
	       own->targets_age >= limit || own->routes_age >= limit;
}

static bool has_newer_view(const struct ht_neighbours *nb, const struct ht_neighbour *n,
			   const struct ht_view_state *own)
{
	if (!n->view.usable || !ht_neighbours_accepts(nb, own, n->view.level))
		return false;
	return !own->usable || ht_view_later(&n->view, own);
}

static bool local_has_newer_view(const struct ht_neighbours *nb, const struct ht_view_state *own,
				 ht_ms now)
{
	const struct ht_list *pos;

	ht_list_for_each (pos, &nb->list) {
		const struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		if (n->local && live(n, now) && has_newer_view(nb, n, own))
			return true;
	}
	return false;
}

/* An instance that has just fallen behind usually gets the announcement soon. It does not if the
 * announcement was lost, or if its senders have not heard of this instance. */
static bool is_lagging(struct ht_neighbours *nb, const struct ht_view_state *own, ht_ms now)
{
	if (!own->standby || !local_has_newer_view(nb, own, now)) {
		nb->behind_since = HT_NEVER;
		return false;
	}
	if (nb->behind_since == HT_NEVER || !ht_revision_equal(nb->behind_targets, own->targets) ||
	    !ht_revision_equal(nb->behind_evacuations, own->evacuations) ||
	    ht_routes_compare(nb->behind_routes, own->routes) != 0) {
		nb->behind_since = now;
		nb->behind_targets = own->targets;
		nb->behind_routes = own->routes;
		nb->behind_evacuations = own->evacuations;
	}
	return now - nb->behind_since >= nb->params.lag_max;
}

static bool snapshot_needed(struct ht_neighbours *nb, const struct ht_view_state *own, ht_ms now)
{
	ht_ms pause = own->usable ? nb->params.snapshot_pause : nb->params.retry_pause;
	bool late = own->usable && is_lagging(nb, own, now);

	if (nb->snapshot_at != HT_NEVER && now - nb->snapshot_at < pause)
		return false;
	return !own->usable || late || is_old(nb, own->targets_age) || is_old(nb, own->routes_age);
}

/* Prefers recently proven views, which lack little, of the highest level; then views not proven
 * yet, of neighbours that started at the same time as this one; then outdated views, the newest
 * first. Of equal ones, those of the own data centre are preferred, then a hash of both names
 * decides. */
static bool is_better_source(const struct ht_neighbours *nb, const struct ht_neighbour *a,
			     const struct ht_neighbour *b, ht_ms now)
{
	uint64_t own = ht_hash_str(nb->name);
	bool a_outdated = outdated(nb, a, now);

	if (a_outdated != outdated(nb, b, now))
		return !a_outdated;
	if (a_outdated && !ht_revision_equal(a->view.targets, b->view.targets))
		return ht_revision_before(b->view.targets, a->view.targets);
	if (a->view.level != b->view.level)
		return a->view.level > b->view.level;
	if (unproven(a) != unproven(b))
		return unproven(b);
	if (a->local != b->local)
		return a->local;
	return ht_hash_pair(own, ht_hash_str(a->name)) < ht_hash_pair(own, ht_hash_str(b->name));
}

static bool asked_recently(const struct ht_neighbours *nb, const struct ht_neighbour *n, ht_ms now)
{
	return within(n->asked_at, nb->params.same_source_pause, now);
}

const struct ht_neighbour *ht_neighbours_snapshot_source(struct ht_neighbours *nb,
							 const struct ht_view_state *own, ht_ms now)
{
	struct ht_neighbour *best = NULL;
	struct ht_list *pos;

	if (!snapshot_needed(nb, own, now))
		return NULL;
	ht_list_for_each (pos, &nb->list) {
		struct ht_neighbour *n = ht_container_of(pos, struct ht_neighbour, node);

		if (!live(n, now) || !has_newer_view(nb, n, own) ||
		    (!own->usable && asked_recently(nb, n, now)))
			continue;
		if (!best || is_better_source(nb, n, best, now))
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
			remove_neighbour(nb, n);
	}
}

size_t ht_neighbours_count(const struct ht_neighbours *nb)
{
	return nb->count;
}
